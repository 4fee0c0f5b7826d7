#include "mangospan/jobs/scheduler.h"

#include <algorithm>
#include <limits>

namespace mangospan::jobs {

namespace {

using std::chrono::milliseconds;

// The time from the order to move a host into a pool until the host takes its
// first run there.
constexpr milliseconds kHostMoveTime{ 2'000 };
// A job that has had no live task for longer than this is taken to fit on no
// runner. The free capacity of all runners together may suffice for it, while
// that of each single runner does not.
constexpr milliseconds kMaxUnplacedTime{ 1'000 };

// Returns how many tasks that reserve `aReservation` each fit on a host of
// capacity `aHost`, and at least 1.
std::size_t
CountFittingTasks(const resources& aReservation, const resources& aHost)
{
  std::int64_t fits = std::numeric_limits<std::int64_t>::max();
  const auto limit = [&fits](std::int64_t aNeed, std::int64_t aHas) {
    fits = aNeed > 0 ? std::min(fits, aHas / aNeed) : fits;
  };
  limit(aReservation.mCpu, aHost.mCpu);
  limit(aReservation.mMemoryMb, aHost.mMemoryMb);
  limit(aReservation.mGpus, aHost.mGpus);
  return static_cast<std::size_t>(std::max<std::int64_t>(fits, 1));
}

std::size_t
DivideUp(std::size_t aCount, std::size_t aBy)
{
  return (aCount + aBy - 1) / aBy;
}

bool
HasLiveTask(const job& aJob)
{
  const auto isLive = [](const task& aEach) { return aEach.mLive; };
  for (const auto& [number, each] : aJob.mOccurrences) {
    for (const step& eachStep : each.mSteps) {
      if (std::any_of(eachStep.mTasks.begin(), eachStep.mTasks.end(), isLive)) {
        return true;
      }
    }
  }
  return false;
}

// The load of one service's jobs, and the hosts that its pool needs for tasks
// that fit on no runner in use.
struct demand
{
  pool_load mLoad;
  std::size_t mOccupiedRunners = 0; // runners that have a run
  resources mPerHost;               // the capacity of one runner
  // Empty hosts needed for the long-running tasks that wait for a runner.
  std::size_t mHostsForLongRunning = 0;
  // Whether a job has had no live task for longer than `kMaxUnplacedTime`.
  bool mHasUnplacedJob = false;
};

std::size_t
CountLive(const step& aStep)
{
  return static_cast<std::size_t>(std::count_if(
    aStep.mTasks.begin(), aStep.mTasks.end(), [](const task& aEach) {
      return aEach.mLive;
    }));
}

// `aMayStart` says whether further tasks of the job's customer may start. If
// not, more hosts would not help the tasks that wait.
void
AddStep(const step_spec& aSpec,
        const step& aStep,
        bool aMayStart,
        demand& aDemand)
{
  const std::size_t unfinished = aStep.mTasks.size() - aStep.mDoneCount;
  const resources reservation = aSpec.Reservation();
  const std::size_t requesting = aMayStart ? unfinished : CountLive(aStep);
  for (std::size_t i = 0; i < requesting; ++i) {
    aDemand.mLoad.mRequested += reservation;
  }
  if (!aSpec.mLongRunning) {
    return;
  }
  if (aSpec.mMaxPerRunner > 0) {
    aDemand.mLoad.mMinHosts = std::max(
      aDemand.mLoad.mMinHosts, DivideUp(unfinished, aSpec.mMaxPerRunner));
  }
  const auto waiting =
    std::count_if(aStep.mTasks.begin(),
                  aStep.mTasks.end(),
                  [](const task& aEach) { return aEach.IsIdle(); });
  aDemand.mHostsForLongRunning +=
    DivideUp(static_cast<std::size_t>(waiting),
             CountFittingTasks(reservation, aDemand.mPerHost));
}

void
AddDemand(const job& aJob,
          bool aMayStart,
          time_point aNow,
          wall_time aWall,
          demand& aDemand)
{
  bool isDue = false;
  const std::size_t due = aJob.DueOccurrences(aWall);
  for (const auto& [k, each] : aJob.mOccurrences) {
    if (!aJob.IsDueOrBegun(k, due)) {
      continue;
    }
    for (std::size_t s = 0; s < aJob.mSpec.mSteps.size(); ++s) {
      const step& stepState = each.mSteps[s];
      if (stepState.mTasks.size() > stepState.mDoneCount &&
          aJob.IsStepReady(k, s)) {
        AddStep(aJob.mSpec.mSteps[s], stepState, aMayStart, aDemand);
        isDue = isDue || aMayStart;
      }
    }
  }
  const bool isOld =
    aJob.mSpec.mRepetitions == 0 && aNow - aJob.mAcceptedAt > kMaxUnplacedTime;
  aDemand.mHasUnplacedJob =
    aDemand.mHasUnplacedJob || (isDue && isOld && !HasLiveTask(aJob));
}

} // namespace

std::map<service_name, pool_load>
scheduler::ComputeLoads(time_point aNow, wall_time aWall)
{
  std::map<service_name, demand> demands;
  for (const auto& [service, policy] : mCatalog.mServices) {
    if (!policy.mSpare) {
      demands[service].mLoad.mForecast =
        mArrivalForecasts[service].ExpectedDemand(aNow, kHostMoveTime);
    }
  }
  for (const auto& [name, each] : mRunners) {
    const auto found = demands.find(each.mInfo.mService);
    if (found != demands.end() && each.mListed && each.IsAnswering()) {
      found->second.mOccupiedRunners += each.Runs().empty() ? 0 : 1;
      found->second.mPerHost = each.mInfo.mCapacity;
    }
  }
  for (const job_name& each : mActiveJobs) {
    const job& activeJob = mJobs.at(each);
    const auto found = demands.find(ServiceOf(PolicyOf(activeJob)));
    if (found != demands.end()) {
      AddDemand(
        activeJob, MayStartMore(activeJob.mSpec), aNow, aWall, found->second);
    }
  }
  std::map<service_name, pool_load> loads;
  for (auto& [service, each] : demands) {
    const std::size_t emptyHosts = std::max<std::size_t>(
      each.mHostsForLongRunning, each.mHasUnplacedJob ? 1 : 0);
    if (emptyHosts > 0) {
      each.mLoad.mMinHosts =
        std::max(each.mLoad.mMinHosts, each.mOccupiedRunners + emptyHosts);
    }
    loads.emplace(service, each.mLoad);
  }
  return loads;
}

} // namespace mangospan::jobs
