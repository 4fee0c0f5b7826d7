#include "mangospan/jobs/throttling.h"

#include <algorithm>

namespace mangospan::jobs {

namespace {

constexpr int kFullPercent = 100;
constexpr int kLimitStepPercent = 25;
// Ratios of the measured latency to the target latency. The CPU limit of the
// best-effort tasks decreases above the first and increases below the second.
constexpr double kDecreaseAboveRatio = 0.85;
constexpr double kIncreaseBelowRatio = 0.6;

} // namespace

int
NextBestEffortCpuLimit(const runner& aRunner)
{
  double worstRatio = 0;
  for (const auto& [key, each] : aRunner.Runs()) {
    if (each.mLatencySensitive && each.mPhase == run_phase::kListed) {
      worstRatio = std::max(worstRatio,
                            static_cast<double>(each.mMetric) /
                              static_cast<double>(each.mTargetLatency.count()));
    }
  }
  const int limit = aRunner.mBestEffortCpuLimitPercent;
  if (worstRatio > 1.0) {
    return 0;
  }
  if (worstRatio > kDecreaseAboveRatio) {
    return std::max(0, limit - kLimitStepPercent);
  }
  return worstRatio < kIncreaseBelowRatio
           ? std::min(kFullPercent, limit + kLimitStepPercent)
           : limit;
}

bool
HasMixedTasks(const runner& aRunner)
{
  bool hasLatencySensitive = false;
  bool hasBestEffort = false;
  for (const auto& [key, each] : aRunner.Runs()) {
    hasLatencySensitive = hasLatencySensitive || each.mLatencySensitive;
    hasBestEffort = hasBestEffort || each.mBestEffort;
  }
  return hasLatencySensitive && hasBestEffort;
}

} // namespace mangospan::jobs
