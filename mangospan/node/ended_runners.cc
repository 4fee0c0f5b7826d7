#include "mangospan/node/ended_runners.h"

#include <algorithm>
#include <chrono>
#include <iterator>

namespace mangospan::node {

namespace {

// A listing that is requested this long after an order shows its effect. A
// runner that is still there has come after the order.
constexpr std::chrono::milliseconds kListingDelay{ 2'000 };

} // namespace

void
ended_runners::OnOrderDone(const host_entry& aHost, time_point aNow)
{
  if (!aHost.mRunner.Empty()) {
    mCandidates.insert_or_assign(aHost.mHost, candidate{ aHost, aNow });
  }
}

std::vector<host_entry>
ended_runners::TakeEnded(const std::vector<host_entry>& aHosts,
                         time_point aListedAt)
{
  std::vector<host_entry> ended;
  for (auto it = mCandidates.begin(); it != mCandidates.end();) {
    const candidate& each = it->second;
    const auto listed =
      std::find_if(aHosts.begin(), aHosts.end(), [&each](const auto& aHost) {
        return aHost.mHost == each.mHost.mHost;
      });
    const bool isEnded = aListedAt > each.mDoneAt && listed != aHosts.end() &&
                         (listed->mState != host_state::kUp ||
                          listed->mRunner != each.mHost.mRunner);
    if (isEnded) {
      ended.push_back(each.mHost);
    }
    it = isEnded || aListedAt >= each.mDoneAt + kListingDelay
           ? mCandidates.erase(it)
           : std::next(it);
  }
  return ended;
}

} // namespace mangospan::node
