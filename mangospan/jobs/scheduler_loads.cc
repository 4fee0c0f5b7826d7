#include "mangospan/jobs/scheduler.h"

#include <algorithm>
#include <limits>

namespace mangospan::jobs {

namespace {

using std::chrono::milliseconds;

// From the order to move a host until it takes its first run.
constexpr milliseconds kHostLead{ 2'000 };
// A job that has nothing running for longer found no room, although there may
// be as much of it as it needs: a little on each runner.
constexpr milliseconds kNoRoomAge{ 1'000 };

// How many claims a host holds; one at least.
std::size_t
CountFitting(const resources& aClaim, const resources& aHost)
{
  std::int64_t fits = std::numeric_limits<std::int64_t>::max();
  const auto limit = [&fits](std::int64_t aNeed, std::int64_t aHas) {
    fits = aNeed > 0 ? std::min(fits, aHas / aNeed) : fits;
  };
  limit(aClaim.mCpu, aHost.mCpu);
  limit(aClaim.mMemoryMb, aHost.mMemoryMb);
  limit(aClaim.mGpus, aHost.mGpus);
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
  for (const occurrence& each : aJob.mOccurrences) {
    for (const step& one : each.mSteps) {
      if (std::any_of(one.mTasks.begin(), one.mTasks.end(), isLive)) {
        return true;
      }
    }
  }
  return false;
}

// What a service's jobs ask for, and what its runners leave them.
struct demand
{
  pool_load mLoad;
  std::size_t mOccupied = 0; // runners in use
  resources mPerHost;
  std::size_t mHostsForLasting = 0; // empty ones, for tasks that wait
  bool mIsStuck = false;            // a job has nothing running for too long
};

void
AddStep(const step_spec& aSpec, const step& aState, demand& aInto)
{
  const std::size_t open = aState.mTasks.size() - aState.mDone;
  const resources claim = aSpec.Claim();
  for (std::size_t i = 0; i < open; ++i) {
    aInto.mLoad.mWanted += claim;
  }
  if (!aSpec.mLasting) {
    return;
  }
  if (aSpec.mMaxPerRunner > 0) {
    aInto.mLoad.mMinHosts =
      std::max(aInto.mLoad.mMinHosts, DivideUp(open, aSpec.mMaxPerRunner));
  }
  const auto waiting =
    std::count_if(aState.mTasks.begin(),
                  aState.mTasks.end(),
                  [](const task& aEach) { return aEach.IsIdle(); });
  aInto.mHostsForLasting += DivideUp(static_cast<std::size_t>(waiting),
                                     CountFitting(claim, aInto.mPerHost));
}

void
AddDemand(const job& aJob, time_point aNow, wall_time aWall, demand& aInto)
{
  bool isDue = false;
  const std::size_t due = aJob.DueOccurrences(aWall);
  for (std::size_t k = 0; k < due; ++k) {
    for (std::size_t s = 0; s < aJob.mSpec.mSteps.size(); ++s) {
      const step& state = aJob.mOccurrences[k].mSteps[s];
      if (state.mTasks.size() > state.mDone && aJob.IsStepReady(k, s)) {
        AddStep(aJob.mSpec.mSteps[s], state, aInto);
        isDue = true;
      }
    }
  }
  const bool isOld =
    aJob.mSpec.mRepetitions == 0 && aNow - aJob.mAccepted > kNoRoomAge;
  aInto.mIsStuck = aInto.mIsStuck || (isDue && isOld && !HasLiveTask(aJob));
}

} // namespace

std::map<service_name, pool_load>
scheduler::Loads(time_point aNow, wall_time aWall)
{
  std::map<service_name, demand> demands;
  for (const auto& [service, policy] : mCatalog.mServices) {
    if (!policy.mSpare) {
      demands[service].mLoad.mArriving =
        mArrivals[service].Expected(aNow, kHostLead);
    }
  }
  for (const auto& [name, each] : mRunners) {
    const auto at = demands.find(each.mInfo.mService);
    if (at != demands.end() && each.mListed && each.mFailedLooks == 0) {
      at->second.mOccupied += each.Runs().empty() ? 0 : 1;
      at->second.mPerHost = each.mInfo.mCapacity;
    }
  }
  for (const job_name& each : mActive) {
    const job& one = mJobs.at(each);
    const queue_policy* const queue = mCatalog.FindQueue(one.mSpec.mQueue);
    const auto at =
      queue == nullptr ? demands.end() : demands.find(ServiceOf(*queue));
    if (at != demands.end()) {
      AddDemand(one, aNow, aWall, at->second);
    }
  }
  std::map<service_name, pool_load> loads;
  for (auto& [service, each] : demands) {
    const std::size_t empty =
      std::max<std::size_t>(each.mHostsForLasting, each.mIsStuck ? 1 : 0);
    if (empty > 0) {
      each.mLoad.mMinHosts =
        std::max(each.mLoad.mMinHosts, each.mOccupied + empty);
    }
    loads.emplace(service, each.mLoad);
  }
  return loads;
}

} // namespace mangospan::jobs
