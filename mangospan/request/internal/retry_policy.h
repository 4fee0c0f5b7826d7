// Decides whether a request whose attempt failed may be sent again.
//
//   retry_budget budget(0.1);
//   budget.OnFirstAttempt(now);
//   if (IsSafeToRetry(end.mKind, idempotent) && budget.Take(now)) { ... }
#ifndef MANGOSPAN_REQUEST_INTERNAL_RETRY_POLICY_H
#define MANGOSPAN_REQUEST_INTERNAL_RETRY_POLICY_H

#include <array>
#include <cstddef>
#include <cstdint>

#include "mangospan/base/time.h"
#include "mangospan/request/pipeline.h"

namespace mangospan::request {

// Returns whether the endpoint may have acted on a request if an attempt ended
// in this way.
bool
MayHaveRun(attempt_end_kind aKind);

// Returns whether the request can be sent again without the risk that it takes
// effect twice. False for an answered attempt, which needs no retry.
bool
IsSafeToRetry(attempt_end_kind aKind, bool aIdempotent);

// Limits retries to a share of the first attempts of the last ten seconds, so
// that retries do not multiply the load of a failing pool. A few retries are
// always allowed, for pools with little traffic.
class retry_budget
{
public:
  explicit retry_budget(double aShare);

  void OnFirstAttempt(time_point aNow);

  // Returns whether the budget allows one more retry, and if so, counts it.
  bool Take(time_point aNow);

  // Returns the number of retries that the budget still allows.
  double Remaining(time_point aNow) const;

private:
  static constexpr std::size_t kWindowSeconds = 10;

  struct second_counts
  {
    std::int64_t mSecond = -1; // since the clock's epoch; -1 if unused
    std::uint32_t mFirstAttempts = 0;
    std::uint32_t mRetries = 0;
  };

  second_counts& CountsAt(time_point aNow);

  double mRetryShare;
  std::array<second_counts, kWindowSeconds> mWindow;
};

} // namespace mangospan::request

#endif // MANGOSPAN_REQUEST_INTERNAL_RETRY_POLICY_H
