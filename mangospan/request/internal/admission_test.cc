#include "mangospan/request/internal/admission.h"

#include <chrono>

#include <gtest/gtest.h>

namespace mangospan::request {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const caller_name kQuarry("quarry");
const caller_name kRiver("river");
const team_name kTeam("permits");
const team_name kOther("royalties");

// Ten slots, 100 ms each: room for 100 requests within the budget of 1 s.
pool_load
Load(int aQueued)
{
  return {
    10, false, milliseconds(100) * aQueued, milliseconds(100), seconds(1)
  };
}

TEST(Admission, RefusesWhatTheQueueAheadKeepsFromItsTarget)
{
  const admission gate(0.5);
  EXPECT_FALSE(gate.Check(Load(99), kQuarry, kTeam));
  const auto refused = gate.Check(Load(150), kQuarry, kTeam);
  ASSERT_TRUE(refused);
  EXPECT_EQ(refused->mCode, refusal_code::kTargetOutOfReach);
  EXPECT_GE(refused->mRetryAfter, milliseconds(500)); // of excess wait
}

TEST(Admission, AFreeSlotIsNeverRefused)
{
  const admission gate(0.5);
  EXPECT_FALSE(gate.Check(
    { 1, true, seconds(0), seconds(60), seconds(0) }, kQuarry, kTeam));
}

TEST(Admission, APoolWithoutSlotsTakesNothing)
{
  const admission gate(0.5);
  const auto refused = gate.Check({}, kQuarry, kTeam);
  ASSERT_TRUE(refused);
  EXPECT_EQ(refused->mCode, refusal_code::kNoEndpoint);
}

TEST(Admission, UnderOverloadACallerOverItsShareLeavesRoomForOthers)
{
  admission gate(0.5);
  for (int i = 0; i < 60; ++i) {
    gate.Entered(kQuarry, kTeam);
  }
  const auto refused = gate.Check(Load(60), kQuarry, kTeam);
  ASSERT_TRUE(refused);
  EXPECT_EQ(refused->mCode, refusal_code::kOverShare);
  EXPECT_FALSE(gate.Check(Load(60), kRiver, kOther));
  EXPECT_TRUE(gate.Check(Load(60), kRiver, kTeam)); // its team is over
  for (int i = 0; i < 30; ++i) {
    gate.Left(kQuarry, kTeam);
  }
  EXPECT_FALSE(gate.Check(Load(60), kQuarry, kTeam));
}

TEST(Admission, BelowTheThresholdSharesDoNotCount)
{
  admission gate(0.5);
  for (int i = 0; i < 60; ++i) {
    gate.Entered(kQuarry, kTeam);
  }
  EXPECT_FALSE(gate.Check(Load(40), kQuarry, kTeam));
}

TEST(TeamRates, HoldATeamToItsRateDividedByTheEntries)
{
  manual_clock clock;
  team_rates rates;
  rates.Configure({ { kTeam, 20, 0 }, { kOther, 0, 0 } }, 2, clock.Now());
  int allowed = 0;
  for (int i = 0; i < 1000; ++i) { // ten seconds
    allowed += rates.Allow(kTeam, clock.Now()) ? 1 : 0;
    EXPECT_TRUE(rates.Allow(kOther, clock.Now()));
    clock.Advance(milliseconds(10));
  }
  EXPECT_GE(allowed, 100);
  EXPECT_LE(allowed, 111);
}

} // namespace
} // namespace mangospan::request
