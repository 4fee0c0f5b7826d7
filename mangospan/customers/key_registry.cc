#include "mangospan/customers/key_registry.h"

#include <boost/container_hash/hash.hpp>

namespace mangospan::customers {

namespace {

// Returns whether the texts are equal, in a time that depends on their lengths
// only.
bool
EqualInConstantTime(std::string_view aLeft, std::string_view aRight)
{
  if (aLeft.size() != aRight.size()) {
    return false;
  }
  volatile unsigned char difference = 0;
  for (std::size_t i = 0; i < aLeft.size(); ++i) {
    difference = static_cast<unsigned char>(
      difference | static_cast<unsigned char>(aLeft[i] ^ aRight[i]));
  }
  return difference == 0;
}

} // namespace

key_registry::key_registry(std::size_t aSeed)
  : mSeed(aSeed)
{
}

std::size_t
key_registry::Hash(std::string_view aKey) const
{
  std::size_t hash = mSeed;
  boost::hash_range(hash, aKey.begin(), aKey.end());
  return hash;
}

void
key_registry::SetCustomers(
  const std::map<customer_name, customer_policy>& aCustomers)
{
  mKeys.clear();
  for (const auto& [customerName, each] : aCustomers) {
    for (const std::string& key : each.mApiKeys) {
      if (key.empty()) {
        continue; // a call without a key has no customer
      }
      mKeys.emplace(Hash(key), registered_key{ key, customerName });
    }
  }
}

const customer_name*
key_registry::Find(std::string_view aKey) const
{
  const auto [begin, end] = mKeys.equal_range(Hash(aKey));
  for (auto it = begin; it != end; ++it) {
    if (EqualInConstantTime(it->second.mKey, aKey)) {
      return &it->second.mCustomer;
    }
  }
  return nullptr;
}

} // namespace mangospan::customers
