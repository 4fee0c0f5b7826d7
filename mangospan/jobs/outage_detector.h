// Tells a runner that crashes by itself from the outage of a rack, which takes
// most of its runners at once.
//
//   detector.Add({ now, name, rack });
//   if (detector.IsOutage({ ... }, answering)) { ... no task is to blame ... }
#ifndef MANGOSPAN_JOBS_OUTAGE_DETECTOR_H
#define MANGOSPAN_JOBS_OUTAGE_DETECTOR_H

#include <cstddef>
#include <deque>

#include "mangospan/base/identity.h"
#include "mangospan/base/time.h"
#include "mangospan/jobs/orders.h"

namespace mangospan::jobs {

// A runner that has stopped to answer.
struct runner_silence
{
  time_point mSince{};
  runner_name mRunner;
  rack_name mRack; // Empty if it is unknown.
};

class outage_detector
{
public:
  void Add(runner_silence aSilence);

  // Returns whether the runner fell silent together with at least half of its
  // rack, of which `aAnswering` runners answer.
  bool IsOutage(const runner_silence& aSilence, std::size_t aAnswering) const;

private:
  std::deque<runner_silence> mSilences; // oldest first
};

} // namespace mangospan::jobs

#endif // MANGOSPAN_JOBS_OUTAGE_DETECTOR_H
