#include "mangospan/config/document.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace mangospan::config {

std::size_t
availability_budget::Allowed(std::size_t aHosts) const
{
  if (mCount) {
    return std::min(*mCount, aHosts);
  }
  // The product of a share such as 0.29 and 100 hosts may fall a rounding error
  // short of the whole number that the operator meant.
  constexpr double kRoundingError = 1e-9;
  const double allowed = std::floor(
    mShare.value_or(0) * static_cast<double>(aHosts) + kRoundingError);
  return std::min(static_cast<std::size_t>(std::max(allowed, 0.0)), aHosts);
}

} // namespace mangospan::config
