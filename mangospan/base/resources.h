// Amounts of processor time, memory and accelerators.
#ifndef MANGOSPAN_BASE_RESOURCES_H
#define MANGOSPAN_BASE_RESOURCES_H

#include <cstdint>

namespace mangospan {

// An amount of capacity: of a whole runner, of what is free, of what a task
// takes, or of what a customer may have in use.
struct resources
{
  std::int64_t mCpu = 0;      // Thousandths of a core.
  std::int64_t mMemoryMb = 0; // MiB.
  std::int64_t mGpus = 0;

  // Returns whether no amount is above the same amount of `aFree`.
  bool FitsIn(const resources& aFree) const;
  resources& operator+=(const resources& aOther);
  resources& operator-=(const resources& aOther);
};

} // namespace mangospan

#endif // MANGOSPAN_BASE_RESOURCES_H
