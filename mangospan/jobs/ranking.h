// Ranking: the order in which jobs get free capacity.
//
// A queue can ask for several times the throughput of its pool. Jobs that can
// still meet their objective go first, then jobs that are late but still
// useful, then the rest. Among the rest, jobs that have started go first, so
// that later arrivals can't starve jobs with many tasks.
#ifndef MANGOSPAN_JOBS_RANKING_H
#define MANGOSPAN_JOBS_RANKING_H

#include <tuple>

#include "mangospan/base/time.h"
#include "mangospan/jobs/job.h"
#include "mangospan/jobs/run_times.h"

namespace mangospan::jobs {

// A job's expected completion relative to its latency objective.
enum class lateness
{
  kOnTime,
  kLate,    // within a small multiple of the objective, and still useful
  kTooLate, // too late to be useful, but the job is accepted and still runs
};

// Returns the lateness that is expected if all remaining steps of the first
// occurrence start without waiting and take their median times.
lateness
LatenessOf(const job& aJob, time_point aNow, const run_time_source& aRunTimes);

// The priority of a step among all steps that wait for capacity. The elements
// are compared in order; the lowest rank goes first, and false is lower than
// true. The elements are:
// 1. false for a long-running step that is not best-effort, else true;
// 2. true if the job is beyond its customer's rate, so that it delays none that
//    is within;
// 3. the lateness of the job; `kOnTime` for a long-running step;
// 4. the priority of the queue, of which 0 is the highest;
// 5. true if the job is too late and no task of it has started yet;
// 6. the virtual start time, in the fair order of the customers, of a job that
//    has not started; 0 for one that has, since it holds capacity already;
// 7. the deadline of the job's objective.
using rank = std::tuple<bool, bool, lateness, int, bool, double, time_point>;

// Returns the rank of one step of the job. Long-running steps count as on time;
// those that are not best-effort go before all other steps.
rank
RankOf(const job& aJob,
       std::size_t aStep,
       int aPriority,
       time_point aNow,
       const run_time_source& aRunTimes);

// Returns the length of the critical path through the occurrence's steps that
// are not done yet: the largest sum of median times along their dependencies.
std::chrono::milliseconds
RemainingCriticalPath(const job& aJob,
                      std::size_t aOccurrence,
                      const run_time_source& aRunTimes);

} // namespace mangospan::jobs

#endif // MANGOSPAN_JOBS_RANKING_H
