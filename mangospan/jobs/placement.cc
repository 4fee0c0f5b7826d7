#include "mangospan/jobs/placement.h"

#include <algorithm>
#include <tuple>

namespace mangospan::jobs {

namespace {

// Start calls that wait for one runner's answer; more would queue up there
// while another runner could begin at once.
constexpr int kMaxStartsInFlight = 6;

// More lasting tasks of one step on a runner than this are avoided, so that one
// host's loss takes few of them.
constexpr std::size_t kLastingTogether = 2;

// Compared in order; the lowest is the best.
using score = std::tuple<bool, bool, bool, bool, bool, std::int64_t>;

bool
HasLasting(const runner& aRunner)
{
  return std::any_of(aRunner.Runs().begin(),
                     aRunner.Runs().end(),
                     [](const auto& aEntry) { return aEntry.second.mLasting; });
}

bool
Fits(const placement_request& aRequest, const runner& aRunner)
{
  const step_spec& spec = aRequest.mStep;
  if (!spec.Claim().FitsIn(aRunner.Room())) {
    return false;
  }
  if (!spec.mLabel.empty() && !aRunner.HasLabel(spec.mLabel)) {
    return false;
  }
  const task_id& id = aRequest.mTask;
  return spec.mMaxPerRunner == 0 ||
         aRunner.CountOf(id.mJob, id.mOccurrence, id.mStep) <
           spec.mMaxPerRunner;
}

score
Score(const placement_request& aRequest, const runner& aRunner)
{
  const step_spec& spec = aRequest.mStep;
  const bool isFarFromData =
    !spec.mDataRack.Empty() && aRunner.mInfo.mRack != spec.mDataRack;
  const bool isFarFromSiblings =
    !aRequest.mNearRack.Empty() && aRunner.mInfo.mRack != aRequest.mNearRack;
  // Tasks fill the fullest runner, and lasting ones share runners among
  // themselves, so that whole hosts stay free to follow the load.
  const task_id& id = aRequest.mTask;
  const bool isCrowded =
    spec.mLasting &&
    aRunner.CountOf(id.mJob, id.mOccurrence, id.mStep) >= kLastingTogether;
  return { aRunner.mInfo.mName == aRequest.mAvoid,
           isFarFromData,
           isFarFromSiblings,
           isCrowded,
           spec.mLasting && !HasLasting(aRunner),
           aRunner.Room().mCpu };
}

} // namespace

bool
TakesRuns(const runner& aRunner, time_point aNow)
{
  return aRunner.mListed && aRunner.mContacted && aRunner.mIsInRoster &&
         !aRunner.mInfo.mDraining && !aRunner.mClosed &&
         aRunner.mFailedLooks == 0 && aNow >= aRunner.mShunUntil &&
         aRunner.mStartsInFlight < kMaxStartsInFlight;
}

pool_room::pool_room(const std::vector<runner*>& aPool, time_point aNow)
{
  for (const runner* const each : aPool) {
    if (TakesRuns(*each, aNow)) {
      const resources room = each->Room();
      mMost.mCpu = std::max(mMost.mCpu, room.mCpu);
      mMost.mMemoryMb = std::max(mMost.mMemoryMb, room.mMemoryMb);
      mMost.mGpus = std::max(mMost.mGpus, room.mGpus);
    }
  }
}

bool
pool_room::MayFit(const step_spec& aStep) const
{
  const resources claim = aStep.Claim();
  return claim.FitsIn(mMost) &&
         std::none_of(mTooMuch.begin(),
                      mTooMuch.end(),
                      [&claim](const resources& aRefused) {
                        return aRefused.FitsIn(claim);
                      });
}

void
pool_room::OnNoRoom(const step_spec& aStep)
{
  // A step that is choosy says nothing about the others.
  const bool isChoosy = !aStep.mLabel.empty() || aStep.mMaxPerRunner > 0;
  if (!isChoosy) {
    mTooMuch.push_back(aStep.Claim());
  }
}

runner*
ChooseRunner(const placement_request& aRequest,
             const std::vector<runner*>& aPool,
             time_point aNow)
{
  runner* best = nullptr;
  score bestScore;
  for (runner* const each : aPool) {
    if (!TakesRuns(*each, aNow) || !Fits(aRequest, *each)) {
      continue;
    }
    const score own = Score(aRequest, *each);
    if (best == nullptr || own < bestScore) {
      best = each;
      bestScore = own;
    }
  }
  return best;
}

} // namespace mangospan::jobs
