// A customer as the operators have configured it.
#ifndef MANGOSPAN_CUSTOMERS_CUSTOMER_H
#define MANGOSPAN_CUSTOMERS_CUSTOMER_H

#include <string>
#include <vector>

#include "mangospan/base/identity.h"
#include "mangospan/base/resources.h"

namespace mangospan::customers {

// The keys, the rate and the quota of one customer.
struct customer_policy
{
  customer_name mName;
  std::vector<std::string> mApiKeys; // any of them identifies the customer
  int mPriority = 0;
  // The jobs per second that the customer is entitled to, and its share of a
  // pool that is full, in proportion to the weights of the others.
  double mWeight = 0;
  // What the customer's tasks may reserve at the same time, on the runners of
  // all services together. An amount of 0 is not limited.
  resources mCap;
};

} // namespace mangospan::customers

#endif // MANGOSPAN_CUSTOMERS_CUSTOMER_H
