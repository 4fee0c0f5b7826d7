#include "mangospan/customers/fair_order.h"

#include <map>
#include <set>
#include <utility>

#include <gtest/gtest.h>

namespace mangospan::customers {
namespace {

const customer_name kSmall{ "small" };
const customer_name kLarge{ "large" };
const customer_name kNone{ "none" };

// A pool that serves one job at a time, in the fair order.
class fair_queue
{
public:
  explicit fair_queue(const std::map<customer_name, double>& aWeights)
  {
    std::map<customer_name, customer_policy> customers;
    for (const auto& [customer, weight] : aWeights) {
      customers[customer].mWeight = weight;
    }
    mOrder.SetCustomers(customers);
  }

  void Add(const customer_name& aCustomer, double aWork, int aJobs)
  {
    for (int i = 0; i < aJobs; ++i) {
      mWaiting.insert(
        { mOrder.Enqueue(aCustomer, aWork), { aCustomer, aWork } });
    }
  }
  // Serves this many jobs, and returns the work done for each customer.
  std::map<customer_name, double> Serve(int aJobs)
  {
    std::map<customer_name, double> out;
    for (int i = 0; i < aJobs && !mWaiting.empty(); ++i) {
      const auto [start, served] = *mWaiting.begin();
      mWaiting.erase(mWaiting.begin());
      mOrder.OnServed(start);
      out[served.first] += served.second;
    }
    return out;
  }

private:
  fair_order mOrder;
  std::multimap<double, std::pair<customer_name, double>> mWaiting;
};

// Guards against capacity that is divided by the number of jobs, or by who was
// first, and not by the weights.
TEST(fair_order_test, CapacityFollowsTheWeightsUnderSaturation)
{
  fair_queue queue({ { kSmall, 1 }, { kLarge, 5 } });
  queue.Add(kSmall, 3, 2'000); // larger jobs give no larger share
  queue.Add(kLarge, 1, 2'000);
  auto served = queue.Serve(1'600);
  EXPECT_NEAR(served[kLarge] / served[kSmall], 5, 0.1);
}

// Guards against a customer that waits for ever: one without a weight, and one
// that comes to a long queue of another.
TEST(fair_order_test, NobodyStarves)
{
  fair_queue queue({ { kSmall, 1 }, { kLarge, 100 }, { kNone, 0 } });
  queue.Add(kLarge, 1, 100'000);
  queue.Serve(5'000);
  queue.Add(kSmall, 1, 10);
  queue.Add(kNone, 1, 2);
  auto served = queue.Serve(2'500);
  EXPECT_GE(served[kSmall], 10);
  EXPECT_GE(served[kNone], 2);
}

// Guards against a burst that takes all capacity since its customer was idle.
TEST(fair_order_test, IdleTimeGivesNoCredit)
{
  fair_queue queue({ { kSmall, 1 }, { kLarge, 1 } });
  queue.Add(kLarge, 1, 2'000);
  queue.Serve(1'000);
  queue.Add(kSmall, 1, 500);
  auto served = queue.Serve(100);
  EXPECT_NEAR(served[kSmall], 50, 1);
  EXPECT_NEAR(served[kLarge], 50, 1);
}

// Guards against capacity that is kept from the only customer with work, and
// against a debt for the capacity that nobody else wanted.
TEST(fair_order_test, UnusedCapacityIsFreeOfCharge)
{
  fair_queue queue({ { kSmall, 1 }, { kLarge, 1 } });
  queue.Add(kSmall, 1, 1'000);
  EXPECT_EQ(queue.Serve(1'000)[kSmall], 1'000);
  queue.Add(kSmall, 1, 100);
  queue.Add(kLarge, 1, 100);
  auto served = queue.Serve(100);
  EXPECT_NEAR(served[kSmall], 50, 1);
}

} // namespace
} // namespace mangospan::customers
