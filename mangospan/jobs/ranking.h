// The order in which jobs get room. Answers a queue that asks for several times
// what its pool does: work that can still meet its objective goes first, then
// work that is late but still of use, then the rest. Among late jobs those that
// have begun go first, so that wide ones are not overtaken without end.
#ifndef MANGOSPAN_JOBS_RANKING_H
#define MANGOSPAN_JOBS_RANKING_H

#include <tuple>

#include "mangospan/base/time.h"
#include "mangospan/jobs/job.h"

namespace mangospan::jobs {

// What a job can still reach.
enum class prospect
{
  kOnTime,
  kLate,    // within a few times its objective
  kTooLate, // of use to nobody, but accepted
};

prospect
ProspectOf(const job& aJob, time_point aNow);

// Compared in order; the lowest goes first.
using rank = std::tuple<bool, prospect, int, bool, time_point>;

// The rank of one step of the job.
rank
RankOf(const job& aJob, std::size_t aStep, int aPriority, time_point aNow);

// The longest chain of estimates through the steps that are not done yet.
std::chrono::milliseconds
RemainingChain(const job& aJob, std::size_t aOccurrence);

} // namespace mangospan::jobs

#endif // MANGOSPAN_JOBS_RANKING_H
