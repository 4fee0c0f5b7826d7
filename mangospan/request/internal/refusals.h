// The fixed part of each refusal: step, HTTP status and time to retry.
//
//   refusal why = MakeRefusal(refusal_code::kQueueFull);
#ifndef MANGOSPAN_REQUEST_INTERNAL_REFUSALS_H
#define MANGOSPAN_REQUEST_INTERNAL_REFUSALS_H

#include "mangospan/request/pipeline.h"

namespace mangospan::request {

// A refusal with the outcome not-run and no peer.
refusal
MakeRefusal(refusal_code aCode);

} // namespace mangospan::request

#endif // MANGOSPAN_REQUEST_INTERNAL_REFUSALS_H
