#include "mangospan/customers/admission.h"

#include <algorithm>

namespace mangospan::customers {

namespace {

using std::chrono::seconds;

// Refused callers return within this time however long the backlog is, since
// work that waits for longer is of no use to them.
constexpr seconds kMaxRetryAfter{ 5 };
// The fractional parts of the multiples of this number are spread evenly,
// however many there are.
constexpr double kInverseGoldenRatio = 0.6180339887498949;

} // namespace

admission::admission(rate_settings aSettings)
  : mRates(aSettings)
{
}

void
admission::SetCustomers(
  const std::map<customer_name, customer_policy>& aCustomers)
{
  mRates.SetCustomers(aCustomers);
}

// Spreads the callers over the time that the waiting work takes, from one
// second on, so that they do not return all at once.
seconds
admission::RetryAfter(const pool_backlog& aBacklog)
{
  const double drained = aBacklog.mCapacity > 0
                           ? aBacklog.mWaiting / aBacklog.mCapacity
                           : static_cast<double>(kMaxRetryAfter.count());
  const double spread =
    std::min(drained, static_cast<double>(kMaxRetryAfter.count() - 1));
  mPosition += kInverseGoldenRatio;
  mPosition -= mPosition >= 1 ? 1 : 0;
  return seconds(1) +
         seconds(static_cast<std::int64_t>(mPosition * (1 + spread)));
}

admission_verdict
admission::Decide(const customer_name& aCustomer,
                  bool aIsFull,
                  time_point aNow,
                  const std::function<pool_backlog()>& aBacklog)
{
  admission_verdict out;
  if (aCustomer.Empty()) {
    return out;
  }
  if (mRates.IsWithinRate(aCustomer, aNow)) {
    mRates.Count(aCustomer, aNow);
    return out;
  }
  out.mIsExcess = true;
  if (aIsFull) {
    out.mIsRefused = true;
    out.mRetryAfter = RetryAfter(aBacklog());
  }
  return out;
}

} // namespace mangospan::customers
