// The wall clock, for times that are stored and outlive a process. Only the
// node reads it; the scheduler gets the time as an argument.
#ifndef MANGOSPAN_NODE_WALL_CLOCK_H
#define MANGOSPAN_NODE_WALL_CLOCK_H

#include "mangospan/jobs/spec.h"

namespace mangospan::node {

// Returns the present wall time.
inline jobs::wall_time
WallNow()
{
  return std::chrono::system_clock::now();
}

} // namespace mangospan::node

#endif // MANGOSPAN_NODE_WALL_CLOCK_H
