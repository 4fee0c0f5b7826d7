#include "mangospan/entry/entry_process.h"

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>

#include "mangospan/http/client.h"

namespace mangospan::entry {
namespace {

using std::chrono::milliseconds;

// The host's clock, moved on by what a test adds.
class shifted_clock final : public clock_source
{
public:
  time_point Now() const override { return boot_clock::now() + mShift; }
  std::chrono::nanoseconds mShift{ 0 };
};

const char* const kConfig = R"({
  "pools": [ { "name": "permits", "service": "permits",
               "max_unavailable": "25%" } ],
  "classes": [ { "name": "permit", "match": { "service": "permits" },
                 "target": "99% within 2s" } ],
  "prefer": "low-buffer"
})";

const boot_id kBoot{ 77 };

// One entry with a fake acting fleet process and a fake endpoint, all on one
// io_context.
class entry_daemon : public testing::Test
{
protected:
  void SetUp() override
  {
    ASSERT_TRUE(mFleet.Listen("127.0.0.1:0").has_value());
    ASSERT_TRUE(mEndpoint->Listen("127.0.0.1:0").has_value());
    mSettings.mHost = host_name("a-e1");
    mSettings.mZone = zone_name("a");
    mSettings.mCallerAddress = "127.0.0.1:0";
    mSettings.mPeerAddress = FreeAddress();
    mSettings.mPeers = { "127.0.0.1:" + std::to_string(mFleet.Port()) };
    mEntry.emplace(mIo, mSettings, mClock, mMetrics, kBoot);
    ASSERT_TRUE(mEntry->Start().has_value());
    ASSERT_TRUE(Eventually([this] { return Heard<wire::hello>() != nullptr; }));
  }

  // Tickets carry the address of the settings, so it can't be any port.
  std::string FreeAddress()
  {
    http::server server(mIo, {}, [](const auto&, const auto&) {});
    EXPECT_TRUE(server.Listen("127.0.0.1:0").has_value());
    return "127.0.0.1:" + std::to_string(server.Port());
  }

  template<typename Condition>
  bool Eventually(Condition aCondition)
  {
    const auto end =
      std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!aCondition() && std::chrono::steady_clock::now() < end) {
      mIo.restart();
      mIo.run_for(milliseconds(5));
    }
    return aCondition();
  }

  void Tell(const wire::message& aMessage)
  {
    mFleet.Send(mConnection, aMessage);
  }

  view::zone_view View(
    std::uint64_t aSequence,
    view::endpoint_state aState = view::endpoint_state::kServing) const
  {
    const view::entry_id own{ host_name("a-e1"), kBoot };
    view::endpoint endpoint;
    endpoint.mHost = host_name("w1");
    endpoint.mAddress = "127.0.0.1:" + std::to_string(mEndpoint->Port());
    endpoint.mPool = pool_name("permits");
    endpoint.mService = service_name("permits");
    endpoint.mState = aState;
    endpoint.mEpoch = 3;
    endpoint.mShares = { { own, 8 } };
    return { { mTerm, aSequence },
             zone_name("a"),
             { endpoint },
             { { own, mSettings.mPeerAddress } } };
  }

  void MakeReady()
  {
    Tell(wire::config_push{ 5, 0, kConfig });
    Tell(wire::view_push{ View(1) });
    Tell(wire::heartbeat{ { mTerm, 1 }, 5, true });
    ASSERT_TRUE(Eventually([this] { return mEntry->IsHealthy(); }));
  }

  void Send(http::request aRequest,
            std::optional<result<http::response>>& aInto)
  {
    mCaller.Send("127.0.0.1:" + std::to_string(mEntry->CallerPort()),
                 std::move(aRequest),
                 milliseconds(10'000),
                 [&aInto](result<http::response> aResult) {
                   aInto.emplace(std::move(aResult));
                 });
  }

  http::response Call(const http::request& aRequest)
  {
    std::optional<result<http::response>> outcome;
    Send(aRequest, outcome);
    EXPECT_TRUE(Eventually([&outcome] { return outcome.has_value(); }));
    EXPECT_TRUE(outcome && outcome->has_value());
    return outcome && outcome->has_value() ? outcome->assume_value()
                                           : http::response{};
  }

  http::request Post(const std::string& aTarget,
                     const std::string& aTicket = "") const
  {
    http::request request;
    request.mMethod = "POST";
    request.mTarget = aTarget;
    request.mBody = "royalty";
    if (!aTicket.empty()) {
      request.Set("Idempotency-Key", aTicket);
    }
    return request;
  }

  std::string Ticket()
  {
    const std::string body = Call(Post("/mangospan/v1/tickets")).mBody;
    const std::size_t begin = body.find("[\"") + 2;
    return body.substr(begin, body.find("\"]") - begin);
  }

  // The last message of that type from the entry.
  template<typename Message>
  const Message* Heard() const
  {
    for (auto each = mHeard.rbegin(); each != mHeard.rend(); ++each) {
      if (const auto* found = std::get_if<Message>(&each->mMessage)) {
        return found;
      }
    }
    return nullptr;
  }

  wire::entry_report LastReport() const
  {
    const auto* found = Heard<wire::entry_report>();
    return found == nullptr ? wire::entry_report{} : *found;
  }

  boost::asio::io_context mIo;
  shifted_clock mClock;
  daemon::metrics mMetrics;
  settings::process_settings mSettings;
  std::uint64_t mTerm = 9;
  wire::traffic_gate mGate;
  wire::connection_id mConnection = 0;
  std::vector<wire::envelope> mHeard;
  wire::link mFleet{ mIo,
                     [this] {
                       return wire::sender{ wire::process_role::kFleet,
                                            host_name("a-e2"),
                                            zone_name("a"),
                                            boot_id{ 1 },
                                            mTerm };
                     },
                     mGate,
                     { [this](wire::connection_id aId, const std::string&) {
                        mConnection = aId;
                      },
                       [this](wire::connection_id, wire::envelope aEnvelope) {
                         mHeard.push_back(std::move(aEnvelope));
                       },
                       [](wire::connection_id) {} } };
  std::vector<http::request> mRan;
  std::vector<http::responder> mLater;
  http::response mAnswer = http::JsonResponse(201, "done");
  std::optional<http::server> mEndpoint{
    std::in_place,
    mIo,
    http::server_options{},
    [this](http::request aRequest, http::responder aRespond) {
      mRan.push_back(std::move(aRequest));
      if (http::Path(mRan.back()) == "/permits/later") {
        mLater.push_back(std::move(aRespond));
      } else {
        aRespond(mAnswer);
      }
    }
  };
  http::client mCaller{ mIo, {} };
  std::optional<entry_process> mEntry;
};

