// Computes what a zone needs to record in the budget record of each pool: its
// unavailable hosts, and the permits that it holds and requests.
//
//   permit_demands demands =
//     ComputePermitDemands(zone_hosts, document, intents, utc);
#ifndef MANGOSPAN_FLEET_PERMIT_DEMAND_H
#define MANGOSPAN_FLEET_PERMIT_DEMAND_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "mangospan/config/document.h"
#include "mangospan/fleet/host_steps.h"
#include "mangospan/fleet/records.h"
#include "mangospan/fleet/zone_hosts.h"

namespace mangospan::fleet {

// The hosts and permits of one zone in one pool.
struct permit_demand
{
  // The pool's availability budget, which counts over all zones.
  config::availability_budget mBudget;
  // The number of the pool's hosts in this zone, without hosts that are still
  // joining the pool.
  std::size_t mHostCount = 0;
  // Hosts that are unavailable without a planned purpose.
  std::vector<host_name> mDownHosts;
  // Permits that are recorded without a check of the budget: for hosts that are
  // out of service for a planned purpose, and for hosts that are down already
  // and are to be drained or maintained.
  std::vector<permit> mHeldPermits;
  // Permits for serving hosts, which need a check of the budget; the most
  // urgent first.
  std::vector<permit> mRequestedPermits;
};
using permit_demands = std::map<pool_name, permit_demand>;

// Returns the demand of the zone in every pool of `aDocument` and in every
// other pool that has hosts in `aHosts`. Each permit is dated `aUtcSeconds`, in
// seconds since 1970 (UTC).
permit_demands
ComputePermitDemands(const zone_hosts& aHosts,
                     const config::document& aDocument,
                     const host_intents& aIntents,
                     std::int64_t aUtcSeconds);

// Returns true if the host is being moved into its pool and has not started to
// serve there. Such a host is not counted in `permit_demand::mHostCount`,
// though its `mPool` is the pool.
bool
IsJoining(const host_record& aRecord);

} // namespace mangospan::fleet

#endif // MANGOSPAN_FLEET_PERMIT_DEMAND_H
