#include "mangospan/customers/key_gate.h"

namespace mangospan::customers {

namespace {

using std::chrono::milliseconds;

// The part of the revocation bound, in percent, for which a configuration holds
// after it was confirmed. The rest is for a store that reports a change late,
// and for a clock that runs slow.
constexpr int kValidPercent = 60;

} // namespace

const char*
Name(key_verdict aVerdict)
{
  switch (aVerdict) {
    case key_verdict::kAccepted:
      return "accepted";
    case key_verdict::kMissingKey:
      return "missing_key";
    case key_verdict::kUnknownKey:
      return "unknown_key";
    case key_verdict::kStaleConfiguration:
      return "stale_configuration";
  }
  return "";
}

key_gate::key_gate(key_gate_settings aSettings, std::size_t aSeed)
  : mSettings(aSettings)
  , mKeys(aSeed)
{
}

void
key_gate::SetCustomers(
  const std::map<customer_name, customer_policy>& aCustomers)
{
  mKeys.SetCustomers(aCustomers);
}

bool
key_gate::CanAcceptKeys(std::optional<time_point> aConfirmedAt,
                        time_point aNow) const
{
  if (!aConfirmedAt) {
    return false;
  }
  return !mSettings.mRevocationBound ||
         aNow - *aConfirmedAt <
           *mSettings.mRevocationBound * kValidPercent / 100;
}

key_check
key_gate::Check(std::string_view aKey,
                std::optional<time_point> aConfirmedAt,
                time_point aNow) const
{
  if (!CanAcceptKeys(aConfirmedAt, aNow)) {
    return {};
  }
  const customer_name* const customer = mKeys.Find(aKey);
  if (customer != nullptr) {
    return { key_verdict::kAccepted, *customer };
  }
  if (aNow - *aConfirmedAt >= mSettings.mMaxAgeToDeny) {
    return {};
  }
  return { aKey.empty() ? key_verdict::kMissingKey : key_verdict::kUnknownKey,
           {} };
}

} // namespace mangospan::customers
