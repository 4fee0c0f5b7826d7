#include "mangospan/entry/request_pipe.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <utility>
#include <variant>

#include "mangospan/base/log.h"
#include "mangospan/entry/answers.h"
#include "mangospan/entry/classify.h"

namespace mangospan::entry {

using std::chrono::milliseconds;

namespace {

constexpr std::string_view kTicketsPath = "/mangospan/v1/tickets";

// The number of tickets asked for; 0 if the text is not a number.
std::size_t
TicketCount(const http::request& aRequest)
{
  const std::string_view text = http::QueryValue(aRequest, "count");
  if (text.empty()) {
    return http::Path(aRequest).size() == aRequest.mTarget.size() ? 1 : 0;
  }
  std::size_t count = 0;
  const auto parsed =
    std::from_chars(text.data(), text.data() + text.size(), count);
  return parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size()
           ? count
           : 0;
}

request::attempt_end
EndOf(const result<http::response>& aResult, bool aTimeIsUp)
{
  using kind = request::attempt_end_kind;
  if (aResult.has_value()) {
    const http::response& answer = aResult.assume_value();
    const bool isNotRun = answer.Get("Mangospan-Outcome") == "not-run";
    return { isNotRun ? kind::kAnsweredNotRun : kind::kAnswered,
             answer.mStatus };
  }
  const error_code code = aResult.assume_error().mCode;
  if (code == error_code::kUnavailable ||
      code == error_code::kInvalidArgument) {
    return { kind::kNotSent, 0 };
  }
  return { aTimeIsUp ? kind::kTimedOut : kind::kUnknown, 0 };
}

} // namespace

request_pipe::request_pipe(boost::asio::io_context& aIo,
                           const clock_source& aClock,
                           http::client& aClient,
                           daemon::metrics& aMetrics,
                           request::pipeline& aPipeline,
                           ticket_desk& aTickets,
                           std::function<void()> aOnDrained)
  : mClock(aClock)
  , mClient(aClient)
  , mMetrics(aMetrics)
  , mPipeline(aPipeline)
  , mTickets(aTickets)
  , mOnDrained(std::move(aOnDrained))
  , mWake(aIo)
{
}

void
request_pipe::Accept(http::request aRequest, http::responder aRespond)
{
  if (IsReserved(aRequest)) {
    IssueTickets(aRequest, aRespond);
    return;
  }
  const request::request_id id = ++mLastId;
  const std::string ticket(aRequest.Get("Idempotency-Key"));
  const bool hasTicket = aRequest.Has("Idempotency-Key");
  const std::uint64_t fingerprint = hasTicket ? Fingerprint(aRequest) : 0;
  const time_point now = mClock.Now();
  mOpen[id] = { std::move(aRequest), std::move(aRespond), {}, now };
  if (hasTicket) {
    mTickets.OnRequest(id, ticket, fingerprint, now);
  } else {
    Submit(id);
  }
}

void
request_pipe::IssueTickets(const http::request& aRequest,
                           const http::responder& aRespond)
{
  const auto answer = [&]() -> http::response {
    if (http::Path(aRequest) != kTicketsPath) {
      return NotRunAnswer(404, "no_such_resource", "accept");
    }
    if (aRequest.mMethod != "POST") {
      return NotRunAnswer(405, "method_not_allowed", "accept");
    }
    if (mIsStopping) {
      return NotRunAnswer(503, "stopping", "accept");
    }
    const auto issued = mTickets.Issue(TicketCount(aRequest), mClock.Now());
    if (issued.has_value()) {
      return TicketsAnswer(issued.assume_value());
    }
    return issued.assume_error().mCode == error_code::kInvalidArgument
             ? NotRunAnswer(400, "bad_count", "ticket")
             : NotRunAnswer(503, "too_many_tickets", "ticket");
  };
  http::response made = answer();
  if (mIsStopping) {
    made.Set("Connection", "close");
  }
  aRespond(std::move(made));
}

void
request_pipe::OnTicketDecision(request::request_id aRequest,
                               const request::ticket_decision& aDecision,
                               const request::kept_answer& aAnswer)
{
  switch (aDecision.mKind) {
    case request::ticket_decision_kind::kRun:
      Submit(aRequest);
      break;
    case request::ticket_decision_kind::kReplay:
      Answer(aRequest, ReplayedAnswer(aAnswer), "replayed", "");
      break;
    case request::ticket_decision_kind::kRefuse:
      Answer(aRequest,
             RefusalAnswer(aDecision.mRefusal),
             Name(aDecision.mRefusal.mOutcome),
             Name(aDecision.mRefusal.mCode));
      break;
  }
}

void
request_pipe::Submit(request::request_id aRequest)
{
  const open_request& open = mOpen.at(aRequest);
  const time_point now = mClock.Now();
  request::arrival arrival = ToArrival(open.mRequest, aRequest, now);
  arrival.mArrived = open.mArrived; // includes the wait for the issuer
  Carry(mPipeline.OnArrival(arrival, now));
}

void
request_pipe::Carry(const request::actions& aActions)
{
  for (const request::action& each : aActions) {
    std::visit([this](const auto& aAction) { Do(aAction); }, each);
  }
  WakeLater();
}

void
request_pipe::Do(const request::dispatch& aDispatch)
{
  const auto found = mOpen.find(aDispatch.mRequest);
  if (found == mOpen.end()) {
    return;
  }
  const time_point sent = mClock.Now();
  mClient.Send(aDispatch.mAddress,
               PassedRequest(found->second.mRequest),
               std::chrono::ceil<milliseconds>(aDispatch.mTimeout),
               [this, aDispatch, sent](result<http::response> aResult) {
                 OnAttempt(aDispatch, sent, std::move(aResult));
               });
}

void
request_pipe::OnAttempt(const request::dispatch& aDispatch,
                        time_point aSent,
                        result<http::response> aResult)
{
  const time_point now = mClock.Now();
  const request::attempt_end end =
    EndOf(aResult, now - aSent >= aDispatch.mTimeout);
  const auto found = mOpen.find(aDispatch.mRequest);
  if (aResult.has_error()) {
    mMetrics.Add("mangospan_entry_attempts_failed_total",
                 { { "code", Name(aResult.assume_error().mCode) } });
    LogError("attempt.failed", aResult.assume_error());
  } else if (found != mOpen.end()) {
    found->second.mAnswer = std::move(aResult).assume_value();
  }
  Carry(
    mPipeline.OnAttemptEnded(aDispatch.mRequest, aDispatch.mAttempt, end, now));
}

void
request_pipe::Do(const request::deliver& aDeliver)
{
  const auto found = mOpen.find(aDeliver.mRequest);
  if (found == mOpen.end()) {
    return;
  }
  http::response answer = PassedAnswer(std::move(found->second.mAnswer));
  const request::kept_answer kept{ answer.mStatus,
                                   std::string(answer.Get("Content-Type")),
                                   answer.mBody };
  const bool isNotRun = answer.Get("Mangospan-Outcome") == "not-run";
  Answer(aDeliver.mRequest, std::move(answer), "answered", "");
  mTickets.OnEnded(aDeliver.mRequest,
                   isNotRun ? request::ticket_outcome::kNotRun
                            : request::ticket_outcome::kAnswered,
                   kept,
                   mClock.Now());
}

void
request_pipe::Do(const request::refuse& aRefuse)
{
  const request::refusal& refusal = aRefuse.mRefusal;
  Answer(aRefuse.mRequest,
         RefusalAnswer(refusal),
         Name(refusal.mOutcome),
         Name(refusal.mCode));
  mTickets.OnEnded(
    aRefuse.mRequest, request::OutcomeOf(refusal), {}, mClock.Now());
}

void
request_pipe::Do(const request::drained_host& aDrained)
{
  LogEvent(log_level::kInfo,
           "drain.emptied",
           { { "host", aDrained.mHost.Str() }, { "epoch", aDrained.mEpoch } });
  mOnDrained();
}

void
request_pipe::Answer(request::request_id aRequest,
                     http::response aAnswer,
                     const char* aOutcome,
                     const char* aCode)
{
  const auto found = mOpen.find(aRequest);
  if (found == mOpen.end()) {
    return;
  }
  const open_request closed = std::move(found->second);
  mOpen.erase(found);
  mMetrics.Add("mangospan_entry_answers_total",
               { { "outcome", aOutcome }, { "code", aCode } });
  mMetrics.Observe(
    "mangospan_entry_latency_seconds",
    { { "outcome", aOutcome } },
    std::chrono::duration<double>(mClock.Now() - closed.mArrived).count());
  if (mIsStopping) {
    aAnswer.Set("Connection", "close");
  }
  closed.mRespond(std::move(aAnswer));
}

void
request_pipe::WakeLater()
{
  const auto wake = mPipeline.NextWake();
  if (!wake) {
    mWake.cancel();
    return;
  }
  const auto wait =
    std::max(*wake - mClock.Now(), std::chrono::nanoseconds::zero());
  mWake.expires_after(wait);
  mWake.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      Carry(mPipeline.OnTick(mClock.Now()));
    }
  });
}

} // namespace mangospan::entry
