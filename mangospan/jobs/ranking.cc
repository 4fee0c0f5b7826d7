#include "mangospan/jobs/ranking.h"

#include <algorithm>
#include <vector>

namespace mangospan::jobs {

namespace {

// A job that takes longer than this many times its objective is too late to be
// useful.
constexpr int kMaxUsefulObjectives = 3;

} // namespace

std::chrono::milliseconds
RemainingCriticalPath(const job& aJob,
                      std::size_t aOccurrence,
                      const run_time_source& aRunTimes)
{
  const auto found = aJob.mOccurrences.find(aOccurrence);
  const bool isOpen = found != aJob.mOccurrences.end();
  if (!isOpen && aJob.mDoneOccurrences.Contains(aOccurrence)) {
    return std::chrono::milliseconds(0);
  }
  const auto isStepDone = [&found, isOpen](std::size_t aStep) {
    return isOpen && found->second.mSteps[aStep].mDoneCount ==
                       found->second.mSteps[aStep].mTasks.size();
  };
  const std::size_t stepCount = aJob.mSpec.mSteps.size();
  std::vector<std::chrono::milliseconds> ends(stepCount);
  std::chrono::milliseconds longest{ 0 };
  for (std::size_t i = 0; i < stepCount; ++i) {
    std::chrono::milliseconds begin{ 0 };
    for (const std::size_t before : aJob.mSpec.mSteps[i].mAfter) {
      begin = std::max(begin, ends[before]);
    }
    ends[i] = isStepDone(i) ? begin : begin + aRunTimes.Median(aJob.mSpec, i);
    longest = std::max(longest, ends[i]);
  }
  return longest;
}

lateness
LatenessOf(const job& aJob, time_point aNow, const run_time_source& aRunTimes)
{
  const time_point end = aNow + RemainingCriticalPath(aJob, 0, aRunTimes);
  if (end <= aJob.mObjectiveDeadline) {
    return lateness::kOnTime;
  }
  const auto objective = aJob.mObjectiveDeadline - aJob.mFirstTryAt;
  return end <= aJob.mFirstTryAt + kMaxUsefulObjectives * objective
           ? lateness::kLate
           : lateness::kTooLate;
}

rank
RankOf(const job& aJob,
       std::size_t aStep,
       int aPriority,
       time_point aNow,
       const run_time_source& aRunTimes)
{
  const step_spec& spec = aJob.mSpec.mSteps[aStep];
  const lateness expected =
    spec.mLongRunning ? lateness::kOnTime : LatenessOf(aJob, aNow, aRunTimes);
  const bool isWaiting = aJob.mState == job_state::kQueued;
  return { !(spec.mLongRunning && !spec.mBestEffort),
           aJob.mIsExcess,
           expected,
           aPriority,
           expected == lateness::kTooLate && isWaiting,
           isWaiting ? aJob.mFairStart : 0,
           aJob.mObjectiveDeadline };
}

} // namespace mangospan::jobs
