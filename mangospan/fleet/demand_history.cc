#include "mangospan/fleet/demand_history.h"

#include <algorithm>
#include <cmath>

#include "mangospan/fleet/host_steps.h"

namespace mangospan::fleet {

namespace {

// Time constants of the exponential moving averages, in seconds.
constexpr double kServiceTimeConstantSeconds = 10;
constexpr double kShortTermConstantSeconds = 1;
constexpr double kLongTermConstantSeconds = 60;

// Returns the exponential moving average after `aNew` has held for `aSeconds`.
double
MovingAverage(double aOld,
              double aNew,
              double aSeconds,
              double aTimeConstantSeconds)
{
  return aNew + (aOld - aNew) * std::exp(-aSeconds / aTimeConstantSeconds);
}

const config::work_class*
FindClass(const config::document& aDocument, const class_name& aName)
{
  const auto found = std::find_if(
    aDocument.mClasses.begin(),
    aDocument.mClasses.end(),
    [&](const config::work_class& aClass) { return aClass.mName == aName; });
  return found == aDocument.mClasses.end() ? nullptr : &*found;
}

} // namespace

demand_history::demand_history(std::chrono::milliseconds aUpdateInterval)
  : mUpdateInterval(aUpdateInterval)
{
}

void
demand_history::Reset()
{
  mPools.clear();
  mStarted = false;
}

void
demand_history::OnReport(const view::entry_id& /*aEntry*/,
                         const std::vector<wire::class_demand>& aDemand,
                         const config::document& aDocument)
{
  for (const wire::class_demand& demand : aDemand) {
    const config::work_class* work = FindClass(aDocument, demand.mClass);
    const config::pool* pool =
      work == nullptr ? nullptr
                      : FindPoolOfService(aDocument, work->mMatch.mService);
    if (pool == nullptr) {
      continue;
    }
    pool_load& load = mPools[pool->mName];
    load.mArrivals += static_cast<double>(demand.mArrivals);
    load.mCompletions += static_cast<double>(demand.mAnswered);
    load.mBusySeconds += std::chrono::duration<double>(demand.mBusy).count();
  }
}

void
demand_history::OnTick(time_point aNow)
{
  if (!mStarted) {
    mStarted = true;
    mUpdatedAt = aNow;
  }
  if (aNow - mUpdatedAt < mUpdateInterval) {
    return;
  }
  const double seconds =
    std::chrono::duration<double>(aNow - mUpdatedAt).count();
  mUpdatedAt = aNow;
  for (auto& [pool, load] : mPools) {
    UpdateAverages(load, seconds);
  }
}

void
demand_history::UpdateAverages(pool_load& aLoad, double aSeconds)
{
  if (aLoad.mCompletions > 0) {
    const double service = aLoad.mBusySeconds / aLoad.mCompletions;
    aLoad.mMeanServiceSeconds = aLoad.mMeanServiceSeconds == 0
                                  ? service
                                  : MovingAverage(aLoad.mMeanServiceSeconds,
                                                  service,
                                                  aSeconds,
                                                  kServiceTimeConstantSeconds);
  }
  // The number of busy slots cannot exceed the capacity of the pool. The
  // arrival rate times the service time shows the demand beyond that capacity.
  const double busy = aLoad.mBusySeconds / aSeconds;
  const double demanded =
    aLoad.mArrivals * aLoad.mMeanServiceSeconds / aSeconds;
  const double level = std::max(busy, demanded);
  const bool first = aLoad.mObserved.count() == 0;
  aLoad.mShortTermSlots =
    first
      ? level
      : MovingAverage(
          aLoad.mShortTermSlots, level, aSeconds, kShortTermConstantSeconds);
  aLoad.mLongTermSlots =
    first ? level
          : MovingAverage(
              aLoad.mLongTermSlots, level, aSeconds, kLongTermConstantSeconds);
  aLoad.mObserved +=
    std::chrono::milliseconds(static_cast<std::int64_t>(aSeconds * 1000));
  aLoad.mArrivals = 0;
  aLoad.mCompletions = 0;
  aLoad.mBusySeconds = 0;
}

double
demand_history::SlotDemand(const pool_name& aPool) const
{
  const auto found = mPools.find(aPool);
  return found == mPools.end() ? 0
                               : std::max(found->second.mShortTermSlots,
                                          found->second.mLongTermSlots);
}

std::chrono::milliseconds
demand_history::ObservedFor(const pool_name& aPool) const
{
  const auto found = mPools.find(aPool);
  return found == mPools.end() ? std::chrono::milliseconds(0)
                               : found->second.mObserved;
}

} // namespace mangospan::fleet
