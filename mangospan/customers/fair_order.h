// The order in which the waiting jobs of customers get capacity: start-time
// fair queueing. Each customer's jobs get virtual start times that advance by
// the work of the job over the customer's weight, so that customers with work
// waiting get capacity in proportion to their weights. A customer that was idle
// starts at the present virtual time: it gains no credit by being idle.
#ifndef MANGOSPAN_CUSTOMERS_FAIR_ORDER_H
#define MANGOSPAN_CUSTOMERS_FAIR_ORDER_H

#include <map>

#include "mangospan/customers/customer.h"

namespace mangospan::customers {

class fair_order
{
public:
  void SetCustomers(const std::map<customer_name, customer_policy>& aCustomers);

  // Returns the virtual start time of the customer's next job, of this work in
  // units of the pool's choice. Jobs with a lower one go first.
  double Enqueue(const customer_name& aCustomer, double aWork);
  // Notes that a job with this virtual start time has got capacity.
  void OnServed(double aStart);

private:
  struct customer_queue
  {
    double mWeight = 0;
    double mLastFinish = 0;
  };

  double mVirtualTime = 0;
  std::map<customer_name, customer_queue> mQueues;
};

} // namespace mangospan::customers

#endif // MANGOSPAN_CUSTOMERS_FAIR_ORDER_H
