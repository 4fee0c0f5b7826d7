#include "mangospan/jobs/pacing.h"

#include <algorithm>

namespace mangospan::jobs {

namespace {

constexpr int kFullPercent = 100;
constexpr int kStepPercent = 25;
// Shares of the target latency: above the first the fillers are cut, below the
// second they may work more.
constexpr double kCutAbove = 0.85;
constexpr double kRaiseBelow = 0.6;

} // namespace

int
NextFillerShare(const runner& aRunner)
{
  double worst = 0;
  for (const auto& [key, each] : aRunner.Runs()) {
    if (each.mServing && each.mPhase == run_phase::kListed) {
      worst = std::max(worst,
                       static_cast<double>(each.mFigure) /
                         static_cast<double>(each.mTargetLatency.count()));
    }
  }
  const int share = aRunner.mFillerShare;
  if (worst > 1.0) {
    return 0;
  }
  if (worst > kCutAbove) {
    return std::max(0, share - kStepPercent);
  }
  return worst < kRaiseBelow ? std::min(kFullPercent, share + kStepPercent)
                             : share;
}

bool
IsShared(const runner& aRunner)
{
  bool hasServing = false;
  bool hasFiller = false;
  for (const auto& [key, each] : aRunner.Runs()) {
    hasServing = hasServing || each.mServing;
    hasFiller = hasFiller || each.mFiller;
  }
  return hasServing && hasFiller;
}

} // namespace mangospan::jobs
