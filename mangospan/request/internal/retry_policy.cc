#include "mangospan/request/internal/retry_policy.h"

#include <algorithm>
#include <chrono>

namespace mangospan::request {

namespace {

// In retries per window.
constexpr double kMinRetries = 3;

std::int64_t
SecondOf(time_point aNow)
{
  return std::chrono::floor<std::chrono::seconds>(aNow)
    .time_since_epoch()
    .count();
}

} // namespace

bool
MayHaveRun(attempt_end_kind aKind)
{
  return aKind != attempt_end_kind::kNotSent &&
         aKind != attempt_end_kind::kAnsweredNotRun;
}

bool
IsSafeToRetry(attempt_end_kind aKind, bool aIdempotent)
{
  return aKind != attempt_end_kind::kAnswered &&
         (aIdempotent || !MayHaveRun(aKind));
}

retry_budget::retry_budget(double aShare)
  : mRetryShare(aShare)
{
}

retry_budget::second_counts&
retry_budget::CountsAt(time_point aNow)
{
  const std::int64_t number = SecondOf(aNow);
  second_counts& current =
    mWindow[static_cast<std::size_t>(number) % kWindowSeconds];
  if (current.mSecond != number) {
    current = second_counts{ number, 0, 0 };
  }
  return current;
}

void
retry_budget::OnFirstAttempt(time_point aNow)
{
  ++CountsAt(aNow).mFirstAttempts;
}

double
retry_budget::Remaining(time_point aNow) const
{
  const std::int64_t number = SecondOf(aNow);
  double first = 0;
  double retries = 0;
  for (const second_counts& counts : mWindow) {
    if (counts.mSecond > number - static_cast<std::int64_t>(kWindowSeconds)) {
      first += counts.mFirstAttempts;
      retries += counts.mRetries;
    }
  }
  return std::max(kMinRetries, mRetryShare * first) - retries;
}

bool
retry_budget::Take(time_point aNow)
{
  if (Remaining(aNow) < 1) {
    return false;
  }
  ++CountsAt(aNow).mRetries;
  return true;
}

} // namespace mangospan::request
