// Estimates the load on each pool of a zone from the entries' reports.
//
//   history.OnReport(entry, report.mDemand, document);
//   history.OnTick(now);
//   double slots = history.SlotDemand(pool);
#ifndef MANGOSPAN_FLEET_DEMAND_HISTORY_H
#define MANGOSPAN_FLEET_DEMAND_HISTORY_H

#include <chrono>
#include <cstddef>
#include <map>
#include <vector>

#include "mangospan/base/time.h"
#include "mangospan/config/document.h"
#include "mangospan/view/zone_view.h"
#include "mangospan/wire/message.h"

namespace mangospan::fleet {

// Keeps moving averages of the load on each pool, in slots.
class demand_history
{
public:
  // `aUpdateInterval` is the shortest interval between two updates of the
  // averages.
  explicit demand_history(std::chrono::milliseconds aUpdateInterval);

  // Forgets all load.
  void Reset();

  // Adds the demand that an entry reported to the load of the pools that serve
  // its classes.
  void OnReport(const view::entry_id& aEntry,
                const std::vector<wire::class_demand>& aDemand,
                const config::document& aDocument);

  // Updates the averages if the interval has passed.
  void OnTick(time_point aNow);

  // Returns the number of slots that the pool's work needs: the present number
  // or the average over about the last minute, whichever is greater. Returns 0
  // if the pool has had no load.
  double SlotDemand(const pool_name& aPool) const;

  // Returns how long the pool's load has been observed.
  std::chrono::milliseconds ObservedFor(const pool_name& aPool) const;

private:
  struct pool_load
  {
    double mArrivals = 0;           // requests since the last update
    double mCompletions = 0;        // requests since the last update
    double mBusySeconds = 0;        // slot time used since the last update
    double mMeanServiceSeconds = 0; // average slot time per request
    double mShortTermSlots = 0;     // slots, average over about a second
    double mLongTermSlots = 0;      // slots, average over about a minute
    std::chrono::milliseconds mObserved{ 0 };
  };

  // Updates the averages with the load of the last `aSeconds` seconds.
  static void UpdateAverages(pool_load& aLoad, double aSeconds);

  const std::chrono::milliseconds mUpdateInterval;
  bool mStarted = false;
  time_point mUpdatedAt;
  std::map<pool_name, pool_load> mPools;
};

} // namespace mangospan::fleet

#endif // MANGOSPAN_FLEET_DEMAND_HISTORY_H
