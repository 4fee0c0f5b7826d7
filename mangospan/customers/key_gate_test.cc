#include "mangospan/customers/key_gate.h"

#include <gtest/gtest.h>

namespace mangospan::customers {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kBound{ 5'000 };
constexpr std::size_t kSeed = 17;

std::map<customer_name, customer_policy>
Customers(const std::map<std::string, std::vector<std::string>>& aKeys)
{
  std::map<customer_name, customer_policy> out;
  for (const auto& [each, keys] : aKeys) {
    customer_policy policy;
    policy.mName = customer_name{ each };
    policy.mApiKeys = keys;
    out.emplace(policy.mName, policy);
  }
  return out;
}

class key_gate_test : public ::testing::Test
{
protected:
  key_gate_test()
  {
    mGate.SetCustomers(Customers({ { "rinks", { "aaaa", "bbbb" } } }));
  }

  key_verdict Verdict(std::string_view aKey) const
  {
    return mGate.Check(aKey, mConfirmedAt, mClock.Now()).mVerdict;
  }

  manual_clock mClock;
  key_gate mGate{ { kBound, milliseconds(2'200) }, kSeed };
  std::optional<time_point> mConfirmedAt = mClock.Now();
};

// A key that no configuration ever had would run work for nobody.
TEST_F(key_gate_test, OnlyKeysOfCustomersAreAccepted)
{
  const key_check accepted = mGate.Check("bbbb", mConfirmedAt, mClock.Now());
  EXPECT_EQ(accepted.mVerdict, key_verdict::kAccepted);
  EXPECT_EQ(accepted.mCustomer.Str(), "rinks");
  for (const char* each : { "aaa", "aaaaa", "aaab", "AAAA", "aaaa " }) {
    EXPECT_EQ(Verdict(each), key_verdict::kUnknownKey) << each;
  }
  EXPECT_EQ(Verdict(""), key_verdict::kMissingKey);
}

TEST_F(key_gate_test, KeyIsRefusedOnceAConfigurationWithoutItArrives)
{
  mGate.SetCustomers(Customers({ { "rinks", { "aaaa" } } }));
  EXPECT_EQ(Verdict("bbbb"), key_verdict::kUnknownKey);
  EXPECT_EQ(Verdict("aaaa"), key_verdict::kAccepted);
}

// A process that is cut off would accept a revoked key for ever.
TEST_F(key_gate_test, NoKeyIsAcceptedLongAfterTheLastConfirmation)
{
  mClock.Advance(milliseconds(2'999));
  EXPECT_EQ(Verdict("aaaa"), key_verdict::kAccepted);
  mClock.Advance(milliseconds(1));
  EXPECT_EQ(Verdict("aaaa"), key_verdict::kStaleConfiguration);
  EXPECT_EQ(Verdict("cccc"), key_verdict::kStaleConfiguration);
}

// A clock that is slow by 2% and a store that reports a change a second late
// must not stretch the bound.
TEST_F(key_gate_test, RefusesWithinTheBoundByASlowClockAndALateReport)
{
  constexpr milliseconds kLateReport{ 1'000 };
  constexpr double kSlowClock = 0.98;
  milliseconds accepted{ 0 };
  while (Verdict("aaaa") == key_verdict::kAccepted) {
    mClock.Advance(milliseconds(1));
    accepted += milliseconds(1);
  }
  EXPECT_LT(accepted / kSlowClock + kLateReport, kBound);
}

// A suspended process would go on with what it knew before.
TEST_F(key_gate_test, TimeOfASuspensionCounts)
{
  mClock.Advance(seconds(60));
  EXPECT_EQ(Verdict("aaaa"), key_verdict::kStaleConfiguration);
  mConfirmedAt = mClock.Now();
  EXPECT_EQ(Verdict("aaaa"), key_verdict::kAccepted);
}

// A process that has just started has a clock near zero and no configuration.
TEST_F(key_gate_test, NothingIsAcceptedBeforeTheFirstConfirmation)
{
  mConfirmedAt.reset();
  EXPECT_EQ(Verdict("aaaa"), key_verdict::kStaleConfiguration);
  EXPECT_EQ(mGate.Check("aaaa", std::nullopt, time_point{}).mVerdict,
            key_verdict::kStaleConfiguration);
}

// A new key was refused with 401 by a process that did not know it yet.
TEST_F(key_gate_test, OnlyACurrentConfigurationDeniesAKey)
{
  mClock.Advance(milliseconds(2'199));
  EXPECT_EQ(Verdict("cccc"), key_verdict::kUnknownKey);
  mClock.Advance(milliseconds(1));
  EXPECT_EQ(Verdict("cccc"), key_verdict::kStaleConfiguration);
  EXPECT_EQ(Verdict(""), key_verdict::kStaleConfiguration);
  EXPECT_EQ(Verdict("aaaa"), key_verdict::kAccepted);
}

// An empty key in the configuration would admit calls without a key.
TEST_F(key_gate_test, EmptyKeyOfACustomerAdmitsNobody)
{
  mGate.SetCustomers(Customers({ { "rinks", { "", "aaaa" } } }));
  EXPECT_EQ(Verdict(""), key_verdict::kMissingKey);
}

TEST(key_gate_without_bound_test, KeysStayValidUntilTheChangeArrives)
{
  manual_clock clock;
  key_gate gate({ std::nullopt, milliseconds(2'200) }, kSeed);
  gate.SetCustomers(Customers({ { "rinks", { "aaaa" } } }));
  const time_point confirmedAt = clock.Now();
  clock.Advance(seconds(60));
  EXPECT_EQ(gate.Check("aaaa", confirmedAt, clock.Now()).mVerdict,
            key_verdict::kAccepted);
}

TEST(key_registry_test, FindsEachOfManyKeysWithAnySeed)
{
  std::map<std::string, std::vector<std::string>> keys;
  for (int i = 0; i < 540; ++i) {
    keys["c" + std::to_string(i)] = { "k" + std::to_string(i),
                                      "l" + std::to_string(i) };
  }
  for (const std::size_t seed : { std::size_t{ 0 }, std::size_t{ 99 } }) {
    key_registry registry(seed);
    registry.SetCustomers(Customers(keys));
    EXPECT_EQ(registry.Size(), 1'080U);
    for (const auto& [customer, each] : keys) {
      for (const std::string& key : each) {
        const customer_name* const found = registry.Find(key);
        ASSERT_NE(found, nullptr) << key;
        EXPECT_EQ(found->Str(), customer);
      }
    }
    EXPECT_EQ(registry.Find("k540"), nullptr);
  }
}

} // namespace
} // namespace mangospan::customers
