#include "mangospan/customers/fair_order.h"

#include <algorithm>

namespace mangospan::customers {

namespace {

// The weight of a customer that has none, so that it is not starved.
constexpr double kMinWeight = 0.1;

} // namespace

void
fair_order::SetCustomers(
  const std::map<customer_name, customer_policy>& aCustomers)
{
  std::map<customer_name, customer_queue> next;
  for (const auto& [customerName, policy] : aCustomers) {
    const auto known = mQueues.find(customerName);
    next[customerName] = { std::max(policy.mWeight, kMinWeight),
                           known == mQueues.end() ? 0
                                                  : known->second.mLastFinish };
  }
  mQueues = std::move(next);
}

double
fair_order::Enqueue(const customer_name& aCustomer, double aWork)
{
  const auto found = mQueues.find(aCustomer);
  if (found == mQueues.end()) {
    return mVirtualTime;
  }
  customer_queue& queue = found->second;
  const double start = std::max(mVirtualTime, queue.mLastFinish);
  queue.mLastFinish = start + aWork / queue.mWeight;
  return start;
}

void
fair_order::OnServed(double aStart)
{
  mVirtualTime = std::max(mVirtualTime, aStart);
}

} // namespace mangospan::customers
