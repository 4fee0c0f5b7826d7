#include "mangospan/jobs/maintenance_planner.h"

#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace mangospan::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point kStart{ std::chrono::hours(1) };

std::vector<host_name>
Hosts(std::size_t aCount)
{
  std::vector<host_name> out;
  for (std::size_t i = 0; i < aCount; ++i) {
    out.push_back(host_name{ "h" + std::to_string(i) });
  }
  return out;
}

std::vector<host_view>
Views(const std::vector<host_name>& aHosts)
{
  std::vector<host_view> out;
  for (const host_name& each : aHosts) {
    host_view view;
    view.mHost = each;
    view.mIsUp = true;
    view.mAreRunsKnown = true;
    out.push_back(view);
  }
  return out;
}

TEST(maintenance_planner_test, DrainedHostsGoDownUpToTheLimit)
{
  maintenance_planner planner{ maintenance_settings{} };
  const auto hosts = Hosts(6);
  planner.AddWave(1, hosts, kStart + seconds(20), 2);
  planner.Decide(Views(hosts), kStart, kStart);
  const auto decision =
    planner.Decide(Views(hosts), kStart, kStart + milliseconds(50));
  EXPECT_EQ(decision.mOrders.size(), 2U);
}

// A host that was given back gets runs, which are not to be cut short because
// its drain had begun long ago.
TEST(maintenance_planner_test, HostsThatWereGivenBackAreDrainedAnew)
{
  maintenance_planner planner{ maintenance_settings{} };
  const auto hosts = Hosts(2);
  planner.AddWave(1, hosts, kStart + seconds(20), 1);
  auto views = Views(hosts);
  views[0].mRunCount = 1;
  views[1].mRunCount = 1;
  planner.Decide(views, kStart, kStart);
  planner.StopDraining();
  EXPECT_TRUE(planner.OrderedHosts().empty());
  const time_point later = kStart + seconds(10);
  EXPECT_TRUE(planner.Decide(views, later, later).mOrders.empty());
  EXPECT_TRUE(planner.Decide(views, later, later + seconds(5)).mOrders.empty());
}

TEST(maintenance_planner_test,
     HostsThatAnEarlierOwnerTookDownCountAgainstTheLimit)
{
  maintenance_planner planner{ maintenance_settings{} };
  const auto hosts = Hosts(6);
  planner.AddWave(1, hosts, kStart + seconds(20), 2);
  auto views = Views(hosts);
  for (int i : { 0, 1 }) {
    views[i].mIsUp = false;
    views[i].mIsInMaintenance = true;
  }
  planner.Decide(views, kStart, kStart);
  EXPECT_TRUE(
    planner.Decide(views, kStart, kStart + milliseconds(50)).mOrders.empty());
}

TEST(maintenance_planner_test, AHostWithUnknownRunsIsNotTreatedAsDrained)
{
  maintenance_planner planner{ maintenance_settings{} };
  const auto hosts = Hosts(1);
  planner.AddWave(1, hosts, kStart + seconds(20), 1);
  auto views = Views(hosts);
  views[0].mAreRunsKnown = false;
  planner.Decide(views, kStart, kStart);
  EXPECT_TRUE(
    planner.Decide(views, kStart, kStart + seconds(10)).mOrders.empty());
}

TEST(maintenance_planner_test, LongRunningRunsAreEvictedBeforeTheHostGoesDown)
{
  maintenance_planner planner{ maintenance_settings{} };
  const auto hosts = Hosts(1);
  planner.AddWave(1, hosts, kStart + seconds(20), 1);
  auto views = Views(hosts);
  views[0].mRunCount = 1;
  views[0].mLongRunningCount = 1;
  planner.Decide(views, kStart, kStart);
  const auto decision = planner.Decide(views, kStart, kStart + seconds(10));
  EXPECT_TRUE(decision.mOrders.empty());
  EXPECT_EQ(decision.mEvictFrom.size(), 1U);
  EXPECT_EQ(decision.mCordoned.size(), 1U);
}

TEST(maintenance_planner_test, HostIsGivenBackForAWhileOnlyIfItsDrainIsStuck)
{
  maintenance_planner planner{ maintenance_settings{} };
  const auto hosts = Hosts(1);
  planner.AddWave(1, hosts, kStart + seconds(60), 1);
  auto views = Views(hosts);
  views[0].mRunCount = 3;
  views[0].mLongRunningCount = 3;
  std::string cordoned; // one character for each second
  for (int i = 0; i < 24; ++i) {
    views[0].mLongRunningCount -= i == 5 || i == 10 ? 1 : 0;
    const time_point now = kStart + seconds(i);
    cordoned += planner.Decide(views, now, now).mCordoned.empty() ? '-' : 'x';
  }
  EXPECT_EQ(cordoned, "xxxxxxxxxxxxxxxxx--xxxxx");
}

