// Permits for planned drains, counted over all zones in `pools/<p>/budget`.
//
// A permit is in the store before the host drains and is given back after it
// has returned. The zone's part of each record follows from the hosts' record,
// so permits that a former holder left behind are found and settled:
//
//   budgets.Step(MakeDemands(...), term, ids, now, queue);
//   if (budgets.Permitted(pool, host, term)) { drain(host); }
#ifndef MANGOSPAN_FLEET_POOL_BUDGETS_H
#define MANGOSPAN_FLEET_POOL_BUDGETS_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "mangospan/base/time.h"
#include "mangospan/config/document.h"
#include "mangospan/fleet/actions.h"
#include "mangospan/fleet/budget_demand.h"
#include "mangospan/fleet/records.h"
#include "mangospan/fleet/settings.h"
#include "mangospan/fleet/silent_zones.h"
#include "mangospan/fleet/stored_record.h"
#include "mangospan/fleet/write_ids.h"

namespace mangospan::fleet {

class pool_budgets
{
public:
  pool_budgets(zone_name aZone, const settings& aSettings, std::uint64_t aSeed);

  void Reset();

  // True if the call was this component's.
  bool OnResult(call_id aCall,
                const store_result& aResult,
                time_point aNow,
                action_queue& aQueue);

  // Brings the zone's part of every record in line with `aDemands`. Call it
  // only while no write of the hosts' record is under way.
  void Step(const budget_demands& aDemands,
            std::uint64_t aTerm,
            write_ids& aIds,
            time_point aNow,
            action_queue& aQueue);
  void OnTick(time_point aNow, action_queue& aQueue);

  // True if the permit is in the store, written under `aTerm`.
  bool Permitted(const pool_name& aPool,
                 const host_name& aHost,
                 std::uint64_t aTerm) const;

  // Why hosts of the pool wait for permits; empty if none does.
  std::string WaitReason(const pool_name& aPool) const;

  // Failed maintenance permits of all zones in the pool.
  std::size_t Failures(const pool_name& aPool) const;

private:
  struct pool_state
  {
    stored_record mRecord;
    budget_record mConfirmed;
    time_point mReloadAt;
    std::string mWaitReason;
  };

  // While hosts wait for permits, a watch tells of other zones' changes.
  void WatchWhileWaiting(time_point aNow, action_queue& aQueue);
  void OnWatched(const result<platform::change_batch>& aResult,
                 time_point aNow);
  void Parse(const pool_name& aPool, pool_state& aState);

  pool_state& At(const pool_name& aPool);
  void StepPool(const pool_name& aPool,
                const pool_demand& aDemand,
                std::uint64_t aTerm,
                write_ids& aIds,
                time_point aNow,
                action_queue& aQueue);
  zone_share NextShare(pool_state& aState,
                       const pool_demand& aDemand,
                       std::uint64_t aTerm,
                       time_point aNow,
                       action_queue& aQueue);
  std::vector<zone_name> OtherZones(const budget_record& aRecord) const;
  std::size_t UnavailableElsewhere(const budget_record& aRecord,
                                   bool aWithSilence) const;
  std::chrono::milliseconds ReloadDelay();

  const zone_name mZone;
  const settings mSettings;
  std::minstd_rand mRandom;
  silent_zones mSilent;
  std::map<pool_name, pool_state> mPools;
  call_id mWatch = 0;
  platform::revision mAfter = 0; // 0: no watch has been made for this wait
  time_point mWatchAt;
};

} // namespace mangospan::fleet

#endif // MANGOSPAN_FLEET_POOL_BUDGETS_H
