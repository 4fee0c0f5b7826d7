#include "testing/endpoint/runner.h"

#include <charconv>
#include <chrono>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "mangospan/base/error.h"
#include "mangospan/base/identity.h"
#include "mangospan/base/time.h"
#include "mangospan/http/message.h"
#include "mangospan/platform/hosts.h"
#include "testing/endpoint/answer.h"
#include "testing/endpoint/journal.h"
#include "testing/endpoint/runner_state.h"
#include "testing/http/fault_server.h"

namespace mangospan::standin {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kDefaultServiceTime{ 20 };

// The first segment of the path names the service.
service_name
ServiceOf(const http::request& aRequest)
{
  std::string_view path = http::Path(aRequest);
  path.remove_prefix(path.empty() ? 0 : 1);
  return service_name(std::string(path.substr(0, path.find('/'))));
}

milliseconds
ServiceTimeOf(const http::request& aRequest)
{
  std::string_view text = aRequest.Get(kServiceTimeHeader);
  if (text.empty()) {
    text = http::QueryValue(aRequest, "ms");
  }
  std::int64_t value = kDefaultServiceTime.count();
  std::from_chars(text.data(), text.data() + text.size(), value);
  return milliseconds(value);
}

http::response
NotRun(int aStatus, std::string_view aMessage)
{
  http::response response = http::JsonResponse(
    aStatus, R"({"message":")" + std::string(aMessage) + "\"}");
  response.Set("Mangospan-Outcome", "not-run");
  return response;
}

http::response
AnswerOf(const http::request& aRequest, int aStatus)
{
  const std::string_view id = aRequest.Get(kRequestIdHeader);
  http::response response;
  response.mStatus = aStatus;
  response.mBody = AnswerTo(id, aRequest.mBody);
  response.Set(kRequestIdHeader, id);
  response.Set("Content-Type", "text/plain");
  return response;
}

bool
Accepts(fault_kind aKind)
{
  return aKind != fault_kind::kRefuse && aKind != fault_kind::kKill;
}

delivery
DeliveryOf(fault_kind aKind)
{
  switch (aKind) {
    case fault_kind::kCutAnswer:
      return delivery::kCutMidway;
    case fault_kind::kCrossed:
      return delivery::kTwice;
    default:
      return delivery::kWhole;
  }
}

} // namespace

runner::runner(boost::asio::io_context& aIo,
               const clock_source& aClock,
               journal& aJournal,
               const platform::host_info& aHost)
  : mIo(aIo)
  , mClock(aClock)
  , mJournal(aJournal)
  , mAddress(aHost.mAddress)
  , mState(aHost)
  , mMaxConnections(aHost.mConnections)
{
  mState.Start(service_name());
}

status
runner::Start(const service_name& aService)
{
  if (mState.Running()) {
    if (mState.Service() == aService) {
      return boost::outcome_v2::success();
    }
    return error{ error_code::kConflict,
                  "runner.start",
                  mState.Host().Str(),
                  "already serves " + mState.Service().Str() };
  }
  if (Accepts(mState.Fault().mKind)) {
    BOOST_OUTCOME_TRYV(Listen());
  }
  mState.Start(aService);
  return boost::outcome_v2::success();
}

status
runner::Listen()
{
  fault_server_options options;
  options.mMaxConnections = mMaxConnections;
  auto server = std::make_unique<fault_server>(
    mIo, options, [this](const http::request& aRequest, const replier& aReply) {
      Handle(aRequest, aReply);
    });
  BOOST_OUTCOME_TRYV(server->Listen(mAddress));
  mServer = std::move(server);
  return boost::outcome_v2::success();
}

void
runner::Stop()
{
  Cut(mState.Stop(), run_outcome::kCutByStop);
}

void
runner::Cut(const std::set<run_index>& aRuns, run_outcome aOutcome)
{
  for (const run_index index : aRuns) {
    mJournal.End(index, aOutcome, mClock.Now());
  }
  mFrozen.clear();
  mHung.clear();
  mRejectedBefore = RejectedConnections();
  mServer.reset();
}

