// Counts the demand of one work class between two reports.
//
//   demand_meter meter;
//   meter.OnArrival();
//   class_demand report = meter.Take(className, queued);
#ifndef MANGOSPAN_REQUEST_INTERNAL_DEMAND_METER_H
#define MANGOSPAN_REQUEST_INTERNAL_DEMAND_METER_H

#include <chrono>
#include <vector>

#include "mangospan/base/time.h"
#include "mangospan/request/pipeline.h"

namespace mangospan::request {

// The counters of one work class since the last report.
class demand_meter
{
public:
  void OnArrival() { ++mCounts.mArrivals; }
  void OnRefused() { ++mCounts.mRefused; }
  void OnDelivered(bool aLate);
  // Adds the time for which an attempt occupied a slot.
  void OnSlotFreed(std::chrono::nanoseconds aBusy) { mBusy += aBusy; }

  // Returns whether `Take` would report any count or a whole microsecond of
  // slot time.
  bool HasUnreportedDemand() const;

  // Returns the counts since the last call and resets them. `aQueued` is the
  // number of requests of the class that are queued now.
  class_demand Take(const class_name& aClass, std::size_t aQueued);

private:
  class_demand mCounts;
  std::chrono::nanoseconds mBusy{ 0 };
};

// Returns whether any count of the report is not zero.
bool
HasDemand(const class_demand& aDemand);

} // namespace mangospan::request

#endif // MANGOSPAN_REQUEST_INTERNAL_DEMAND_METER_H
