// The first filter: what a caller's request asks for.
//
//   request::arrival arrival = ToArrival(request, id, now);
#ifndef MANGOSPAN_ENTRY_CLASSIFY_H
#define MANGOSPAN_ENTRY_CLASSIFY_H

#include <cstdint>

#include "mangospan/base/time.h"
#include "mangospan/http/message.h"
#include "mangospan/request/pipeline.h"

namespace mangospan::entry {

// Whether the path is one of our own, "/mangospan/...".
bool
IsReserved(const http::request& aRequest);

// The request as the pipeline sees it. The caller is the header
// Mangospan-Caller, else the sender's IP; the team is Mangospan-Team.
request::arrival
ToArrival(const http::request& aRequest,
          request::request_id aId,
          time_point aNow);

// The same for equal method, target and body, in every process.
std::uint64_t
Fingerprint(const http::request& aRequest);

} // namespace mangospan::entry

#endif // MANGOSPAN_ENTRY_CLASSIFY_H
