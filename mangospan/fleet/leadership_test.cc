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

  // Ticks until a store call is made and returns that call.
  store_call AwaitStoreCall()
  {
    for (int i = 0; i < 200; ++i) {
      mClock.Advance(std::chrono::milliseconds(50));
      mLeadership.OnTick(mClock.Now(), mQueue);
      if (auto call = TakeStoreCall()) {
        return *call;
      }
    }
    ADD_FAILURE() << "no call was made";
    return {};
  }

  // Returns the first store call made since the last one was taken, if any.
  std::optional<store_call> TakeStoreCall()
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

  // Answers the grant and the claim so that the process acts under `kTerm`.
  void AcquireLeadership()
  {
    Answer(AwaitStoreCall(), lease_result(platform::lease_id{ 9 }));
    Answer(*TakeStoreCall(), swap_result(kTerm));
    ASSERT_TRUE(Acting());
  }

  bool Acting() const { return mLeadership.Acting(mClock.Now()); }

  static error UnknownResult()
  {
    return { error_code::kUnknownResult, "", "", "" };
  }

  manual_clock mClock;
  action_queue mQueue;
  leadership mLeadership;
};

TEST_F(leadership_test, TheTermIsTheRevisionOfTheClaim)
{
  AcquireLeadership();
  EXPECT_EQ(mLeadership.Term(), kTerm);
}

// The store may start the lease when the grant is sent. Counting the lease's
// time from the answer would let the process act after the store has ended the
// lease.
TEST_F(leadership_test, LeaseTimeCountsFromTheSendingOfTheGrant)
{
  const store_call grant = AwaitStoreCall();
  mClock.Advance(std::chrono::milliseconds(4000));
  Answer(grant, lease_result(platform::lease_id{ 9 }));
  Answer(*TakeStoreCall(), swap_result(kTerm));
  EXPECT_TRUE(Acting());
  mClock.Advance(std::chrono::milliseconds(500));
  EXPECT_FALSE(Acting());
}

// Guards against acting again under a term whose lease has expired by this
// process's clock, when the answer to a renewal arrives late.
TEST_F(leadership_test, ALateRenewalDoesNotReviveATerm)
{
  AcquireLeadership();
  const store_call renewal = AwaitStoreCall();
  mClock.Advance(std::chrono::milliseconds(10000));
  Answer(renewal, lease_result(platform::lease_id{ 9 }));
  EXPECT_FALSE(Acting());
  EXPECT_EQ(mLeadership.Term(), 0U);
}

TEST_F(leadership_test, AClaimWithoutAnswerIsResolvedByReadingTheKey)
{
  Answer(AwaitStoreCall(), lease_result(platform::lease_id{ 9 }));
  const store_call claim = *TakeStoreCall();
  Answer(claim, swap_result(UnknownResult()));
  EXPECT_FALSE(Acting());
  const store_call read = *TakeStoreCall();
  ASSERT_TRUE(std::holds_alternative<read_call>(read.mOperation));
  const auto& request = std::get<swap_call>(claim.mOperation).mRequest;
  Answer(read,
         read_result(platform::record{ request.mKey, request.mValue, kTerm }));
  EXPECT_TRUE(Acting());
  EXPECT_EQ(mLeadership.Term(), kTerm);
}

// A claim whose answer was lost may still reach the store after the key was
// read. The revoked lease makes it fail there.
TEST_F(leadership_test, AClaimThatDidNotTakeEffectRevokesItsLease)
{
  Answer(AwaitStoreCall(), lease_result(platform::lease_id{ 9 }));
  Answer(*TakeStoreCall(), swap_result(UnknownResult()));
  Answer(*TakeStoreCall(), read_result(std::optional<platform::record>()));
  const auto revoke = TakeStoreCall();
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
    ASSERT_FALSE(TakeStoreCall().has_value());
  }
  AwaitStoreCall();
}

TEST_F(leadership_test, AHeartbeatWithAHigherTermEndsActing)
{
  AcquireLeadership();
  mLeadership.OnHeartbeat(kTerm + 1, mClock.Now());
  EXPECT_FALSE(Acting());
}

TEST_F(leadership_test, ARetiredProcessRevokesItsLeaseAndMakesNoFurtherCall)
{
  AcquireLeadership();
  mLeadership.Retire(mQueue);
  const auto revoke = TakeStoreCall();
  ASSERT_TRUE(revoke.has_value());
  EXPECT_TRUE(std::holds_alternative<revoke_call>(revoke->mOperation));
  mClock.Advance(std::chrono::hours(1));
  mLeadership.OnTick(mClock.Now(), mQueue);
  EXPECT_FALSE(TakeStoreCall().has_value());
}

} // namespace
} // namespace mangospan::fleet
