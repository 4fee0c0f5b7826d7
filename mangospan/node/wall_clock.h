// The time of day, for what outlives a process. Decisions are passed it.
#ifndef MANGOSPAN_NODE_WALL_CLOCK_H
#define MANGOSPAN_NODE_WALL_CLOCK_H

#include "mangospan/jobs/spec.h"

namespace mangospan::node {

inline jobs::wall_time
WallNow()
{
  return std::chrono::system_clock::now();
}

} // namespace mangospan::node

#endif // MANGOSPAN_NODE_WALL_CLOCK_H
