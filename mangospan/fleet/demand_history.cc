#include "mangospan/fleet/demand_history.h"

#include <algorithm>
#include <cmath>

#include "mangospan/fleet/host_steps.h"

namespace mangospan::fleet {

namespace {

// Time constants of the averages, in seconds.
constexpr double kServiceTime = 10;
constexpr double kRecent = 1;
constexpr double kMean = 60;

double
Blend(double aOld, double aNew, double aSeconds, double aConstant)
{
  return aNew + (aOld - aNew) * std::exp(-aSeconds / aConstant);
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

demand_history::demand_history(std::chrono::milliseconds aEvery)
  : mEvery(aEvery)
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
                      : PoolOfService(aDocument, work->mMatch.mService);
    if (pool == nullptr) {
      continue;
    }
    pool_load& load = mPools[pool->mName];
    load.mArrivals += static_cast<double>(demand.mArrivals);
    load.mAnswered += static_cast<double>(demand.mAnswered);
    load.mBusySeconds += std::chrono::duration<double>(demand.mBusy).count();
  }
}

void
demand_history::OnTick(time_point aNow)
{
  if (!mStarted) {
    mStarted = true;
    mLast = aNow;
  }
  if (aNow - mLast < mEvery) {
    return;
  }
  const double seconds = std::chrono::duration<double>(aNow - mLast).count();
  mLast = aNow;
  for (auto& [pool, load] : mPools) {
    Advance(load, seconds);
  }
}

void
demand_history::Advance(pool_load& aLoad, double aSeconds)
{
  if (aLoad.mAnswered > 0) {
    const double service = aLoad.mBusySeconds / aLoad.mAnswered;
    aLoad.mServiceSeconds =
      aLoad.mServiceSeconds == 0
        ? service
        : Blend(aLoad.mServiceSeconds, service, aSeconds, kServiceTime);
  }
  // Arrivals show the work that is asked for; slots in use, no more than the
  // pool can do.
  const double busy = aLoad.mBusySeconds / aSeconds;
  const double asked = aLoad.mArrivals * aLoad.mServiceSeconds / aSeconds;
  const double level = std::max(busy, asked);
  const bool first = aLoad.mObserved.count() == 0;
  aLoad.mRecent =
    first ? level : Blend(aLoad.mRecent, level, aSeconds, kRecent);
  aLoad.mMean = first ? level : Blend(aLoad.mMean, level, aSeconds, kMean);
  aLoad.mObserved +=
    std::chrono::milliseconds(static_cast<std::int64_t>(aSeconds * 1000));
  aLoad.mArrivals = 0;
  aLoad.mAnswered = 0;
  aLoad.mBusySeconds = 0;
}

double
demand_history::Level(const pool_name& aPool) const
{
  const auto found = mPools.find(aPool);
  return found == mPools.end()
           ? 0
           : std::max(found->second.mRecent, found->second.mMean);
}

std::chrono::milliseconds
demand_history::Observed(const pool_name& aPool) const
{
  const auto found = mPools.find(aPool);
  return found == mPools.end() ? std::chrono::milliseconds(0)
                               : found->second.mObserved;
}

} // namespace mangospan::fleet
