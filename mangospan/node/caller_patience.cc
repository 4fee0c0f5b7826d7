#include "mangospan/node/caller_patience.h"

#include <algorithm>

namespace mangospan::node {

using std::chrono::milliseconds;

namespace {

// After twice this time without a longer one, a time that a caller announced
// is forgotten.
constexpr milliseconds kSpan{ 30'000 };

} // namespace

milliseconds
caller_patience::ElapsedSinceFirstTry(const jobs::queue_name& aQueue,
                                      milliseconds aRemaining,
                                      time_point aNow)
{
  longest& known = mLongest[aQueue];
  if (aNow - known.mSince >= kSpan) {
    const bool isContinued = aNow - known.mSince < 2 * kSpan;
    known.mPrevious = isContinued ? known.mPresent : milliseconds(0);
    known.mPresent = milliseconds(0);
    known.mSince = aNow;
  }
  known.mPresent = std::max(known.mPresent, aRemaining);
  return std::max(known.mPresent, known.mPrevious) - aRemaining;
}

} // namespace mangospan::node
