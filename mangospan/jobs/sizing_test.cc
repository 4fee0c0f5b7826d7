#include "mangospan/jobs/sizing.h"

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
  out.mIsKnown = true;
  out.mIsSettled = true;
  out.mIsSpare = aPool == kSpare;
  out.mRuns = aRuns;
  out.mCapacity = kHost;
  return out;
}

std::map<service_name, pool_load>
Loads(std::int64_t aHotCpu, std::int64_t aColdCpu)
{
  return { { kHot, { { aHotCpu, 0, 0 }, {}, 0 } },
           { kCold, { { aColdCpu, 0, 0 }, {}, 0 } } };
}

// A fleet of two pools of eight hosts and four spare ones, replayed over turns
// of five seconds in which one queue asks for what its pool does twice over.
struct turn_outcome
{
  double mServedShare = 0; // of the wanted processor time
  double mUse = 0; // processor time served a second that a host is in a pool
};

turn_outcome
ReplayTurns(bool aFollowsLoad)
{
  constexpr milliseconds kStep{ 100 };
  constexpr milliseconds kMoveTime{ 1'500 };
  pool_sizing sizing{ sizing_settings{} };
  struct place
  {
    service_name mPool;
    time_point mFrom{};
  };
  std::map<std::string, place> places;
  for (int i = 0; i < 20; ++i) {
    const service_name pool = i < 8 ? kHot : i < 16 ? kCold : kSpare;
    places["h" + std::to_string(i)] = { pool, kStart };
  }
  double wanted = 0;
  double served = 0;
  double seconds = 0;
  for (time_point now = kStart; now < kStart + std::chrono::seconds(40);
       now += kStep) {
    const bool isFirst = (now - kStart) / std::chrono::seconds(5) % 2 == 0;
    const auto loads = isFirst ? Loads(256'000, 6'000) : Loads(6'000, 256'000);
    std::vector<host_view> views;
    std::map<service_name, std::int64_t> left;
    for (const auto& [service, load] : loads) {
      left[service] = load.mWanted.mCpu;
      wanted += static_cast<double>(load.mWanted.mCpu);
    }
    for (const auto& [name, each] : places) {
      host_view view = Host(name, each.mPool, 0);
      view.mIsUp = now >= each.mFrom;
      if (view.mIsUp && !view.mIsSpare) {
        const auto used = std::min(left[each.mPool], kHost.mCpu);
        left[each.mPool] -= used;
        served += static_cast<double>(used);
        view.mRuns = used > 0 ? 1 : 0;
      }
      seconds += view.mIsSpare ? 0 : 0.1;
      views.push_back(view);
    }
    if (!aFollowsLoad) {
      continue;
    }
    for (const move_order& each :
         sizing.Decide(loads, kSpare, views, {}, now, now)) {
      sizing.OnMoving(each, now);
      places[each.mHost.Str()] = { each.mPool, now + kMoveTime };
    }
  }
  return { served / wanted, served / seconds };
}

TEST(sizing_test, FollowingTheTurnsServesMoreAndUsesHostsBetter)
{
  const turn_outcome fixed = ReplayTurns(false);
  const turn_outcome following = ReplayTurns(true);
  EXPECT_LT(fixed.mServedShare, 0.56);
  EXPECT_GT(following.mServedShare, fixed.mServedShare + 0.15);
  EXPECT_GT(following.mUse, fixed.mUse);
}

TEST(sizing_test, SpareHostsGoWhereRoomIsMissing)
{
  pool_sizing sizing{ sizing_settings{} };
  const std::vector<host_view> hosts{ Host("a", kHot, 1),
                                      Host("b", kHot, 1),
                                      Host("c", kCold, 1),
                                      Host("d", kCold, 1),
                                      Host("e", kSpare, 0) };
  const auto moves =
    sizing.Decide(Loads(40'000, 10'000), kSpare, hosts, {}, kStart, kStart);
  ASSERT_EQ(moves.size(), 1U);
  EXPECT_EQ(moves[0].mHost.Str(), "e");
  EXPECT_EQ(moves[0].mPool, kHot);
}

TEST(sizing_test, ABusyHostIsNeverMoved)
{
  pool_sizing sizing{ sizing_settings{} };
  const std::vector<host_view> hosts{ Host("a", kHot, 1),
                                      Host("b", kHot, 1),
                                      Host("c", kCold, 2),
                                      Host("d", kCold, 1),
                                      Host("e", kCold, 3) };
  EXPECT_TRUE(
    sizing.Decide(Loads(90'000, 0), kSpare, hosts, {}, kStart, kStart).empty());
}

TEST(sizing_test, AnIdleHostGoesToTheSparePoolOnceItHasBeenIdleForAWhile)
{
  pool_sizing sizing{ sizing_settings{} };
  const std::vector<host_view> hosts{ Host("a", kHot, 1),
                                      Host("b", kHot, 1),
                                      Host("c", kHot, 0),
                                      Host("d", kCold, 1),
                                      Host("e", kCold, 1) };
  const auto loads = Loads(10'000, 10'000);
  EXPECT_TRUE(sizing.Decide(loads, kSpare, hosts, {}, kStart, kStart).empty());
  const time_point later = kStart + seconds(1);
  const auto moves = sizing.Decide(loads, kSpare, hosts, {}, later, later);
  ASSERT_EQ(moves.size(), 1U);
  EXPECT_EQ(moves[0].mHost.Str(), "c");
  EXPECT_EQ(moves[0].mPool, kSpare);
}

// Its host is up, but no task can be placed there.
TEST(sizing_test, ASilentHostIsNoRoom)
{
  pool_sizing sizing{ sizing_settings{} };
  std::vector<host_view> hosts{ Host("a", kHot, 1),
                                Host("b", kHot, 1),
                                Host("c", kCold, 1),
                                Host("d", kCold, 1),
                                Host("e", kSpare, 0) };
  hosts[1].mIsUnfit = true;
  const auto moves =
    sizing.Decide(Loads(10'000, 10'000), kSpare, hosts, {}, kStart, kStart);
  ASSERT_EQ(moves.size(), 1U);
  EXPECT_EQ(moves[0].mPool, kHot);
}

TEST(sizing_test, MaintenanceComesFirst)
{
  pool_sizing sizing{ sizing_settings{} };
  const std::vector<host_view> hosts{ Host("a", kHot, 1),
                                      Host("b", kHot, 1),
                                      Host("e", kSpare, 0) };
  EXPECT_TRUE(
    sizing
      .Decide(
        Loads(90'000, 0), kSpare, hosts, { host_name{ "e" } }, kStart, kStart)
      .empty());
}

// A tenth of a second into a peak little waits yet, but the hosts that it will
// need take 1.5 seconds to come.
TEST(sizing_test, HostsAreSentForWhatIsArriving)
{
  pool_sizing sizing{ sizing_settings{} };
  std::vector<host_view> hosts{ Host("a", kHot, 3), Host("b", kHot, 3) };
  for (int i = 0; i < 10; ++i) {
    hosts.push_back(Host("s" + std::to_string(i), kSpare, 0));
  }
  auto loads = Loads(30'000, 0);
  loads[kHot].mArriving = { 120'000, 0, 0 };
  const auto moves = sizing.Decide(loads, kSpare, hosts, {}, kStart, kStart);
  const auto toHot =
    std::count_if(moves.begin(), moves.end(), [](const move_order& aEach) {
      return aEach.mPool == kHot;
    });
  EXPECT_EQ(toHot, 6); // eight hosts of 16 cores for 120
}

} // namespace
} // namespace mangospan::jobs
