#include "mangospan/request/internal/endpoint_health.h"

#include <algorithm>

namespace mangospan::request {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kEwmaWeight = 0.125; // weight of the newest attempt
// A reinstated endpoint stays suspect until it has answered several requests in
// time.
constexpr double kRateAfterReinstatement = 0.25;
constexpr milliseconds kInitialBackoff{ 20 };
constexpr int kMaxBackoffDoublings = 5;
constexpr seconds kInitialProbeInterval{ 1 };
constexpr seconds kMaxProbeInterval{ 30 };
// An ejection sooner than this after a reinstatement doubles the probe interval
// instead of resetting it.
constexpr seconds kProbeIntervalResetAfter{ 60 };
constexpr seconds kNonIdempotentProbeAfter{ 15 };
constexpr int kMinServerErrorStatus = 500;

} // namespace

bool
IsFailure(const attempt_end& aEnd)
{
  return aEnd.mKind != attempt_end_kind::kAnswered ||
         aEnd.mStatus >= kMinServerErrorStatus;
}

void
endpoint_health::OnAttemptEnded(const attempt_end& aEnd,
                                bool aSlow,
                                time_point aNow)
{
  const bool failed = IsFailure(aEnd);
  const bool bad = failed || aSlow;
  mFailureRate += kEwmaWeight * ((failed ? 1.0 : 0.0) - mFailureRate);
  mBadRate += kEwmaWeight * ((bad ? 1.0 : 0.0) - mBadRate);
  const bool notRun = aEnd.mKind == attempt_end_kind::kNotSent ||
                      aEnd.mKind == attempt_end_kind::kAnsweredNotRun;
  if (notRun) {
    mBackoffEnd =
      aNow + kInitialBackoff *
               (1 << std::min(mConsecutiveNotRun, kMaxBackoffDoublings));
    ++mConsecutiveNotRun;
  } else {
    mConsecutiveNotRun = 0;
  }
  if (!mEjected) {
    return;
  }
  if (!bad) {
    Reinstate(aNow);
    return;
  }
  if (!mProbing) {
    return; // sent before the ejection, so not a failed probe
  }
  mProbing = false;
  mProbeInterval =
    std::min<std::chrono::nanoseconds>(mProbeInterval * 2, kMaxProbeInterval);
  mNextProbe = aNow + mProbeInterval;
}

void
endpoint_health::Eject(time_point aNow)
{
  const bool again = mProbeInterval.count() != 0 &&
                     aNow < mReinstatedAt + kProbeIntervalResetAfter;
  mProbeInterval = again ? std::min<std::chrono::nanoseconds>(
                             mProbeInterval * 2, kMaxProbeInterval)
                         : std::chrono::nanoseconds(kInitialProbeInterval);
  mEjected = true;
  mProbing = false;
  mEjectedAt = aNow;
  mNextProbe = aNow + mProbeInterval;
}

void
endpoint_health::Reinstate(time_point aNow)
{
  mEjected = false;
  mReinstatedAt = aNow;
  mFailureRate = kRateAfterReinstatement;
  mBadRate = kRateAfterReinstatement;
}

bool
endpoint_health::MayProbeNonIdempotently(time_point aNow) const
{
  return aNow >= mEjectedAt + kNonIdempotentProbeAfter;
}

} // namespace mangospan::request
