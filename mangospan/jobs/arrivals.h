// What the jobs that now come in will occupy together once as many end as come.
// Answers the first seconds of a peak: what waits grows for as long as a job
// takes, while a host takes longer still to come from another pool.
#ifndef MANGOSPAN_JOBS_ARRIVALS_H
#define MANGOSPAN_JOBS_ARRIVALS_H

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
  // large jobs tell little about those to come.
  resources Level(time_point aNow);

private:
  struct arrival
  {
    time_point mAt{};
    double mCpu = 0;    // thousandths of a core, times seconds
    double mMemory = 0; // megabytes, times seconds
  };

  std::deque<arrival> mRecent;
};

} // namespace mangospan::jobs

#endif // MANGOSPAN_JOBS_ARRIVALS_H
