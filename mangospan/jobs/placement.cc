#include "mangospan/jobs/placement.h"

#include <algorithm>
#include <array>
#include <tuple>

namespace mangospan::jobs {

namespace {

// The maximum number of unanswered start calls to one runner. Further calls
// would queue up there while another runner could start the task at once.
constexpr int kMaxStartsInFlight = 6;
// The same for a runner that has left start orders unanswered lately.
constexpr int kMaxStartsInFlightIfUnreliable = 2;

// The preferred maximum of long-running tasks of one step on a runner, so that
// the loss of one host affects few of them.
constexpr std::size_t kPreferredMaxLongRunning = 2;

// The elements are compared in order; the lowest score is the best.
using score =
  std::tuple<bool, bool, bool, bool, bool, bool, bool, bool, std::int64_t>;

// A run that has succeeded so lately shows that its runner is sound.
constexpr std::chrono::milliseconds kProvenTime{ 4'000 };

bool
HasLongRunning(const runner& aRunner)
{
  return std::any_of(
    aRunner.Runs().begin(), aRunner.Runs().end(), [](const auto& aEntry) {
      return aEntry.second.mLongRunning;
    });
}

bool
IsAllowedOn(const placement_request& aRequest, const runner& aRunner)
{
  const step_spec& spec = aRequest.mStep;
  if (!spec.mLabel.empty() && !aRunner.HasLabel(spec.mLabel)) {
    return false;
  }
  const task_id& id = aRequest.mTask;
  return spec.mMaxPerRunner == 0 ||
         aRunner.CountRuns(id.mJob, id.mOccurrence, id.mStep) <
           spec.mMaxPerRunner;
}

score
Score(const placement_request& aRequest, const runner& aRunner, time_point aNow)
{
  const step_spec& spec = aRequest.mStep;
  const bool isFarFromData =
    !spec.mDataRack.Empty() && aRunner.mInfo.mRack != spec.mDataRack;
  const bool isFarFromSiblings = !aRequest.mPreferredRack.Empty() &&
                                 aRunner.mInfo.mRack != aRequest.mPreferredRack;
  // Tasks go to the runner with the least free capacity, and long-running tasks
  // go to runners that already have some, so that whole hosts stay without runs
  // and can move to pools under load.
  const task_id& id = aRequest.mTask;
  const bool isConcentrated =
    spec.mLongRunning && aRunner.CountRuns(id.mJob, id.mOccurrence, id.mStep) >=
                           kPreferredMaxLongRunning;
  // A task that has failed goes where none has failed lately.
  const bool mayFailAgain =
    !aRequest.mAvoidRunners.empty() && aNow < aRunner.mFailedLatelyUntil;
  const bool isUnproven =
    aRequest.mIsLastAttempt && aNow - aRunner.mSucceededAt > kProvenTime;
  return { HasFailedOn(aRequest, aRunner),
           isUnproven,
           mayFailAgain,
           isFarFromData,
           isFarFromSiblings,
           aRunner.mAnswerRecord.IsUnreliable(aNow) ||
             aNow < aRunner.mSuspectUntil,
           isConcentrated,
           spec.mLongRunning && !HasLongRunning(aRunner),
           aRunner.FreeCapacity().mCpu };
}

} // namespace

bool
HasFailedOn(const placement_request& aRequest, const runner& aRunner)
{
  const auto& failedOn = aRequest.mAvoidRunners;
  return std::find(failedOn.begin(), failedOn.end(), aRunner.mInfo.mName) !=
         failedOn.end();
}

bool
Fits(const placement_request& aRequest, const runner& aRunner)
{
  return aRequest.mStep.Reservation().FitsIn(aRunner.FreeCapacity()) &&
         IsAllowedOn(aRequest, aRunner);
}

bool
MayFitLater(const placement_request& aRequest, const runner& aRunner)
{
  resources needed = aRequest.mStep.Reservation();
  for (const auto& [key, each] : aRunner.Runs()) {
    if (each.mLongRunning) {
      needed += each.mReservation;
    }
  }
  return needed.FitsIn(aRunner.mInfo.mCapacity) &&
         IsAllowedOn(aRequest, aRunner);
}

namespace {

// Why a runner gets no new runs.
struct obstacle
{
  const char* mName;
  bool (*mApplies)(const runner&, time_point);
  bool mIsBrief = false; // passes within a second or so
};

constexpr std::array<obstacle, 11> kObstacles{ {
  { "unlisted",
    [](const runner& aEach, time_point) { return !aEach.mListed; } },
  { "draining",
    [](const runner& aEach, time_point) { return aEach.mInfo.mDraining; } },
  { "silent",
    [](const runner& aEach, time_point) { return !aEach.IsAnswering(); } },
  { "not_contacted",
    [](const runner& aEach, time_point) { return !aEach.mContacted; } },
  { "not_in_roster",
    [](const runner& aEach, time_point) { return !aEach.mIsInRoster; } },
  { "cordoned",
    [](const runner& aEach, time_point) { return aEach.mCordoned; } },
  { "quarantined",
    [](const runner& aEach, time_point aAt) {
      return aAt < aEach.mQuarantinedUntil;
    } },
  { "on_trial",
    [](const runner& aEach, time_point aAt) {
      return aEach.HasTrialRun(aAt);
    } },
  { "refused_start",
    [](const runner& aEach, time_point aAt) {
      return aAt < aEach.mRefusesUntil;
    },
    true },
  { "old_clock",
    [](const runner& aEach, time_point aAt) {
      return !aEach.IsClockCurrent(aAt);
    },
    true },
  { "starts_in_flight",
    [](const runner& aEach, time_point aAt) {
      return aEach.mStartsInFlight >= (aEach.mAnswerRecord.IsUnreliable(aAt)
                                         ? kMaxStartsInFlightIfUnreliable
                                         : kMaxStartsInFlight);
    },
    true },
} };

} // namespace

const char*
ReasonToGetNoRuns(const runner& aRunner, time_point aNow)
{
  const auto found = std::find_if(
    kObstacles.begin(), kObstacles.end(), [&](const obstacle& aEach) {
      return aEach.mApplies(aRunner, aNow);
    });
  return found == kObstacles.end() ? nullptr : found->mName;
}

bool
CanAcceptRuns(const runner& aRunner, time_point aNow)
{
  return ReasonToGetNoRuns(aRunner, aNow) == nullptr;
}

bool
CanAcceptRunsSoon(const runner& aRunner, time_point aNow)
{
  return std::none_of(
    kObstacles.begin(), kObstacles.end(), [&](const obstacle& aEach) {
      return !aEach.mIsBrief && aEach.mApplies(aRunner, aNow);
    });
}

namespace {

template<typename Predicate>
runner*
ChooseIf(const placement_request& aRequest,
         const std::vector<runner*>& aRunners,
         time_point aNow,
         const Predicate& aIsAllowed)
{
  runner* best = nullptr;
  score bestScore;
  for (runner* const each : aRunners) {
    if (!aIsAllowed(*each) || !Fits(aRequest, *each)) {
      continue;
    }
    const score candidate = Score(aRequest, *each, aNow);
    if (best == nullptr || candidate < bestScore) {
      best = each;
      bestScore = candidate;
    }
  }
  return best;
}

} // namespace

pool_free_capacity::pool_free_capacity(const std::vector<runner*>& aPool,
                                       time_point aNow)
{
  for (const runner* const each : aPool) {
    if (CanAcceptRuns(*each, aNow)) {
      const resources freeCapacity = each->FreeCapacity();
      mMaxFree.mCpu = std::max(mMaxFree.mCpu, freeCapacity.mCpu);
      mMaxFree.mMemoryMb = std::max(mMaxFree.mMemoryMb, freeCapacity.mMemoryMb);
      mMaxFree.mGpus = std::max(mMaxFree.mGpus, freeCapacity.mGpus);
    }
  }
}

bool
pool_free_capacity::MayFit(const step_spec& aStep) const
{
  const resources reservation = aStep.Reservation();
  return reservation.FitsIn(mMaxFree) &&
         std::none_of(mRejectedReservations.begin(),
                      mRejectedReservations.end(),
                      [&reservation](const resources& aRejected) {
                        return aRejected.FitsIn(reservation);
                      });
}

void
pool_free_capacity::OnPlacementFailed(const step_spec& aStep)
{
  // A step with a label or a limit per runner may fit nowhere for that reason
  // alone, so its reservation says nothing about other steps.
  const bool hasConstraints = !aStep.mLabel.empty() || aStep.mMaxPerRunner > 0;
  if (!hasConstraints) {
    mRejectedReservations.push_back(aStep.Reservation());
  }
}

runner*
ChooseAmong(const placement_request& aRequest,
            const std::vector<runner*>& aRunners,
            time_point aNow)
{
  return ChooseIf(
    aRequest, aRunners, aNow, [](const runner& /*aEach*/) { return true; });
}

runner*
ChooseRunner(const placement_request& aRequest,
             const std::vector<runner*>& aPool,
             time_point aNow)
{
  return ChooseIf(aRequest, aPool, aNow, [&](const runner& aEach) {
    return CanAcceptRuns(aEach, aNow) &&
           !(aRequest.mMustAvoid && HasFailedOn(aRequest, aEach));
  });
}

} // namespace mangospan::jobs