TEST(maintenance_planner_test, AnUnknownResultIsResolvedByRepeatingTheOrder)
{
  maintenance_planner planner{ maintenance_settings{} };
  const auto hosts = Hosts(2);
  planner.AddWave(1, hosts, kStart + seconds(20), 1);
  planner.Decide(Views(hosts), kStart, kStart);
  const auto first =
    planner.Decide(Views(hosts), kStart, kStart + milliseconds(50)).mOrders;
  ASSERT_EQ(first.size(), 1U);
  planner.OnResultUnknown(first[0], kStart + seconds(1));
  const auto repeated =
    planner.Decide(Views(hosts), kStart + seconds(1), kStart + seconds(2))
      .mOrders;
  ASSERT_EQ(repeated.size(), 1U);
  EXPECT_EQ(repeated[0].mHost, first[0].mHost);
}

// Guards against a host that goes down by a late order of an earlier owner
// beside one that this owner has taken down (rule LIMIT).
TEST(maintenance_planner_test, AnEarlierOwnersOrderCountsUntilItIsSettled)
{
  maintenance_planner planner{ maintenance_settings{} };
  const auto hosts = Hosts(3);
  planner.AddUnsettledOrder({ hosts[2], 1 });
  planner.AddWave(1, hosts, kStart + seconds(20), 1);
  const auto decide = [&](milliseconds aAt,
                          const std::vector<host_view>& aHosts) {
    std::vector<host_name> out;
    const time_point now = kStart + aAt;
    for (const auto& each : planner.Decide(aHosts, now, now).mOrders) {
      out.push_back(each.mHost);
    }
    return out;
  };
  auto views = Views(hosts);
  decide(milliseconds(0), views);
  const std::vector<host_name> inDoubt{ hosts[2] };
  EXPECT_EQ(decide(milliseconds(50), views), inDoubt);
  planner.OnNotExecuted({ hosts[2], 1 }, kStart + milliseconds(60));
  EXPECT_TRUE(decide(milliseconds(100), views).empty());
  EXPECT_EQ(decide(milliseconds(400), views), inDoubt);
  planner.OnExecuted({ hosts[2], 1 }, kStart + milliseconds(410));
  EXPECT_FALSE(planner.IsUnsettled(hosts[2]));
  views[2].mIsUp = false;
  views[2].mIsInMaintenance = true;
  EXPECT_TRUE(decide(milliseconds(500), views).empty());
  views[2].mIsUp = true;
  views[2].mIsInMaintenance = false;
  EXPECT_EQ(decide(seconds(3), views).size(), 1U);
}

// Guards against a wave that stands still after a takeover, since hosts that
// have been down for their maintenance count as if they might still go down.
TEST(maintenance_planner_test, AMaintainedHostHasNoUnsettledOrder)
{
  for (const bool isOrderKnownFirst : { false, true }) {
    maintenance_planner planner{ maintenance_settings{} };
    const auto hosts = Hosts(2);
    planner.AddWave(1, hosts, kStart + seconds(20), 1);
    if (isOrderKnownFirst) {
      planner.AddUnsettledOrder({ hosts[0], 1 });
    }
    planner.AddMaintainedHosts(1, { hosts[0] });
    if (!isOrderKnownFirst) {
      planner.AddUnsettledOrder({ hosts[0], 1 });
    }
    EXPECT_FALSE(planner.IsUnsettled(hosts[0]));
    planner.Decide(Views(hosts), kStart, kStart);
    const time_point later = kStart + milliseconds(50);
    const auto orders = planner.Decide(Views(hosts), later, later).mOrders;
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders[0].mHost, hosts[1]);
  }
}

TEST(maintenance_planner_test, TheWaveIsCompletedOnceEveryHostIsUpAgain)
{
  maintenance_planner planner{ maintenance_settings{} };
  const auto hosts = Hosts(1);
  planner.AddWave(1, hosts, kStart + seconds(20), 1);
  planner.OnExecuted({ hosts[0], 1 }, kStart);
  EXPECT_FALSE(planner.IsCompleted(1));
  planner.Decide(Views(hosts), kStart + seconds(3), kStart + seconds(3));
  EXPECT_TRUE(planner.IsCompleted(1));
}