status
runner::SetFault(runner_fault aFault)
{
  const runner_fault before = mState.Fault();
  mState.SetFault(aFault);
  if (aFault.mKind == fault_kind::kKill) {
    const service_name service = mState.Service();
    Cut(mState.Stop(), run_outcome::kKilled);
    mState.Start(service);
  } else if (aFault.mKind == fault_kind::kRefuse && mServer) {
    mServer->StopAccepting();
  } else if (!Accepts(before.mKind) && Accepts(aFault.mKind) &&
             mState.Running()) {
    mRejectedBefore = RejectedConnections();
    mServer.reset();
    BOOST_OUTCOME_TRYV(Listen());
  }
  if (aFault.mKind == fault_kind::kNone) {
    for (const hung_answer& each : std::exchange(mHung, {})) {
      Answer(each.mIndex, each.mPending);
    }
    for (const pending_request& each : std::exchange(mFrozen, {})) {
      Run(each.mRequest, each.mReply);
    }
  }
  return boost::outcome_v2::success();
}

std::uint64_t
runner::RejectedConnections() const
{
  return mRejectedBefore + (mServer ? mServer->RejectedConnections() : 0);
}

void
runner::Handle(const http::request& aRequest, const replier& aReply)
{
  if (!Accepts(mState.Fault().mKind)) {
    aReply({ {}, delivery::kDrop });
    return;
  }
  if (mState.Fault().mKind == fault_kind::kFreeze) {
    mFrozen.push_back({ aRequest, aReply });
    return;
  }
  Run(aRequest, aReply);
}

void
runner::Run(const http::request& aRequest, const replier& aReply)
{
  constexpr int kMisdirected = 421;
  constexpr int kUnavailable = 503;
  const service_name service = ServiceOf(aRequest);
  switch (mState.Admit(service)) {
    case admission::kWrongService:
      aReply({ NotRun(kMisdirected, "this runner serves another service") });
      return;
    case admission::kOverSlots:
      aReply({ NotRun(kUnavailable, "every slot is busy") });
      return;
    case admission::kRun:
      break;
  }
  run begun;
  begun.mRequest = std::string(aRequest.Get(kRequestIdHeader));
  begun.mRunner = mState.Host();
  begun.mService = service;
  begun.mMethod = aRequest.mMethod;
  begun.mBodyHash = HashOf(aRequest.mBody);
  const run_index index = mJournal.Begin(std::move(begun), mClock.Now());
  mState.Begin(index);
  milliseconds time = ServiceTimeOf(aRequest);
  if (mState.Fault().mKind == fault_kind::kLate) {
    time += mState.Fault().mDelay;
  }
  const auto timer = std::make_shared<boost::asio::steady_timer>(mIo, time);
  timer->async_wait(
    [this, timer, index, pending = pending_request{ aRequest, aReply }](
      const boost::system::error_code&) { AfterServiceTime(index, pending); });
}

void
runner::AfterServiceTime(run_index aIndex, const pending_request& aPending)
{
  if (mState.Fault().mKind == fault_kind::kHang) {
    mHung.push_back({ aIndex, aPending });
    return;
  }
  Answer(aIndex, aPending);
}

void
runner::Answer(run_index aIndex, const pending_request& aPending)
{
  if (!mState.End(aIndex)) {
    return; // the runner was stopped under it
  }
  constexpr int kOk = 200;
  constexpr int kInternalError = 500;
  const fault_kind kind = mState.Fault().mKind;
  mJournal.End(aIndex, run_outcome::kCompleted, mClock.Now());
  aPending.mReply({ AnswerOf(aPending.mRequest,
                             kind == fault_kind::kFail ? kInternalError : kOk),
                    DeliveryOf(kind) });
}

} // namespace mangospan::standin
