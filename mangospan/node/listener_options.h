// The options of a node's listeners, by its settings.
#ifndef MANGOSPAN_NODE_LISTENER_OPTIONS_H
#define MANGOSPAN_NODE_LISTENER_OPTIONS_H

#include "mangospan/http/server.h"
#include "mangospan/node/settings.h"

namespace mangospan::node {

http::server_options
CallerListener(const node_settings& aSettings);

// Readiness checks need no body.
http::server_options
ReadinessListener(const node_settings& aSettings);

// Other nodes send pool reports and keep idle connections for long.
http::server_options
NodeListener(const node_settings& aSettings);

http::connection_limits
OperatorLimits(const node_settings& aSettings);

} // namespace mangospan::node

#endif // MANGOSPAN_NODE_LISTENER_OPTIONS_H
