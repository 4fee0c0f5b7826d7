// The expected run times of tasks, as the decisions about waiting and arriving
// work use them.
#ifndef MANGOSPAN_JOBS_RUN_TIMES_H
#define MANGOSPAN_JOBS_RUN_TIMES_H

#include <chrono>
#include <cstddef>

#include "mangospan/jobs/spec.h"

namespace mangospan::jobs {

// Says how long one task of a step runs.
class run_time_source
{
public:
  virtual ~run_time_source() = default;
  // Returns the time that half of the runs exceed, to compare jobs by.
  virtual std::chrono::milliseconds Median(const job_spec& aSpec,
                                           std::size_t aStep) const = 0;
  // Returns the mean time, to add up amounts of work.
  virtual std::chrono::milliseconds Mean(const job_spec& aSpec,
                                         std::size_t aStep) const = 0;
};

// Takes the callers' estimates as they are.
class estimated_run_times : public run_time_source
{
public:
  std::chrono::milliseconds Median(const job_spec& aSpec,
                                   std::size_t aStep) const override
  {
    return aSpec.mSteps[aStep].mEstimate;
  }
  std::chrono::milliseconds Mean(const job_spec& aSpec,
                                 std::size_t aStep) const override
  {
    return aSpec.mSteps[aStep].mEstimate;
  }
};

} // namespace mangospan::jobs

#endif // MANGOSPAN_JOBS_RUN_TIMES_H
