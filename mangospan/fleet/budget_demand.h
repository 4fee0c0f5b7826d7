// What a zone wants to say in each pool's budget record.
//
//   budget_demands demands = MakeDemands(zone_hosts, document, intents, utc);
#ifndef MANGOSPAN_FLEET_BUDGET_DEMAND_H
#define MANGOSPAN_FLEET_BUDGET_DEMAND_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "mangospan/config/document.h"
#include "mangospan/fleet/host_steps.h"
#include "mangospan/fleet/records.h"
#include "mangospan/fleet/zone_hosts.h"

namespace mangospan::fleet {

struct pool_demand
{
  config::availability_budget mBudget;
  std::size_t mHosts = 0;       // in the pool; hosts still joining are not
  std::vector<host_name> mDown; // unplanned
  // For hosts that are out of service as planned, and for those that are down
  // and are to be drained or maintained; the budget is not asked for them.
  std::vector<permit> mHeld;
  std::vector<permit> mWanted; // for serving hosts, the most urgent first
};
using budget_demands = std::map<pool_name, pool_demand>;

// `aUtc` is in seconds since 1970; it dates new permits.
budget_demands
MakeDemands(const zone_hosts& aHosts,
            const config::document& aDocument,
            const host_intents& aIntents,
            std::int64_t aUtc);

// True if the host is on its way into its pool and not of it yet.
bool
IsJoining(const host_record& aRecord);

} // namespace mangospan::fleet

#endif // MANGOSPAN_FLEET_BUDGET_DEMAND_H
