#include "mangospan/node/fleet_controller.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <set>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

#include "mangospan/base/timer.h"
#include "mangospan/node/election.h"
#include "mangospan/node/testing/memory_store.h"
#include "mangospan/node/testing/runner_records.h"

namespace mangospan::node {
namespace {

using jobs::runner_name;
using std::chrono::milliseconds;

constexpr milliseconds kOrderTimeout{ 600 };

const service_name kHot{ "hot" };
const service_name kCold{ "cold" };

// Hosts h0 to h5, two in the hot pool and four in the cold one.
class fake_hosts final : public host_port
{
public:
  explicit fake_hosts(boost::asio::io_context& aIo)
    : mIo(aIo)
  {
    for (int i = 0; i < 6; ++i) {
      host_entry each;
      each.mHost = host_name{ "h" + std::to_string(i) };
      each.mPool = i < 2 ? kHot : kCold;
      each.mRunner = runner_name{ "r" + std::to_string(i) };
      each.mCapacity = { 16'000, 64'000, 0 };
      mHosts.push_back(each);
    }
  }
  void List(
    std::function<void(result<std::vector<host_entry>>)> aHandler) override
  {
    if (mIsSilent) {
      const error silence{ error_code::kTimeout, "hosts.list", "", "silent" };
      boost::asio::post(mIo, [silence, aHandler] { aHandler(silence); });
      return;
    }
    boost::asio::post(mIo, [this, aHandler] { aHandler(mHosts); });
  }
  void Move(const order_fence& /*aFence*/,
            const host_name& aHost,
            const service_name& /*aPool*/,
            host_order_handler /*aHandler*/) override
  {
    mMovedHosts.push_back(aHost);
  }
  void Maintain(const order_fence& /*aFence*/,
                const host_name& aHost,
                std::uint64_t /*aWave*/,
                host_order_handler aHandler) override
  {
    ++mMaintainCount;
    const host_order_outcome outcome =
      mOnMaintain ? mOnMaintain(aHost) : host_order_outcome::kNotExecuted;
    const auto answered = std::make_shared<timer>(
      mIo,
      outcome == host_order_outcome::kUnknown ? kOrderTimeout
                                              : milliseconds(0));
    answered->async_wait(
      [answered, outcome, aHandler](
        const boost::system::error_code& /*aError*/) { aHandler(outcome); });
  }
  host_entry& Entry(const host_name& aHost)
  {
    return *std::find_if(
      mHosts.begin(), mHosts.end(), [&aHost](const host_entry& aEntry) {
        return aEntry.mHost == aHost;
      });
  }

