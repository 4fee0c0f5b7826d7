#include "mangospan/jobs/outage_detector.h"

#include <chrono>
#include <utility>

namespace mangospan::jobs {

namespace {

using std::chrono::milliseconds;

// The longest time between the silences of two runners of one outage. A runner
// that resets its connections is noticed at once, one that is dark by the
// timeout of a poll.
constexpr milliseconds kMaxSpread{ 1'000 };
// The time for which a silence is remembered. A runner that crashed may be back
// only after some of it.
constexpr milliseconds kMemory{ 60'000 };
// Fewer silences are no outage, however small the rack is.
constexpr std::size_t kMinSilences = 3;

} // namespace

void
outage_detector::Add(runner_silence aSilence)
{
  while (!mSilences.empty() &&
         aSilence.mSince - mSilences.front().mSince > kMemory) {
    mSilences.pop_front();
  }
  mSilences.push_back(std::move(aSilence));
}

bool
outage_detector::IsOutage(const runner_silence& aSilence,
                          std::size_t aAnswering) const
{
  if (aSilence.mRack.Empty()) {
    return false;
  }
  std::size_t silent = 1;
  for (const runner_silence& each : mSilences) {
    const bool isAtOnce = each.mSince - aSilence.mSince <= kMaxSpread &&
                          aSilence.mSince - each.mSince <= kMaxSpread;
    if (isAtOnce && each.mRack == aSilence.mRack &&
        each.mRunner != aSilence.mRunner) {
      ++silent;
    }
  }
  return silent >= kMinSilences && silent >= aAnswering;
}

} // namespace mangospan::jobs
