// Builds the zone's view from the zone's hosts record, the platform's host
// list, the configuration, the registered entries and the slot shares.
//
//   view::zone_view next =
//     BuildView(zone, version, hosts, document, members, allocation);
#ifndef MANGOSPAN_FLEET_VIEW_BUILDER_H
#define MANGOSPAN_FLEET_VIEW_BUILDER_H

#include <vector>

#include "mangospan/config/document.h"
#include "mangospan/fleet/share_allocation.h"
#include "mangospan/fleet/zone_hosts.h"
#include "mangospan/view/zone_view.h"

namespace mangospan::fleet {

// Returns the zone's view under version `aVersion` and allocates the slots of
// its endpoints to `aMembers`. A host is listed as draining while it drains or
// the platform lists it as leaving; it is omitted in every phase but kServing
// and kDraining, if it is gone, or if the configuration does not have its pool.
view::zone_view
BuildView(const zone_name& aZone,
          const view::version& aVersion,
          const zone_hosts& aHosts,
          const config::document& aDocument,
          const std::vector<view::entry_member>& aMembers,
          share_allocation& aAllocation);

// Returns true if both views have equal endpoints and entries. Ignores their
// versions.
bool
SameContent(const view::zone_view& aLeft, const view::zone_view& aRight);

} // namespace mangospan::fleet

#endif // MANGOSPAN_FLEET_VIEW_BUILDER_H
