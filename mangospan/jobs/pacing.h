// How much processor time the fillers of a runner may use. Answers a serving
// task whose callers' latency rises when fillers beside it work at full speed.
#ifndef MANGOSPAN_JOBS_PACING_H
#define MANGOSPAN_JOBS_PACING_H

#include "mangospan/jobs/runner.h"

namespace mangospan::jobs {

// The share in percent that every filler on the runner gets from now on, given
// the serving tasks' latest figures and the share so far. Falls at once, rises
// by one step a call: call it once for each new set of figures.
int
NextFillerShare(const runner& aRunner);

// Whether the runner has both serving tasks and fillers.
bool
IsShared(const runner& aRunner);

} // namespace mangospan::jobs

#endif // MANGOSPAN_JOBS_PACING_H
