#include "mangospan/request/internal/admission.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

namespace mangospan::request {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const caller_name kQuarry("quarry");
const caller_name kRiver("river");
const team_name kTeam("permits");
const team_name kOther("royalties");

// The load of a pool of ten slots with requests of 100 ms, which can serve 100
// requests within the wait budget of 1 s, when `aQueued` requests wait.
queue_load
Load(int aQueued)
{
  return {
    10, false, milliseconds(100) * aQueued, milliseconds(100), seconds(1)
  };
}

class admission_test : public ::testing::Test
{
protected:
  std::optional<admission_refusal> Admit(const queue_load& aLoad,
                                         const caller_name& aCaller = kQuarry,
                                         const team_name& aTeam = kTeam)
  {
    return mGate.Admit(aLoad, aTeam, aCaller, mClock.Now());
  }
  // Offers the requests once a millisecond for ten seconds. Returns the number
  // admitted per caller, not counting the first five seconds, in which the
  // shares are still being learned.
  std::map<caller_name, int> OfferForTenSeconds(
    const std::vector<std::pair<caller_name, team_name>>& aRequests,
    int aQueued)
  {
    std::map<caller_name, int> admitted;
    for (int i = 0; i < 10000; ++i) {
      for (const auto& [caller, team] : aRequests) {
        const bool taken = !Admit(Load(aQueued), caller, team);
        admitted[caller] += taken && i >= 5000 ? 1 : 0;
      }
      mClock.Advance(milliseconds(1));
    }
    return admitted;
  }

  manual_clock mClock;
  admission mGate{ 0.5 };
};

TEST_F(admission_test, RefusesARequestThatWouldWaitPastItsTarget)
{
  EXPECT_FALSE(Admit(Load(99)));
  const auto refused = Admit(Load(150));
  ASSERT_TRUE(refused);
  EXPECT_EQ(refused->mCode, refusal_code::kTargetOutOfReach);
  EXPECT_GE(refused->mRetryAfter, milliseconds(500)); // excess wait
}

TEST_F(admission_test, AdmitsAnyRequestWhileASlotIsFree)
{
  EXPECT_FALSE(Admit({ 1, true, seconds(0), seconds(60), seconds(0) }));
}

TEST_F(admission_test, RefusesEveryRequestOfAPoolWithoutSlots)
{
  const auto refused = Admit({});
  ASSERT_TRUE(refused);
  EXPECT_EQ(refused->mCode, refusal_code::kNoEndpoint);
}

TEST_F(admission_test, UnderOverloadRefusesACallerThatExceedsItsShare)
{
  // 100 requests a second can be served; quarry asks for 2,000, river 1,000.
  const auto admitted = OfferForTenSeconds(
    { { kQuarry, kTeam }, { kQuarry, kTeam }, { kRiver, kTeam } }, 60);
  EXPECT_NEAR(admitted.at(kQuarry), admitted.at(kRiver), 10);
  EXPECT_NEAR(admitted.at(kQuarry) + admitted.at(kRiver), 750, 75);
  EXPECT_EQ(Admit(Load(60))->mCode, refusal_code::kOverShare);
  EXPECT_FALSE(Admit(Load(60), caller_name("newcomer")));
}

TEST_F(admission_test, TeamsGetEqualSharesRegardlessOfTheirNumberOfCallers)
{
  const caller_name third("third");
  const auto admitted = OfferForTenSeconds(
    { { kQuarry, kTeam }, { third, kTeam }, { kRiver, kOther } }, 60);
  EXPECT_NEAR(
    admitted.at(kQuarry) + admitted.at(third), admitted.at(kRiver), 20);
}

TEST_F(admission_test, DoesNotEnforceSharesWithoutOverload)
{
  const auto admitted = OfferForTenSeconds({ { kQuarry, kTeam } }, 40);
  EXPECT_EQ(admitted.at(kQuarry), 5000);
}

// A class with near deadlines has a short predicted wait even in an overloaded
// pool, so a refusal of another class must enforce the shares for it as well.
TEST_F(admission_test, ARefusalByTargetEnforcesSharesForOtherClasses)
{
  OfferForTenSeconds({ { kQuarry, kTeam } }, 40);
  EXPECT_TRUE(Admit(Load(150), kRiver));
  EXPECT_EQ(Admit(Load(1))->mCode, refusal_code::kOverShare);
  mClock.Advance(seconds(5));
  EXPECT_FALSE(Admit(Load(1)));
}

TEST(FairShare, IdleCallersAreEvictedAndTheirNumberIsBounded)
{
  manual_clock clock;
  fair_share shares;
  for (int i = 0; i < 20000; ++i) {
    const caller_name caller(std::to_string(i));
    shares.Grant(shares.Offer(kTeam, caller, 1, clock.Now()), 1, clock.Now());
    ASSERT_LE(shares.Size(), 4097U);
  }
  clock.Advance(seconds(60));
  shares.Offer(kTeam, kQuarry, 1, clock.Now());
  EXPECT_EQ(shares.Size(), 1U);
}

TEST(TeamRates, LimitATeamToItsRateDividedByTheNumberOfEntries)
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
