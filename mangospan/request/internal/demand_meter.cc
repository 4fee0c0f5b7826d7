#include "mangospan/request/internal/demand_meter.h"

namespace mangospan::request {

void
demand_meter::OnDelivered(bool aLate)
{
  ++mCounts.mAnswered;
  mCounts.mLate += aLate ? 1 : 0;
}

bool
demand_meter::HasUnreportedDemand() const
{
  return HasDemand(mCounts) || mBusy >= std::chrono::microseconds(1);
}

class_demand
demand_meter::Take(const class_name& aClass, std::size_t aQueued)
{
  class_demand taken = mCounts;
  taken.mClass = aClass;
  taken.mQueued = aQueued;
  taken.mBusy = std::chrono::duration_cast<std::chrono::microseconds>(mBusy);
  mBusy -= taken.mBusy; // the remainder below 1 us stays for the next report
  mCounts = class_demand{};
  return taken;
}

bool
HasDemand(const class_demand& aDemand)
{
  return aDemand.mArrivals != 0 || aDemand.mAnswered != 0 ||
         aDemand.mRefused != 0 || aDemand.mBusy.count() != 0 ||
         aDemand.mQueued != 0;
}

} // namespace mangospan::request
