// Knows which other zones are silent: their leader key is not in the store.
//
//   if (silent.Check(zones, now, queue)) { count(silent.IsSilent(zone)); }
#ifndef MANGOSPAN_FLEET_SILENT_ZONES_H
#define MANGOSPAN_FLEET_SILENT_ZONES_H

#include <map>
#include <vector>

#include "mangospan/base/time.h"
#include "mangospan/fleet/actions.h"
#include "mangospan/fleet/settings.h"

namespace mangospan::fleet {

class silent_zones
{
public:
  explicit silent_zones(const settings& aSettings);

  void Reset() { mZones.clear(); }

  // True if all of `aZones` have been read recently; reads those that have not.
  bool Check(const std::vector<zone_name>& aZones,
             time_point aNow,
             action_queue& aQueue);

  // As of the last check. A zone that was not checked counts as silent.
  bool IsSilent(const zone_name& aZone) const;

  // True if the call was this component's.
  bool OnResult(call_id aCall, const store_result& aResult, time_point aNow);

private:
  struct zone_check
  {
    call_id mCall = 0;
    time_point mSentAt;
    time_point mNext;
    bool mChecked = false;
    time_point mCheckedAt;
    bool mSilent = true;
  };

  const settings mSettings;
  std::map<zone_name, zone_check> mZones;
};

} // namespace mangospan::fleet

#endif // MANGOSPAN_FLEET_SILENT_ZONES_H
