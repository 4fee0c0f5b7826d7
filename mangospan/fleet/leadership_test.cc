#include "mangospan/fleet/leadership.h"

#include <gtest/gtest.h>

#include "mangospan/fleet/records.h"

namespace mangospan::fleet {
namespace {

using lease_result = result<platform::lease_id>;
using swap_result = result<platform::revision>;
using read_result = result<std::optional<platform::record>>;

constexpr std::uint64_t kTerm = 42;

class leadership_test : public ::testing::Test
{
protected:
  leadership_test()
    : mLeadership(zone_name("a"), { host_name("h"), { 5 }, "p:1" }, {}, 1)
  {
  }

  // Ticks until a store call is made, and returns it.
  store_call Await()
  {
    for (int i = 0; i < 200; ++i) {
      mClock.Advance(std::chrono::milliseconds(50));
      mLeadership.OnTick(mClock.Now(), mQueue);
      if (auto call = Taken()) {
        return *call;
      }
    }
    ADD_FAILURE() << "no call was made";
    return {};
  }

  std::optional<store_call> Taken()
  {
    for (const action& each : mQueue.Take()) {
      if (const auto* call = std::get_if<store_call>(&each)) {
        return *call;
      }
    }
    return std::nullopt;
  }

  void Answer(const store_call& aCall, const store_result& aResult)
  {
    mLeadership.OnResult(aCall.mId, aResult, mClock.Now(), mQueue);
  }

  void Lead()
  {
    Answer(Await(), lease_result(platform::lease_id{ 9 }));
    Answer(*Taken(), swap_result(kTerm));
    ASSERT_TRUE(Acting());
  }

  bool Acting() const { return mLeadership.Acting(mClock.Now()); }

  static error Lost() { return { error_code::kUnknownResult, "", "", "" }; }

  manual_clock mClock;
  action_queue mQueue;
  leadership mLeadership;
};

TEST_F(leadership_test, TheTermIsTheRevisionOfTheClaim)
{
  Lead();
  EXPECT_EQ(mLeadership.Term(), kTerm);
}

TEST_F(leadership_test, ValidityCountsFromBeforeTheGrantWasSent)
{
  const store_call grant = Await();
  mClock.Advance(std::chrono::milliseconds(4000));
  Answer(grant, lease_result(platform::lease_id{ 9 }));
  Answer(*Taken(), swap_result(kTerm));
  EXPECT_TRUE(Acting());
  mClock.Advance(std::chrono::milliseconds(500));
  EXPECT_FALSE(Acting());
}

TEST_F(leadership_test, ALateRenewalDoesNotReviveATerm)
{
  Lead();
  const store_call renewal = Await();
  mClock.Advance(std::chrono::milliseconds(10000));
  Answer(renewal, lease_result(platform::lease_id{ 9 }));
  EXPECT_FALSE(Acting());
  EXPECT_EQ(mLeadership.Term(), 0U);
}

TEST_F(leadership_test, ALostClaimIsResolvedByReadingItBack)
{
  Answer(Await(), lease_result(platform::lease_id{ 9 }));
  const store_call claim = *Taken();
  Answer(claim, swap_result(Lost()));
  EXPECT_FALSE(Acting());
  const store_call read = *Taken();
  ASSERT_TRUE(std::holds_alternative<read_call>(read.mOperation));
  const auto& request = std::get<swap_call>(claim.mOperation).mRequest;
  Answer(read,
         read_result(platform::record{ request.mKey, request.mValue, kTerm }));
  EXPECT_TRUE(Acting());
  EXPECT_EQ(mLeadership.Term(), kTerm);
}

TEST_F(leadership_test, AClaimThatIsNotFoundGivesItsLeaseBack)
{
  Answer(Await(), lease_result(platform::lease_id{ 9 }));
  Answer(*Taken(), swap_result(Lost()));
  Answer(*Taken(), read_result(std::optional<platform::record>()));
  const auto revoke = Taken();
  ASSERT_TRUE(revoke.has_value());
  EXPECT_TRUE(std::holds_alternative<revoke_call>(revoke->mOperation));
  EXPECT_FALSE(Acting());
}

TEST_F(leadership_test, AStandbyMakesNoCallWhileHeartbeatsArrive)
{
  for (int i = 0; i < 200; ++i) {
    mClock.Advance(std::chrono::milliseconds(100));
    if (i % 5 == 0) {
      mLeadership.OnHeartbeat(kTerm, mClock.Now());
    }
    mLeadership.OnTick(mClock.Now(), mQueue);
    ASSERT_FALSE(Taken().has_value());
  }
  Await();
}

TEST_F(leadership_test, AHigherTermEndsActing)
{
  Lead();
  mLeadership.OnHeartbeat(kTerm + 1, mClock.Now());
  EXPECT_FALSE(Acting());
}

TEST_F(leadership_test, AStoppedProcessRevokesItsLeaseAndTriesNoMore)
{
  Lead();
  mLeadership.Retire(mQueue);
  const auto revoke = Taken();
  ASSERT_TRUE(revoke.has_value());
  EXPECT_TRUE(std::holds_alternative<revoke_call>(revoke->mOperation));
  mClock.Advance(std::chrono::hours(1));
  mLeadership.OnTick(mClock.Now(), mQueue);
  EXPECT_FALSE(Taken().has_value());
}

} // namespace
} // namespace mangospan::fleet
