#include "mangospan/customers/rate_meter.h"

#include <cmath>

namespace mangospan::customers {

rate_meter::rate_meter(rate_settings aSettings)
  : mSettings(aSettings)
{
}

void
rate_meter::SetCustomers(
  const std::map<customer_name, customer_policy>& aCustomers)
{
  const double window =
    std::chrono::duration<double>(mSettings.mWindow).count();
  std::map<customer_name, meter> next;
  for (const auto& [customerName, policy] : aCustomers) {
    meter& added = next[customerName];
    added.mLimit =
      static_cast<std::size_t>(std::ceil(policy.mWeight * window)) +
      mSettings.mSlack;
    const auto known = mMeters.find(customerName);
    if (known != mMeters.end()) {
      added.mTimes = std::move(known->second.mTimes);
    }
  }
  mMeters = std::move(next);
}

bool
rate_meter::IsWithinRate(const customer_name& aCustomer, time_point aNow)
{
  const auto found = mMeters.find(aCustomer);
  if (found == mMeters.end()) {
    return true;
  }
  auto& times = found->second.mTimes;
  while (!times.empty() && aNow - times.front() >= mSettings.mWindow) {
    times.pop_front();
  }
  return times.size() < found->second.mLimit;
}

void
rate_meter::Count(const customer_name& aCustomer, time_point aNow)
{
  const auto found = mMeters.find(aCustomer);
  if (found != mMeters.end()) {
    found->second.mTimes.push_back(aNow);
  }
}

} // namespace mangospan::customers
