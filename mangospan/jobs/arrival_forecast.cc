#include "mangospan/jobs/arrival_forecast.h"

#include <algorithm>
#include <cmath>

namespace mangospan::jobs {

namespace {

// The arrivals in the last window give the current rate; the difference from
// the window before it gives the growth.
constexpr std::chrono::milliseconds kWindow{ 600 };

// Upper bound of the forecast, as a multiple of the arrivals in the last
// window. Without it a short burst would be extrapolated like the start of a
// peak.
constexpr double kMaxGrowthFactor = 3;

} // namespace

void
arrival_forecast::Add(const job_spec& aSpec,
                      time_point aNow,
                      const run_time_source& aRunTimes)
{
  if (aSpec.mRepetitions > 0) {
    return; // Its due times are known in advance.
  }
  arrival added;
  added.mAt = aNow;
  for (std::size_t i = 0; i < aSpec.mSteps.size(); ++i) {
    const step_spec& each = aSpec.mSteps[i];
    if (each.mLongRunning || each.mBestEffort) {
      continue;
    }
    const double taskSeconds =
      std::chrono::duration<double>(aRunTimes.Mean(aSpec, i)).count() *
      static_cast<double>(each.mTaskCount);
    added.mCpu += static_cast<double>(each.mTaskResources.mCpu) * taskSeconds;
    added.mMemory +=
      static_cast<double>(each.mTaskResources.mMemoryMb) * taskSeconds;
  }
  mRecentArrivals.push_back(added);
}

arrival_forecast::total
arrival_forecast::Sum(time_point aFrom, time_point aTo) const
{
  total sum;
  for (const arrival& each : mRecentArrivals) {
    if (each.mAt > aFrom && each.mAt <= aTo) {
      sum.mCpu += each.mCpu;
      sum.mMemory += each.mMemory;
      sum.mCpuSquareSum += each.mCpu * each.mCpu;
    }
  }
  return sum;
}

resources
arrival_forecast::ExpectedDemand(time_point aNow,
                                 std::chrono::milliseconds aHorizon)
{
  while (!mRecentArrivals.empty() &&
         aNow - mRecentArrivals.front().mAt >= 2 * kWindow) {
    mRecentArrivals.pop_front();
  }
  const total now = Sum(aNow - kWindow, aNow);
  if (now.mCpu <= 0) {
    return {};
  }
  const total before = Sum(aNow - 2 * kWindow, aNow - kWindow);
  // The standard error of a sum of independent arrivals is about the square
  // root of the sum of their squares. The same holds for the difference of two
  // sums.
  const double level = std::max(0.0, now.mCpu - std::sqrt(now.mCpuSquareSum));
  const double growth =
    std::max(0.0,
             now.mCpu - before.mCpu -
               std::sqrt(now.mCpuSquareSum + before.mCpuSquareSum));
  const double horizonInWindows =
    std::chrono::duration<double>(aHorizon) / kWindow;
  const double expected =
    std::min(level + growth * horizonInWindows, kMaxGrowthFactor * now.mCpu);
  const double perSecond = 1 / std::chrono::duration<double>(kWindow).count();
  return { static_cast<std::int64_t>(expected * perSecond),
           static_cast<std::int64_t>(now.mMemory * expected / now.mCpu *
                                     perSecond),
           0 };
}

} // namespace mangospan::jobs
