#include <cstdint>
#include <cstdlib>
#include <iostream>

#include "bench/fleet/bench_parts.h"

// Usage: bench_fleet [SEED]
int
main(int aCount, char** aArguments)
{
  const std::uint64_t seed =
    aCount > 1 ? std::strtoull(aArguments[1], nullptr, 10) : 1;
  std::cout << "bench_fleet seed=" << seed << "\n";
  mangospan::bench::BenchSizing(seed);
  mangospan::bench::BenchRollOut(seed);
  mangospan::bench::BenchConfiguration(seed);
  mangospan::bench::BenchLoad(seed);
  mangospan::bench::BenchSpread(seed);
  return 0;
}
