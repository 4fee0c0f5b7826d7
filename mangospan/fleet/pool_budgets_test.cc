#include "mangospan/fleet/pool_budgets.h"

#include <gtest/gtest.h>

#include "mangospan/fleet/testing/fake_platform.h"

namespace mangospan::fleet {
namespace {

using std::chrono::milliseconds;

const pool_name kPool("work");
const zone_name kZone("a");
const zone_name kOtherZone("b");
const host_name kHost("a-0");
constexpr std::uint64_t kTerm = 9;

class pool_budgets_test : public ::testing::Test
{
protected:
  pool_budgets_test()
    : mStore(mEvents, 1)
  {
    mDemand.mHostCount = 4;
    mDemand.mRequestedPermits = {
      { kHost, host_purpose::kMaintenance, 1, false }
    };
    mStore.Put(LeaderKey(kOtherZone), "{}");
  }

  // Stores a budget record in which the other zone has `aHosts` hosts, `aDown`
  // of them down.
  void PutOtherZone(std::size_t aHosts, std::size_t aDown)
  {
    budget_record record;
    zone_budget_part& part = record.mZones[kOtherZone];
    part.mHostCount = aHosts;
    for (std::size_t i = 0; i < aDown; ++i) {
      part.mDownHosts.push_back(host_name("b-" + std::to_string(i)));
    }
    mStore.Put(BudgetKey(kPool), ToText(record));
  }

  // Runs the component for 100 steps of 50 ms each. Returns true if `kHost` has
  // a permit of `aTerm` afterwards.
  bool MayDrain(std::size_t aBudget, std::uint64_t aTerm = kTerm)
  {
    mDemand.mBudget.mCount = aBudget;
    for (int i = 0; i < 100; ++i) {
      mBudgets.OnTick(mEvents.Now(), mQueue);
      mBudgets.Step({ { kPool, mDemand } }, aTerm, mIds, mEvents.Now(), mQueue);
      for (const action& each : mQueue.Take()) {
        const auto& call = std::get<store_call>(each);
        mStore.Call(call.mOperation,
                    [this, id = call.mId](const store_result& aResult) {
                      mBudgets.OnResult(id, aResult, mEvents.Now(), mQueue);
                    });
      }
      mEvents.RunUntil(mEvents.Now() + milliseconds(50));
    }
    return mBudgets.HasPermit(kPool, kHost, aTerm);
  }

  testing::event_queue mEvents;
  testing::fake_store mStore;
  action_queue mQueue;
  write_ids mIds{ boot_id{ 3 } };
  permit_demand mDemand;
  pool_budgets mBudgets{ kZone, settings(), 1 };
};

TEST_F(pool_budgets_test, APermitIsInTheStoreBeforeTheHostMayDrain)
{
  EXPECT_TRUE(MayDrain(1));
  const auto record = ParseBudget(mStore.Get(BudgetKey(kPool)), "budget");
  EXPECT_EQ(record.value().mZones.at(kZone).mPermits.at(0).mHost, kHost);
}

TEST_F(pool_budgets_test, DownHostsOfOtherZonesUseTheBudget)
{
  PutOtherZone(4, 1);
  EXPECT_FALSE(MayDrain(1));
  EXPECT_NE(mBudgets.WaitReason(kPool), "");
  EXPECT_TRUE(MayDrain(2));
}

TEST_F(pool_budgets_test, HostsOfAnUnresponsiveZoneCountAsUnavailable)
{
  PutOtherZone(2, 0);
  mStore.Remove(LeaderKey(kOtherZone));
  EXPECT_FALSE(MayDrain(2));
  EXPECT_TRUE(MayDrain(3));
}

TEST_F(pool_budgets_test, DownHostsOfTheOwnZoneUseTheBudget)
{
  mDemand.mDownHosts = { host_name("a-1") };
  EXPECT_FALSE(MayDrain(1));
}

TEST_F(pool_budgets_test, ABudgetOfLessThanOneHostAdmitsNone)
{
  EXPECT_FALSE(MayDrain(0));
}

TEST_F(pool_budgets_test, ABudgetLargerThanThePoolAdmitsEveryHost)
{
  EXPECT_TRUE(MayDrain(100));
}

TEST_F(pool_budgets_test, AShrunkenBudgetRemovesPermitsOfServingHosts)
{
  EXPECT_TRUE(MayDrain(1));
  EXPECT_FALSE(MayDrain(0));
  const auto record = ParseBudget(mStore.Get(BudgetKey(kPool)), "budget");
  EXPECT_TRUE(record.value().mZones.at(kZone).mPermits.empty());
}

// A former holder may still have a write under way that removes the permit.
// Only a write under the current term makes that write fail.
TEST_F(pool_budgets_test, APermitOfAnEarlierTermMustBeRewritten)
{
  EXPECT_TRUE(MayDrain(1));
  EXPECT_FALSE(mBudgets.HasPermit(kPool, kHost, kTerm + 1));
  EXPECT_TRUE(MayDrain(1, kTerm + 1));
}

TEST_F(pool_budgets_test, ThePermitOfAReturnedHostIsRemoved)
{
  EXPECT_TRUE(MayDrain(1));
  mDemand.mRequestedPermits.clear();
  EXPECT_FALSE(MayDrain(1));
  const auto record = ParseBudget(mStore.Get(BudgetKey(kPool)), "budget");
  EXPECT_TRUE(record.value().mZones.at(kZone).mPermits.empty());
}

} // namespace
} // namespace mangospan::fleet
