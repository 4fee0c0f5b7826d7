#include "mangospan/request/internal/deadline_queue.h"

#include <algorithm>
#include <cstdint>

namespace mangospan::request {

void
deadline_queue::SetLane(lane_index aLane, const lane_rule& aRule)
{
  if (mLanes.size() <= aLane) {
    mLanes.resize(aLane + 1);
  }
  mLanes[aLane].mRule = aRule;
}

void
deadline_queue::Push(lane_index aLane,
                     time_point aDeadline,
                     request_id aRequest)
{
  std::deque<item>& items = mLanes[aLane].mItems;
  const auto at = std::upper_bound(items.begin(),
                                   items.end(),
                                   aDeadline,
                                   [](time_point aWanted, const item& aItem) {
                                     return aWanted < aItem.mDeadline;
                                   });
  items.insert(at, item{ aDeadline, aRequest });
  ++mSize;
}

const deadline_queue::lane*
deadline_queue::FrontLane() const
{
  const lane* best = nullptr;
  for (const lane& candidate : mLanes) {
    if (candidate.mItems.empty()) {
      continue;
    }
    if (best == nullptr || (candidate.mRule.mUrgent && !best->mRule.mUrgent) ||
        (candidate.mRule.mUrgent == best->mRule.mUrgent &&
         candidate.mItems.front().mDeadline < best->mItems.front().mDeadline)) {
      best = &candidate;
    }
  }
  return best;
}

std::optional<request_id>
deadline_queue::Front() const
{
  const lane* front = FrontLane();
  if (front == nullptr) {
    return std::nullopt;
  }
  return front->mItems.front().mRequest;
}

void
deadline_queue::PopFront()
{
  const lane* front = FrontLane();
  if (front != nullptr) {
    mLanes[static_cast<std::size_t>(front - mLanes.data())].mItems.pop_front();
    --mSize;
  }
}

bool
deadline_queue::Remove(lane_index aLane,
                       time_point aDeadline,
                       request_id aRequest)
{
  std::deque<item>& items = mLanes[aLane].mItems;
  auto at = std::lower_bound(items.begin(),
                             items.end(),
                             aDeadline,
                             [](const item& aItem, time_point aWanted) {
                               return aItem.mDeadline < aWanted;
                             });
  while (at != items.end() && at->mDeadline == aDeadline) {
    if (at->mRequest == aRequest) {
      items.erase(at);
      --mSize;
      return true;
    }
    ++at;
  }
  return false;
}

std::vector<request_id>
deadline_queue::TakeExpired(time_point aNow)
{
  std::vector<request_id> expired;
  for (lane& each : mLanes) {
    while (!each.mItems.empty() &&
           aNow + each.mRule.mSlack >= each.mItems.front().mDeadline) {
      expired.push_back(each.mItems.front().mRequest);
      each.mItems.pop_front();
      --mSize;
    }
  }
  return expired;
}

std::optional<time_point>
deadline_queue::NextExpiry() const
{
  std::optional<time_point> next;
  for (const lane& each : mLanes) {
    if (each.mItems.empty()) {
      continue;
    }
    const time_point at = each.mItems.front().mDeadline - each.mRule.mSlack;
    next = next ? std::min(*next, at) : at;
  }
  return next;
}

std::vector<request_id>
deadline_queue::TakeAll()
{
  std::vector<request_id> all;
  for (lane& each : mLanes) {
    for (const item& waiting : each.mItems) {
      all.push_back(waiting.mRequest);
    }
    each.mItems.clear();
  }
  mSize = 0;
  return all;
}

std::chrono::nanoseconds
deadline_queue::WorkAhead(lane_index aLane, time_point aDeadline) const
{
  const bool urgent = mLanes[aLane].mRule.mUrgent;
  std::chrono::nanoseconds work{ 0 };
  for (const lane& each : mLanes) {
    std::size_t ahead = 0;
    if (each.mRule.mUrgent && !urgent) {
      ahead = each.mItems.size();
    } else if (each.mRule.mUrgent == urgent) {
      const auto end =
        std::upper_bound(each.mItems.begin(),
                         each.mItems.end(),
                         aDeadline,
                         [](time_point aWanted, const item& aItem) {
                           return aWanted < aItem.mDeadline;
                         });
      ahead = static_cast<std::size_t>(end - each.mItems.begin());
    }
    work += each.mRule.mMean * static_cast<std::int64_t>(ahead);
  }
  return work;
}

std::chrono::nanoseconds
deadline_queue::TotalWork() const
{
  std::chrono::nanoseconds work{ 0 };
  for (const lane& each : mLanes) {
    work += each.mRule.mMean * static_cast<std::int64_t>(each.mItems.size());
  }
  return work;
}

std::size_t
deadline_queue::Size(lane_index aLane) const
{
  return aLane < mLanes.size() ? mLanes[aLane].mItems.size() : 0;
}

} // namespace mangospan::request
