#include "mangospan/jobs/arrivals.h"

#include <algorithm>
#include <cmath>

namespace mangospan::jobs {

namespace {

constexpr std::chrono::milliseconds kWindow{ 600 };

// Of what came in the last window; a burst is not taken for the foot of a peak
// without bounds.
constexpr double kMostGrowth = 3;

} // namespace

void
arrivals::Add(const job_spec& aSpec, time_point aNow)
{
  if (aSpec.mRepetitions > 0) {
    return; // its times are known
  }
  arrival added;
  added.mAt = aNow;
  for (const step_spec& each : aSpec.mSteps) {
    if (each.mLasting || each.mFiller) {
      continue;
    }
    const double taskSeconds =
      std::chrono::duration<double>(each.mEstimate).count() *
      static_cast<double>(each.mTasks);
    added.mCpu += static_cast<double>(each.mNeed.mCpu) * taskSeconds;
    added.mMemory += static_cast<double>(each.mNeed.mMemoryMb) * taskSeconds;
  }
  mRecent.push_back(added);
}

arrivals::total
arrivals::Sum(time_point aFrom, time_point aTo) const
{
  total sum;
  for (const arrival& each : mRecent) {
    if (each.mAt > aFrom && each.mAt <= aTo) {
      sum.mCpu += each.mCpu;
      sum.mMemory += each.mMemory;
      sum.mCpuSquares += each.mCpu * each.mCpu;
    }
  }
  return sum;
}

resources
arrivals::Expected(time_point aNow, std::chrono::milliseconds aAhead)
{
  while (!mRecent.empty() && aNow - mRecent.front().mAt >= 2 * kWindow) {
    mRecent.pop_front();
  }
  const total now = Sum(aNow - kWindow, aNow);
  if (now.mCpu <= 0) {
    return {};
  }
  const total before = Sum(aNow - 2 * kWindow, aNow - kWindow);
  // A sum of independent arrivals is off by the root of their squares, as a
  // rule; so is the difference of two such sums.
  const double level = std::max(0.0, now.mCpu - std::sqrt(now.mCpuSquares));
  const double growth = std::max(
    0.0,
    now.mCpu - before.mCpu - std::sqrt(now.mCpuSquares + before.mCpuSquares));
  const double windowsAhead = std::chrono::duration<double>(aAhead) / kWindow;
  const double expected =
    std::min(level + growth * windowsAhead, kMostGrowth * now.mCpu);
  const double perSecond = 1 / std::chrono::duration<double>(kWindow).count();
  return { static_cast<std::int64_t>(expected * perSecond),
           static_cast<std::int64_t>(now.mMemory * expected / now.mCpu *
                                     perSecond),
           0 };
}

} // namespace mangospan::jobs
