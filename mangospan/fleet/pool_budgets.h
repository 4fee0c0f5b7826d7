// Obtains the permits for planned drains from the pools' availability budgets,
// which count over all zones in the records `pools/<pool>/budget`.
//
// A permit is in the store before its host drains and is removed after the host
// has returned. The zone's part of each record is computed from the hosts'
// record, so permits that a former holder of the lease left behind are kept or
// removed as needed:
//
//   budgets.Step(ComputePermitDemands(...), term, ids, now, queue);
//   if (budgets.HasPermit(pool, host, term)) { drain(host); }
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
#include "mangospan/fleet/permit_demand.h"
#include "mangospan/fleet/records.h"
#include "mangospan/fleet/settings.h"
#include "mangospan/fleet/stored_record.h"
#include "mangospan/fleet/write_ids.h"
#include "mangospan/fleet/zone_liveness.h"

namespace mangospan::fleet {

// Keeps one zone's part of the budget record of every pool.
class pool_budgets
{
public:
  // `aSeed` seeds the jitter between loads of a record.
  pool_budgets(zone_name aZone, const settings& aSettings, std::uint64_t aSeed);

  // Forgets all records; results of calls under way are ignored.
  void Reset();

  // Takes the result of a store call. Returns true if this component made the
  // call.
  bool OnResult(call_id aCall,
                const store_result& aResult,
                time_point aNow,
                action_queue& aQueue);

  // Updates the zone's part of every record to match `aDemands`. Requires that
  // no write of the hosts' record is under way.
  void Step(const permit_demands& aDemands,
            std::uint64_t aTerm,
            write_ids& aIds,
            time_point aNow,
            action_queue& aQueue);

  // Repeats failed calls whose retry delay has passed.
  void OnTick(time_point aNow, action_queue& aQueue);

  // Returns true if the host's permit is in the store, written under `aTerm`.
  bool HasPermit(const pool_name& aPool,
                 const host_name& aHost,
                 std::uint64_t aTerm) const;

  // Returns why hosts of the pool wait for permits; empty if none does.
  std::string WaitReason(const pool_name& aPool) const;

  // Returns the number of the pool's hosts, in all zones, with a permit for
  // maintenance that is marked as failed. A host no longer counts once it is
  // back in service.
  std::size_t CountFailedHosts(const pool_name& aPool) const;

private:
  struct pool_state
  {
    stored_record mRecord;
    budget_record mConfirmed;
    time_point mNextLoadAt;
    std::string mWaitReason;
  };

  // Watches the budget records while hosts wait for permits, so that a change
  // in another zone is seen at once.
  void WatchWhileWaiting(time_point aNow, action_queue& aQueue);
  void OnWatched(const result<platform::change_batch>& aResult,
                 time_point aNow);
  void Parse(const pool_name& aPool, pool_state& aState);

  pool_state& StateOf(const pool_name& aPool);
  void StepPool(const pool_name& aPool,
                const permit_demand& aDemand,
                std::uint64_t aTerm,
                write_ids& aIds,
                time_point aNow,
                action_queue& aQueue);
  zone_budget_part ComputePart(pool_state& aState,
                               const permit_demand& aDemand,
                               std::uint64_t aTerm,
                               time_point aNow,
                               action_queue& aQueue);
  // Returns the other zones that have hosts in the pool.
  std::vector<zone_name> OtherZones(const budget_record& aRecord) const;
  // Returns the number of the pool's unavailable hosts in other zones. If
  // `aCountUnresponsive` is set, every host of an unresponsive zone counts.
  std::size_t CountUnavailableElsewhere(const budget_record& aRecord,
                                        bool aCountUnresponsive) const;
  std::chrono::milliseconds RandomLoadDelay();

  const zone_name mZone;
  const settings mSettings;
  std::minstd_rand mRandom;
  zone_liveness mLiveness;
  std::map<pool_name, pool_state> mPools;
  call_id mWatchCall = 0;
  // The revision that the next watch begins at. 0 if no watch has been made
  // since hosts began to wait for permits.
  platform::revision mWatchRevision = 0;
  time_point mNextWatchAt;
};

} // namespace mangospan::fleet

#endif // MANGOSPAN_FLEET_POOL_BUDGETS_H
