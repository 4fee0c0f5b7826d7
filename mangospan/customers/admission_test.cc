#include "mangospan/customers/admission.h"

#include <set>
#include <string>

#include <gtest/gtest.h>

namespace mangospan::customers {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kStart{ std::chrono::hours(1) };
constexpr int kCustomers = 20;
constexpr int kWeight = 4;
constexpr int kSlack = 20;
constexpr pool_backlog kBacklog{ 400, 100 };
constexpr bool kFull = true;
constexpr bool kRoom = false;

customer_name
Customer(int aIndex)
{
  return customer_name{ "c" + std::to_string(aIndex) };
}

admission
AdmissionOfTwenty()
{
  std::map<customer_name, customer_policy> customers;
  for (int i = 0; i < kCustomers; ++i) {
    customers[Customer(i)].mWeight = kWeight;
  }
  admission out({ seconds(5), kSlack });
  out.SetCustomers(customers);
  return out;
}

admission_verdict
Decide(admission& aDecisions,
       const customer_name& aCustomer,
       bool aIsFull,
       time_point aNow,
       const pool_backlog& aBacklog = kBacklog)
{
  return aDecisions.Decide(
    aCustomer, aIsFull, aNow, [&aBacklog] { return aBacklog; });
}

// Guards against refusals of customers within their rate because of another's
// excess, and against a customer that gets nothing while it sends too much.
TEST(admission_test, OnlyTheCustomerAboveItsRateIsRefusedWhileFull)
{
  constexpr int kSeconds = 60;
  constexpr int kTimesItsRate = 6;
  admission decisions = AdmissionOfTwenty();
  int taken = 0;
  for (int k = 0; k < kSeconds * kWeight; ++k) {
    const time_point now = kStart + k * milliseconds(1'000 / kWeight);
    for (int i = 0; i < kTimesItsRate; ++i) {
      taken += Decide(decisions, Customer(0), kFull, now).mIsRefused ? 0 : 1;
    }
    for (int i = 1; i < kCustomers; ++i) {
      const admission_verdict verdict =
        Decide(decisions, Customer(i), kFull, now);
      ASSERT_FALSE(verdict.mIsRefused || verdict.mIsExcess) << i;
    }
  }
  EXPECT_GE(taken, kSeconds * kWeight);
  EXPECT_LE(taken, kSeconds * (kWeight + kSlack / 5));
}

// Guards against capacity that is left idle while excess jobs are refused.
TEST(admission_test, ExcessIsTakenWhileThereIsRoomAndRefusedWhileFull)
{
  admission decisions = AdmissionOfTwenty();
  int within = 0;
  while (!Decide(decisions, Customer(0), kRoom, kStart).mIsExcess) {
    ++within;
  }
  EXPECT_EQ(within, 5 * kWeight + kSlack);
  const admission_verdict taken = Decide(decisions, Customer(0), kRoom, kStart);
  EXPECT_TRUE(taken.mIsExcess && !taken.mIsRefused);
  EXPECT_EQ(taken.mRetryAfter, seconds(0));
  const admission_verdict refused =
    Decide(decisions, Customer(0), kFull, kStart);
  EXPECT_TRUE(refused.mIsRefused);
  EXPECT_GE(refused.mRetryAfter, seconds(1));
  EXPECT_FALSE(Decide(decisions, {}, kFull, kStart).mIsRefused);
}

// Returns how often each Retry-After occurs among 500 refusals.
std::map<seconds, int>
RetryAfterOf500(const pool_backlog& aBacklog)
{
  admission decisions = AdmissionOfTwenty();
  std::map<seconds, int> out;
  for (int i = 0; i < 500 + 5 * kWeight + kSlack; ++i) {
    const auto verdict =
      Decide(decisions, Customer(0), kFull, kStart, aBacklog);
    if (verdict.mIsRefused) {
      ++out[verdict.mRetryAfter];
    }
  }
  return out;
}

// Guards against refused callers that all return at the same time, and against
// a Retry-After that does not grow with the waiting work.
TEST(admission_test, RetryAfterIsSpreadOverTheTimeOfTheBacklog)
{
  const auto ofFourSeconds = RetryAfterOf500(kBacklog);
  ASSERT_EQ(ofFourSeconds.size(), 5U);
  for (const auto& [delay, count] : ofFourSeconds) {
    EXPECT_NEAR(count, 100, 5) << delay.count();
  }
  EXPECT_EQ(RetryAfterOf500({ 100, 100 }).rbegin()->first, seconds(2));
  EXPECT_EQ(RetryAfterOf500({ 1e9, 100 }).rbegin()->first, seconds(5));
  EXPECT_EQ(RetryAfterOf500({ 1, 0 }).rbegin()->first, seconds(5));
}

} // namespace
} // namespace mangospan::customers
