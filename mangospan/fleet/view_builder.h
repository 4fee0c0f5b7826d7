// Makes the zone's view from the hosts' record, the platform's list, the
// membership and the shares.
//
//   view::zone_view next = BuildView(parts, allocation, version);
#ifndef MANGOSPAN_FLEET_VIEW_BUILDER_H
#define MANGOSPAN_FLEET_VIEW_BUILDER_H

#include <vector>

#include "mangospan/config/document.h"
#include "mangospan/fleet/share_allocation.h"
#include "mangospan/fleet/zone_hosts.h"
#include "mangospan/view/zone_view.h"

namespace mangospan::fleet {

// The view of version `aVersion`. A host that is leaving drains; one that is
// gone, or between pools, is not listed.
view::zone_view
BuildView(const zone_name& aZone,
          const view::version& aVersion,
          const zone_hosts& aHosts,
          const config::document& aDocument,
          const std::vector<view::entry_member>& aMembers,
          share_allocation& aAllocation);

// True if both say the same, whatever their versions.
bool
SameContent(const view::zone_view& aLeft, const view::zone_view& aRight);

} // namespace mangospan::fleet

#endif // MANGOSPAN_FLEET_VIEW_BUILDER_H
