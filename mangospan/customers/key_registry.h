// Finds the customer that an API key belongs to.
//
// A caller learns nothing of a key from the time that a look-up takes: keys are
// found by a hash with a seed of this process, and compared in constant time.
#ifndef MANGOSPAN_CUSTOMERS_KEY_REGISTRY_H
#define MANGOSPAN_CUSTOMERS_KEY_REGISTRY_H

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

#include "mangospan/customers/customer.h"

namespace mangospan::customers {

// The keys of all customers of one configuration.
class key_registry
{
public:
  // `aSeed` should be drawn at random once for each process.
  explicit key_registry(std::size_t aSeed);

  // Replaces all keys by those of these customers.
  void SetCustomers(const std::map<customer_name, customer_policy>& aCustomers);
  // Returns the customer that has the key, or null if none has. The pointer is
  // valid until the next call of `SetCustomers()`.
  const customer_name* Find(std::string_view aKey) const;
  // Returns the number of keys.
  std::size_t Size() const { return mKeys.size(); }

private:
  struct registered_key
  {
    std::string mKey;
    customer_name mCustomer;
  };

  std::size_t Hash(std::string_view aKey) const;

  const std::size_t mSeed;
  std::unordered_multimap<std::size_t, registered_key> mKeys; // by `Hash()`
};

} // namespace mangospan::customers

#endif // MANGOSPAN_CUSTOMERS_KEY_REGISTRY_H
