// Decides how many hosts each pool of a zone needs and which hosts change pool.
//
// A pool with a shortage borrows surplus hosts, first of the spare pool, else
// of the pool with the largest surplus, once the shortage is expected to
// outlast a move, and returns them after the shortage has ended. A pool gives
// up its own hosts only after a long surplus. When the load peaks of pools
// alternate, each pool thus keeps the hosts for its next peak:
//
//   autoscaler.OnTick(hosts, document, demand, now);
//   for (const auto& [host, intent] : autoscaler.Moves()) { ... }
#ifndef MANGOSPAN_FLEET_POOL_AUTOSCALER_H
#define MANGOSPAN_FLEET_POOL_AUTOSCALER_H

#include <chrono>
#include <cstddef>
#include <map>
#include <vector>

#include "mangospan/base/time.h"
#include "mangospan/config/document.h"
#include "mangospan/fleet/demand_history.h"
#include "mangospan/fleet/host_steps.h"
#include "mangospan/fleet/settings.h"
#include "mangospan/fleet/zone_hosts.h"

namespace mangospan::fleet {

// Returns the number of hosts that serve a mean of `aBusySlots` busy slots,
// with headroom for the variation of the load. Returns 0 if there is no load or
// `aSlotsPerHost` is 0.
std::size_t
HostsForLoad(double aBusySlots, std::size_t aSlotsPerHost);

// Plans moves of hosts between the pools of one zone. The acting process owns
// it and calls `Reset` when a term begins.
class pool_autoscaler
{
public:
  explicit pool_autoscaler(const settings& aSettings);

  // Forgets all hosts, shortages and planned moves.
  void Reset();

  // Recalculates the pool sizes and the moves. Does nothing if less than
  // `settings::mAutoscalerInterval` has passed since the last calculation.
  void OnTick(const zone_hosts& aHosts,
              const config::document& aDocument,
              const demand_history& aDemand,
              time_point aNow);

  // Returns the number of hosts that the pool needs in this zone, at least its
  // configured minimum. Returns 0 for a pool without hosts in this zone and
  // before the first calculation of a term.
  std::size_t NeededHosts(const pool_name& aPool) const;

  // Returns the planned moves by host, as of the last calculation.
  const host_intents& Moves() const { return mMoves; }

private:
  // The hosts and the need of one pool at the last calculation.
  struct pool_state
  {
    // Live hosts in service, and hosts that are moving into the pool.
    std::size_t mServingHosts = 0;
    // The configured minimum, but at least 1 for a pool other than the spare
    // one.
    std::size_t mMinServingHosts = 0;
    std::size_t mNeededHosts = 0;
    // the demand was observed for `mAutoscalerWarmUp`
    bool mDemandKnown = false;
    bool mIsSpare = false;
    std::size_t mBorrowedHosts = 0;       // hosts with another home pool
    std::vector<host_name> mMovableHosts; // live hosts in service
  };

  // Rebuilds `mPoolStates` from the host record and the observed demand.
  void UpdatePoolStates(const zone_hosts& aHosts,
                        const config::document& aDocument,
                        const demand_history& aDemand,
                        time_point aNow);
  // Plans moves from donor pools into the pools that have too few hosts.
  void FillShortages(const zone_hosts& aHosts,
                     const config::document& aDocument,
                     time_point aNow);
  // Plans moves of surplus hosts to the spare pool, at most one per pool. A
  // pool keeps its own hosts if the document prefers a fast roll-out.
  void ReturnSurplus(const zone_hosts& aHosts,
                     const config::document& aDocument,
                     time_point aNow);
  // Plans the move of one host. Returns false if the target pool admits no host
  // of the source pool.
  bool PlanMove(const zone_hosts& aHosts,
                const pool_name& aFrom,
                const config::pool& aTo);
  // Returns the pool to take a host from: the spare pool if it has a surplus,
  // else the pool with the largest surplus that may give hosts. A pool with
  // borrowed hosts may always give them to the spare pool. Returns null if
  // there is no such pool.
  const pool_name* FindDonor(const pool_name& aTo, time_point aNow) const;
  bool MayGiveHost(const pool_name& aPool, time_point aNow) const;
  std::size_t TargetHosts(const pool_name& aPool,
                          const pool_state& aState,
                          time_point aNow);
  bool IsMoveWorthwhile(const pool_name& aPool, bool aIsShort, time_point aNow);
  bool HasMoveIntervalElapsed(const pool_name& aPool, time_point aNow) const;

  const settings mSettings;
  bool mStarted = false;
  time_point mNextDecision;
  std::map<pool_name, pool_state> mPoolStates;
  // The shortage of one pool's own hosts, and the typical duration of its past
  // shortages.
  struct shortage
  {
    bool mOngoing = false;
    time_point mSince;          // start of the shortage, or end of the last one
    double mTypicalSeconds = 0; // 0 before the first shortage has ended
  };

  std::map<pool_name, shortage> mShortages;
  // The home pool of each host: the pool in which it was first seen in service
  // since the last reset. A host that the spare pool receives and that is not
  // its own gets it as the home pool. A host in another pool is borrowed.
  std::map<host_name, pool_name> mHomePools;
  // Start of the current surplus of each pool that has one.
  std::map<pool_name, time_point> mSurplusSince;
  // The last time at which a host was moving out of or into the pool.
  std::map<pool_name, time_point> mLastMoves;
  host_intents mMoves;
};

} // namespace mangospan::fleet

#endif // MANGOSPAN_FLEET_POOL_AUTOSCALER_H
