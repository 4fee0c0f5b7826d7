#include "mangospan/request/internal/endpoint_health.h"

#include <algorithm>

namespace mangospan::request {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kWeight = 0.125;         // of the newest attempt
constexpr double kRateAfterReturn = 0.25; // a returned endpoint is on trial
constexpr milliseconds kFirstBackoff{ 20 };
constexpr int kMaxBackoffDoublings = 5;
constexpr seconds kFirstProbe{ 1 };
constexpr seconds kLongestProbe{ 30 };
constexpr seconds kForgiveAfter{ 60 };
constexpr seconds kAnyRequestAfter{ 15 };
constexpr int kServerError = 500;

} // namespace

bool
IsFailure(const attempt_end& aEnd)
{
  return aEnd.mKind != attempt_end_kind::kAnswered ||
         aEnd.mStatus >= kServerError;
}

void
endpoint_health::OnEnd(const attempt_end& aEnd, bool aSlow, time_point aNow)
{
  const bool failed = IsFailure(aEnd);
  const bool bad = failed || aSlow;
  mFailureRate += kWeight * ((failed ? 1.0 : 0.0) - mFailureRate);
  mBadRate += kWeight * ((bad ? 1.0 : 0.0) - mBadRate);
  const bool notTaken = aEnd.mKind == attempt_end_kind::kNotSent ||
                        aEnd.mKind == attempt_end_kind::kAnsweredNotRun;
  if (notTaken) {
    mBackoffEnd = aNow + kFirstBackoff * (1 << std::min(mNotTakenInRow,
                                                        kMaxBackoffDoublings));
    ++mNotTakenInRow;
  } else {
    mNotTakenInRow = 0;
  }
  if (!mEjected) {
    return;
  }
  if (!bad) {
    Reinstate(aNow);
    return;
  }
  if (!mProbing) {
    return; // sent before the ejection: nothing new
  }
  mProbing = false;
  mProbeInterval =
    std::min<std::chrono::nanoseconds>(mProbeInterval * 2, kLongestProbe);
  mProbeAt = aNow + mProbeInterval;
}

void
endpoint_health::Eject(time_point aNow)
{
  const bool again =
    mProbeInterval.count() != 0 && aNow < mReinstatedAt + kForgiveAfter;
  mProbeInterval =
    again
      ? std::min<std::chrono::nanoseconds>(mProbeInterval * 2, kLongestProbe)
      : std::chrono::nanoseconds(kFirstProbe);
  mEjected = true;
  mProbing = false;
  mEjectedAt = aNow;
  mProbeAt = aNow + mProbeInterval;
}

void
endpoint_health::Reinstate(time_point aNow)
{
  mEjected = false;
  mReinstatedAt = aNow;
  mFailureRate = kRateAfterReturn;
  mBadRate = kRateAfterReturn;
}

bool
endpoint_health::AnyRequestMayProbe(time_point aNow) const
{
  return aNow >= mEjectedAt + kAnyRequestAfter;
}

} // namespace mangospan::request
