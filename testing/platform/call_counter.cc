#include "testing/platform/call_counter.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "mangospan/base/time.h"

namespace mangospan::standin {

void
call_counter::Count(std::string_view aKind, time_point aNow)
{
  tally& kind = mTallies[std::string(aKind)];
  const std::int64_t second =
    std::chrono::duration_cast<std::chrono::seconds>(aNow.time_since_epoch())
      .count();
  if (kind.mSecond != second) {
    kind.mSecond = second;
    kind.mInSecond = 0;
  }
  ++kind.mInSecond;
  ++kind.mCount.mTotal;
  kind.mCount.mMostInOneSecond =
    std::max(kind.mCount.mMostInOneSecond, kind.mInSecond);
}

std::map<std::string, call_count>
call_counter::Counts() const
{
  std::map<std::string, call_count> counts;
  for (const auto& [kind, each] : mTallies) {
    counts[kind] = each.mCount;
  }
  return counts;
}

} // namespace mangospan::standin
