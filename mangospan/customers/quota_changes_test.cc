#include "mangospan/customers/quota_changes.h"

#include <gtest/gtest.h>

namespace mangospan::customers {
namespace {

const customer_name kRinks{ "rinks" };
const customer_name kTrams{ "trams" };

// Guards against a line at each report while nothing changes, and against a
// change that is not told.
TEST(quota_changes_test, EachChangeIsToldOnce)
{
  quota_changes changes;
  quota_report report;
  report.mUsage = { { kRinks, { 200, 200, 900 } },
                    { kTrams, { 300, 100, 100 } } };
  EXPECT_TRUE(changes.Update(report, {}).empty());

  const auto limited = changes.Update(report, { kRinks });
  ASSERT_EQ(limited.size(), 1U);
  EXPECT_EQ(limited[0].mCustomer, kRinks);
  EXPECT_TRUE(limited[0].mIsLimited);
  EXPECT_EQ(limited[0].mUsage.mShare, 200U);
  EXPECT_EQ(limited[0].mUsage.mUsed, 200U);
  EXPECT_EQ(limited[0].mUsage.mWanted, 900U);
  EXPECT_TRUE(changes.Update(report, { kRinks }).empty());

  const auto changed = changes.Update(report, { kTrams });
  ASSERT_EQ(changed.size(), 2U);
  EXPECT_EQ(changed[0].mCustomer, kRinks);
  EXPECT_FALSE(changed[0].mIsLimited);
  EXPECT_EQ(changed[1].mCustomer, kTrams);
  EXPECT_TRUE(changed[1].mIsLimited);
}

// Guards against a customer that stays limited in the log after its last job
// has ended, or its cap was removed.
TEST(quota_changes_test, CustomerWithoutReportIsNoLongerLimited)
{
  quota_changes changes;
  changes.Update({}, { kRinks });
  const auto changed = changes.Update({}, {});
  ASSERT_EQ(changed.size(), 1U);
  EXPECT_EQ(changed[0].mCustomer, kRinks);
  EXPECT_FALSE(changed[0].mIsLimited);
  EXPECT_EQ(changed[0].mUsage.mShare, 0U);
  EXPECT_TRUE(changes.Update({}, {}).empty());
}

// Guards against labels without customers having caps.
TEST(usage_by_label_test, NothingReportedHasNoLabels)
{
  usage_by_label labels;
  EXPECT_TRUE(labels.Update({}).empty());
}

// Guards against a gauge that keeps the last value of a customer.
TEST(usage_by_label_test, CustomerThatIsNoLongerReportedHasZero)
{
  usage_by_label labels;
  quota_report report;
  report.mUsage = { { kRinks, { 2'500, 5'000, 9'000 } } };
  const auto first = labels.Update(report);
  ASSERT_EQ(first.size(), 1U);
  EXPECT_DOUBLE_EQ(first.at("rinks").mShare, 0.25);
  EXPECT_DOUBLE_EQ(first.at("rinks").mUsed, 0.5);
  const auto second = labels.Update({});
  ASSERT_EQ(second.size(), 1U);
  EXPECT_EQ(second.at("rinks").mShare, 0);
  EXPECT_EQ(second.at("rinks").mUsed, 0);
}

// Guards against series without a bound as customers come and go, and against
// usage that no series shows.
TEST(usage_by_label_test, CustomersAboveTheBoundAreAddedUp)
{
  usage_by_label labels;
  quota_report report;
  constexpr int kAbove = 3;
  for (int i = 0; i < static_cast<int>(labels.kMaxLabelled) + kAbove; ++i) {
    report.mUsage[customer_name{ std::to_string(100 + i) }] = { 1'000,
                                                                2'000,
                                                                2'000 };
  }
  const auto first = labels.Update(report);
  EXPECT_EQ(first.size(), labels.kMaxLabelled + 1);
  EXPECT_DOUBLE_EQ(first.at("other").mShare, 0.1 * kAbove);
  EXPECT_DOUBLE_EQ(first.at("other").mUsed, 0.2 * kAbove);

  quota_report later;
  later.mUsage = { { kRinks, { 4'000, 0, 0 } },
                   { customer_name{ "other" }, { 1'000, 0, 0 } } };
  const auto second = labels.Update(later);
  EXPECT_EQ(second.size(), labels.kMaxLabelled + 1);
  EXPECT_DOUBLE_EQ(second.at("other").mShare, 0.5);
  EXPECT_EQ(second.at("100").mShare, 0);
  EXPECT_EQ(labels.Update({}).at("other").mShare, 0);
}

} // namespace
} // namespace mangospan::customers
