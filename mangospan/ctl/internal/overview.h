// What the zones' records in the platform's store say of the fleet.
//
//   BOOST_OUTCOME_TRY(fleet, ReadOverview(session)); // one call to the store
#ifndef MANGOSPAN_CTL_INTERNAL_OVERVIEW_H
#define MANGOSPAN_CTL_INTERNAL_OVERVIEW_H

#include <map>
#include <optional>
#include <vector>

#include "mangospan/base/error.h"
#include "mangospan/base/identity.h"
#include "mangospan/ctl/internal/session.h"
#include "mangospan/fleet/records.h"
#include "mangospan/platform/store.h"

namespace mangospan::ctl {

struct zone_overview
{
  std::optional<fleet::leader_record> mLeader; // none: the zone is unresponsive
  fleet::hosts_record mHosts;
  fleet::entries_record mEntries;
  fleet::status_record mStatus;
};

using overview = std::map<zone_name, zone_overview>;

// Errors of the store, and kInvalidArgument with the key of a record that this
// version can not read.
result<overview>
ReadOverview(session& aSession);

result<overview>
ParseOverview(const std::vector<platform::record>& aRecords);

// Whether a configuration is in force in one zone.
enum class zone_progress
{
  kInForce,
  kWaiting,
  kRefused, // the zone could not read a newer one
  kSilent,  // no fleet process acts for the zone
};

const char*
Name(zone_progress aProgress);

struct zone_force
{
  zone_progress mProgress = zone_progress::kWaiting;
  std::vector<host_name> mMissing; // registered entries that lack it
};

// A later revision than `aRevision` counts as well.
zone_force
ForceIn(const zone_overview& aZone, platform::revision aRevision);

} // namespace mangospan::ctl

#endif // MANGOSPAN_CTL_INTERNAL_OVERVIEW_H
