// The load on each pool of a zone, from the entries' reports.
//
//   history.OnReport(entry, report.mDemand, document);
//   history.OnTick(now);
//   double slots = history.Level(pool);
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

class demand_history
{
public:
  explicit demand_history(std::chrono::milliseconds aEvery);

  void Reset();

  void OnReport(const view::entry_id& aEntry,
                const std::vector<wire::class_demand>& aDemand,
                const config::document& aDocument);
  void OnTick(time_point aNow);

  // The slots that the pool's work asks for: now, or over the last minute if
  // that is more.
  double Level(const pool_name& aPool) const;

  // For how long the pool's load has been observed.
  std::chrono::milliseconds Observed(const pool_name& aPool) const;

private:
  struct pool_load
  {
    double mArrivals = 0;    // since the last tick
    double mAnswered = 0;    // since the last tick
    double mBusySeconds = 0; // since the last tick
    double mServiceSeconds = 0;
    double mRecent = 0;
    double mMean = 0;
    std::chrono::milliseconds mObserved{ 0 };
  };

  static void Advance(pool_load& aLoad, double aSeconds);

  const std::chrono::milliseconds mEvery;
  bool mStarted = false;
  time_point mLast;
  std::map<pool_name, pool_load> mPools;
};

} // namespace mangospan::fleet

#endif // MANGOSPAN_FLEET_DEMAND_HISTORY_H
