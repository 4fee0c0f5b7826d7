#include "mangospan/node/caller_drain.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "mangospan/base/log.h"

namespace mangospan::node {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kPollInterval{ 40 };

// The response to a request that is still in progress when it is due. It may
// have had an effect.
http::response
UnknownResultResponse()
{
  return http::JsonResponse(
    504, R"({"message":"the node stops, the result is not known"})");
}

} // namespace

caller_drain::caller_drain(boost::asio::io_context& aIo,
                           const clock_source& aClock,
                           http::server& aServer,
                           std::vector<http::server*> aOthers,
                           std::function<bool()> aIsHandedOver)
  : mClock(aClock)
  , mServer(aServer)
  , mOthers(std::move(aOthers))
  , mIsHandedOver(std::move(aIsHandedOver))
  , mTimer(aIo)
{
}

void
caller_drain::Start(const stop_schedule& aSchedule, std::function<void()> aDone)
{
  mSchedule = aSchedule;
  mDone = std::move(aDone);
  mServer.AnnounceStop();
  After(aSchedule.AcceptUntil() - mClock.Now(), &caller_drain::StopAccepting);
}

void
caller_drain::StopAccepting()
{
  mServer.StopAccepting();
  LogEvent(log_level::kInfo,
           "stop.accepting_ended",
           { { "open_connections",
               static_cast<std::uint64_t>(mServer.OpenConnections()) },
             { "in_progress",
               static_cast<std::uint64_t>(mServer.ActiveRequests()) } });
  Poll();
}

// A connection on which a request is still on its way counts as open, one whose
// response is still on its way to the caller as well.
void
caller_drain::Poll()
{
  const time_point now = mClock.Now();
  const bool isClosed =
    mServer.OpenConnections() == 0 && mIsHandedOver() && AreOthersClosed();
  // Responses get one more interval to be sent if the process runs late.
  const bool isOver = mIsRestAnswered && now >= mSchedule->ExitBy();
  if (isClosed || isOver) {
    Finish();
    return;
  }
  if (now >= mSchedule->AnswerBy() && !mIsRestAnswered) {
    AnswerRest();
  }
  After(kPollInterval, &caller_drain::Poll);
}

// The load balancer, other nodes and operators are answered to the end.
bool
caller_drain::AreOthersClosed()
{
  if (!mAreOthersStopped) {
    mAreOthersStopped = true;
    for (http::server* const each : mOthers) {
      each->StopAccepting();
    }
  }
  return std::all_of(
    mOthers.begin(), mOthers.end(), [](const http::server* aServer) {
      return aServer->OpenConnections() == 0;
    });
}

void
caller_drain::AnswerRest()
{
  mIsRestAnswered = true;
  std::size_t count = mServer.AnswerActiveRequests(UnknownResultResponse());
  for (http::server* const each : mOthers) {
    count += each->AnswerActiveRequests(UnknownResultResponse());
  }
  if (count > 0) {
    LogEvent(log_level::kWarning,
             "stop.answered_unfinished",
             { { "requests", static_cast<std::uint64_t>(count) } });
  }
}

void
caller_drain::Finish()
{
  LogEvent(
    log_level::kInfo,
    "stopped",
    { { "unanswered", static_cast<std::uint64_t>(mServer.ActiveRequests()) },
      { "took_ms", CountMilliseconds(mClock.Now() - mSchedule->Begin()) } });
  mDone();
}

void
caller_drain::After(time_point::duration aDelay, void (caller_drain::*aStep)())
{
  mTimer.expires_after(std::max(time_point::duration(0), aDelay));
  mTimer.async_wait([this, aStep](const boost::system::error_code& aAbort) {
    if (!aAbort) {
      (this->*aStep)();
    }
  });
}

} // namespace mangospan::node
