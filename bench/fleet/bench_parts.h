// The parts of the fleet benchmark. Each prints one table.
#ifndef MANGOSPAN_BENCH_FLEET_BENCH_PARTS_H
#define MANGOSPAN_BENCH_FLEET_BENCH_PARTS_H

#include <cstdint>

namespace mangospan::bench {

// Buffer cost, late share and moves on peaks in turn, against fixed sizes and
// against following the mean.
void
BenchSizing(std::uint64_t aSeed);

// Time of a maintenance wave against the bound that the budget alone gives.
void
BenchRollOut(std::uint64_t aSeed);

// Store calls, bytes and processor time of a zone's controller by size.
void
BenchLoad(std::uint64_t aSeed);

// Time from an accepted configuration until every entry has it.
void
BenchConfiguration(std::uint64_t aSeed);

// Messages and time to spread a revision over zones: ring, mesh, platform.
void
BenchSpread(std::uint64_t aSeed);

} // namespace mangospan::bench

#endif // MANGOSPAN_BENCH_FLEET_BENCH_PARTS_H
