// Tells which jobs of a customer are within the rate that it is entitled to.
#ifndef MANGOSPAN_CUSTOMERS_RATE_METER_H
#define MANGOSPAN_CUSTOMERS_RATE_METER_H

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>

#include "mangospan/base/time.h"
#include "mangospan/customers/customer.h"

namespace mangospan::customers {

struct rate_settings
{
  // In any span of this length a customer may submit as many jobs as its weight
  // gives for the span, and `mSlack` more.
  std::chrono::milliseconds mWindow{ 5'000 };
  std::size_t mSlack = 20;
};

// Counts the jobs of each customer over a sliding window. Only jobs within the
// rate count, so a customer that sends far too many still gets its rate.
class rate_meter
{
public:
  explicit rate_meter(rate_settings aSettings);

  void SetCustomers(const std::map<customer_name, customer_policy>& aCustomers);

  // Returns whether a job of the customer at `aNow` is within its rate.
  bool IsWithinRate(const customer_name& aCustomer, time_point aNow);
  // Counts such a job.
  void Count(const customer_name& aCustomer, time_point aNow);

private:
  struct meter
  {
    std::size_t mLimit = 0;        // of jobs in one window
    std::deque<time_point> mTimes; // of the jobs in the last window
  };

  const rate_settings mSettings;
  std::map<customer_name, meter> mMeters;
};

} // namespace mangospan::customers

#endif // MANGOSPAN_CUSTOMERS_RATE_METER_H