TEST_F(entry_daemon, RefusesAsNotRunUntilRegisteredWithViewAndConfiguration)
{
  const auto refused = [this](const char* aWhen) {
    const http::response answer = Call(Post("/permits/x"));
    EXPECT_GE(answer.mStatus, 400) << aWhen;
    EXPECT_EQ(answer.Get("Mangospan-Outcome"), "not-run") << aWhen;
    EXPECT_NE(answer.mBody.find("\"code\""), std::string::npos) << aWhen;
    EXPECT_FALSE(mEntry->IsHealthy()) << aWhen;
  };
  refused("at first");
  Tell(wire::config_push{ 5, 0, kConfig });
  Tell(wire::view_push{ View(1) });
  Tell(wire::heartbeat{ { mTerm, 1 }, 5, false });
  ASSERT_TRUE(Eventually([this] { return LastReport().mConfigRevision == 5; }));
  refused("before registration");
  EXPECT_TRUE(mRan.empty());
  MakeReady();
  EXPECT_EQ(Call(Post("/permits/x")).mStatus, 201);
}

TEST_F(entry_daemon, PassesRequestAndAnswerWholeLessHopByHopHeaders)
{
  MakeReady();
  mAnswer.mStatus = 207;
  mAnswer.Set("X-Kept", "yes");
  mAnswer.Set("Keep-Alive", "timeout=5");
  http::request request = Post("/permits/x?y=z");
  request.Set("X-Custom", "value");
  request.Set("TE", "trailers");
  const http::response answer = Call(request);
  EXPECT_EQ(answer.mStatus, 207);
  EXPECT_EQ(answer.mBody, "done");
  EXPECT_EQ(answer.Get("X-Kept"), "yes");
  EXPECT_FALSE(answer.Has("Keep-Alive"));
  EXPECT_FALSE(answer.Has("Mangospan-Outcome"));
  ASSERT_EQ(mRan.size(), 1U);
  EXPECT_EQ(mRan[0].mTarget, "/permits/x?y=z");
  EXPECT_EQ(mRan[0].mBody, "royalty");
  EXPECT_EQ(mRan[0].Get("X-Custom"), "value");
  EXPECT_EQ(mRan[0].Get("X-Forwarded-For"), "127.0.0.1");
  EXPECT_FALSE(mRan[0].Has("TE"));
}

