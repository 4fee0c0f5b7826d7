#include "mangospan/request/internal/slot_router.h"

#include <chrono>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace mangospan::request {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const view::entry_id kOwn{ host_name("entry-1"), boot_id{ 1 } };
const view::entry_id kOtherEntry{ host_name("entry-2"), boot_id{ 2 } };
constexpr attempt_end kGood{ attempt_end_kind::kAnswered, 200 };
constexpr attempt_end kServerError{ attempt_end_kind::kAnswered, 500 };
constexpr attempt_end kNotSent{ attempt_end_kind::kNotSent, 0 };
constexpr attempt_end kTimedOut{ attempt_end_kind::kTimedOut, 0 };

class slot_router_test : public ::testing::Test
{
protected:
  void Adopt(std::size_t aEndpoints, std::size_t aShare)
  {
    mView.mVersion.mSequence += 1;
    mView.mEndpoints.clear();
    for (std::size_t i = 0; i < aEndpoints; ++i) {
      view::endpoint each;
      each.mHost = host_name("host-" + std::to_string(i));
      each.mAddress = "10.0.0." + std::to_string(i) + ":80";
      each.mService = mService;
      each.mEpoch = 1;
      each.mShares = { { kOtherEntry, 8 - aShare }, { kOwn, aShare } };
      mView.mEndpoints.push_back(each);
    }
    AdoptAgain();
  }
  void AdoptAgain()
  {
    mRouter.Adopt(mView, kOwn, mClock.Now());
    mPool = mRouter.PoolOf(mService);
  }
  slot_assignment Take()
  {
    auto placed = mRouter.Take(mPool, true, nullptr, mClock.Now());
    EXPECT_TRUE(placed);
    return placed.value_or(slot_assignment{});
  }
  void Release(const slot_assignment& aPlaced,
               const attempt_end& aEnd,
               bool aSlow = false)
  {
    mRouter.Release(aPlaced.mSlot, { aEnd, aSlow }, mClock.Now());
  }
  void Advance(milliseconds aBy)
  {
    mClock.Advance(aBy);
    mRouter.Advance(mClock.Now());
  }
  // Serves requests one after another. Those at host-0 end with `aOfHost0`, the
  // others succeed.
  void Serve(int aRequests, const attempt_end& aOfHost0)
  {
    for (int i = 0; i < aRequests; ++i) {
      const slot_assignment placed = Take();
      const bool first = placed.mHost == host_name("host-0");
      Release(placed, first ? aOfHost0 : kGood);
      Advance(milliseconds(20));
    }
  }
  std::vector<slot_assignment> TakeAll()
  {
    std::vector<slot_assignment> all;
    while (auto placed = mRouter.Take(mPool, true, nullptr, mClock.Now())) {
      all.push_back(*placed);
    }
    return all;
  }

  manual_clock mClock;
  std::mt19937_64 mRandom{ 7 };
  pipeline_options mOptions;
  slot_router mRouter{ mOptions, mRandom };
  service_name mService{ "permits" };
  view::zone_view mView;
  pool_index mPool = 0;
};

TEST_F(slot_router_test, UsesTheWholeShareAndNeverMore)
{
  Adopt(3, 2);
  EXPECT_EQ(mRouter.UsableSlots(mPool), 6U);
  EXPECT_EQ(TakeAll().size(), 6U);
  EXPECT_EQ(mRouter.FreeSlots(mPool), 0U);
}

TEST_F(slot_router_test, AShareBelowTheSlotsInFlightIsAppliedOnceTheyAreFree)
{
  Adopt(1, 4);
  const auto taken = TakeAll();
  const view::version before = mView.mVersion;
  Adopt(1, 1);
  EXPECT_EQ(mRouter.AppliedVersion(), before);
  EXPECT_EQ(mRouter.ReservedSlots().front().mSlots, 4U);
  for (int i = 0; i < 3; ++i) {
    Release(taken[i], kGood);
    EXPECT_FALSE(mRouter.Take(mPool, true, nullptr, mClock.Now()));
  }
  EXPECT_EQ(mRouter.AppliedVersion(), mView.mVersion);
  EXPECT_EQ(mRouter.ReservedSlots().front().mSlots, 1U);
  Release(taken[3], kGood);
  EXPECT_EQ(TakeAll().size(), 1U);
}

