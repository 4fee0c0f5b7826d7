// How many hosts each pool of the zone needs, and which hosts move for it.
//
// A pool that is short borrows hosts that the spare pool does not need, once
// the shortage is expected to outlast a move, and gives them back after it. Its
// own hosts a pool gives away only after it has not needed them for a long
// time, so that a pool whose peaks come in turn with others' keeps what the
// next needs:
//
//   sizing.OnTick(view, now);
//   for (const auto& [host, intent] : sizing.Moves()) { ... }
#ifndef MANGOSPAN_FLEET_POOL_SIZING_H
#define MANGOSPAN_FLEET_POOL_SIZING_H

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

// Hosts that serve `aLevel` busy slots with room for their variation.
std::size_t
HostsFor(double aLevel, std::size_t aSlotsPerHost);

class pool_sizing
{
public:
  explicit pool_sizing(const settings& aSettings);

  void Reset();

  // Decides anew, at most once per interval.
  void OnTick(const zone_hosts& aHosts,
              const config::document& aDocument,
              const demand_history& aDemand,
              time_point aNow);

  // Hosts that the pool needs in this zone, its minimum included; 0 until its
  // demand is known.
  std::size_t Needed(const pool_name& aPool) const;

  // The moves wanted now.
  const host_intents& Moves() const { return mMoves; }

private:
  struct pool_size
  {
    std::size_t mServing = 0; // or on its way into the pool
    std::size_t mLeast = 0;   // the operators' minimum
    std::size_t mNeeded = 0;
    bool mKnown = false; // the demand has been observed long enough
    bool mSpare = false;
    std::size_t mBorrowed = 0;     // hosts of the spare pool
    std::vector<host_name> mHosts; // that could leave
  };

  void Measure(const zone_hosts& aHosts,
               const config::document& aDocument,
               const demand_history& aDemand,
               time_point aNow);
  void FillShortages(const zone_hosts& aHosts,
                     const config::document& aDocument,
                     time_point aNow);
  void ReturnSurplus(const zone_hosts& aHosts,
                     const config::document& aDocument,
                     time_point aNow);
  bool Move(const zone_hosts& aHosts,
            const pool_name& aFrom,
            const config::pool& aTo);
  const pool_name* Donor(const pool_name& aTo, time_point aNow) const;
  bool MayGive(const pool_name& aPool, time_point aNow) const;
  std::size_t Wanted(const pool_name& aPool,
                     const pool_size& aSize,
                     time_point aNow);
  bool WorthMoving(const pool_name& aPool, bool aShort, time_point aNow);
  bool Rested(const pool_name& aPool, time_point aNow) const;

  const settings mSettings;
  bool mStarted = false;
  time_point mNext;
  std::map<pool_name, pool_size> mSizes;
  // When a pool's shortage began, and how long its shortages usually last.
  struct shortage
  {
    bool mShort = false;
    time_point mSince;
    double mUsualSeconds = 0;
  };

  std::map<pool_name, shortage> mShortages;
  // The pool to which each host belongs when nobody borrows it.
  std::map<host_name, pool_name> mHomes;
  std::map<pool_name, time_point> mSurplusSince;
  std::map<pool_name, time_point> mMovedAt;
  host_intents mMoves;
};

} // namespace mangospan::fleet

#endif // MANGOSPAN_FLEET_POOL_SIZING_H
