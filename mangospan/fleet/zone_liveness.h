// Tracks which other zones are unresponsive. A zone is unresponsive if its
// leader key is not in the store, that is, if no process acts for it.
//
//   if (liveness.Check(zones, now, queue)) {
//     count(liveness.IsUnresponsive(zone));
//   }
#ifndef MANGOSPAN_FLEET_ZONE_LIVENESS_H
#define MANGOSPAN_FLEET_ZONE_LIVENESS_H

#include <map>
#include <vector>

#include "mangospan/base/time.h"
#include "mangospan/fleet/actions.h"
#include "mangospan/fleet/settings.h"

namespace mangospan::fleet {

// Reads the leader keys of other zones and keeps the results.
class zone_liveness
{
public:
  explicit zone_liveness(const settings& aSettings);

  // Forgets all results; results of calls under way are ignored.
  void Reset() { mZones.clear(); }

  // Returns true if the leader keys of all `aZones` have been read within
  // `settings::mZoneCheckValidity`; reads those that have not.
  bool Check(const std::vector<zone_name>& aZones,
             time_point aNow,
             action_queue& aQueue);

  // Returns true if the zone was unresponsive when its leader key was last
  // read. A zone whose key has never been read counts as unresponsive.
  bool IsUnresponsive(const zone_name& aZone) const;

  // Takes the result of a store call. Returns true if this component made the
  // call.
  bool OnResult(call_id aCall, const store_result& aResult, time_point aNow);

private:
  struct leader_key_check
  {
    call_id mCall = 0;
    time_point mSentAt;
    time_point mNextReadAt;
    bool mChecked = false;
    time_point mCheckedAt;
    bool mUnresponsive = true;
  };

  const settings mSettings;
  std::map<zone_name, leader_key_check> mZones;
};

} // namespace mangospan::fleet

#endif // MANGOSPAN_FLEET_ZONE_LIVENESS_H
