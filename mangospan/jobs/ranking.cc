#include "mangospan/jobs/ranking.h"

#include <algorithm>
#include <vector>

namespace mangospan::jobs {

std::chrono::milliseconds
RemainingChain(const job& aJob, std::size_t aOccurrence)
{
  const auto& steps = aJob.mOccurrences[aOccurrence].mSteps;
  std::vector<std::chrono::milliseconds> ends(steps.size());
  std::chrono::milliseconds longest{ 0 };
  for (std::size_t i = 0; i < steps.size(); ++i) {
    std::chrono::milliseconds begin{ 0 };
    for (const std::size_t before : aJob.mSpec.mSteps[i].mAfter) {
      begin = std::max(begin, ends[before]);
    }
    const bool isDone = steps[i].mDone == steps[i].mTasks.size();
    ends[i] = isDone ? begin : begin + aJob.mSpec.mSteps[i].mEstimate;
    longest = std::max(longest, ends[i]);
  }
  return longest;
}

rank
RankOf(const job& aJob, std::size_t aStep, int aPriority, time_point aNow)
{
  const step_spec& spec = aJob.mSpec.mSteps[aStep];
  const bool isLate =
    !spec.mLasting && aNow + RemainingChain(aJob, 0) > aJob.mDueBy;
  return { !(spec.mLasting && !spec.mFiller), isLate, aPriority, aJob.mDueBy };
}

} // namespace mangospan::jobs