TEST_F(slot_router_test, AViewWithoutEndpointsIsAppliedAtOnce)
{
  Adopt(0, 0);
  EXPECT_EQ(mRouter.AppliedVersion(), mView.mVersion);
}

TEST_F(slot_router_test, OlderViewsAreIgnored)
{
  Adopt(2, 2);
  view::zone_view old = mView;
  old.mVersion.mSequence = 0;
  old.mEndpoints.clear();
  mRouter.Adopt(old, kOwn, mClock.Now());
  EXPECT_EQ(mRouter.UsableSlots(mPool), 4U);
}

TEST_F(slot_router_test, ADrainingHostIsDrainedOnceItsLastRequestHasEnded)
{
  Adopt(1, 2);
  const slot_assignment first = Take();
  const slot_assignment second = Take();
  mView.mVersion.mSequence += 1;
  mView.mEndpoints[0].mState = view::endpoint_state::kDraining;
  mView.mEndpoints[0].mShares.clear();
  AdoptAgain();
  EXPECT_FALSE(mRouter.Take(mPool, true, nullptr, mClock.Now()));
  EXPECT_TRUE(mRouter.TakeNewlyDrained().empty());
  EXPECT_EQ(mRouter.AppliedVersion(), mView.mVersion);
  Release(first, kGood);
  EXPECT_TRUE(mRouter.TakeNewlyDrained().empty());
  Release(second, kTimedOut); // may still be running there
  EXPECT_TRUE(mRouter.TakeNewlyDrained().empty());
  Advance(mOptions.mAbandonedSlotHold);
  ASSERT_EQ(mRouter.TakeNewlyDrained().size(), 1U);
  AdoptAgain();
  EXPECT_TRUE(mRouter.TakeNewlyDrained().empty());
  EXPECT_EQ(mRouter.DrainedHosts().size(), 1U);
}

TEST_F(slot_router_test, TheSlotOfATimedOutRequestStaysOccupiedForALimitedTime)
{
  Adopt(1, 2);
  Release(Take(), kTimedOut);
  EXPECT_EQ(mRouter.UsableSlots(mPool), 1U);
  EXPECT_EQ(TakeAll().size(), 1U);
  EXPECT_EQ(mRouter.NextWake(), mClock.Now() + mOptions.mAbandonedSlotHold);
  Advance(mOptions.mAbandonedSlotHold);
  EXPECT_EQ(TakeAll().size(), 1U);
}

// A request that is in flight while its host leaves the view and returns must
// still occupy a slot, or the entry exceeds its share.
TEST_F(slot_router_test, RequestsInFlightCountAfterTheirHostLeftAndReturned)
{
  Adopt(1, 2);
  const slot_assignment placed = Take();
  mView.mVersion.mSequence += 1;
  const auto endpoints = mView.mEndpoints;
  mView.mEndpoints.clear();
  AdoptAgain();
  EXPECT_EQ(mRouter.UsableSlots(mPool), 0U);
  mView.mVersion.mSequence += 1;
  mView.mEndpoints = endpoints;
  mView.mEndpoints[0].mEpoch = 2;
  AdoptAgain();
  EXPECT_EQ(mRouter.FreeSlots(mPool), 1U);
  Release(placed, kGood);
  EXPECT_EQ(mRouter.FreeSlots(mPool), 2U);
}

