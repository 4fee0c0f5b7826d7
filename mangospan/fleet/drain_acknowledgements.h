// Which entries have said that they are empty at a draining host.
//
//   acknowledgements.OnEmptied(entry, { host, epoch });
//   if (acknowledgements.Missing(host, epoch, registered).empty()) { ... }
#ifndef MANGOSPAN_FLEET_DRAIN_ACKNOWLEDGEMENTS_H
#define MANGOSPAN_FLEET_DRAIN_ACKNOWLEDGEMENTS_H

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "mangospan/fleet/records.h"
#include "mangospan/view/zone_view.h"
#include "mangospan/wire/message.h"

namespace mangospan::fleet {

class drain_acknowledgements
{
public:
  void Reset() { mDrains.clear(); }

  // Counts only if the host drains in that epoch.
  void OnEmptied(const view::entry_id& aEntry,
                 const wire::emptied_host& aHost,
                 const hosts_record& aRecord);

  // The entries that have yet to say so for this epoch.
  std::vector<view::entry_id> Missing(
    const host_name& aHost,
    std::uint64_t aEpoch,
    const std::vector<view::entry_member>& aMembers) const;

  // Forgets the drains that have ended.
  void Prune(const hosts_record& aRecord);

private:
  struct drain
  {
    std::uint64_t mEpoch = 0;
    std::set<view::entry_id> mEmpty;
  };
  std::map<host_name, drain> mDrains;
};

} // namespace mangospan::fleet

#endif // MANGOSPAN_FLEET_DRAIN_ACKNOWLEDGEMENTS_H
