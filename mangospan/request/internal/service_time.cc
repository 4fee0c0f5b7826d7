#include "mangospan/request/internal/service_time.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace mangospan::request {

namespace {

constexpr double kEwmaWeight = 1.0 / 32; // weight of the newest observation
constexpr double kMaxShare = 0.999;
// The mean absolute deviation of an exponential distribution of mean one.
constexpr double kExponentialDeviation = 0.7358;

std::chrono::nanoseconds
Nanoseconds(double aCount)
{
  return std::chrono::nanoseconds(static_cast<std::int64_t>(aCount));
}

} // namespace

service_time::service_time(std::chrono::nanoseconds aPrior)
  : mMean(static_cast<double>(aPrior.count()))
{
}

void
service_time::Add(std::chrono::nanoseconds aElapsed)
{
  const auto elapsed = static_cast<double>(aElapsed.count());
  if (!mObserved) {
    mObserved = true;
    mMean = elapsed;
    mMeanDeviation = elapsed / 2;
    return;
  }
  mMeanDeviation += kEwmaWeight * (std::abs(elapsed - mMean) - mMeanDeviation);
  mMean += kEwmaWeight * (elapsed - mMean);
}

std::chrono::nanoseconds
service_time::Mean() const
{
  return Nanoseconds(mMean);
}

// Exact for an exponential distribution. For other distributions, assumes that
// the tail falls off like that of an exponential distribution with the same
// deviation.
std::chrono::nanoseconds
service_time::Quantile(double aShare) const
{
  const double share = std::clamp(aShare, 0.0, kMaxShare);
  const double tail =
    std::max(0.0, -std::log(1 - share) - 1) / kExponentialDeviation;
  return Nanoseconds(mMean + tail * mMeanDeviation);
}

} // namespace mangospan::request
