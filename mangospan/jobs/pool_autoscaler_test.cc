#include "mangospan/jobs/pool_autoscaler.h"

#include <algorithm>

#include <gtest/gtest.h>

namespace mangospan::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point kStart{ std::chrono::hours(1) };
const service_name kHot{ "hot" };
const service_name kCold{ "cold" };
const service_name kSpare{ "spare" };
constexpr resources kHost{ 16'000, 65'536, 0 };

host_view
Host(const std::string& aName, const service_name& aPool, std::size_t aRuns)
{
  host_view out;
  out.mHost = host_name{ aName };
  out.mPool = aPool;
  out.mIsUp = true;
  out.mAreRunsKnown = true;
  out.mCanGetRuns = true;
  out.mIsSpare = aPool == kSpare;
  out.mRunCount = aRuns;
  out.mCapacity = kHost;
  return out;
}

std::map<service_name, pool_load>
Loads(std::int64_t aHotCpu, std::int64_t aColdCpu)
{
  return { { kHot, { { aHotCpu, 0, 0 }, {}, 0, true } },
           { kCold, { { aColdCpu, 0, 0 }, {}, 0, true } } };
}

// The result of a simulation of 40 seconds with two pools of eight hosts and
// four spare hosts. The pools peak alternately, for five seconds each; a peak
// requests twice the capacity of the pool.
struct replay_result
{
  double mServedFraction = 0; // served part of the requested CPU time
  // CPU time served for each second that a host is in a pool, in thousandths of
  // a core.
  double mUtilization = 0;
};

