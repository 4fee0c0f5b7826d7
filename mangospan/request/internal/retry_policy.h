// Decides whether a request whose attempt failed may be sent again.
//
//   retry_budget budget(0.1);
//   budget.OnFirstAttempt(now);
//   if (MayRepeat(end.mKind, idempotent) && budget.Take(now)) { ... }
#ifndef MANGOSPAN_REQUEST_INTERNAL_RETRY_POLICY_H
#define MANGOSPAN_REQUEST_INTERNAL_RETRY_POLICY_H

#include <array>
#include <cstddef>
#include <cstdint>

#include "mangospan/base/time.h"
#include "mangospan/request/pipeline.h"

namespace mangospan::request {

// Whether the endpoint may have acted on a request of which an attempt ended
// like this.
bool
MayHaveRun(attempt_end_kind aKind);

// Whether sending the request again can not do it twice.
bool
MayRepeat(attempt_end_kind aKind, bool aIdempotent);

// Bounds retries to a share of the first attempts of the last ten seconds, so
// that a pool that fails is not sent a multiple of its load. A few are always
// allowed, for pools with little traffic.
class retry_budget
{
public:
  explicit retry_budget(double aShare);

  void OnFirstAttempt(time_point aNow);

  // Counts one retry and returns true if the budget allows it.
  bool Take(time_point aNow);

  // Retries that are left.
  double Left(time_point aNow) const;

private:
  static constexpr std::size_t kSeconds = 10;

  struct second
  {
    std::int64_t mNumber = -1; // since the clock's epoch
    std::uint32_t mFirst = 0;
    std::uint32_t mRetries = 0;
  };

  second& At(time_point aNow);

  double mShare;
  std::array<second, kSeconds> mSeconds;
};

} // namespace mangospan::request

#endif // MANGOSPAN_REQUEST_INTERNAL_RETRY_POLICY_H
