#include "mangospan/node/fleet_duty.h"

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
class listed_hosts final : public host_port
{
public:
  explicit listed_hosts(boost::asio::io_context& aIo)
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
    mMoved.push_back(aHost);
  }
  void Maintain(const order_fence& /*aFence*/,
                const host_name& /*aHost*/,
                std::uint64_t /*aWave*/,
                host_order_handler /*aHandler*/) override
  {
  }

  std::vector<host_name> mMoved;

private:
  boost::asio::io_context& mIo;
  std::vector<host_entry> mHosts;
};

// The owners of both pools: the hot one needs more than it has.
class two_pools final : public pool_link
{
public:
  explicit two_pools(boost::asio::io_context& aIo)
    : mIo(aIo)
  {
    mStates[kHot].mLoad.mWanted = { 60'000, 0, 0 };
    mStates[kCold];
    for (int i = 0; i < 6; ++i) {
      runner_state each;
      each.mIsKnown = true;
      each.mIsSettled = true;
      each.mRuns = i < 2 ? 5 : 0;
      mStates[i < 2 ? kHot : kCold]
        .mRunners[runner_name{ "r" + std::to_string(i) }] = each;
    }
  }
  std::vector<service_name> Pools() const override { return { kHot, kCold }; }
  void Exchange(const service_name& aPool,
                pool_instructions aInstructions,
                pool_state_handler aHandler) override
  {
    ++mExchanges;
    pool_state& state = mStates[aPool];
    for (auto& [name, each] : state.mRunners) {
      each.mIsClosed =
        mKeepsFirstAnswer || (mCloses && aInstructions.mClosed.count(name) > 0);
    }
    if (aPool == kCold && !mAnswersCold) {
      return; // its answer is under way
    }
    mAskedToClose = mAskedToClose || !aInstructions.mClosed.empty();
    boost::asio::post(mIo, [state, aHandler] { aHandler(state); });
  }

  std::map<service_name, pool_state> mStates;
  bool mCloses = true;
  bool mKeepsFirstAnswer = false;
  bool mAnswersCold = true;
  bool mAskedToClose = false;
  int mExchanges = 0;

private:
  boost::asio::io_context& mIo;
};

class fleet_duty_test : public ::testing::Test
{
protected:
  fleet_duty_test()
  {
    mFleetRevision = mStore.Put(election::TermKey(FleetSubject()), "1");
    for (auto& [pool, state] : mPools.mStates) {
      state.mTermRevision =
        mStore.Put(election::TermKey(JobsSubject(pool)), "1");
    }
  }
  ~fleet_duty_test() override
  {
    if (mDuty) {
      mDuty->Stop();
    }
  }
  void Start()
  {
    jobs::catalog catalog;
    for (const service_name& each : { kHot, kCold }) {
      catalog.mServices.emplace(each, jobs::service_policy{ each, false });
    }
    mDuty = std::make_shared<fleet_duty>(
      fleet_dependencies{ mIo, mClock, mStore, mHosts, mPools, mFormat },
      fleet_settings{},
      order_fence{ "n", 1 },
      mFleetRevision,
      [] { return true; });
    mDuty->SetCatalog(catalog);
    mDuty->Start();
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
  listed_hosts mHosts{ mIo };
  two_pools mPools{ mIo };
  platform::revision mFleetRevision = 0;
  std::shared_ptr<fleet_duty> mDuty;
};

TEST_F(fleet_duty_test, AnEmptyHostMovesOnceItsRunnerIsClosed)
{
  Start();
  RunUntil([this] { return !mHosts.mMoved.empty(); });
  EXPECT_TRUE(mPools.mAskedToClose);
  EXPECT_NE(mStore.Value(kHostOrdersKey), "");
}

TEST_F(fleet_duty_test, WhileTheOwnerDoesNotCloseTheRunnerNothingMoves)
{
  mPools.mCloses = false;
  Start();
  RunUntil([this] { return mPools.mAskedToClose && mPools.mExchanges > 20; });
  EXPECT_TRUE(mHosts.mMoved.empty());
}

// An owner that is told to open a runner may start something there before its
// answer comes, so an earlier answer says nothing any more.
TEST_F(fleet_duty_test, ARunnerThatIsOpenedAgainIsNotTakenAsClosed)
{
  mPools.mStates[kHot].mLoad.mWanted = { 0, 0, 0 };
  for (auto& [runner, each] : mPools.mStates[kCold].mRunners) {
    each.mIsClosed = true; // as an earlier duty for hosts wanted it
  }
  mPools.mKeepsFirstAnswer = true;
  Start();
  RunUntil([this] { return mPools.mExchanges >= 2; });
  mPools.mStates[kHot].mLoad.mWanted = { 60'000, 0, 0 };
  mPools.mAnswersCold = false;
  const int asked = mPools.mExchanges;
  RunUntil([this, asked] { return mPools.mExchanges > asked + 8; });
  EXPECT_TRUE(mHosts.mMoved.empty());
}

// The next owner does not know of the closed runner and may start something.
TEST_F(fleet_duty_test, NothingMovesOnTheWordOfAnOwnerThatHasASuccessor)
{
  mStore.Put(election::TermKey(JobsSubject(kCold)), "2");
  Start();
  RunUntil([this] { return mPools.mAskedToClose && mPools.mExchanges > 20; });
  EXPECT_TRUE(mHosts.mMoved.empty());
}

TEST_F(fleet_duty_test, ASupersededFleetMovesNothing)
{
  mStore.Put(election::TermKey(FleetSubject()), "2");
  Start();
  RunUntil([this] { return mPools.mAskedToClose && mPools.mExchanges > 20; });
  EXPECT_TRUE(mHosts.mMoved.empty());
}

// An order of an earlier holder that is old enough binds nobody, also once it
// is no longer recorded.
TEST_F(fleet_duty_test, AHostWhoseEarlierOrderIsForgottenMayMove)
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
  RunUntil([this] { return mHosts.mMoved.size() >= 2; });
  EXPECT_GE(mHosts.mMoved.size(), 2U);
}

} // namespace
} // namespace mangospan::node
