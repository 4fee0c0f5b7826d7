// What the jobs that come in will occupy together once as many end as come.
// Answers the first seconds of a peak that rises for as long as a host takes to
// come from another pool: hosts that are sent for what waits, or for what comes
// now, are always those that were needed two seconds ago.
#ifndef MANGOSPAN_JOBS_ARRIVALS_H
#define MANGOSPAN_JOBS_ARRIVALS_H

#include <chrono>
#include <deque>

#include "mangospan/base/time.h"
#include "mangospan/jobs/spec.h"

namespace mangospan::jobs {

class arrivals
{
public:
  // A job was handed in. Lasting and filling steps do not count: they occupy
  // what they occupy.
  void Add(const job_spec& aSpec, time_point aNow);

  // By the last moments before `aNow`, less what chance may have added: few
  // large jobs tell little about those to come. If more came in them than in
  // the moments before, the growth is taken to go on for `aAhead`.
  resources Expected(time_point aNow, std::chrono::milliseconds aAhead);

private:
  struct arrival
  {
    time_point mAt{};
    double mCpu = 0;    // thousandths of a core, times seconds
    double mMemory = 0; // megabytes, times seconds
  };

  struct total
  {
    double mCpu = 0;
    double mMemory = 0;
    double mCpuSquares = 0;
  };

  total Sum(time_point aFrom, time_point aTo) const;

  std::deque<arrival> mRecent;
};

} // namespace mangospan::jobs

#endif // MANGOSPAN_JOBS_ARRIVALS_H
