// JSON descriptions of elections and partitions for the operators' state
// request.
#ifndef MANGOSPAN_NODE_STATE_DUMP_H
#define MANGOSPAN_NODE_STATE_DUMP_H

#include <nlohmann/json_fwd.hpp>

#include "mangospan/base/time.h"
#include "mangospan/node/partition.h"

namespace mangospan::node {

// Adds the member `aKey` with the node and the term of the election's owner, if
// the owner is known.
void
AddOwner(const election& aElection, const char* aKey, nlohmann::json& aInto);

// Returns the owner of the partition and, if this node is the owner, its
// runners and jobs.
nlohmann::json
DumpPartition(const partition& aPartition, time_point aNow);

} // namespace mangospan::node

#endif // MANGOSPAN_NODE_STATE_DUMP_H
