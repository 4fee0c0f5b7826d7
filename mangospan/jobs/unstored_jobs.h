// The jobs whose records differ from the stored ones, in the order in which
// they began to differ, so that no job waits for a write behind ones that came
// later.
#ifndef MANGOSPAN_JOBS_UNSTORED_JOBS_H
#define MANGOSPAN_JOBS_UNSTORED_JOBS_H

#include <cstdint>
#include <map>

#include "mangospan/jobs/spec.h"

namespace mangospan::jobs {

class unstored_jobs
{
public:
  // Adds the job behind the others. No effect if it is in already.
  void Add(const job_name& aJob)
  {
    if (mNumbers.emplace(aJob, mNextNumber).second) {
      mInOrder.emplace(mNextNumber++, aJob);
    }
  }
  void Remove(const job_name& aJob)
  {
    const auto found = mNumbers.find(aJob);
    if (found != mNumbers.end()) {
      mInOrder.erase(found->second);
      mNumbers.erase(found);
    }
  }
  // The jobs by number, the one that has waited longest first.
  const std::map<std::uint64_t, job_name>& InOrder() const { return mInOrder; }

private:
  std::map<job_name, std::uint64_t> mNumbers;
  std::map<std::uint64_t, job_name> mInOrder;
  std::uint64_t mNextNumber = 0;
};

} // namespace mangospan::jobs

#endif // MANGOSPAN_JOBS_UNSTORED_JOBS_H
