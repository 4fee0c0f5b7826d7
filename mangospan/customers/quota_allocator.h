// Divides the customers' caps among the pools, by what each pool needs.
//
// The sum of what the pools hold of a cap is never more than the cap. A pool
// holds its share, also one that it was told of and has not confirmed, or what
// it uses if that is more. So a share grows only by what is certainly free, and
// what another pool needs is taken from a share first and given on once the
// pool has confirmed that and its tasks have ended.
//
// The allocator keeps nothing: a new one asks all pools for what they hold, and
// until all have answered no share grows. Pure; does no I/O.
#ifndef MANGOSPAN_CUSTOMERS_QUOTA_ALLOCATOR_H
#define MANGOSPAN_CUSTOMERS_QUOTA_ALLOCATOR_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "mangospan/base/identity.h"
#include "mangospan/customers/quota.h"

namespace mangospan::customers {

class quota_allocator
{
public:
  // `aFleetTerm` is the term of the fleet's owner, on whose behalf this object
  // allocates. One of a higher term replaces it.
  explicit quota_allocator(std::uint64_t aFleetTerm);

  // Adds pools whose owners may start tasks of customers, and sets the number
  // of pools that have a guaranteed part.
  void SetPools(const std::vector<service_name>& aPools, std::size_t aSharing);

  // Sets the version of the configuration that has changed caps last. A pool
  // that reports by an older one counts as one that has not reported: it may
  // start any amount by the former caps.
  void SetCapsVersion(std::uint64_t aConfigVersion);

  // Returns the instructions for the pool if its shares have to change.
  std::optional<quota_instructions> Instruct(const service_name& aPool);
  // Notes what the pool has reported, after it has followed the instructions
  // that it names.
  void OnReport(const service_name& aPool, const quota_report& aReport);

private:
  struct pool
  {
    bool mHasReported = false;        // to this allocator
    std::uint64_t mConfigVersion = 0; // of its last report
    std::map<customer_name, quota_usage> mUsage;
    // The largest shares that it was told of and has not confirmed, and the
    // sequence number of the last of these instructions.
    std::map<customer_name, cap_part> mUnconfirmed;
    std::uint64_t mLastSequence = 0;
  };

  // Sums over all known pools, beyond the guaranteed parts.
  struct total
  {
    std::uint64_t mHeld = 0;
    std::uint64_t mWanted = 0;
  };

  bool IsKnown(const pool& aPool) const;
  cap_part HeldBy(const pool& aPool, const customer_name& aCustomer) const;
  cap_part WantedBy(const pool& aPool, const customer_name& aCustomer) const;
  cap_part FreeFor(const pool& aPool, const customer_name& aCustomer) const;
  cap_part FairShare(const pool& aPool, const customer_name& aCustomer) const;
  void AddToTotals(const pool& aPool);
  void SubtractFromTotals(const pool& aPool);

  const std::uint64_t mFleetTerm;
  std::uint64_t mSequence = 0;
  cap_part mGuaranteed = 0;
  std::map<service_name, pool> mPools;
  std::uint64_t mCapsVersion = 0;
  bool mAreAllKnown = false; // the pools, at the last instructions
  // Kept along, so that the cost of one pool does not grow with their number.
  std::map<customer_name, total> mTotals;
};

} // namespace mangospan::customers

#endif // MANGOSPAN_CUSTOMERS_QUOTA_ALLOCATOR_H
