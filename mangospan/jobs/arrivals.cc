#include "mangospan/jobs/arrivals.h"

#include <algorithm>
#include <cmath>

namespace mangospan::jobs {

namespace {

constexpr std::chrono::milliseconds kWindow{ 600 };

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

resources
arrivals::Level(time_point aNow)
{
  while (!mRecent.empty() && aNow - mRecent.front().mAt >= kWindow) {
    mRecent.pop_front();
  }
  double cpu = 0;
  double memory = 0;
  double cpuSquares = 0;
  for (const arrival& each : mRecent) {
    cpu += each.mCpu;
    memory += each.mMemory;
    cpuSquares += each.mCpu * each.mCpu;
  }
  if (cpu <= 0) {
    return {};
  }
  // The sum of as many independent arrivals is off by this share, as a rule.
  const double chance = std::sqrt(cpuSquares) / cpu;
  const double certain = std::max(0.0, 1.0 - chance) /
                         std::chrono::duration<double>(kWindow).count();
  return { static_cast<std::int64_t>(cpu * certain),
           static_cast<std::int64_t>(memory * certain),
           0 };
}

} // namespace mangospan::jobs
