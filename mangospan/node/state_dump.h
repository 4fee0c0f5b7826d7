// What a node tells of itself on request.
#ifndef MANGOSPAN_NODE_STATE_DUMP_H
#define MANGOSPAN_NODE_STATE_DUMP_H

#include <nlohmann/json_fwd.hpp>

#include "mangospan/base/time.h"
#include "mangospan/node/partition.h"

namespace mangospan::node {

// Adds the member `aKey` with who owns the subject, if that is known.
void
AddOwner(const election& aElection, const char* aKey, nlohmann::json& aInto);

// The owner, and its runners and jobs if it is this node.
nlohmann::json
DumpPartition(const partition& aPartition, time_point aNow);

} // namespace mangospan::node

#endif // MANGOSPAN_NODE_STATE_DUMP_H
