// Builds the answers that an entry gives to callers, and the requests that it
// passes on to endpoints.
//
//   responder(RefusalAnswer(refusal));
//   responder(PassedAnswer(std::move(endpointAnswer)));
#ifndef MANGOSPAN_ENTRY_ANSWERS_H
#define MANGOSPAN_ENTRY_ANSWERS_H

#include <string>
#include <vector>

#include "mangospan/http/message.h"
#include "mangospan/request/pipeline.h"
#include "mangospan/request/ticket_policy.h"
#include "mangospan/request/ticket_registry.h"

namespace mangospan::entry {

// Answers of our own: a JSON body with code, step, peer and retry_after_ms,
// the header Mangospan-Outcome, and Retry-After where a retry can help.
http::response
RefusalAnswer(const request::refusal& aRefusal);
http::response
RefusalAnswer(const request::ticket_refusal& aRefusal);

// For requests to our own resources; certainly not run.
http::response
NotRunAnswer(int aStatus, const std::string& aCode, const std::string& aStep);

// For a request that is still in progress when this entry exits; an endpoint
// may have run it.
http::response
UnfinishedAnswer();

// The tickets as {"tickets":[...]}.
http::response
TicketsAnswer(const std::vector<std::string>& aTickets);

// The answer kept for a ticket.
http::response
ReplayedAnswer(const request::kept_answer& aKept);

// The endpoint's whole answer less what concerns its connection to us.
http::response
PassedAnswer(http::response aAnswer);

// The caller's request less what concerns its connection to us, with its
// address added to X-Forwarded-For.
http::request
PassedRequest(http::request aRequest);

} // namespace mangospan::entry

#endif // MANGOSPAN_ENTRY_ANSWERS_H
