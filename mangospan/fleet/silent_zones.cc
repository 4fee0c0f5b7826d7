#include "mangospan/fleet/silent_zones.h"

#include "mangospan/fleet/records.h"

namespace mangospan::fleet {

silent_zones::silent_zones(const settings& aSettings)
  : mSettings(aSettings)
{
}

bool
silent_zones::Check(const std::vector<zone_name>& aZones,
                    time_point aNow,
                    action_queue& aQueue)
{
  bool fresh = true;
  for (const zone_name& zone : aZones) {
    zone_check& check = mZones[zone];
    if (check.mChecked && aNow - check.mCheckedAt < mSettings.mZoneCheckFor) {
      continue;
    }
    fresh = false;
    if (check.mCall == 0 && aNow >= check.mNext) {
      check.mSentAt = aNow;
      check.mCall =
        aQueue.Store(store_purpose::kSilentZones, read_call{ LeaderKey(zone) });
    }
  }
  return fresh;
}

bool
silent_zones::IsSilent(const zone_name& aZone) const
{
  const auto found = mZones.find(aZone);
  return found == mZones.end() || found->second.mSilent;
}

bool
silent_zones::OnResult(call_id aCall,
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
      check.mNext = aNow + mSettings.mStoreRetry;
      return true;
    }
    check.mChecked = true;
    check.mCheckedAt = check.mSentAt;
    check.mSilent = !read.assume_value().has_value();
    return true;
  }
  return false;
}

} // namespace mangospan::fleet
