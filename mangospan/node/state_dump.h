// JSON descriptions of elections and partitions for the operators' state
// request.
#ifndef MANGOSPAN_NODE_STATE_DUMP_H
#define MANGOSPAN_NODE_STATE_DUMP_H

#include <nlohmann/json_fwd.hpp>

#include "mangospan/base/time.h"
#include "mangospan/customers/quota.h"
#include "mangospan/node/partition.h"

namespace mangospan::node {

// Adds the member `aKey` with the node and the term of the election's owner, if
// the owner is known.
void
AddOwner(const election& aElection, const char* aKey, nlohmann::json& aInto);

// Returns what each customer of the report has, uses and wants; 1 is its whole
// cap.
nlohmann::json
DumpCustomers(const customers::quota_report& aReport);

// Returns the owner of the partition and, if this node is the owner, its
// runners and jobs, and the customers with caps.
nlohmann::json
DumpPartition(const partition& aPartition, time_point aNow);

} // namespace mangospan::node

#endif // MANGOSPAN_NODE_STATE_DUMP_H
