#include "mangospan/customers/pool_quota.h"

#include <gtest/gtest.h>

namespace mangospan::customers {
namespace {

const customer_name kRinks{ "rinks" };
constexpr std::size_t kPools = 4; // each is guaranteed 200 of 10,000 parts

// Returns a pool's quota for one customer with a cap of 100 cores and 1,000 MB.
pool_quota
QuotaOfRinks()
{
  customer_policy policy;
  policy.mName = kRinks;
  policy.mCap = { 100'000, 1'000, 0 };
  pool_quota out;
  out.SetCustomers({ { kRinks, policy } }, kPools);
  return out;
}

quota_instructions
Instructions(quota_version aVersion, cap_part aShare)
{
  return { aVersion, { { kRinks, aShare } } };
}

// Guards against a new owner that starts work before it has a share.
TEST(pool_quota_test, OnlyGuaranteedPartIsHeldUntilInstructed)
{
  const pool_quota quota = QuotaOfRinks();
  EXPECT_EQ(quota.ShareOf(kRinks), 200U);
  EXPECT_TRUE(quota.MayStart(kRinks, { 1'000, 0, 0 }, { 1'000, 0, 0 }));
  EXPECT_FALSE(quota.MayStart(kRinks, { 1'001, 0, 0 }, { 1'000, 0, 0 }));
  EXPECT_FALSE(quota.MayStart(kRinks, { 2'001, 0, 0 }, {}));
}

// Guards against a replaced or delayed allocator that restores a share which
// another pool has by now.
TEST(pool_quota_test, OlderInstructionsAreIgnored)
{
  pool_quota quota = QuotaOfRinks();
  quota.Apply(Instructions({ 3, 7 }, 5'000));
  for (const quota_version& each :
       { quota_version{ 3, 7 }, { 3, 6 }, { 2, 900 } }) {
    quota.Apply(Instructions(each, 9'000));
    EXPECT_EQ(quota.ShareOf(kRinks), 5'000U) << each.mSequence;
  }
  quota.Apply(Instructions({ 4, 1 }, 6'000));
  EXPECT_EQ(quota.ShareOf(kRinks), 6'000U);
  quota.Apply({ { 4, 2 }, {} });
  EXPECT_EQ(quota.ShareOf(kRinks), 200U);
}

// Guards against a resource that is not checked, and against a resource without
// a limit that is.
TEST(pool_quota_test, EachLimitedResourceCounts)
{
  pool_quota quota = QuotaOfRinks();
  quota.Apply(Instructions({ 1, 1 }, 5'000));
  EXPECT_TRUE(quota.MayStart(kRinks, { 1, 1, 50 }, { 49'999, 499, 90 }));
  EXPECT_FALSE(quota.MayStart(kRinks, { 2, 1, 0 }, { 49'999, 499, 0 }));
  EXPECT_FALSE(quota.MayStart(kRinks, { 1, 2, 0 }, { 49'999, 499, 0 }));
  EXPECT_TRUE(
    quota.MayStart(customer_name{ "other" }, { 9'999'999, 0, 0 }, {}));
}

// Guards against a customer whose tasks never start since each is larger than
// its cap, and against two of these at the same time.
TEST(pool_quota_test, OneTaskAboveTheCapStartsWhereMostOfItIsHeld)
{
  pool_quota quota = QuotaOfRinks();
  const resources large{ 200'000, 0, 0 };
  EXPECT_FALSE(quota.MayStart(kRinks, large, {}));
  quota.Apply(Instructions({ 1, 1 }, 5'000));
  EXPECT_FALSE(quota.MayStart(kRinks, large, {}));
  quota.Apply(Instructions({ 1, 2 }, 5'001));
  EXPECT_TRUE(quota.MayStart(kRinks, large, {}));
  EXPECT_FALSE(quota.MayStart(kRinks, large, { 1, 0, 0 }));
  // Several tasks that start together are not one task above the cap.
  EXPECT_FALSE(quota.MayStart(kRinks, large, {}, 2));
  EXPECT_FALSE(quota.MayStart(kRinks, { 1, 0, 0 }, large));
}

// Guards against a report that understates what is used: the allocator would
// give the difference to another pool.
TEST(pool_quota_test, ReportRoundsUpAndNamesLargestPart)
{
  pool_quota quota = QuotaOfRinks();
  EXPECT_TRUE(quota.Report({}, {}).mUsage.empty());
  quota.Apply(Instructions({ 2, 5 }, 4'000));
  const quota_report report =
    quota.Report({ { kRinks, { 10'001, 50, 0 } } },
                 { { kRinks, { 10'001, 300, 0 } },
                   { customer_name{ "other" }, { 1, 1, 1 } } });
  EXPECT_EQ(report.mApplied.mFleetTerm, 2U);
  EXPECT_EQ(report.mApplied.mSequence, 5U);
  ASSERT_EQ(report.mUsage.size(), 1U);
  EXPECT_EQ(report.mUsage.at(kRinks).mShare, 4'000U);
  EXPECT_EQ(report.mUsage.at(kRinks).mUsed, 1'001U);
  EXPECT_EQ(report.mUsage.at(kRinks).mWanted, 3'000U);
}

// Guards against a lowered cap that takes effect only with new shares.
TEST(pool_quota_test, LoweredCapAppliesToThePresentShare)
{
  pool_quota quota = QuotaOfRinks();
  quota.Apply(Instructions({ 1, 1 }, 5'000));
  customer_policy lowered;
  lowered.mCap.mCpu = 10'000;
  quota.SetCustomers({ { kRinks, lowered } }, kPools);
  EXPECT_TRUE(quota.MayStart(kRinks, { 1'000, 0, 0 }, { 4'000, 0, 0 }));
  EXPECT_FALSE(quota.MayStart(kRinks, { 1'000, 0, 0 }, { 4'001, 0, 0 }));
}

} // namespace
} // namespace mangospan::customers
