#include "mangospan/node/fleet_controller.h"

#include <algorithm>
#include <optional>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

#include "mangospan/node/election.h"
#include "mangospan/node/testing/memory_store.h"
#include "mangospan/node/testing/runner_records.h"

namespace mangospan::node {
namespace {

using jobs::runner_name;
using std::chrono::milliseconds;

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
                const host_name& /*aHost*/,
                std::uint64_t /*aWave*/,
                host_order_handler /*aHandler*/) override
  {
  }

  std::vector<host_name> mMovedHosts;

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
    pool_state& state = mStates[aPool];
    for (auto& [name, each] : state.mRunners) {
      each.mIsCordoned = mAlwaysReportsCordoned ||
                         (mCordons && aInstructions.mCordoned.count(name) > 0);
    }
    if (aPool == kCold && !mAnswersForCold) {
      return; // the answer has not arrived yet
    }
    mIsCordonRequested = mIsCordonRequested || !aInstructions.mCordoned.empty();
    boost::asio::post(mIo, [state, aHandler] { aHandler(state); });
  }

  std::map<service_name, pool_state> mStates;
  bool mCordons = true;                // follows the instructions
  bool mAlwaysReportsCordoned = false; // whatever the instructions say
  bool mAnswersForCold = true;         // replies for the cold pool
  bool mIsCordonRequested = false;
  int mExchangeCount = 0;

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
      order_fence{ "n", 1 },
      mFleetRevision,
      [] { return true; });
    mController->SetCatalog(catalog);
    mController->Start();
  }
  template<typename Condition>
  void RunUntil(const Condition& aCondition)
  {
    while (!aCondition()) {
      mIo.run_one();
    }
  }

  boost::asio::io_context mIo;
  const system_clock_source mClock{};
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

// An order of an earlier fleet owner that is older than the platform's host
// lease must not block a move, even after the order was removed from the
// record.
TEST_F(fleet_controller_test, HostWithExpiredEarlierOrderMayMove)
{
  host_orders orders;
  for (int i = 2; i < 6; ++i) {
    orders[host_name{ "h" + std::to_string(i) }] = {
      std::chrono::system_clock::now() - std::chrono::minutes(1),
      runner_name{ "old" }
    };
  }
  mStore.Put(kHostOrdersKey, Encode(orders));
  Start();
  RunUntil([this] { return mHosts.mMovedHosts.size() >= 2; });
  EXPECT_GE(mHosts.mMovedHosts.size(), 2U);
}

} // namespace
} // namespace mangospan::node
