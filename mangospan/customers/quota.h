// The messages by which the caps of customers are divided among the pools.
//
// A cap limits what a customer has running in all pools together, while each
// pool's owner decides alone what it starts. So each pool has a share of each
// cap, as a part of it: a change of the cap takes effect with the
// configuration, and the shares stay.
#ifndef MANGOSPAN_CUSTOMERS_QUOTA_H
#define MANGOSPAN_CUSTOMERS_QUOTA_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <tuple>

#include "mangospan/base/identity.h"

namespace mangospan::customers {

// A part of a cap, in 1/10,000. What is used may be more than the whole.
using cap_part = std::uint32_t;
inline constexpr cap_part kWholeCap = 10'000;

// Returns the part that each of `aPools` pools has at any time, also while
// nobody has told its owner of a share. It is never given to another pool.
cap_part
GuaranteedPart(std::size_t aPools);

// Orders the instructions of all allocators.
struct quota_version
{
  std::uint64_t mFleetTerm = 0; // of the fleet's owner, which allocates
  std::uint64_t mSequence = 0;  // of the instructions in that term

  friend bool operator<(const quota_version& aLeft, const quota_version& aRight)
  {
    return std::tie(aLeft.mFleetTerm, aLeft.mSequence) <
           std::tie(aRight.mFleetTerm, aRight.mSequence);
  }
};

// The shares that a pool has from now on. A customer that is not named has the
// guaranteed part.
struct quota_instructions
{
  quota_version mVersion;
  std::map<customer_name, cap_part> mShares;
};

// One customer in one pool. All three are parts of the customer's cap; of CPU,
// memory and GPUs the largest part counts.
struct quota_usage
{
  cap_part mShare = 0;
  cap_part mUsed = 0;   // by everything that may be running
  cap_part mWanted = 0; // by that and by the tasks that wait
};

// The customers that use, want or hold more than the guaranteed part.
struct quota_report
{
  quota_version mApplied; // the instructions that the pool follows
  // The version of the configuration by which the parts are computed; 0 if it
  // has no caps.
  std::uint64_t mConfigVersion = 0;
  std::map<customer_name, quota_usage> mUsage;
};

} // namespace mangospan::customers

#endif // MANGOSPAN_CUSTOMERS_QUOTA_H