replay_result
ReplayAlternatingPeaks(bool aIsAutoscaling)
{
  constexpr milliseconds kStep{ 100 };
  constexpr milliseconds kMoveTime{ 1'500 };
  pool_autoscaler autoscaler{ autoscaler_settings{} };
  struct placement
  {
    service_name mPool;
    time_point mAvailableAt{};
  };
  std::map<std::string, placement> placements;
  for (int i = 0; i < 20; ++i) {
    const service_name pool = i < 8 ? kHot : i < 16 ? kCold : kSpare;
    placements["h" + std::to_string(i)] = { pool, kStart };
  }
  double requested = 0;
  double served = 0;
  double hostSeconds = 0;
  for (time_point now = kStart; now < kStart + std::chrono::seconds(40);
       now += kStep) {
    const bool isHotPeak = (now - kStart) / std::chrono::seconds(5) % 2 == 0;
    const auto loads =
      isHotPeak ? Loads(256'000, 6'000) : Loads(6'000, 256'000);
    std::vector<host_view> views;
    std::map<service_name, std::int64_t> remaining;
    for (const auto& [service, load] : loads) {
      remaining[service] = load.mRequested.mCpu;
      requested += static_cast<double>(load.mRequested.mCpu);
    }
    for (const auto& [name, each] : placements) {
      host_view view = Host(name, each.mPool, 0);
      view.mIsUp = now >= each.mAvailableAt;
      if (view.mIsUp && !view.mIsSpare) {
        const auto used = std::min(remaining[each.mPool], kHost.mCpu);
        remaining[each.mPool] -= used;
        served += static_cast<double>(used);
        view.mRunCount = used > 0 ? 1 : 0;
      }
      hostSeconds += view.mIsSpare ? 0 : 0.1;
      views.push_back(view);
    }
    if (!aIsAutoscaling) {
      continue;
    }
    for (const move_order& each :
         autoscaler.Decide(loads, kSpare, views, {}, now, now)) {
      autoscaler.OnMovePending(each, now);
      placements[each.mHost.Str()] = { each.mPool, now + kMoveTime };
    }
  }
  return { served / requested, served / hostSeconds };
}

TEST(pool_autoscaler_test,
     AutoscalingServesMoreAndRaisesUtilizationUnderAlternatingPeaks)
{
  const replay_result withoutMoves = ReplayAlternatingPeaks(false);
  const replay_result withMoves = ReplayAlternatingPeaks(true);
  EXPECT_LT(withoutMoves.mServedFraction, 0.56);
  EXPECT_GT(withMoves.mServedFraction, withoutMoves.mServedFraction + 0.15);
  EXPECT_GT(withMoves.mUtilization, withoutMoves.mUtilization);
}

TEST(pool_autoscaler_test, SpareHostsMoveToThePoolThatLacksCapacity)
{
  pool_autoscaler autoscaler{ autoscaler_settings{} };
  const std::vector<host_view> hosts{ Host("a", kHot, 1),
                                      Host("b", kHot, 1),
                                      Host("c", kCold, 1),
                                      Host("d", kCold, 1),
                                      Host("e", kSpare, 0) };
  const auto moves =
    autoscaler.Decide(Loads(40'000, 10'000), kSpare, hosts, {}, kStart, kStart);
  ASSERT_EQ(moves.size(), 1U);
  EXPECT_EQ(moves[0].mHost.Str(), "e");
  EXPECT_EQ(moves[0].mPool, kHot);
}

TEST(pool_autoscaler_test, ABusyHostIsNeverMoved)
{
  pool_autoscaler autoscaler{ autoscaler_settings{} };
  const std::vector<host_view> hosts{ Host("a", kHot, 1),
                                      Host("b", kHot, 1),
                                      Host("c", kCold, 2),
                                      Host("d", kCold, 1),
                                      Host("e", kCold, 3) };
  EXPECT_TRUE(
    autoscaler.Decide(Loads(90'000, 0), kSpare, hosts, {}, kStart, kStart)
      .empty());
}

TEST(pool_autoscaler_test, AHostMovesToTheSparePoolAfterTheMinimumIdleTime)
{
  pool_autoscaler autoscaler{ autoscaler_settings{} };
  const std::vector<host_view> hosts{ Host("a", kHot, 1),
                                      Host("b", kHot, 1),
                                      Host("c", kHot, 0),
                                      Host("d", kCold, 1),
                                      Host("e", kCold, 1) };
  const auto loads = Loads(10'000, 10'000);
  EXPECT_TRUE(
    autoscaler.Decide(loads, kSpare, hosts, {}, kStart, kStart).empty());
  const time_point later = kStart + seconds(1);
  const auto moves = autoscaler.Decide(loads, kSpare, hosts, {}, later, later);
  ASSERT_EQ(moves.size(), 1U);
  EXPECT_EQ(moves[0].mHost.Str(), "c");
  EXPECT_EQ(moves[0].mPool, kSpare);
}

// Guards against counting a host as capacity that is up, but whose runner can't
// get tasks because it does not answer.
TEST(pool_autoscaler_test, AHostWithAnUnresponsiveRunnerIsNoCapacity)
{
  pool_autoscaler autoscaler{ autoscaler_settings{} };
  std::vector<host_view> hosts{ Host("a", kHot, 1),
                                Host("b", kHot, 1),
                                Host("c", kCold, 1),
                                Host("d", kCold, 1),
                                Host("e", kSpare, 0) };
  hosts[1].mIsUnschedulable = true;
  const auto moves =
    autoscaler.Decide(Loads(10'000, 10'000), kSpare, hosts, {}, kStart, kStart);
  ASSERT_EQ(moves.size(), 1U);
  EXPECT_EQ(moves[0].mPool, kHot);
}

TEST(pool_autoscaler_test, AHostReservedForMaintenanceIsNotMoved)
{
  pool_autoscaler autoscaler{ autoscaler_settings{} };
  const std::vector<host_view> hosts{ Host("a", kHot, 1),
                                      Host("b", kHot, 1),
                                      Host("e", kSpare, 0) };
  EXPECT_TRUE(
    autoscaler
      .Decide(
        Loads(90'000, 0), kSpare, hosts, { host_name{ "e" } }, kStart, kStart)
      .empty());
}

// Guards against ordering hosts too late: 0.1 seconds into a peak few tasks
// wait, but the hosts that the peak will need take 1.5 seconds to move.
TEST(pool_autoscaler_test, HostsMoveForForecastLoad)
{
  pool_autoscaler autoscaler{ autoscaler_settings{} };
  std::vector<host_view> hosts{ Host("a", kHot, 3), Host("b", kHot, 3) };
  for (int i = 0; i < 10; ++i) {
    hosts.push_back(Host("s" + std::to_string(i), kSpare, 0));
  }
  auto loads = Loads(30'000, 0);
  loads[kHot].mForecast = { 120'000, 0, 0 };
  const auto moves =
    autoscaler.Decide(loads, kSpare, hosts, {}, kStart, kStart);
  const auto toHot =
    std::count_if(moves.begin(), moves.end(), [](const move_order& aEach) {
      return aEach.mPool == kHot;
    });
  EXPECT_EQ(toHot, 6); // 120 cores need eight hosts of 16 cores; two are there
}

// While a pool's owner can not accept jobs, its hosts are idle for want of jobs
// that callers keep back. They are not released as soon as it can again.
TEST(pool_autoscaler_test, HostsIdleDuringAnOutageAreNotReleasedAtItsEnd)
{
  pool_autoscaler autoscaler{ autoscaler_settings{} };
  std::vector<host_view> hosts;
  for (int i = 0; i < 8; ++i) {
    hosts.push_back(Host("h" + std::to_string(i), kHot, 0));
    hosts.push_back(Host("c" + std::to_string(i), kCold, 1));
  }
  auto loads = Loads(0, 0);
  loads[kHot].mIsAcceptingJobs = false;
  time_point now = kStart;
  for (; now < kStart + seconds(6); now += milliseconds(100)) {
    EXPECT_TRUE(autoscaler.Decide(loads, kSpare, hosts, {}, now, now).empty());
  }
  loads[kHot].mIsAcceptingJobs = true;
  EXPECT_TRUE(autoscaler.Decide(loads, kSpare, hosts, {}, now, now).empty());
  now += autoscaler_settings{}.mMinIdleTime;
  EXPECT_FALSE(autoscaler.Decide(loads, kSpare, hosts, {}, now, now).empty());
}

} // namespace
} // namespace mangospan::jobs