  bool mIsSilent = false; // lists no hosts
  std::vector<host_name> mMovedHosts;
  int mMaintainCount = 0;
  // Executes a maintenance order.
  std::function<host_order_outcome(const host_name&)> mOnMaintain;

private:
  boost::asio::io_context& mIo;
  std::vector<host_entry> mHosts;
};

// The owners of both pools. The hot pool needs more hosts than it has.
class fake_pools final : public pool_link
{
public:
  explicit fake_pools(boost::asio::io_context& aIo)
    : mIo(aIo)
  {
    mStates[kHot].mLoad.mRequested = { 60'000, 0, 0 };
    mStates[kCold];
    for (int i = 0; i < 6; ++i) {
      runner_state each;
      each.mAreRunsKnown = true;
      each.mCanGetRuns = true;
      each.mRunCount = i < 2 ? 5 : 0;
      mStates[i < 2 ? kHot : kCold]
        .mRunners[runner_name{ "r" + std::to_string(i) }] = each;
    }
  }
  std::vector<service_name> Pools() const override { return { kHot, kCold }; }
  void Exchange(const service_name& aPool,
                pool_instructions aInstructions,
                pool_state_handler aHandler) override
  {
    ++mExchangeCount;
    mDeadRunners.insert(aInstructions.mDeadRunners.begin(),
                        aInstructions.mDeadRunners.end());
    pool_state& state = mStates[aPool];
    for (auto& [name, each] : state.mRunners) {
      each.mIsCordoned = mAlwaysReportsCordoned ||
                         (mCordons && aInstructions.mCordoned.count(name) > 0);
    }
    if (aPool == kCold && !mAnswersForCold) {
      return; // the answer has not arrived yet
    }
    mIsCordonRequested = mIsCordonRequested || !aInstructions.mCordoned.empty();
    if (aPool == kCold) {
      mCordonedNow = aInstructions.mCordoned;
    }
    boost::asio::post(mIo, [state, aHandler] { aHandler(state); });
  }

  std::map<service_name, pool_state> mStates;
  bool mCordons = true;                // follows the instructions
  bool mAlwaysReportsCordoned = false; // whatever the instructions say
  bool mAnswersForCold = true;         // replies for the cold pool
  bool mIsCordonRequested = false;
  std::set<runner_name> mCordonedNow; // of the cold pool
  int mExchangeCount = 0;
  std::set<runner_name> mDeadRunners; // that were reported

private:
  boost::asio::io_context& mIo;
};

class fleet_controller_test : public ::testing::Test
{
protected:
  fleet_controller_test()
  {
    mFleetRevision = mStore.Put(election::TermKey(FleetSubject()), "1");
    for (auto& [pool, state] : mPools.mStates) {
      state.mTermRevision =
        mStore.Put(election::TermKey(JobsSubject(pool)), "1");
    }
  }
  ~fleet_controller_test() override
  {
    if (mController) {
      mController->Stop();
    }
  }
  void Start()
  {
    jobs::catalog catalog;
    for (const service_name& each : { kHot, kCold }) {
      catalog.mServices.emplace(each, jobs::service_policy{ each, false });
    }
    mController = std::make_shared<fleet_controller>(
      fleet_controller_dependencies{
        mIo, mClock, mStore, mHosts, mPools, mFormat },
      fleet_controller_settings{},
      order_fence{ "n" + std::to_string(mTerm), mTerm },
      mFleetRevision,
      [] { return true; });
    mController->SetCatalog(catalog);
    mController->Start();
  }
  // Makes another node the owner of the fleet, which has read nothing yet.
  void Replace()
  {
    mController->Stop();
    mFleetRevision = mStore.Put(election::TermKey(FleetSubject()), "2");
    mTerm = 2;
    Start();
  }
  template<typename Condition>
  void RunUntil(const Condition& aCondition)
  {
    while (!aCondition()) {
      mClock.Advance(milliseconds(1));
      mIo.restart();
      mIo.poll();
    }
  }
  void RunFor(milliseconds aTime)
  {
    const time_point end = mClock.Now() + aTime;
    RunUntil([this, end] { return mClock.Now() >= end; });
  }

