#include "mangospan/base/identity.h"

#include <cstdint>
#include <random>

namespace mangospan {

boot_id
DrawBootId()
{
  // A pseudo-random generator seeded by time would repeat across hosts that
  // start together; the system's entropy source does not.
  std::random_device device;
  constexpr std::uint64_t kMaxExactJsonInteger = (1ULL << 53U) - 1;
  std::uniform_int_distribution<std::uint64_t> draw(1, kMaxExactJsonInteger);
  return boot_id{ draw(device) };
}

} // namespace mangospan
