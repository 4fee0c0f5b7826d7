// Decides whether a call may be served with the API key that it carries.
//
// A revoked key must not be served later than a bound after its revocation, by
// no process, also one that the operators' changes do not reach. So a key is
// accepted only by a configuration that was certainly the newest a short time
// ago: the configuration holds for a time like a lease, and each confirmation
// renews it. Pure: the caller passes the time.
#ifndef MANGOSPAN_CUSTOMERS_KEY_GATE_H
#define MANGOSPAN_CUSTOMERS_KEY_GATE_H

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string_view>

#include "mangospan/base/time.h"
#include "mangospan/customers/customer.h"
#include "mangospan/customers/key_registry.h"

namespace mangospan::customers {

struct key_gate_settings
{
  // A revoked key is refused everywhere once the revocation is this old.
  // Without it a key that was valid stays valid until the change arrives.
  std::optional<std::chrono::milliseconds> mRevocationBound;
  // A configuration that was confirmed longer ago may lack keys that were added
  // since, so it can not prove that a key is unknown.
  std::chrono::milliseconds mMaxAgeToDeny{ 2'200 };
};

// Whether a call may be served.
enum class key_verdict
{
  kAccepted,
  kMissingKey,         // the call needs a key and has none
  kUnknownKey,         // no customer has the key
  kStaleConfiguration, // it can not be told now; another process may know
};

// The verdict in one word, as logs and metrics spell it.
const char*
Name(key_verdict aVerdict);

struct key_check
{
  key_verdict mVerdict = key_verdict::kStaleConfiguration;
  customer_name mCustomer; // set if the call is accepted by its key
};

class key_gate
{
public:
  // `aSeed`: see `key_registry`.
  key_gate(key_gate_settings aSettings, std::size_t aSeed);

  // Replaces the customers and their keys.
  void SetCustomers(const std::map<customer_name, customer_policy>& aCustomers);

  // Checks the key of a call that needs one. `aConfirmedAt` is a time at which
  // the configuration was certainly the newest; nullopt if it never was.
  key_check Check(std::string_view aKey,
                  std::optional<time_point> aConfirmedAt,
                  time_point aNow) const;

  // Returns whether keys can be accepted at `aNow`.
  bool CanAcceptKeys(std::optional<time_point> aConfirmedAt,
                     time_point aNow) const;

private:
  const key_gate_settings mSettings;
  key_registry mKeys;
};

} // namespace mangospan::customers

#endif // MANGOSPAN_CUSTOMERS_KEY_GATE_H
