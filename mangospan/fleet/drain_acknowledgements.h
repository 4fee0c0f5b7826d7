// Tracks which entries have acknowledged that they have no request in flight at
// a draining host.
//
//   acknowledgements.OnDrained(entry, { host, epoch }, record);
//   if (acknowledgements.MissingEntries(host, epoch, registered).empty()) {
//     ...
//   }
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

// Collects the entries' acknowledgements for every draining host of the zone.
class drain_acknowledgements
{
public:
  // Forgets all acknowledgements.
  void Reset() { mDrains.clear(); }

  // Records that the entry has no request in flight at the host. Ignored unless
  // the host is draining in that epoch according to `aRecord`.
  void OnDrained(const view::entry_id& aEntry,
                 const wire::emptied_host& aHost,
                 const hosts_record& aRecord);

  // Returns those of `aMembers` that have not acknowledged the drain of the
  // host in this epoch.
  std::vector<view::entry_id> MissingEntries(
    const host_name& aHost,
    std::uint64_t aEpoch,
    const std::vector<view::entry_member>& aMembers) const;

  // Forgets the drains that have ended according to `aRecord`.
  void Prune(const hosts_record& aRecord);

private:
  struct drain
  {
    std::uint64_t mEpoch = 0;
    std::set<view::entry_id> mAcknowledgedBy;
  };
  std::map<host_name, drain> mDrains;
};

} // namespace mangospan::fleet

#endif // MANGOSPAN_FLEET_DRAIN_ACKNOWLEDGEMENTS_H
