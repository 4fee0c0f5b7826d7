#include "mangospan/node/pool_link.h"

#include <gtest/gtest.h>

#include "mangospan/node/host_orders.h"

namespace mangospan::node {
namespace {

using jobs::runner_name;
using std::chrono::milliseconds;

TEST(pool_link_test, InstructionsRoundTrip)
{
  pool_instructions sent;
  sent.mFleetTerm = 7;
  sent.mCordoned = { runner_name{ "a" }, runner_name{ "b" } };
  sent.mEvictFrom = { runner_name{ "a" } };
  sent.mDeadRunners = { runner_name{ "c" } };
  const auto read = DecodePoolInstructions(Encode(sent));
  ASSERT_TRUE(read.has_value());
  EXPECT_EQ(read.assume_value().mFleetTerm, 7U);
  EXPECT_EQ(read.assume_value().mCordoned, sent.mCordoned);
  EXPECT_EQ(read.assume_value().mEvictFrom, sent.mEvictFrom);
  EXPECT_EQ(read.assume_value().mDeadRunners, sent.mDeadRunners);
}

TEST(pool_link_test, StatesRoundTrip)
{
  pool_state sent;
  sent.mTermRevision = 42;
  sent.mLoad = { { 1'500, 2'048, 1 }, { 9'000, 4'096, 0 }, 3, false };
  sent.mAreUnlistedRunnersIdle = true;
  sent.mRunners[runner_name{ "a" }] = { true, false, true, true, 5, 2 };
  sent.mRunners[runner_name{ "b" }] = { false, true, false, false, 0, 0 };
  const auto read = DecodePoolState(Encode(sent));
  ASSERT_TRUE(read.has_value());
  const pool_state& got = read.assume_value();
  EXPECT_EQ(got.mTermRevision, 42U);
  EXPECT_EQ(got.mLoad.mRequested.mMemoryMb, 2'048);
  EXPECT_EQ(got.mLoad.mForecast.mCpu, 9'000);
  EXPECT_EQ(got.mLoad.mMinHosts, 3U);
  EXPECT_FALSE(got.mLoad.mIsAcceptingJobs);
  EXPECT_TRUE(got.mAreUnlistedRunnersIdle);
  const runner_state& first = got.mRunners.at(runner_name{ "a" });
  EXPECT_TRUE(first.mAreRunsKnown && first.mCanGetRuns && first.mIsCordoned);
  EXPECT_FALSE(first.mIsUnschedulable);
  EXPECT_EQ(first.mRunCount, 5U);
  EXPECT_EQ(first.mLongRunningCount, 2U);
  EXPECT_TRUE(got.mRunners.at(runner_name{ "b" }).mIsUnschedulable);
}

// Guards against shares that are lost or mixed up on the way, and against
// messages of a node of an earlier version, which have no quota.
TEST(pool_link_test, QuotaRoundTrips)
{
  const customer_name first{ "rinks" };
  const customer_name second{ "trams \"2\"" };
  pool_instructions sent;
  sent.mFleetTerm = 7;
  EXPECT_FALSE(
    DecodePoolInstructions(Encode(sent)).assume_value().mQuota.has_value());
  sent.mQuota = { { 7, 31 }, { { first, 9'280 }, { second, 0 } } };
  const auto told = DecodePoolInstructions(Encode(sent));
  ASSERT_TRUE(told.has_value() && told.assume_value().mQuota);
  EXPECT_EQ(told.assume_value().mQuota->mVersion.mFleetTerm, 7U);
  EXPECT_EQ(told.assume_value().mQuota->mVersion.mSequence, 31U);
  EXPECT_EQ(told.assume_value().mQuota->mShares, sent.mQuota->mShares);

  pool_state state;
  EXPECT_TRUE(
    DecodePoolState(Encode(state)).assume_value().mQuota.mUsage.empty());
  state.mQuota.mApplied = { 6, 5 };
  state.mQuota.mUsage = { { first, { 1, 2, 3 } },
                          { second, { 4, 2'000'000'000, 6 } } };
  const auto read = DecodePoolState(Encode(state));
  ASSERT_TRUE(read.has_value());
  const customers::quota_report& got = read.assume_value().mQuota;
  EXPECT_EQ(got.mApplied.mFleetTerm, 6U);
  EXPECT_EQ(got.mApplied.mSequence, 5U);
  ASSERT_EQ(got.mUsage.size(), 2U);
  EXPECT_EQ(got.mUsage.at(first).mShare, 1U);
  EXPECT_EQ(got.mUsage.at(first).mUsed, 2U);
  EXPECT_EQ(got.mUsage.at(first).mWanted, 3U);
  EXPECT_EQ(got.mUsage.at(second).mUsed, 2'000'000'000U);
}

TEST(pool_link_test, MalformedTextsAreRejected)
{
  for (const char* each : { "", "[]", "{}", R"({"fleet_term":"x"})" }) {
    EXPECT_TRUE(DecodePoolInstructions(each).has_error()) << each;
    EXPECT_TRUE(DecodePoolState(each).has_error()) << each;
  }
  pool_instructions sent;
  sent.mQuota = { { 0, 1 }, { { customer_name{ "rinks" }, 5 } } };
  std::string text = Encode(sent);
  text.replace(text.find(":5"), 2, ":\"5\"");
  EXPECT_TRUE(DecodePoolInstructions(text).has_error());
}

TEST(host_orders_test, OrdersRoundTrip)
{
  const milliseconds reserved{ 2'345 };
  const host_orders sent{ { host_name{ "h" },
                            { reserved, runner_name{ "r" } } } };
  const auto read = DecodeHostOrders(Encode(sent));
  ASSERT_TRUE(read.has_value());
  const host_order& got = read.assume_value().at(host_name{ "h" });
  EXPECT_EQ(got.mReservedFor, reserved);
  EXPECT_EQ(got.mRunner, runner_name{ "r" });
  EXPECT_TRUE(DecodeHostOrders(R"({"h":5})").has_error());
}

} // namespace
} // namespace mangospan::node
