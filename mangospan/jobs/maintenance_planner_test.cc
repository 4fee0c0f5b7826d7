#include "mangospan/jobs/maintenance_planner.h"

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

} // namespace
} // namespace mangospan::jobs