TEST_F(entry_daemon, CallsConnectionLossAfterSendingUnknown)
{
  MakeReady();
  std::optional<result<http::response>> outcome;
  Send(Post("/permits/later"), outcome);
  ASSERT_TRUE(Eventually([this] { return mLater.size() == 1; }));
  EXPECT_FALSE(outcome.has_value());
  mEndpoint.reset(); // closes its connections
  ASSERT_TRUE(Eventually([&] { return outcome.has_value(); }));
  EXPECT_EQ(outcome->assume_value().Get("Mangospan-Outcome"), "unknown");
  EXPECT_NE(outcome->assume_value().mBody.find("connection_lost"),
            std::string::npos);
  EXPECT_EQ(mRan.size(), 1U);
}

TEST_F(entry_daemon, RunsTicketOnceAndRepeatsItsAnswer)
{
  MakeReady();
  const std::string ticket = Ticket();
  const http::response first = Call(Post("/permits/x", ticket));
  const http::response second = Call(Post("/permits/x", ticket));
  EXPECT_EQ(first.mStatus, 201);
  EXPECT_EQ(second.mStatus, 201);
  EXPECT_EQ(second.mBody, "done");
  EXPECT_EQ(mRan.size(), 1U);
  const http::response other = Call(Post("/permits/other", ticket));
  EXPECT_EQ(other.Get("Mangospan-Outcome"), "not-run");
  const http::response bad = Call(Post("/permits/x", "no ticket"));
  EXPECT_EQ(bad.mStatus, 400);
  EXPECT_EQ(bad.Get("Mangospan-Outcome"), "not-run");
  EXPECT_EQ(mRan.size(), 1U);
  EXPECT_EQ(Call(Post("/mangospan/v1/tickets?count=x")).mStatus, 400);
  EXPECT_EQ(Call(Post("/mangospan/v2")).mStatus, 404);
}

TEST_F(entry_daemon, AdoptsOnlyNewerViewsAndAsksForWhatItMissed)
{
  MakeReady();
  mHeard.clear();
  Tell(wire::view_push{ View(3) });
  Tell(wire::view_push{ View(2) });
  Tell(wire::config_push{ 8, 7, "[]" }); // a patch to what it does not hold
  ASSERT_TRUE(Eventually([this] {
    return Heard<wire::state_request>() != nullptr &&
           LastReport().mView.mSequence == 3;
  }));
  EXPECT_EQ(LastReport().mConfigRevision, 5U);
  mTerm = 20;
  mHeard.clear();
  Tell(wire::heartbeat{ { 20, 0 }, 5, true });
  ASSERT_TRUE(Eventually([this] { return Heard<wire::hello>() != nullptr; }));
  EXPECT_EQ(Heard<wire::hello>()->mTermHeard, 20U);
  ASSERT_EQ(Heard<wire::hello>()->mShares.size(), 1U);
  EXPECT_EQ(Heard<wire::hello>()->mShares[0].mSlots, 8U);
}

TEST_F(entry_daemon, IsNotHealthyWithoutSlots)
{
  view::zone_view empty = View(1);
  empty.mEndpoints.clear();
  Tell(wire::config_push{ 5, 0, kConfig });
  Tell(wire::view_push{ empty });
  Tell(wire::heartbeat{ { mTerm, 1 }, 5, true });
  ASSERT_TRUE(Eventually([this] {
    return mEntry->DumpState().find("\"dispatching\": true") !=
           std::string::npos;
  }));
  EXPECT_FALSE(mEntry->IsHealthy());
  Tell(wire::view_push{ View(2) });
  EXPECT_TRUE(Eventually([this] { return mEntry->IsHealthy(); }));
}

TEST_F(entry_daemon, StaysRegisteredUntilNewActingProcessKnowsTheMembership)
{
  MakeReady();
  mTerm = 20;
  mHeard.clear();
  Tell(wire::heartbeat{ { 20, 0 }, 5, false }); // before its first view
  ASSERT_TRUE(Eventually([this] { return Heard<wire::hello>() != nullptr; }));
  EXPECT_TRUE(mEntry->IsHealthy());
  EXPECT_EQ(Call(Post("/permits/x")).mStatus, 201);
  EXPECT_EQ(Heard<wire::state_request>(), nullptr);
  Tell(wire::heartbeat{ { 20, 1 }, 5, false });
  EXPECT_TRUE(Eventually([this] { return !mEntry->IsHealthy(); }));
}

