#include "mangospan/entry/ticket_desk.h"

#include <algorithm>
#include <chrono>
#include <iterator>

#include "mangospan/base/log.h"
#include "mangospan/request/ticket.h"

namespace mangospan::entry {

using request::grant_verdict;
using request::kept_answer;
using request::ticket_outcome;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kAskPeriod{ 200 };
constexpr milliseconds kAskLimit{ 1'000 };
constexpr std::size_t kMaxAsking = 4096;
constexpr std::size_t kMaxWaitingReports = 1024;
// Larger answers are not kept with a report that waits for a connection.
constexpr std::size_t kMaxWaitingBody = 4096;

struct verdict_pair
{
  grant_verdict mOurs;
  wire::grant_verdict mWire;
};

constexpr verdict_pair kVerdicts[] = {
  { grant_verdict::kGranted, wire::grant_verdict::kGranted },
  { grant_verdict::kInProgress, wire::grant_verdict::kInProgress },
  { grant_verdict::kCompleted, wire::grant_verdict::kCompleted },
  { grant_verdict::kOutcomeUnknown, wire::grant_verdict::kOutcomeUnknown },
  { grant_verdict::kExpired, wire::grant_verdict::kExpired },
  { grant_verdict::kNotIssued, wire::grant_verdict::kNotIssued },
  { grant_verdict::kMismatch, wire::grant_verdict::kMismatch },
};

wire::grant_verdict
ToWire(grant_verdict aVerdict)
{
  const auto* const found = std::find_if(
    std::begin(kVerdicts),
    std::end(kVerdicts),
    [aVerdict](const verdict_pair& aPair) { return aPair.mOurs == aVerdict; });
  return found == std::end(kVerdicts) ? wire::grant_verdict::kNotIssued
                                      : found->mWire;
}

grant_verdict
FromWire(wire::grant_verdict aVerdict)
{
  const auto* const found = std::find_if(
    std::begin(kVerdicts),
    std::end(kVerdicts),
    [aVerdict](const verdict_pair& aPair) { return aPair.mWire == aVerdict; });
  return found == std::end(kVerdicts) ? grant_verdict::kNotIssued
                                      : found->mOurs;
}

struct outcome_pair
{
  ticket_outcome mOurs;
  wire::ticket_outcome mWire;
};

constexpr outcome_pair kOutcomes[] = {
  { ticket_outcome::kAnswered, wire::ticket_outcome::kAnswered },
  { ticket_outcome::kNotRun, wire::ticket_outcome::kNotRun },
  { ticket_outcome::kUnknown, wire::ticket_outcome::kUnknown },
};

wire::ticket_outcome
ToWire(ticket_outcome aOutcome)
{
  for (const outcome_pair& each : kOutcomes) {
    if (each.mOurs == aOutcome) {
      return each.mWire;
    }
  }
  return wire::ticket_outcome::kUnknown;
}

ticket_outcome
FromWire(wire::ticket_outcome aOutcome)
{
  for (const outcome_pair& each : kOutcomes) {
    if (each.mWire == aOutcome) {
      return each.mOurs;
    }
  }
  return ticket_outcome::kUnknown;
}

} // namespace

ticket_desk::ticket_desk(const request::ticket_options& aOptions,
                         std::string aAddress,
                         boot_id aBoot,
                         ticket_desk_handlers aHandlers)
  : mAddress(std::move(aAddress))
  , mBoot(aBoot)
  , mHandlers(std::move(aHandlers))
  , mRegistry(aOptions, mAddress, aBoot)
{
}

result<std::vector<std::string>>
ticket_desk::Issue(std::size_t aCount, time_point aNow)
{
  return mRegistry.Issue(aCount, aNow);
}

void
ticket_desk::OnRequest(request::request_id aRequest,
                       const std::string& aTicket,
                       std::uint64_t aFingerprint,
                       time_point aNow)
{
  const auto ticket = request::ParseTicket(aTicket);
  if (ticket.has_error()) {
    mHandlers.mOnDecision(aRequest, request::DecideOnMalformedTicket(), {});
    return;
  }
  asking next;
  next.mRequest = aRequest;
  next.mIssuer = ticket.assume_value().mIssuer;
  next.mQuestion = { aTicket, AttemptName(aRequest), aFingerprint };
  if (next.mIssuer == mAddress) {
    const request::grant answer =
      mRegistry.Grant(aTicket, next.mQuestion.mAttempt, aFingerprint, aNow);
    next.mIssuer.clear();
    Decide(next, answer.mVerdict, answer.mAnswer);
    return;
  }
  if (mAsking.size() >= kMaxAsking) {
    mHandlers.mOnDecision(
      aRequest, request::DecideOnUnreachableIssuer(next.mIssuer), {});
    return;
  }
  mHandlers.mSend(next.mIssuer, next.mQuestion);
  next.mAskNext = aNow + kAskPeriod;
  next.mGiveUp = aNow + kAskLimit;
  const std::string attempt = next.mQuestion.mAttempt;
  mAsking.emplace(attempt, std::move(next));
}

void
ticket_desk::OnEnded(request::request_id aRequest,
                     ticket_outcome aOutcome,
                     const kept_answer& aAnswer,
                     time_point aNow)
{
  const auto found = mRunning.find(aRequest);
  if (found == mRunning.end()) {
    return;
  }
  const running ended = std::move(found->second);
  mRunning.erase(found);
  if (ended.mIssuer.empty()) {
    mRegistry.Report(ended.mTicket, ended.mAttempt, aOutcome, aAnswer, aNow);
    return;
  }
  Report(ended.mIssuer,
         { ended.mTicket,
           ended.mAttempt,
           ToWire(aOutcome),
           aAnswer.mStatus,
           aAnswer.mContentType,
           aAnswer.mBody });
}

wire::grant_reply
ticket_desk::OnGrantRequest(const wire::grant_request& aRequest,
                            time_point aNow)
{
  const request::grant answer = mRegistry.Grant(
    aRequest.mTicket, aRequest.mAttempt, aRequest.mFingerprint, aNow);
  return { aRequest.mTicket,
           aRequest.mAttempt,
           ToWire(answer.mVerdict),
           answer.mAnswer.mStatus,
           answer.mAnswer.mContentType,
           answer.mAnswer.mBody };
}

void
ticket_desk::OnGrantReply(const wire::grant_reply& aReply, time_point /*aNow*/)
{
  const auto found = mAsking.find(aReply.mAttempt);
  if (found == mAsking.end() ||
      found->second.mQuestion.mTicket != aReply.mTicket) {
    return; // repeated, or too late: `GiveUp` has reported it as not run
  }
  const asking answered = std::move(found->second);
  mAsking.erase(found);
  Decide(answered,
         FromWire(aReply.mVerdict),
         { aReply.mStatus, aReply.mContentType, aReply.mBody });
}

void
ticket_desk::OnReport(const wire::ticket_report& aReport, time_point aNow)
{
  mRegistry.Report(aReport.mTicket,
                   aReport.mAttempt,
                   FromWire(aReport.mOutcome),
                   { aReport.mStatus, aReport.mContentType, aReport.mBody },
                   aNow);
}

void
ticket_desk::OnConnected(const std::string& aAddress)
{
  for (auto each = mReports.begin(); each != mReports.end();) {
    if (each->first == aAddress && mHandlers.mSend(aAddress, each->second)) {
      each = mReports.erase(each);
    } else {
      ++each;
    }
  }
}

void
ticket_desk::OnTick(time_point aNow)
{
  mRegistry.OnTick(aNow);
  std::vector<asking> givenUp;
  for (auto each = mAsking.begin(); each != mAsking.end();) {
    if (each->second.mGiveUp <= aNow) {
      givenUp.push_back(std::move(each->second));
      each = mAsking.erase(each);
      continue;
    }
    if (each->second.mAskNext <= aNow) {
      mHandlers.mSend(each->second.mIssuer, each->second.mQuestion);
      each->second.mAskNext = aNow + kAskPeriod;
    }
    ++each;
  }
  for (const asking& each : givenUp) {
    GiveUp(each);
  }
}

request::ticket_registry_snapshot
ticket_desk::Snapshot() const
{
  return mRegistry.Snapshot();
}

std::string
ticket_desk::AttemptName(request::request_id aRequest) const
{
  return std::to_string(mBoot.mValue) + "-" + std::to_string(aRequest);
}

void
ticket_desk::Decide(const asking& aAsking,
                    grant_verdict aVerdict,
                    const kept_answer& aAnswer)
{
  const bool isKept = aAnswer.mStatus != 0;
  const request::ticket_decision decision = request::DecideOnVerdict(
    aVerdict, isKept, aAsking.mIssuer.empty() ? mAddress : aAsking.mIssuer);
  if (decision.mKind == request::ticket_decision_kind::kRun) {
    mRunning[aAsking.mRequest] = { aAsking.mIssuer,
                                   aAsking.mQuestion.mTicket,
                                   aAsking.mQuestion.mAttempt };
  }
  mHandlers.mOnDecision(aAsking.mRequest, decision, aAnswer);
}

// The issuer may have granted the attempt, in an answer that was lost.
void
ticket_desk::GiveUp(const asking& aAsking)
{
  Report(aAsking.mIssuer,
         { aAsking.mQuestion.mTicket,
           aAsking.mQuestion.mAttempt,
           wire::ticket_outcome::kNotRun,
           0,
           "",
           "" });
  mHandlers.mOnDecision(
    aAsking.mRequest, request::DecideOnUnreachableIssuer(aAsking.mIssuer), {});
}

void
ticket_desk::Report(const std::string& aIssuer, wire::ticket_report aReport)
{
  if (mHandlers.mSend(aIssuer, aReport)) {
    return;
  }
  if (aReport.mBody.size() > kMaxWaitingBody) {
    aReport.mStatus = 0;
    aReport.mContentType.clear();
    aReport.mBody.clear();
  }
  if (mReports.size() >= kMaxWaitingReports) {
    mReports.pop_front(); // the issuer will call its outcome unknown
    LogEvent(
      log_level::kWarning, "ticket.report.dropped", { { "peer", aIssuer } });
  }
  mReports.emplace_back(aIssuer, std::move(aReport));
}

} // namespace mangospan::entry
