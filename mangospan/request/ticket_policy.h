// What an entry does with a request that carries a ticket, once it has heard
// from the ticket's issuer, or has not.
//
//   ticket_decision next = DecideOnVerdict(answer.mVerdict, kept, issuer);
//   if (next.mKind == ticket_decision_kind::kRun) { requests.OnArrival(...); }
#ifndef MANGOSPAN_REQUEST_TICKET_POLICY_H
#define MANGOSPAN_REQUEST_TICKET_POLICY_H

#include <chrono>
#include <string>

#include "mangospan/request/pipeline.h"
#include "mangospan/request/ticket_ledger.h"

namespace mangospan::request {

enum class ticket_decision_kind
{
  kRun,    // hand the request to the pipeline; report its end to the issuer
  kReplay, // pass the kept answer on
  kRefuse,
};

// Why a ticketed request was refused before it reached the pipeline.
enum class ticket_refusal_code
{
  kMalformed,         // no ticket of this system
  kInProgress,        // another attempt is running
  kAnswerNotKept,     // it has run; the answer is no longer, or was never, kept
  kOutcomeUnknown,    // an earlier attempt may have run
  kExpired,           // it has not run and will not
  kIssuerRestarted,   // the state is gone; an earlier attempt may have run
  kIssuerUnreachable, // the state is out of reach
  kMismatch,          // the ticket belongs to a different request
};

// As in bodies and logs: "issuer_restarted".
const char*
Name(ticket_refusal_code aCode);

// The outcome speaks of the ticket, that is of all attempts: "not run" only if
// no attempt with it can have run. `mRetryAfter` is zero where repeating the
// request with this ticket can not help.
struct ticket_refusal
{
  request_outcome mOutcome = request_outcome::kUnknown;
  ticket_refusal_code mCode = ticket_refusal_code::kIssuerUnreachable;
  const char* mStep = "ticket";
  std::string mPeer; // the issuer
  std::chrono::milliseconds mRetryAfter{ 0 };
  int mHttpStatus = 503;
};

struct ticket_decision
{
  ticket_decision_kind mKind = ticket_decision_kind::kRefuse;
  ticket_refusal mRefusal; // with kRefuse
};

// `aAnswerKept`: the verdict came with a kept answer.
ticket_decision
DecideOnVerdict(grant_verdict aVerdict,
                bool aAnswerKept,
                const std::string& aIssuer);

// The issuer was not reached, or gave no verdict before the attempt's time was
// up. Nothing was sent to an endpoint by this attempt, so the entry then
// reports `ticket_outcome::kNotRun` as soon as the issuer is in reach.
ticket_decision
DecideOnUnreachableIssuer(const std::string& aIssuer);

// The key is no ticket.
ticket_decision
DecideOnMalformedTicket();

// What to report to the issuer when the pipeline has ended a granted request.
ticket_outcome
OutcomeOf(const refusal& aRefusal);

} // namespace mangospan::request

#endif // MANGOSPAN_REQUEST_TICKET_POLICY_H