TEST_F(entry_daemon, ReportsDrainedHostOnceItsLastRequestHasEnded)
{
  MakeReady();
  std::optional<result<http::response>> outcome;
  Send(Post("/permits/later"), outcome);
  ASSERT_TRUE(Eventually([this] { return mLater.size() == 1; }));
  Tell(wire::view_push{ View(2, view::endpoint_state::kDraining) });
  ASSERT_TRUE(Eventually([this] { return LastReport().mView.mSequence == 2; }));
  EXPECT_TRUE(LastReport().mEmptied.empty());
  mLater.front()(mAnswer);
  ASSERT_TRUE(Eventually([this] { return !LastReport().mEmptied.empty(); }));
  EXPECT_EQ(LastReport().mEmptied[0].mEpoch, 3U);
  EXPECT_EQ(outcome->assume_value().mStatus, 201);
}

TEST_F(entry_daemon, DispatchesNothingAfterSuspensionUntilItsViewIsFresh)
{
  MakeReady();
  const wire::connection_id before = mConnection;
  mHeard.clear();
  mClock.mShift += std::chrono::seconds(30);
  EXPECT_EQ(Call(Post("/permits/x")).Get("Mangospan-Outcome"), "not-run");
  EXPECT_TRUE(mRan.empty());
  ASSERT_TRUE(Eventually([&] { return mConnection != before; }));
  ASSERT_TRUE(
    Eventually([this] { return Heard<wire::state_request>() != nullptr; }));
  EXPECT_FALSE(mEntry->IsHealthy());
  Tell(wire::view_push{ View(1) });
  ASSERT_TRUE(Eventually([this] { return mEntry->IsHealthy(); }));
  EXPECT_EQ(Call(Post("/permits/x")).mStatus, 201);
}

TEST_F(entry_daemon, StopsGracefullyWithRequestsInFlight)
{
  MakeReady();
  std::optional<result<http::response>> inFlight;
  Send(Post("/permits/later"), inFlight);
  ASSERT_TRUE(Eventually([this] { return mLater.size() == 1; }));
  bool isDone = false;
  mEntry->Stop([&isDone] { isDone = true; });
  const http::response refused = Call(Post("/permits/x"));
  EXPECT_EQ(refused.mStatus, 503);
  EXPECT_EQ(refused.Get("Mangospan-Outcome"), "not-run");
  EXPECT_EQ(refused.Get("Connection"), "close");
  mIo.restart();
  mIo.run_for(milliseconds(1'200)); // longer than callers are told of the stop
  EXPECT_FALSE(isDone);
  mLater.front()(mAnswer);
  ASSERT_TRUE(Eventually([&isDone] { return isDone; }));
  EXPECT_EQ(inFlight->assume_value().mStatus, 201);
  EXPECT_NE(Heard<wire::goodbye>(), nullptr);
}

TEST_F(entry_daemon, StopThatTimesOutAnswersRequestsInFlight)
{
  MakeReady();
  std::optional<result<http::response>> inFlight;
  Send(Post("/permits/later"), inFlight);
  ASSERT_TRUE(Eventually([this] { return mLater.size() == 1; }));
  bool isDone = false;
  mEntry->Stop([&isDone] { isDone = true; });
  mClock.mShift += mSettings.mStopTimeout;
  ASSERT_TRUE(Eventually([&isDone] { return isDone; }));
  ASSERT_TRUE(inFlight && inFlight->has_value());
  EXPECT_EQ(inFlight->assume_value().mStatus, 504);
  EXPECT_EQ(inFlight->assume_value().Get("Mangospan-Outcome"), "unknown");
}

TEST_F(entry_daemon, DumpsStateAndCutsTraffic)
{
  MakeReady();
  EXPECT_NE(mEntry->DumpState().find("\"config_revision\": 5"),
            std::string::npos);
  mEntry->RefreshMetrics();
  EXPECT_NE(mMetrics.Render().find("mangospan_entry_dispatching 1"),
            std::string::npos);
  http::request cut = Post("/test/cut?zone=a");
  EXPECT_EQ(mEntry->TestSwitch(cut).mStatus, 200);
  Tell(wire::view_push{ View(4) });
  mIo.restart();
  mIo.run_for(milliseconds(200));
  EXPECT_EQ(mEntry->DumpState().find("\"sequence\": 4"), std::string::npos);
  EXPECT_EQ(mEntry->TestSwitch(Post("/test/heal")).mStatus, 200);
  EXPECT_EQ(mEntry->TestSwitch(Post("/test/cut")).mStatus, 400);
  Tell(wire::view_push{ View(4) });
  EXPECT_TRUE(Eventually([this] {
    return mEntry->DumpState().find("\"sequence\": 4") != std::string::npos;
  }));
}

} // namespace
} // namespace mangospan::entry
