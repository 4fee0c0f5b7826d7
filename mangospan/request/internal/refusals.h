// The properties of each refusal code: step, HTTP status and time to retry.
//
//   refusal refused = MakeRefusal(refusal_code::kQueueFull);
#ifndef MANGOSPAN_REQUEST_INTERNAL_REFUSALS_H
#define MANGOSPAN_REQUEST_INTERNAL_REFUSALS_H

#include "mangospan/request/pipeline.h"

namespace mangospan::request {

// Returns the refusal for a code, with the outcome kNotRun and no peer.
refusal
MakeRefusal(refusal_code aCode);

} // namespace mangospan::request

#endif // MANGOSPAN_REQUEST_INTERNAL_REFUSALS_H