  manual_clock mClock;
  virtual_time_scope mScope{ mClock };
  boost::asio::io_context mIo;
  std::uint64_t mTerm = 1;
  testing::memory_store mStore{ mIo };
  testing::runner_records mFormat;
  fake_hosts mHosts{ mIo };
  fake_pools mPools{ mIo };
  platform::revision mFleetRevision = 0;
  std::shared_ptr<fleet_controller> mController;
};

TEST_F(fleet_controller_test, DrainedHostMovesOnceItsRunnerIsCordoned)
{
  Start();
  RunUntil([this] { return !mHosts.mMovedHosts.empty(); });
  EXPECT_TRUE(mPools.mIsCordonRequested);
  EXPECT_NE(mStore.Value(kHostOrdersKey), "");
}

TEST_F(fleet_controller_test, NothingMovesUntilOwnerCordonsRunner)
{
  mPools.mCordons = false;
  Start();
  RunUntil(
    [this] { return mPools.mIsCordonRequested && mPools.mExchangeCount > 20; });
  EXPECT_TRUE(mHosts.mMovedHosts.empty());
}

// An owner that receives instructions without a cordoned runner may start a run
// on it before its answer arrives. The controller must not move the host on the
// strength of an earlier answer that reported the runner as cordoned.
TEST_F(fleet_controller_test, UncordonedRunnerIsNotTakenAsCordoned)
{
  mPools.mStates[kHot].mLoad.mRequested = { 0, 0, 0 };
  for (auto& [runner, each] : mPools.mStates[kCold].mRunners) {
    each.mIsCordoned = true; // as an earlier fleet owner asked
  }
  mPools.mAlwaysReportsCordoned = true;
  Start();
  RunUntil([this] { return mPools.mExchangeCount >= 2; });
  mPools.mStates[kHot].mLoad.mRequested = { 60'000, 0, 0 };
  mPools.mAnswersForCold = false;
  const int asked = mPools.mExchangeCount;
  RunUntil([this, asked] { return mPools.mExchangeCount > asked + 8; });
  EXPECT_TRUE(mHosts.mMovedHosts.empty());
}

// The successor of a pool's owner does not know that the runner is cordoned and
// may start a run on it, so a report of the former owner must not cause a move.
TEST_F(fleet_controller_test, ReportOfSupersededPoolOwnerMovesNothing)
{
  mStore.Put(election::TermKey(JobsSubject(kCold)), "2");
  Start();
  RunUntil(
    [this] { return mPools.mIsCordonRequested && mPools.mExchangeCount > 20; });
  EXPECT_TRUE(mHosts.mMovedHosts.empty());
}

// The announcement of an order must fail once the fleet has another owner.
TEST_F(fleet_controller_test, SupersededFleetOwnerMovesNothing)
{
  mStore.Put(election::TermKey(FleetSubject()), "2");
  Start();
  RunUntil(
    [this] { return mPools.mIsCordonRequested && mPools.mExchangeCount > 20; });
  EXPECT_TRUE(mHosts.mMovedHosts.empty());
}

// A move that is not answered yet may still be executed, and end what its
// runner has got meanwhile, though listings show the host where it was.
TEST_F(fleet_controller_test, RunnerStaysCordonedWhileItsMoveIsUnanswered)
{
  Start();
  RunUntil([this] { return !mHosts.mMovedHosts.empty(); });
  const runner_name leaving = mHosts.Entry(mHosts.mMovedHosts.front()).mRunner;
  const int exchanges = mPools.mExchangeCount;
  bool isCordoned = true;
  RunUntil([&] {
    isCordoned =
      isCordoned && mPools.mStates[kCold].mRunners[leaving].mIsCordoned;
    return mPools.mExchangeCount > exchanges + 30;
  });
  EXPECT_TRUE(isCordoned);
}

// A move that waits for its order keeps tasks from its runner, while nobody
// takes orders.
TEST_F(fleet_controller_test, RunnersAreGivenBackWhileNoHostsAreListed)
{
  mPools.mCordons = false; // so that no order goes out
  Start();
  RunUntil([this] { return mPools.mIsCordonRequested; });
  mHosts.mIsSilent = true;
  RunFor(milliseconds(3'500));
  EXPECT_TRUE(mPools.mCordonedNow.empty());
  mHosts.mIsSilent = false;
  RunFor(milliseconds(1'000));
  EXPECT_FALSE(mPools.mCordonedNow.empty());
}

TEST_F(fleet_controller_test, RunnerOfAnnouncedMoveIsNotGivenBack)
{
  Start();
  RunUntil([this] { return !mHosts.mMovedHosts.empty(); });
  const runner_name leaving = mHosts.Entry(mHosts.mMovedHosts.front()).mRunner;
  mHosts.mIsSilent = true;
  RunFor(milliseconds(3'500));
  EXPECT_EQ(mPools.mCordonedNow.count(leaving), 1U);
}

// Keeps two fleet owners from ordering one host in turn: the time of day of the
// second one may be ahead of that of the first, which says nothing of how long
// ago the order was sent.
TEST_F(fleet_controller_test, HostOfEarlierOwnersOrderWaitsWhateverTimeOfDay)
{
  Start();
  RunUntil([this] { return !mHosts.mMovedHosts.empty(); });
  const std::set<host_name> ordered(mHosts.mMovedHosts.begin(),
                                    mHosts.mMovedHosts.end());
  mHosts.mMovedHosts.clear();
  mScope.StepTimeOfDay(std::chrono::seconds(10));
  Replace();
  RunFor(milliseconds(2'900));
  for (const host_name& each : mHosts.mMovedHosts) {
    EXPECT_EQ(ordered.count(each), 0U) << each.Str();
  }
}

// An order of an earlier fleet owner that is older than the platform's host
// lease must not block a move, even after the order was removed from the
// record.
TEST_F(fleet_controller_test, HostWithExpiredEarlierOrderMayMove)
{
  host_orders orders;
  for (int i = 2; i < 6; ++i) {
    orders[host_name{ "h" + std::to_string(i) }] = { milliseconds(0),
                                                     runner_name{ "old" } };
  }
  mStore.Put(kHostOrdersKey, Encode(orders));
  Start();
  RunUntil([this] { return mHosts.mMovedHosts.size() >= 2; });
  EXPECT_GE(mHosts.mMovedHosts.size(), 2U);
}

// Guards against two hosts of a wave that are down at once, though the limit is
// one: a late order of the last owner of the fleet takes the other one down.
TEST_F(fleet_controller_test, HostWithAnEarlierOwnersOrderGoesDownFirst)
{
  mPools.mStates[kHot].mLoad.mRequested = { 0, 0, 0 };
  const host_name inDoubt{ "h4" };
  host_orders orders;
  orders[inDoubt] = { milliseconds(3'000), runner_name{ "r4" }, 7 };
  mStore.Put(kHostOrdersKey, Encode(orders));
  std::vector<host_name> down;
  mHosts.mOnMaintain = [&](const host_name& aHost) {
    down.push_back(aHost);
    mHosts.Entry(aHost).mState = host_state::kMaintenance;
    return host_order_outcome::kDone;
  };
  mTerm = 2;
  Start();
  mController->OnWave({ 7,
                        { host_name{ "h2" }, host_name{ "h3" }, inDoubt },
                        std::chrono::seconds(60),
                        1 });
  RunUntil([&] { return !down.empty(); });
  RunFor(milliseconds(1'000));
  EXPECT_EQ(down, std::vector<host_name>{ inDoubt });
}

// Guards against a successor that counts hosts as possibly down although their
// orders were answered.
TEST_F(fleet_controller_test, AnsweredOrderIsNotAnnouncedAsUnsettled)
{
  mPools.mStates[kHot].mLoad.mRequested = { 0, 0, 0 };
  std::vector<host_name> ordered;
  mHosts.mOnMaintain = [&](const host_name& aHost) {
    ordered.push_back(aHost);
    return host_order_outcome::kDone;
  };
  Start();
  mController->OnWave({ 7,
                        { host_name{ "h2" }, host_name{ "h3" } },
                        std::chrono::seconds(60),
                        1 });
  RunUntil([&] { return ordered.size() == 2; });
  const auto orders = DecodeHostOrders(mStore.Value(kHostOrdersKey));
  ASSERT_TRUE(orders.has_value());
  EXPECT_EQ(orders.assume_value().at(ordered[0]).mWave, std::nullopt);
  EXPECT_EQ(orders.assume_value().at(ordered[1]).mWave, std::optional(7U));
}

// A maintenance order whose answer was lost is ordered again once its host is
// back up. The runner that is there by then must not be reported dead: it would
// get no work as long as its record does not change.
TEST_F(fleet_controller_test, RepeatedMaintenanceDoesNotReportTheNewRunnerDead)
{
  mPools.mStates[kHot].mLoad.mRequested = { 0, 0, 0 };
  const host_name host{ "h2" };
  const runner_name returned{ "r2-new" };
  timer returning(mIo);
  mHosts.mOnMaintain = [&](const host_name&) {
    if (mHosts.mMaintainCount > 1) {
      return host_order_outcome::kDone; // as it is already
    }
    mHosts.Entry(host).mState = host_state::kMaintenance;
    mHosts.Entry(host).mRunner = runner_name{};
    returning.expires_after(milliseconds(1'000));
    returning.async_wait([&](const boost::system::error_code& /*aError*/) {
      mHosts.Entry(host).mState = host_state::kUp;
      mHosts.Entry(host).mRunner = returned;
      mPools.mStates[kCold].mRunners[returned] =
        mPools.mStates[kCold].mRunners[runner_name{ "r2" }];
    });
    return host_order_outcome::kUnknown;
  };
  Start();
  mController->OnWave({ 1, { host }, std::chrono::seconds(60), 1 });
  RunUntil([this] { return mHosts.mMaintainCount > 1; });
  const int exchanges = mPools.mExchangeCount;
  RunUntil([&] { return mPools.mExchangeCount > exchanges + 20; });
  EXPECT_EQ(mPools.mDeadRunners.count(returned), 0U);
}

TEST_F(fleet_controller_test, RunnerThatMaintenanceHasEndedIsReportedDead)
{
  mPools.mStates[kHot].mLoad.mRequested = { 0, 0, 0 };
  const host_name host{ "h2" };
  mHosts.mOnMaintain = [&](const host_name&) {
    mHosts.Entry(host).mState = host_state::kMaintenance;
    mHosts.Entry(host).mRunner = runner_name{};
    return host_order_outcome::kDone;
  };
  Start();
  mController->OnWave({ 1, { host }, std::chrono::seconds(60), 1 });
  RunUntil([this] { return !mPools.mDeadRunners.empty(); });
  EXPECT_EQ(mPools.mDeadRunners, std::set<runner_name>{ runner_name{ "r2" } });
}

} // namespace
} // namespace mangospan::node
