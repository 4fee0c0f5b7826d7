#include "mangospan/node/monitored_store.h"

#include <gtest/gtest.h>

#include "mangospan/node/mirror.h"
#include "mangospan/node/testing/virtual_store.h"

namespace mangospan::node {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kOutage{ 3'000 };
constexpr milliseconds kCallTimeout{ 400 };

class monitored_store_test : public ::testing::Test
{
protected:
  void RunFor(milliseconds aTime)
  {
    const time_point end = mClock.Now() + aTime;
    while (mClock.Now() < end) {
      mClock.Advance(milliseconds(1));
      mIo.restart();
      mIo.poll();
    }
  }
  void Read()
  {
    mMonitored.Read("key",
                    kCallTimeout,
                    [](const result<std::optional<platform::record>>&) {});
  }

  manual_clock mClock;
  const virtual_time_scope mScope{ mClock };
  boost::asio::io_context mIo;
  testing::virtual_store mStore{ mIo, mClock };
  testing::virtual_store_client mClient{ mStore };
  int mReturnCount = 0;
  monitored_store mMonitored{ mIo, mClient, [this] { ++mReturnCount; } };
};

// A call that was sent shortly before the store's return would tell only by its
// timeout that the store was away.
TEST_F(monitored_store_test, ReturnIsReportedWithinOneCallsTimeout)
{
  mStore.SetSilent(true);
  Read();
  RunFor(kOutage);
  EXPECT_EQ(mReturnCount, 0);
  mStore.SetSilent(false);
  RunFor(kCallTimeout / 2);
  EXPECT_EQ(mReturnCount, 1);
  RunFor(kOutage);
  EXPECT_EQ(mReturnCount, 1);
}

// A watch that the store has cut is repeated by its user after the delay of a
// mirror. A report before that would make the user repeat it at once.
TEST_F(monitored_store_test, LostCallIsNotReportedBeforeItsUserRepeatsIt)
{
  mStore.SetSilent(true);
  Read();
  RunFor(kCallTimeout - milliseconds(1));
  mStore.SetSilent(false);
  RunFor(milliseconds(1) + mirror_settings{}.mRetryDelay);
  EXPECT_EQ(mReturnCount, 0);
  RunFor(kCallTimeout / 2);
  EXPECT_EQ(mReturnCount, 1);
}

TEST_F(monitored_store_test, AnsweredCallsAreNotProbedFor)
{
  Read();
  RunFor(kOutage);
  EXPECT_EQ(mReturnCount, 0);
}

} // namespace
} // namespace mangospan::node
