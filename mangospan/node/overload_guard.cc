#include "mangospan/node/overload_guard.h"

#include <algorithm>

namespace mangospan::node {

using std::chrono::nanoseconds;
using std::chrono::seconds;

namespace {

constexpr seconds kSecond{ 1 };
// Multiples of this number, modulo 1, are spread evenly, however many there
// are.
constexpr double kGoldenRatio = 0.6180339887498949;

} // namespace

void
overload_guard::OnWait(time_point aNow, nanoseconds aWait)
{
  if (aWait <= mSettings.mTarget) {
    if (mIsOverloaded) {
      mEndedAt = aNow;
    }
    mIsOverloaded = false;
    mLongWaitsSince.reset();
    return;
  }
  if (!mLongWaitsSince) {
    mLongWaitsSince = aNow;
  }
  const bool isSameOverload = mEndedAt && aNow - *mEndedAt < mSettings.mMemory;
  mIsOverloaded = mIsOverloaded || isSameOverload ||
                  aNow - *mLongWaitsSince >= mSettings.mInterval;
}

void
overload_guard::StartSecond(time_point aNow)
{
  if (aNow - mSecondSince < kSecond) {
    return;
  }
  mPrevious = aNow - mSecondSince < 2 * kSecond ? mPresent : counts{};
  mPresent = {};
  mSecondSince = aNow;
}

void
overload_guard::OnAccepted(time_point aNow)
{
  StartSecond(aNow);
  ++mPresent.mAccepted;
}

seconds
overload_guard::OnRefused(time_point aNow)
{
  StartSecond(aNow);
  ++mPresent.mRefused;
  const auto accepted = mPresent.mAccepted + mPrevious.mAccepted;
  const auto refused = mPresent.mRefused + mPrevious.mRefused;
  const double spread =
    std::min(static_cast<double>(mSettings.mMaxSpread.count()),
             static_cast<double>(refused) /
               static_cast<double>(std::max<std::uint64_t>(accepted, 1)));
  mPosition += kGoldenRatio;
  mPosition -= mPosition >= 1 ? 1 : 0;
  return kSecond + seconds(static_cast<std::int64_t>(mPosition * (1 + spread)));
}

} // namespace mangospan::node
