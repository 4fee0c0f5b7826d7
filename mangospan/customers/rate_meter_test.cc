#include "mangospan/customers/rate_meter.h"

#include <random>

#include <gtest/gtest.h>

namespace mangospan::customers {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const customer_name kRinks{ "rinks" };
constexpr time_point kStart{ std::chrono::hours(1) };

std::map<customer_name, customer_policy>
RinksWithWeight(double aWeight)
{
  customer_policy policy;
  policy.mName = kRinks;
  policy.mWeight = aWeight;
  return { { kRinks, policy } };
}

// Counts as many jobs at `aAt` as are within the rate.
int
CountAll(rate_meter& aMeter, time_point aAt)
{
  int out = 0;
  while (aMeter.IsWithinRate(kRinks, aAt)) {
    aMeter.Count(kRinks, aAt);
    ++out;
  }
  return out;
}

// Guards against a limit that is too small, or that is not freed with time.
TEST(rate_meter_test, WindowAdmitsWeightAndSlack)
{
  rate_meter meter({ seconds(5), 3 });
  meter.SetCustomers(RinksWithWeight(1.9));
  EXPECT_EQ(CountAll(meter, kStart), 13); // 9.5 rounded up, and 3
  EXPECT_EQ(CountAll(meter, kStart + milliseconds(4'999)), 0);
  EXPECT_EQ(CountAll(meter, kStart + seconds(5)), 13);
}

// Guards against a refused job that uses up the rate: a customer that sends far
// too many would then be owed nothing.
TEST(rate_meter_test, JobsThatAreNotCountedCostNothing)
{
  rate_meter meter({ seconds(5), 1 });
  meter.SetCustomers(RinksWithWeight(0.2));
  EXPECT_EQ(CountAll(meter, kStart), 2);
  for (int i = 0; i < 1'000; ++i) {
    EXPECT_FALSE(meter.IsWithinRate(kRinks, kStart + milliseconds(i * 4)));
  }
  EXPECT_EQ(CountAll(meter, kStart + seconds(5)), 2);
}

// Guards against a customer within its rate whose jobs count as excess when
// they come in bursts.
TEST(rate_meter_test, CustomerThatKeepsEveryWindowIsAlwaysWithinItsRate)
{
  constexpr std::size_t kLimit = 40; // 4 per second for 5 s, and 20
  for (unsigned seed = 0; seed < 50; ++seed) {
    std::mt19937 random(seed);
    rate_meter meter({ seconds(5), 20 });
    meter.SetCustomers(RinksWithWeight(4));
    std::deque<time_point> sent;
    for (time_point now = kStart; now < kStart + seconds(60);
         now += milliseconds(10)) {
      while (!sent.empty() && now - sent.front() >= seconds(5)) {
        sent.pop_front();
      }
      for (auto left = random() % 40 == 0 ? random() % 60 : 0;
           left > 0 && sent.size() < kLimit;
           --left) {
        sent.push_back(now);
        ASSERT_TRUE(meter.IsWithinRate(kRinks, now)) << "seed " << seed;
        meter.Count(kRinks, now);
      }
    }
  }
}

// Guards against a change of the configuration that starts the count anew.
TEST(rate_meter_test, NewConfigurationKeepsTheCount)
{
  rate_meter meter({ seconds(5), 0 });
  meter.SetCustomers(RinksWithWeight(2));
  EXPECT_EQ(CountAll(meter, kStart), 10);
  meter.SetCustomers(RinksWithWeight(3));
  EXPECT_EQ(CountAll(meter, kStart), 5);
  meter.SetCustomers(RinksWithWeight(1));
  EXPECT_FALSE(meter.IsWithinRate(kRinks, kStart + milliseconds(4'999)));
  EXPECT_TRUE(meter.IsWithinRate(customer_name{ "unknown" }, kStart));
}

} // namespace
} // namespace mangospan::customers
