#include "mangospan/jobs/pacing.h"

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
NextFillerShare(const runner& aRunner)
{
  double worstRatio = 0;
  for (const auto& [key, each] : aRunner.Runs()) {
    if (each.mServing && each.mPhase == run_phase::kListed) {
      worstRatio = std::max(worstRatio,
                            static_cast<double>(each.mFigure) /
                              static_cast<double>(each.mTargetLatency.count()));
    }
  }
  const int limit = aRunner.mFillerShare;
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
IsShared(const runner& aRunner)
{
  bool hasLatencySensitive = false;
  bool hasBestEffort = false;
  for (const auto& [key, each] : aRunner.Runs()) {
    hasLatencySensitive = hasLatencySensitive || each.mServing;
    hasBestEffort = hasBestEffort || each.mFiller;
  }
  return hasLatencySensitive && hasBestEffort;
}

} // namespace mangospan::jobs