// Two hosts, of which one may be down at a time. "h0" has been taken down.
class lost_host_test : public ::testing::Test
{
protected:
  lost_host_test()
  {
    mPlanner.AddWave(1, mHosts, kStart + seconds(60), 1);
    mPlanner.Decide(mViews, kStart, kStart);
    mPlanner.Decide(mViews, kStart, kStart + milliseconds(50));
    mViews[0].mIsUp = false;
  }
  // Plans for `aTime` with the present views, and executes the orders.
  void PlanFor(milliseconds aTime)
  {
    for (const time_point end = mNow + aTime; mNow < end;) {
      mNow += milliseconds(500);
      for (const auto& each : mPlanner.Decide(mViews, mNow, mNow).mOrders) {
        mOrders.push_back(each.mHost);
        mPlanner.OnExecuted(each, mNow);
      }
    }
  }
  std::set<host_name> Cordoned()
  {
    return mPlanner.Decide(mViews, mNow, mNow).mCordoned;
  }

  const std::vector<host_name> mHosts = Hosts(2);
  std::vector<host_view> mViews = Views(mHosts);
  maintenance_planner mPlanner{ maintenance_settings{} };
  time_point mNow = kStart + milliseconds(50);
  std::vector<host_name> mOrders;
};

TEST_F(lost_host_test, WaveGoesOnWithoutAHostThatWasLostWhileItWasDown)
{
  mPlanner.OnExecuted({ mHosts[0], 1 }, mNow);
  mViews[0].mIsInMaintenance = true;
  PlanFor(seconds(2));
  mViews[0].mIsInMaintenance = false; // listed as down
  PlanFor(seconds(10));
  EXPECT_EQ(mOrders, std::vector<host_name>{ mHosts[1] });
  PlanFor(seconds(1));
  EXPECT_TRUE(mPlanner.IsCompleted(1));
  EXPECT_TRUE(Cordoned().empty());
}

TEST_F(lost_host_test, WaveGoesOnWithoutAHostThatIsNoLongerListed)
{
  mPlanner.OnExecuted({ mHosts[0], 1 }, mNow);
  mViews.erase(mViews.begin());
  PlanFor(seconds(10));
  EXPECT_EQ(mOrders, std::vector<host_name>{ mHosts[1] });
  PlanFor(seconds(1));
  EXPECT_TRUE(mPlanner.IsCompleted(1));
}

TEST_F(lost_host_test, WaveGoesOnWithoutAHostThatAnEarlierOwnerTookDown)
{
  maintenance_planner successor{ maintenance_settings{} };
  successor.AddWave(2, mHosts, kStart + seconds(60), 1);
  successor.AddMaintainedHosts(2, { mHosts[0] });
  for (int i = 0; i < 3; ++i) {
    const time_point now = kStart + seconds(i);
    EXPECT_TRUE(successor.Decide(mViews, now, now).mOrders.empty());
  }
  const time_point later = kStart + seconds(10);
  const auto orders = successor.Decide(mViews, later, later).mOrders;
  ASSERT_EQ(orders.size(), 1U);
  EXPECT_EQ(orders[0].mHost, mHosts[1]);
}

// Whether the order was executed is not known, so the host may still have to be
// maintained.
TEST_F(lost_host_test, HostThatWasLostWithoutAResultIsOrderedOnceItIsBack)
{
  mPlanner.OnResultUnknown({ mHosts[0], 1 }, mNow);
  PlanFor(seconds(30));
  EXPECT_EQ(mOrders, std::vector<host_name>{ mHosts[1] });
  EXPECT_FALSE(mPlanner.IsCompleted(1));
  mViews[0].mIsUp = true;
  PlanFor(seconds(2));
  EXPECT_EQ(mOrders, (std::vector<host_name>{ mHosts[1], mHosts[0] }));
  PlanFor(seconds(1));
  EXPECT_TRUE(mPlanner.IsCompleted(1));
}

TEST_F(lost_host_test, HostInMaintenanceCountsForAsLongAsItIsListedSo)
{
  mPlanner.OnExecuted({ mHosts[0], 1 }, mNow);
  mViews[0].mIsInMaintenance = true;
  PlanFor(seconds(60));
  EXPECT_TRUE(mOrders.empty());
}

// The hosts may have changed since the listing.
TEST_F(lost_host_test, HostCountsWhileThereIsNoNewListing)
{
  mPlanner.OnExecuted({ mHosts[0], 1 }, mNow);
  const time_point listedAt = mNow + seconds(1);
  for (int i = 1; i <= 60; ++i) {
    EXPECT_TRUE(
      mPlanner.Decide(mViews, listedAt, mNow + seconds(i)).mOrders.empty());
  }
}

} // namespace
} // namespace mangospan::jobs
