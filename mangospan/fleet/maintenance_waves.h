// Plans the maintenance waves of a zone: which hosts to take out of service for
// maintenance now, and the progress of the wave in each pool.
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

// The data that a plan is computed from.
struct wave_inputs
{
  const config::document& mDocument;
  const wave_request& mRequest; // the operators' wave
  const zone_hosts& mHosts;
  std::int64_t mUtcSeconds = 0; // the current time in seconds since 1970 (UTC)
  // Returns the number of the pool's hosts that the predicted demand needs in
  // this zone.
  std::function<std::size_t(const pool_name&)> mCountNeededHosts;
  // Returns the number of the pool's hosts, in all zones, that hold a
  // maintenance permit and are marked as failed. A host no longer counts once
  // it is back in service.
  std::function<std::size_t(const pool_name&)> mCountFailedHosts;
};

// The result of planning.
struct wave_plan
{
  // The hosts to take out of service for maintenance now.
  host_intents mIntents;
  // One element for each pool that has hosts due for maintenance or in
  // maintenance, or that the operators' wave includes.
  std::vector<wave_progress> mProgress;
};

// Returns true if `aRules` allow maintenance at the time of day of
// `aUtcSeconds`, which is in seconds since 1970 (UTC).
bool
InAllowedHours(const config::maintenance& aRules, std::int64_t aUtcSeconds);

// Returns the plan for all pools of the document.
wave_plan
PlanWaves(const wave_inputs& aInputs);

} // namespace mangospan::fleet

#endif // MANGOSPAN_FLEET_MAINTENANCE_WAVES_H
