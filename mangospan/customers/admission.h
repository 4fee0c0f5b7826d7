// Decides which new jobs of customers are taken while a pool is full.
//
// Customers compete for too little capacity when one of them sends several
// times what it is entitled to. Its excess jobs would delay those of all
// others. So excess jobs are taken only while the pool has room, and refused at
// once otherwise. Pure: the caller passes the time.
#ifndef MANGOSPAN_CUSTOMERS_ADMISSION_H
#define MANGOSPAN_CUSTOMERS_ADMISSION_H

#include <chrono>
#include <functional>
#include <map>

#include "mangospan/base/time.h"
#include "mangospan/customers/customer.h"
#include "mangospan/customers/rate_meter.h"

namespace mangospan::customers {

// The work of a pool's jobs, and what serves it.
struct pool_backlog
{
  double mWaiting = 0;  // work of tasks that wait, in core-seconds
  double mCapacity = 0; // cores of the pool's runners
};

struct admission_verdict
{
  bool mIsRefused = false;
  bool mIsExcess = false; // the job is beyond its customer's rate
  std::chrono::seconds mRetryAfter{ 0 }; // set if it is refused
};

class admission
{
public:
  explicit admission(rate_settings aSettings);

  void SetCustomers(const std::map<customer_name, customer_policy>& aCustomers);

  // Decides about a new job, and counts it if it is within its customer's rate.
  // `aIsFull` says whether its tasks would wait. `aBacklog` is called only if
  // the job is refused. Jobs without a customer are always taken.
  admission_verdict Decide(const customer_name& aCustomer,
                           bool aIsFull,
                           time_point aNow,
                           const std::function<pool_backlog()>& aBacklog);

private:
  std::chrono::seconds RetryAfter(const pool_backlog& aBacklog);

  rate_meter mRates;
  double mPosition = 0; // of the last refused caller in the spread, 0 to 1
};

} // namespace mangospan::customers

#endif // MANGOSPAN_CUSTOMERS_ADMISSION_H
