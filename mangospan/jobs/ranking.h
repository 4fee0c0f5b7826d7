// The order in which jobs get room. Answers a queue that asks for several times
// what its pool does: work that can still meet its objective goes first, work
// that can not goes last, since it is worth the same however late it ends.
#ifndef MANGOSPAN_JOBS_RANKING_H
#define MANGOSPAN_JOBS_RANKING_H

#include <tuple>

#include "mangospan/base/time.h"
#include "mangospan/jobs/job.h"

namespace mangospan::jobs {

// Compared in order; the lowest goes first.
using rank = std::tuple<bool, bool, int, time_point>;

// The rank of one step of the job.
rank
RankOf(const job& aJob,
       std::size_t aStep,
       int aPriority,
       time_point aNow);

// The longest chain of estimates through the steps that are not done yet.
std::chrono::milliseconds
RemainingChain(const job& aJob, std::size_t aOccurrence);

} // namespace mangospan::jobs

#endif // MANGOSPAN_JOBS_RANKING_H
