// The test switch that cuts a daemon off from other zones or hosts.
//
//   http::response answer = daemon::SwitchCut(gate, request);
#ifndef MANGOSPAN_DAEMON_CUT_SWITCH_H
#define MANGOSPAN_DAEMON_CUT_SWITCH_H

#include "mangospan/http/message.h"
#include "mangospan/wire/link.h"

namespace mangospan::daemon {

// POST /test/cut?zone=Z or ?host=H blocks it at the gate, /test/heal clears the
// gate. 400 for anything else.
http::response
SwitchCut(wire::traffic_gate& aGate, const http::request& aRequest);

} // namespace mangospan::daemon

#endif // MANGOSPAN_DAEMON_CUT_SWITCH_H
