#include "mangospan/request/internal/retry_policy.h"

#include <algorithm>
#include <chrono>

namespace mangospan::request {

namespace {

constexpr double kAlwaysAllowed = 3;

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
MayRepeat(attempt_end_kind aKind, bool aIdempotent)
{
  return aKind != attempt_end_kind::kAnswered &&
         (aIdempotent || !MayHaveRun(aKind));
}

retry_budget::retry_budget(double aShare)
  : mShare(aShare)
{
}

retry_budget::second&
retry_budget::At(time_point aNow)
{
  const std::int64_t number = SecondOf(aNow);
  second& slot = mSeconds[static_cast<std::size_t>(number) % kSeconds];
  if (slot.mNumber != number) {
    slot = second{ number, 0, 0 };
  }
  return slot;
}

void
retry_budget::OnFirstAttempt(time_point aNow)
{
  ++At(aNow).mFirst;
}

double
retry_budget::Left(time_point aNow) const
{
  const std::int64_t number = SecondOf(aNow);
  double first = 0;
  double retries = 0;
  for (const second& each : mSeconds) {
    if (each.mNumber > number - static_cast<std::int64_t>(kSeconds)) {
      first += each.mFirst;
      retries += each.mRetries;
    }
  }
  return std::max(kAlwaysAllowed, mShare * first) - retries;
}

bool
retry_budget::Take(time_point aNow)
{
  if (Left(aNow) < 1) {
    return false;
  }
  ++At(aNow).mRetries;
  return true;
}

} // namespace mangospan::request
