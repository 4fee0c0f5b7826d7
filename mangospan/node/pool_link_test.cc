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
  sent.mClosed = { runner_name{ "a" }, runner_name{ "b" } };
  sent.mEvict = { runner_name{ "a" } };
  sent.mDead = { runner_name{ "c" } };
  const auto read = DecodeInstructions(Encode(sent));
  ASSERT_TRUE(read.has_value());
  EXPECT_EQ(read.assume_value().mFleetTerm, 7U);
  EXPECT_EQ(read.assume_value().mClosed, sent.mClosed);
  EXPECT_EQ(read.assume_value().mEvict, sent.mEvict);
  EXPECT_EQ(read.assume_value().mDead, sent.mDead);
}

TEST(pool_link_test, StatesRoundTrip)
{
  pool_state sent;
  sent.mTermRevision = 42;
  sent.mLoad = { { 1'500, 2'048, 1 }, { 9'000, 4'096, 0 }, 3 };
  sent.mKnowsOthers = true;
  sent.mRunners[runner_name{ "a" }] = { true, false, true, true, 5, 2 };
  sent.mRunners[runner_name{ "b" }] = { false, true, false, false, 0, 0 };
  const auto read = DecodeState(Encode(sent));
  ASSERT_TRUE(read.has_value());
  const pool_state& got = read.assume_value();
  EXPECT_EQ(got.mTermRevision, 42U);
  EXPECT_EQ(got.mLoad.mWanted.mMemoryMb, 2'048);
  EXPECT_EQ(got.mLoad.mArriving.mCpu, 9'000);
  EXPECT_EQ(got.mLoad.mMinHosts, 3U);
  EXPECT_TRUE(got.mKnowsOthers);
  const runner_state& first = got.mRunners.at(runner_name{ "a" });
  EXPECT_TRUE(first.mIsKnown && first.mIsSettled && first.mIsClosed);
  EXPECT_FALSE(first.mIsUnfit);
  EXPECT_EQ(first.mRuns, 5U);
  EXPECT_EQ(first.mLasting, 2U);
  EXPECT_TRUE(got.mRunners.at(runner_name{ "b" }).mIsUnfit);
}

TEST(pool_link_test, MalformedTextsAreRejected)
{
  for (const char* each : { "", "[]", "{}", R"({"fleet_term":"x"})" }) {
    EXPECT_TRUE(DecodeInstructions(each).has_error()) << each;
    EXPECT_TRUE(DecodeState(each).has_error()) << each;
  }
}

TEST(host_orders_test, OrdersRoundTrip)
{
  const jobs::wall_time at{ milliseconds(1'700'000'000'123) };
  const host_orders sent{ { host_name{ "h" }, { at, runner_name{ "r" } } } };
  const auto read = DecodeHostOrders(Encode(sent));
  ASSERT_TRUE(read.has_value());
  const host_order& got = read.assume_value().at(host_name{ "h" });
  EXPECT_EQ(got.mOrderedAt, at);
  EXPECT_EQ(got.mRunner, runner_name{ "r" });
  EXPECT_TRUE(DecodeHostOrders(R"({"h":5})").has_error());
}

} // namespace
} // namespace mangospan::node
