// Decides what an entry does with a request that carries a ticket, from the
// verdict of the ticket's issuer or the lack of one.
//
//   ticket_decision next = DecideOnVerdict(reply.mVerdict, kept, issuer);
//   if (next.mKind == ticket_decision_kind::kRun) { requests.OnArrival(...); }
#ifndef MANGOSPAN_REQUEST_TICKET_POLICY_H
#define MANGOSPAN_REQUEST_TICKET_POLICY_H

#include <chrono>
#include <string>

#include "mangospan/request/pipeline.h"
#include "mangospan/request/ticket_registry.h"

namespace mangospan::request {

// The action that the entry must take for the request.
enum class ticket_decision_kind
{
  kRun,    // pass the request to the pipeline; report its end to the issuer
  kReplay, // answer with the kept answer
  kRefuse,
};

// The reason for refusing a request with a ticket before it reaches the
// pipeline.
enum class ticket_refusal_code
{
  kMalformed,         // the idempotency key is not a ticket of this system
  kInProgress,        // the ticket is granted to another attempt
  kAnswerNotKept,     // the request has run, but its answer is not kept
  kOutcomeUnknown,    // an earlier attempt may have run
  kExpired,           // the request has not run and never will
  kIssuerRestarted,   // the state is lost; an earlier attempt may have run
  kIssuerUnreachable, // the issuer gave no verdict
  kMismatch,          // the ticket belongs to a different request
};

// Returns the code as it appears in bodies and logs, for example
// "issuer_restarted".
const char*
Name(ticket_refusal_code aCode);

// An answer that Mangospan sends in place of an endpoint. `mOutcome` covers all
// attempts with the ticket: kNotRun only if none of them can have run.
// `mRetryAfter` is zero if a retry with the same ticket can't help.
struct ticket_refusal
{
  request_outcome mOutcome = request_outcome::kUnknown;
  ticket_refusal_code mCode = ticket_refusal_code::kIssuerUnreachable;
  const char* mStep = "ticket";
  std::string mPeer; // "ip:port" of the issuer; empty for kMalformed
  std::chrono::milliseconds mRetryAfter{ 0 };
  int mHttpStatus = 503;
};

// A decision, with the refusal to send if there is one.
struct ticket_decision
{
  ticket_decision_kind mKind = ticket_decision_kind::kRefuse;
  ticket_refusal mRefusal; // set only with kRefuse
};

// Returns the decision that follows from the issuer's verdict. `aAnswerKept`
// says whether a kept answer came with it.
ticket_decision
DecideOnVerdict(grant_verdict aVerdict,
                bool aAnswerKept,
                const std::string& aIssuer);

// Returns the refusal for an issuer that could not be reached or gave no
// verdict before the attempt's timeout. This attempt sent nothing to an
// endpoint, so the entry reports `ticket_outcome::kNotRun` once it reaches the
// issuer again.
ticket_decision
DecideOnUnreachableIssuer(const std::string& aIssuer);

// Returns the refusal for an idempotency key that is not a ticket.
ticket_decision
DecideOnMalformedTicket();

// Returns the outcome to report to the issuer after the pipeline has refused a
// granted request.
ticket_outcome
OutcomeOf(const refusal& aRefusal);

} // namespace mangospan::request

#endif // MANGOSPAN_REQUEST_TICKET_POLICY_H
