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
RemainingCriticalPath(const job& aJob, std::size_t aOccurrence)
{
  const auto found = aJob.mOccurrences.find(aOccurrence);
  if (found == aJob.mOccurrences.end()) {
    return aJob.mDoneOccurrences.Contains(aOccurrence)
             ? std::chrono::milliseconds(0)
             : CriticalPath(aJob.mSpec.mSteps);
  }
  const auto& steps = found->second.mSteps;
  std::vector<std::chrono::milliseconds> ends(steps.size());
  std::chrono::milliseconds longest{ 0 };
  for (std::size_t i = 0; i < steps.size(); ++i) {
    std::chrono::milliseconds begin{ 0 };
    for (const std::size_t before : aJob.mSpec.mSteps[i].mAfter) {
      begin = std::max(begin, ends[before]);
    }
    const bool isDone = steps[i].mDoneCount == steps[i].mTasks.size();
    ends[i] = isDone ? begin : begin + aJob.mSpec.mSteps[i].mEstimate;
    longest = std::max(longest, ends[i]);
  }
  return longest;
}

lateness
LatenessOf(const job& aJob, time_point aNow)
{
  const time_point end = aNow + RemainingCriticalPath(aJob, 0);
  if (end <= aJob.mObjectiveDeadline) {
    return lateness::kOnTime;
  }
  const auto objective = aJob.mObjectiveDeadline - aJob.mFirstTryAt;
  return end <= aJob.mFirstTryAt + kMaxUsefulObjectives * objective
           ? lateness::kLate
           : lateness::kTooLate;
}

rank
RankOf(const job& aJob, std::size_t aStep, int aPriority, time_point aNow)
{
  const step_spec& spec = aJob.mSpec.mSteps[aStep];
  const lateness expected =
    spec.mLongRunning ? lateness::kOnTime : LatenessOf(aJob, aNow);
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
