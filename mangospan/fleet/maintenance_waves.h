// Which hosts are due for maintenance now, and how far each pool's wave is.
//
//   wave_plan plan = PlanWaves(inputs);
//   for (const auto& [host, intent] : plan.mIntents) { ... }
#ifndef MANGOSPAN_FLEET_MAINTENANCE_WAVES_H
#define MANGOSPAN_FLEET_MAINTENANCE_WAVES_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include "mangospan/config/document.h"
#include "mangospan/fleet/host_steps.h"
#include "mangospan/fleet/records.h"
#include "mangospan/fleet/zone_hosts.h"

namespace mangospan::fleet {

struct wave_inputs
{
  const config::document& mDocument;
  const wave_request& mRequest;
  const zone_hosts& mHosts;
  std::int64_t mUtc = 0; // seconds since 1970
  // Hosts of the pool that predicted demand needs in this zone.
  std::function<std::size_t(const pool_name&)> mNeeded;
  // Hosts of the pool that have failed in maintenance, in all zones.
  std::function<std::size_t(const pool_name&)> mFailures;
};

struct wave_plan
{
  host_intents mIntents;
  std::vector<wave_progress> mProgress; // of pools with hosts due or under way
};

// True if maintenance is allowed at that time of day (UTC).
bool
InAllowedHours(const config::maintenance& aRules, std::int64_t aUtc);

wave_plan
PlanWaves(const wave_inputs& aInputs);

} // namespace mangospan::fleet

#endif // MANGOSPAN_FLEET_MAINTENANCE_WAVES_H
