// The shares of the customers' caps that one pool has: decides whether its
// owner may start a task of a customer.
#ifndef MANGOSPAN_CUSTOMERS_POOL_QUOTA_H
#define MANGOSPAN_CUSTOMERS_POOL_QUOTA_H

#include <cstddef>
#include <cstdint>
#include <map>

#include "mangospan/customers/customer.h"
#include "mangospan/customers/quota.h"

namespace mangospan::customers {

// What tasks of each customer take.
using customer_resources = std::map<customer_name, resources>;

class pool_quota
{
public:
  // Sets the customers of a version of the configuration, and the number of
  // pools that share the caps.
  void SetCustomers(const std::map<customer_name, customer_policy>& aCustomers,
                    std::size_t aPools,
                    std::uint64_t aConfigVersion = 0);
  // Follows the instructions, unless newer ones were received before.
  void Apply(const quota_instructions& aInstructions);

  // Returns whether any customer has a cap.
  bool HasCaps() const { return !mCaps.empty(); }
  // Returns whether the customer has a cap.
  bool IsCapped(const customer_name& aCustomer) const;
  // Returns the customer's share in this pool.
  cap_part ShareOf(const customer_name& aCustomer) const;
  // Returns whether `aTasks` tasks that take `aNeed` together may start beside
  // what the customer uses in this pool. A single task may start if the
  // customer uses nothing and its share is more than half of the cap, however
  // large the task is: it would never start otherwise, and all other pools
  // together have less than half.
  bool MayStart(const customer_name& aCustomer,
                const resources& aNeed,
                const resources& aUsed,
                std::size_t aTasks = 1) const;

  quota_report Report(const customer_resources& aUsed,
                      const customer_resources& aWanted) const;

private:
  std::map<customer_name, resources> mCaps; // of customers that have one
  cap_part mGuaranteed = 0;
  std::uint64_t mConfigVersion = 0;
  quota_instructions mInstructions;
};

} // namespace mangospan::customers

#endif // MANGOSPAN_CUSTOMERS_POOL_QUOTA_H
