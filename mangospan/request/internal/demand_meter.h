// Counts one class's demand between two reports.
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

class demand_meter
{
public:
  void OnArrival() { ++mCounts.mArrivals; }
  void OnRefused() { ++mCounts.mRefused; }
  void OnDelivered(bool aLate);
  void OnSlotFreed(std::chrono::nanoseconds aBusy) { mBusy += aBusy; }

  // Whether there is anything that was not taken yet.
  bool Pending() const;

  // The counts since the last call, with the number queued now.
  class_demand Take(const class_name& aClass, std::size_t aQueued);

private:
  class_demand mCounts;
  std::chrono::nanoseconds mBusy{ 0 };
};

// Whether there is anything to report.
bool
HasDemand(const class_demand& aDemand);

} // namespace mangospan::request

#endif // MANGOSPAN_REQUEST_INTERNAL_DEMAND_METER_H
