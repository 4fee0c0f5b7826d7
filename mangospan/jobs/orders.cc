#include "mangospan/jobs/orders.h"

namespace mangospan::jobs {

const char*
Name(order_outcome aOutcome)
{
  switch (aOutcome) {
    case order_outcome::kDone:
      return "done";
    case order_outcome::kFenced:
      return "fenced";
    case order_outcome::kStale:
      return "stale";
    case order_outcome::kExpired:
      return "expired";
    case order_outcome::kNoCapacity:
      return "no_room";
    case order_outcome::kOtherBoot:
      return "other_boot";
    case order_outcome::kNotExecuted:
      return "not_done";
    case order_outcome::kUnknown:
      return "unknown";
  }
  return "";
}

} // namespace mangospan::jobs
