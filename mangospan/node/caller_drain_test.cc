#include "mangospan/node/caller_drain.h"

#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "mangospan/http/client.h"

namespace mangospan::node {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStopTimeout{ 6'000 };
constexpr milliseconds kRealTime{ 100 }; // for bytes to pass over loopback

// The drain waits by virtual time, the connections are real.
class caller_drain_test : public ::testing::Test
{
protected:
  caller_drain_test()
  {
    EXPECT_TRUE(mServer.Listen("127.0.0.1:0").has_value());
    EXPECT_TRUE(mOther.Listen("127.0.0.1:0").has_value());
  }

  void Start()
  {
    mDrain.Start(stop_schedule(mClock.Now(), kStopTimeout),
                 [this] { mIsDone = true; });
  }

  void Run()
  {
    mIo.restart();
    mIo.run_for(kRealTime);
  }

  void AdvanceAndRun(milliseconds aTime)
  {
    mClock.Advance(aTime);
    Run();
  }

  manual_clock mClock;
  const virtual_time_scope mScope{ mClock };
  boost::asio::io_context mIo;
  std::vector<http::responder> mKept;
  http::server mServer{ mIo,
                        {},
                        [this](const http::request& /*aRequest*/,
                               const http::responder& aRespond) {
                          mKept.push_back(aRespond);
                        } };
  http::server mOther{ mIo,
                       {},
                       [this](const http::request& /*aRequest*/,
                              const http::responder& aRespond) {
                         mKept.push_back(aRespond);
                       } };
  http::client mClient{ mIo, {} };
  bool mIsHandedOver = true;
  bool mIsDone = false;
  caller_drain mDrain{ mIo, mClock, mServer, { &mOther }, [this] {
                        return mIsHandedOver;
                      } };
};

// A busy process may run its timers only when the whole schedule is over.
TEST_F(caller_drain_test, ProcessThatRunsLateAnswersBeforeItExits)
{
  std::optional<result<http::response>> answer;
  http::request request;
  request.mTarget = "/";
  mClient.Send("127.0.0.1:" + std::to_string(mServer.Port()),
               request,
               kStopTimeout,
               [&answer](const result<http::response>& aResult) {
                 answer.emplace(aResult);
               });
  Run();
  ASSERT_EQ(mKept.size(), 1U);
  Start();
  AdvanceAndRun(kStopTimeout);
  AdvanceAndRun(milliseconds(50));
  ASSERT_TRUE(answer && answer->has_value());
  EXPECT_EQ(answer->assume_value().mStatus, 504);
  EXPECT_TRUE(mIsDone);
}

// Without it, the next owner waits for the lease.
TEST_F(caller_drain_test, ExitWaitsForTheHandOver)
{
  mIsHandedOver = false;
  Start();
  AdvanceAndRun(milliseconds(3'000));
  AdvanceAndRun(milliseconds(50));
  EXPECT_FALSE(mIsDone);
  mIsHandedOver = true;
  AdvanceAndRun(milliseconds(50));
  EXPECT_TRUE(mIsDone);
}

// The exit came while a check of the readiness, which had been read, had no
// answer: only callers' requests were waited for.
TEST_F(caller_drain_test, ExitWaitsForARequestThatAnotherServerHasRead)
{
  std::optional<result<http::response>> answer;
  http::request request;
  request.mTarget = "/readiness";
  mClient.Send("127.0.0.1:" + std::to_string(mOther.Port()),
               request,
               kStopTimeout,
               [&answer](const result<http::response>& aResult) {
                 answer.emplace(aResult);
               });
  Run();
  ASSERT_EQ(mKept.size(), 1U);
  Start();
  AdvanceAndRun(milliseconds(3'000));
  AdvanceAndRun(milliseconds(50));
  EXPECT_FALSE(mIsDone);
  mKept.front()(http::JsonResponse(503, "{}"));
  Run();
  ASSERT_TRUE(answer && answer->has_value());
  EXPECT_EQ(answer->assume_value().mStatus, 503);
  AdvanceAndRun(milliseconds(50));
  EXPECT_TRUE(mIsDone);
}

// The load balancer learns to the end that the node is not ready.
TEST_F(caller_drain_test, OtherServersServeUntilTheHandOver)
{
  mIsHandedOver = false;
  Start();
  AdvanceAndRun(milliseconds(3'000));
  AdvanceAndRun(milliseconds(50));
  http::request request;
  request.mTarget = "/readiness";
  mClient.Send("127.0.0.1:" + std::to_string(mOther.Port()),
               request,
               kStopTimeout,
               [](const result<http::response>& /*aResult*/) {});
  Run();
  EXPECT_EQ(mKept.size(), 1U);
}

} // namespace
} // namespace mangospan::node
