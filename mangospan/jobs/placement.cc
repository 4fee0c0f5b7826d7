#include "mangospan/jobs/placement.h"

#include <tuple>

namespace mangospan::jobs {

namespace {

// Start calls that wait for one runner's answer; more would queue up there
// while another runner could begin at once.
constexpr int kMaxStartsInFlight = 6;

// Compared in order; the lowest is the best.
using score = std::tuple<bool, bool, bool, std::int64_t>;

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
  const std::int64_t room = aRunner.Room().mCpu;
  // Lasting tasks are spread, so that one host's loss takes few of them; the
  // others fill the fullest runner, which keeps whole runners free for wide
  // tasks.
  const std::int64_t order = spec.mLasting ? -room : room;
  return { aRunner.mInfo.mName == aRequest.mAvoid,
           isFarFromData,
           isFarFromSiblings,
           order };
}

} // namespace

bool
TakesRuns(const runner& aRunner, time_point aNow)
{
  return aRunner.mListed && aRunner.mContacted && !aRunner.mInfo.mDraining &&
         !aRunner.mClosed && aRunner.mFailedLooks == 0 &&
         aNow >= aRunner.mShunUntil &&
         aRunner.mStartsInFlight < kMaxStartsInFlight;
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
