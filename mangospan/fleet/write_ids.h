// Generates unique ids for the store writes of one run of a process.
//
//   write_ids ids(self.mBoot);
//   record.mWrite = ids.Next();
#ifndef MANGOSPAN_FLEET_WRITE_IDS_H
#define MANGOSPAN_FLEET_WRITE_IDS_H

#include <cstdint>

#include "mangospan/base/identity.h"

namespace mangospan::fleet {

// A sequence of write ids. The boot id makes them unique across the runs of the
// process.
class write_ids
{
public:
  explicit write_ids(boot_id aBoot)
    : mBoot(aBoot)
  {
  }

  // Returns a write id that this run has not used before.
  write_id Next() { return { mBoot, ++mLast }; }

private:
  boot_id mBoot;
  std::uint64_t mLast = 0;
};

} // namespace mangospan::fleet

#endif // MANGOSPAN_FLEET_WRITE_IDS_H
