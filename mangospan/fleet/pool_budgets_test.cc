#include "mangospan/fleet/pool_budgets.h"

#include <gtest/gtest.h>

#include "mangospan/fleet/testing/fake_platform.h"

namespace mangospan::fleet {
namespace {

using std::chrono::milliseconds;

const pool_name kPool("work");
const zone_name kZone("a");
const zone_name kOther("b");
const host_name kHost("a-0");
constexpr std::uint64_t kTerm = 9;

class pool_budgets_test : public ::testing::Test
{
protected:
  pool_budgets_test()
    : mStore(mEvents, 1)
  {
    mDemand.mHosts = 4;
    mDemand.mWanted = { { kHost, host_purpose::kMaintenance, 1, false } };
    mStore.Put(LeaderKey(kOther), "{}");
  }

  void PutOther(std::size_t aHosts, std::size_t aDown)
  {
    budget_record record;
    zone_share& share = record.mZones[kOther];
    share.mHosts = aHosts;
    for (std::size_t i = 0; i < aDown; ++i) {
      share.mDown.push_back(host_name("b-" + std::to_string(i)));
    }
    mStore.Put(BudgetKey(kPool), ToText(record));
  }

  // True if the host may drain after some time of trying.
  bool Granted(std::size_t aBudget, std::uint64_t aTerm = kTerm)
  {
    mDemand.mBudget.mCount = aBudget;
    for (int i = 0; i < 100; ++i) {
      mBudgets.OnTick(mEvents.Now(), mQueue);
      mBudgets.Step({ { kPool, mDemand } }, aTerm, mIds, mEvents.Now(), mQueue);
      for (const action& each : mQueue.Take()) {
        const auto& call = std::get<store_call>(each);
        mStore.Call(call.mOperation,
                    [this, id = call.mId](const store_result& aIn) {
                      mBudgets.OnResult(id, aIn, mEvents.Now(), mQueue);
                    });
      }
      mEvents.RunUntil(mEvents.Now() + milliseconds(50));
    }
    return mBudgets.Permitted(kPool, kHost, aTerm);
  }

  testing::event_queue mEvents;
  testing::fake_store mStore;
  action_queue mQueue;
  write_ids mIds{ boot_id{ 3 } };
  pool_demand mDemand;
  pool_budgets mBudgets{ kZone, settings(), 1 };
};

TEST_F(pool_budgets_test, APermitIsInTheStoreBeforeItCounts)
{
  EXPECT_TRUE(Granted(1));
  const auto record = ParseBudget(mStore.Get(BudgetKey(kPool)), "budget");
  EXPECT_EQ(record.value().mZones.at(kZone).mPermits.at(0).mHost, kHost);
}

TEST_F(pool_budgets_test, HostsDownInOtherZonesCount)
{
  PutOther(4, 1);
  EXPECT_FALSE(Granted(1));
  EXPECT_NE(mBudgets.WaitReason(kPool), "");
  EXPECT_TRUE(Granted(2));
}

TEST_F(pool_budgets_test, HostsOfASilentZoneCountAsUnavailable)
{
  PutOther(2, 0);
  mStore.Remove(LeaderKey(kOther));
  EXPECT_FALSE(Granted(2));
  EXPECT_TRUE(Granted(3));
}

TEST_F(pool_budgets_test, HostsDownInTheOwnZoneCount)
{
  mDemand.mDown = { host_name("a-1") };
  EXPECT_FALSE(Granted(1));
}

TEST_F(pool_budgets_test, ABudgetOfLessThanOneHostAdmitsNone)
{
  EXPECT_FALSE(Granted(0));
}

TEST_F(pool_budgets_test, ABudgetLargerThanThePoolAdmitsEveryHost)
{
  EXPECT_TRUE(Granted(100));
}

TEST_F(pool_budgets_test, ABudgetThatShrinksTakesBackUnusedPermits)
{
  EXPECT_TRUE(Granted(1));
  EXPECT_FALSE(Granted(0));
  const auto record = ParseBudget(mStore.Get(BudgetKey(kPool)), "budget");
  EXPECT_TRUE(record.value().mZones.at(kZone).mPermits.empty());
}

TEST_F(pool_budgets_test, APermitOfAFormerTermCountsOnlyOnceRewritten)
{
  EXPECT_TRUE(Granted(1));
  EXPECT_FALSE(mBudgets.Permitted(kPool, kHost, kTerm + 1));
  EXPECT_TRUE(Granted(1, kTerm + 1));
}

TEST_F(pool_budgets_test, AReturnedHostGivesItsPermitBack)
{
  EXPECT_TRUE(Granted(1));
  mDemand.mWanted.clear();
  EXPECT_FALSE(Granted(1));
  const auto record = ParseBudget(mStore.Get(BudgetKey(kPool)), "budget");
  EXPECT_TRUE(record.value().mZones.at(kZone).mPermits.empty());
}

} // namespace
} // namespace mangospan::fleet
