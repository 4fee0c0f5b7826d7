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

TEST(pool_link_test, MalformedTextsAreRejected)
{
  for (const char* each : { "", "[]", "{}", R"({"fleet_term":"x"})" }) {
    EXPECT_TRUE(DecodePoolInstructions(each).has_error()) << each;
    EXPECT_TRUE(DecodePoolState(each).has_error()) << each;
  }
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
