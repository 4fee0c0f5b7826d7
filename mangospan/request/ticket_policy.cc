#include "mangospan/request/ticket_policy.h"

#include <cstddef>

namespace mangospan::request {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRetryAfterInProgress{ 500 };
constexpr milliseconds kRetryAfterUnreachable{ 1000 };

// The refusal that follows from a verdict other than kGranted.
struct verdict_refusal
{
  milliseconds mRetryAfter;
  grant_verdict mVerdict;
  ticket_refusal_code mCode;
  request_outcome mOutcome;
  int mHttpStatus;
};

// Only kExpired and kMismatch prove that nothing has run: an issuer that
// returns kNotIssued may have granted the ticket before it restarted.
constexpr verdict_refusal kVerdictRefusals[] = {
  { kRetryAfterInProgress,
    grant_verdict::kInProgress,
    ticket_refusal_code::kInProgress,
    request_outcome::kUnknown,
    409 },
  { milliseconds(0),
    grant_verdict::kCompleted,
    ticket_refusal_code::kAnswerNotKept,
    request_outcome::kUnknown,
    409 },
  { milliseconds(0),
    grant_verdict::kOutcomeUnknown,
    ticket_refusal_code::kOutcomeUnknown,
    request_outcome::kUnknown,
    409 },
  { milliseconds(0),
    grant_verdict::kExpired,
    ticket_refusal_code::kExpired,
    request_outcome::kNotRun,
    410 },
  { milliseconds(0),
    grant_verdict::kNotIssued,
    ticket_refusal_code::kIssuerRestarted,
    request_outcome::kUnknown,
    409 },
  { milliseconds(0),
    grant_verdict::kMismatch,
    ticket_refusal_code::kMismatch,
    request_outcome::kNotRun,
    422 },
};

ticket_decision
Refuse(const verdict_refusal& aProperties, const std::string& aIssuer)
{
  ticket_decision decision;
  decision.mRefusal.mOutcome = aProperties.mOutcome;
  decision.mRefusal.mCode = aProperties.mCode;
  decision.mRefusal.mPeer = aIssuer;
  decision.mRefusal.mRetryAfter = aProperties.mRetryAfter;
  decision.mRefusal.mHttpStatus = aProperties.mHttpStatus;
  return decision;
}

} // namespace

const char*
Name(ticket_refusal_code aCode)
{
  static constexpr const char* kNames[] = {
    "malformed_ticket",   "in_progress",     "answer_not_kept",
    "outcome_unknown",    "ticket_expired",  "issuer_restarted",
    "issuer_unreachable", "ticket_mismatch",
  };
  return kNames[static_cast<std::size_t>(aCode)];
}

ticket_decision
DecideOnVerdict(grant_verdict aVerdict,
                bool aAnswerKept,
                const std::string& aIssuer)
{
  ticket_decision decision;
  if (aVerdict == grant_verdict::kGranted) {
    decision.mKind = ticket_decision_kind::kRun;
    return decision;
  }
  if (aVerdict == grant_verdict::kCompleted && aAnswerKept) {
    decision.mKind = ticket_decision_kind::kReplay;
    return decision;
  }
  for (const verdict_refusal& properties : kVerdictRefusals) {
    if (properties.mVerdict == aVerdict) {
      return Refuse(properties, aIssuer);
    }
  }
  return DecideOnUnreachableIssuer(aIssuer);
}

ticket_decision
DecideOnUnreachableIssuer(const std::string& aIssuer)
{
  ticket_decision decision;
  decision.mRefusal.mPeer = aIssuer;
  decision.mRefusal.mRetryAfter = kRetryAfterUnreachable;
  return decision;
}

ticket_decision
DecideOnMalformedTicket()
{
  ticket_decision decision;
  decision.mRefusal.mOutcome = request_outcome::kNotRun;
  decision.mRefusal.mCode = ticket_refusal_code::kMalformed;
  decision.mRefusal.mHttpStatus = 400;
  return decision;
}

ticket_outcome
OutcomeOf(const refusal& aRefusal)
{
  return aRefusal.mOutcome == request_outcome::kNotRun
           ? ticket_outcome::kNotRun
           : ticket_outcome::kUnknown;
}

} // namespace mangospan::request
