#include "mangospan/fleet/zone_liveness.h"

#include "mangospan/fleet/records.h"

namespace mangospan::fleet {

zone_liveness::zone_liveness(const settings& aSettings)
  : mSettings(aSettings)
{
}

bool
zone_liveness::Check(const std::vector<zone_name>& aZones,
                     time_point aNow,
                     action_queue& aQueue)
{
  bool fresh = true;
  for (const zone_name& zone : aZones) {
    leader_key_check& check = mZones[zone];
    if (check.mChecked &&
        aNow - check.mCheckedAt < mSettings.mZoneCheckValidity) {
      continue;
    }
    fresh = false;
    if (check.mCall == 0 && aNow >= check.mNextReadAt) {
      check.mSentAt = aNow;
      check.mCall = aQueue.AddStoreCall(store_purpose::kZoneLiveness,
                                        read_call{ LeaderKey(zone) });
    }
  }
  return fresh;
}

bool
zone_liveness::IsUnresponsive(const zone_name& aZone) const
{
  const auto found = mZones.find(aZone);
  return found == mZones.end() || found->second.mUnresponsive;
}

bool
zone_liveness::OnResult(call_id aCall,
                        const store_result& aResult,
                        time_point aNow)
{
  for (auto& [zone, check] : mZones) {
    if (check.mCall != aCall || aCall == 0) {
      continue;
    }
    check.mCall = 0;
    const auto& read =
      std::get<result<std::optional<platform::record>>>(aResult);
    if (read.has_error()) {
      check.mNextReadAt = aNow + mSettings.mStoreRetry;
      return true;
    }
    check.mChecked = true;
    check.mCheckedAt = check.mSentAt;
    check.mUnresponsive = !read.assume_value().has_value();
    return true;
  }
  return false;
}

} // namespace mangospan::fleet
