// Forecasts the capacity that newly submitted jobs will occupy.
//
// A host takes about two seconds to move from another pool, and a peak of jobs
// may rise for all of that time. Hosts that are requested for the waiting jobs
// or for the current rate alone would always match the demand of two seconds
// ago. The forecast is the rate at which work arrives, which is also the
// capacity in use once as many tasks end as start.
#ifndef MANGOSPAN_JOBS_ARRIVAL_FORECAST_H
#define MANGOSPAN_JOBS_ARRIVAL_FORECAST_H

#include <chrono>
#include <deque>

#include "mangospan/base/time.h"
#include "mangospan/jobs/run_times.h"
#include "mangospan/jobs/spec.h"

namespace mangospan::jobs {

// The recent arrivals of jobs at one service, and the forecast from them.
class arrival_forecast
{
public:
  // Counts a job that was submitted at `aNow`. Leaves out jobs with set due
  // times, and long-running and best-effort steps: what these occupy does not
  // depend on the rate of arrivals.
  void Add(const job_spec& aSpec,
           time_point aNow,
           const run_time_source& aRunTimes);

  // Returns the capacity that the jobs are expected to occupy at `aNow` plus
  // `aHorizon`, from the arrivals in the last window. Subtracts one standard
  // error, because a few large jobs say little about the next ones. If more
  // work arrived in the last window than in the one before it, the growth is
  // extrapolated for `aHorizon`. The number of GPUs is always 0.
  resources ExpectedDemand(time_point aNow, std::chrono::milliseconds aHorizon);

private:
  // The work of one submitted job: what its tasks take, times their duration.
  struct arrival
  {
    time_point mAt{};
    double mCpu = 0;    // Thousandths of a core, times seconds.
    double mMemory = 0; // MiB, times seconds.
  };

  // Sums over the arrivals of a time span, in the units of `arrival`.
  struct total
  {
    double mCpu = 0;
    double mMemory = 0;
    double mCpuSquareSum = 0; // The sum of the squares of `mCpu`.
  };

  // Returns the sums over the arrivals after `aFrom`, up to and including
  // `aTo`.
  total Sum(time_point aFrom, time_point aTo) const;

  std::deque<arrival> mRecentArrivals; // Oldest first.
};

} // namespace mangospan::jobs

#endif // MANGOSPAN_JOBS_ARRIVAL_FORECAST_H