TEST_F(slot_router_test, AnEndpointThatFailsEveryRequestIsEjectedAndProbed)
{
  for (const attempt_end& end : { kServerError, kNotSent, kTimedOut }) {
    Adopt(4, 4);
    mView.mEndpoints[0].mEpoch += 1; // a new runner resets the health record
    mView.mVersion.mSequence += 1;
    AdoptAgain();
    Serve(300, end);
    ASSERT_EQ(mRouter.Ejected(), std::vector<host_name>{ host_name("host-0") });
    Advance(seconds(40));
    int probes = 0;
    for (int i = 0; i < 20; ++i) {
      const slot_assignment placed = Take();
      probes += placed.mHost == host_name("host-0") ? 1 : 0;
      Release(placed, placed.mHost == host_name("host-0") ? end : kGood);
    }
    EXPECT_EQ(probes, 1);
    Advance(seconds(40));
    Serve(20, kGood);
    EXPECT_TRUE(mRouter.Ejected().empty());
  }
}

TEST_F(slot_router_test, EjectsAtMostTheAllowedShareOfEndpoints)
{
  Adopt(5, 4);
  for (int i = 0; i < 500; ++i) {
    const slot_assignment placed = Take();
    Release(placed, placed.mHost < host_name("host-3") ? kNotSent : kGood);
    Advance(milliseconds(5));
    ASSERT_LE(mRouter.Ejected().size(), 2U);
  }
  EXPECT_EQ(mRouter.Ejected().size(), 2U);
  mView.mVersion.mSequence += 1;
  mView.mEndpoints.resize(3);
  AdoptAgain(); // only failing endpoints remain
  EXPECT_LE(mRouter.Ejected().size(), 1U);
  EXPECT_GT(mRouter.UsableSlots(mPool), 0U);
}

TEST_F(slot_router_test, RequestsThatFailEverywhereEjectNoEndpoint)
{
  Adopt(4, 4);
  for (int i = 0; i < 500; ++i) {
    Release(Take(), kServerError);
  }
  EXPECT_TRUE(mRouter.Ejected().empty());
}

TEST_F(slot_router_test, AnEndpointMuchSlowerThanTheOthersIsEjected)
{
  Adopt(4, 4);
  for (int i = 0; i < 200; ++i) {
    const slot_assignment placed = Take();
    Release(placed, kGood, placed.mHost == host_name("host-0"));
  }
  EXPECT_EQ(mRouter.Ejected(), std::vector<host_name>{ host_name("host-0") });
}

TEST_F(slot_router_test, APoolThatIsSlowAsAWholeEjectsNoEndpoint)
{
  Adopt(4, 4);
  for (int i = 0; i < 500; ++i) {
    Release(Take(), kGood, true);
  }
  EXPECT_TRUE(mRouter.Ejected().empty());
}

TEST_F(slot_router_test, FailuresOfARunnerDoNotCountAgainstItsSuccessor)
{
  Adopt(2, 8);
  const auto taken = TakeAll();
  mView.mVersion.mSequence += 1;
  mView.mEndpoints[0].mEpoch += 1;
  AdoptAgain();
  for (const slot_assignment& placed : taken) {
    const bool first = placed.mHost == host_name("host-0");
    Release(placed, first ? kTimedOut : kGood);
  }
  EXPECT_TRUE(mRouter.Ejected().empty());
}

// A dead endpoint has no requests in flight, so without a back-off the choice
// of the less busy endpoint would send most requests there.
TEST_F(slot_router_test, ADeadEndpointDoesNotAttractTraffic)
{
  Adopt(2, 8);
  std::vector<slot_assignment> busy;
  int notSent = 0;
  while (busy.size() < 8) {
    const slot_assignment placed = Take();
    if (placed.mHost == host_name("host-0")) {
      Release(placed, kNotSent);
      ++notSent;
      Advance(milliseconds(1));
    } else {
      busy.push_back(placed);
    }
  }
  EXPECT_LE(notSent, 3);
}

TEST_F(slot_router_test, TakesTheLessBusyOfTwoRandomEndpoints)
{
  Adopt(10, 8);
  std::vector<int> perHost(10);
  for (int i = 0; i < 40; ++i) {
    const slot_assignment placed = Take();
    ++perHost[static_cast<std::size_t>(placed.mHost.Str().back() - '0')];
  }
  for (const int count : perHost) {
    EXPECT_GE(count, 1);
    EXPECT_LE(count, 7);
  }
}

} // namespace
} // namespace mangospan::request
