#include "mangospan/request/internal/deadline_queue.h"

#include <algorithm>
#include <cstdint>

namespace mangospan::request {

void
deadline_queue::SetClassQueue(class_queue_index aClassQueue,
                              const class_queue_options& aOptions)
{
  if (mClassQueues.size() <= aClassQueue) {
    mClassQueues.resize(aClassQueue + 1);
  }
  mClassQueues[aClassQueue].mOptions = aOptions;
}

void
deadline_queue::Push(class_queue_index aClassQueue,
                     time_point aDeadline,
                     request_id aRequest)
{
  std::deque<item>& items = mClassQueues[aClassQueue].mItems;
  const auto at = std::upper_bound(items.begin(),
                                   items.end(),
                                   aDeadline,
                                   [](time_point aWanted, const item& aItem) {
                                     return aWanted < aItem.mDeadline;
                                   });
  items.insert(at, item{ aDeadline, aRequest });
  ++mSize;
}

const deadline_queue::class_queue*
deadline_queue::FrontClassQueue() const
{
  const class_queue* best = nullptr;
  for (const class_queue& candidate : mClassQueues) {
    if (candidate.mItems.empty()) {
      continue;
    }
    if (best == nullptr ||
        (candidate.mOptions.mUrgent && !best->mOptions.mUrgent) ||
        (candidate.mOptions.mUrgent == best->mOptions.mUrgent &&
         candidate.mItems.front().mDeadline < best->mItems.front().mDeadline)) {
      best = &candidate;
    }
  }
  return best;
}

std::optional<request_id>
deadline_queue::Front() const
{
  const class_queue* front = FrontClassQueue();
  if (front == nullptr) {
    return std::nullopt;
  }
  return front->mItems.front().mRequest;
}

void
deadline_queue::PopFront()
{
  const class_queue* front = FrontClassQueue();
  if (front != nullptr) {
    mClassQueues[static_cast<std::size_t>(front - mClassQueues.data())]
      .mItems.pop_front();
    --mSize;
  }
}

bool
deadline_queue::Remove(class_queue_index aClassQueue,
                       time_point aDeadline,
                       request_id aRequest)
{
  std::deque<item>& items = mClassQueues[aClassQueue].mItems;
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
  for (class_queue& each : mClassQueues) {
    while (!each.mItems.empty() &&
           aNow + each.mOptions.mStartMargin >= each.mItems.front().mDeadline) {
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
  for (const class_queue& each : mClassQueues) {
    if (each.mItems.empty()) {
      continue;
    }
    const time_point at =
      each.mItems.front().mDeadline - each.mOptions.mStartMargin;
    next = next ? std::min(*next, at) : at;
  }
  return next;
}

std::vector<request_id>
deadline_queue::TakeAll()
{
  std::vector<request_id> all;
  for (class_queue& each : mClassQueues) {
    for (const item& waiting : each.mItems) {
      all.push_back(waiting.mRequest);
    }
    each.mItems.clear();
  }
  mSize = 0;
  return all;
}

std::chrono::nanoseconds
deadline_queue::WorkAhead(class_queue_index aClassQueue,
                          time_point aDeadline) const
{
  const bool urgent = mClassQueues[aClassQueue].mOptions.mUrgent;
  std::chrono::nanoseconds work{ 0 };
  for (const class_queue& each : mClassQueues) {
    std::size_t ahead = 0;
    if (each.mOptions.mUrgent && !urgent) {
      ahead = each.mItems.size();
    } else if (each.mOptions.mUrgent == urgent) {
      const auto end =
        std::upper_bound(each.mItems.begin(),
                         each.mItems.end(),
                         aDeadline,
                         [](time_point aWanted, const item& aItem) {
                           return aWanted < aItem.mDeadline;
                         });
      ahead = static_cast<std::size_t>(end - each.mItems.begin());
    }
    work += each.mOptions.mMeanSlotTime * static_cast<std::int64_t>(ahead);
  }
  return work;
}

std::chrono::nanoseconds
deadline_queue::TotalWork() const
{
  std::chrono::nanoseconds work{ 0 };
  for (const class_queue& each : mClassQueues) {
    work += each.mOptions.mMeanSlotTime *
            static_cast<std::int64_t>(each.mItems.size());
  }
  return work;
}

std::size_t
deadline_queue::Size(class_queue_index aClassQueue) const
{
  return aClassQueue < mClassQueues.size()
           ? mClassQueues[aClassQueue].mItems.size()
           : 0;
}

} // namespace mangospan::request
