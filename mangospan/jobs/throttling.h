// Throttling of best-effort tasks: the CPU limit of the best-effort tasks on a
// runner.
//
// The latency of a latency-sensitive task rises when best-effort tasks on the
// same runner use the CPU without a limit.
#ifndef MANGOSPAN_JOBS_THROTTLING_H
#define MANGOSPAN_JOBS_THROTTLING_H

#include "mangospan/jobs/runner.h"

namespace mangospan::jobs {

// Returns the next CPU limit of every best-effort task on the runner, in
// percent. It depends on the current limit and on the tail latencies that the
// latency-sensitive tasks reported last. The limit can fall to 0 in one call
// and rises by one step per call, so call this once for each new set of
// latencies.
int
NextBestEffortCpuLimit(const runner& aRunner);

// Returns true if the runner has both latency-sensitive and best-effort tasks.
bool
HasMixedTasks(const runner& aRunner);

} // namespace mangospan::jobs

#endif // MANGOSPAN_JOBS_THROTTLING_H
