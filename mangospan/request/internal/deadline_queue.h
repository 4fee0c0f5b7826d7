// The requests of one pool that wait for a slot, earliest deadline first,
// urgent classes ahead of all others.
//
// Each class has a lane of its own, in which deadlines are sorted, so that the
// work ahead of a request is counted without walking over the queue:
//
//   deadline_queue queue;
//   queue.SetLane(lane, { urgent, mean, slack });
//   queue.Push(lane, deadline, id);
//   if (auto next = queue.Front()) { ...; queue.PopFront(); }
#ifndef MANGOSPAN_REQUEST_INTERNAL_DEADLINE_QUEUE_H
#define MANGOSPAN_REQUEST_INTERNAL_DEADLINE_QUEUE_H

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "mangospan/base/time.h"
#include "mangospan/request/pipeline.h"

namespace mangospan::request {

using lane_index = std::size_t;

struct lane_rule
{
  bool mUrgent = false;
  std::chrono::nanoseconds mMean{ 0 };  // expected slot time of a request
  std::chrono::nanoseconds mSlack{ 0 }; // a request must start this long
                                        // before its deadline
};

class deadline_queue
{
public:
  // Sets a lane's rule; makes the lane, and those before it, if new.
  void SetLane(lane_index aLane, const lane_rule& aRule);

  void Push(lane_index aLane, time_point aDeadline, request_id aRequest);

  // The request to serve next.
  std::optional<request_id> Front() const;
  void PopFront();

  // Takes a request out; false if it was not there.
  bool Remove(lane_index aLane, time_point aDeadline, request_id aRequest);

  // Takes out every request that can no longer start in time.
  std::vector<request_id> TakeExpired(time_point aNow);
  std::optional<time_point> NextExpiry() const;

  // Takes out everything.
  std::vector<request_id> TakeAll();

  // The expected slot time of all that would be served before a request of
  // the lane with the deadline.
  std::chrono::nanoseconds WorkAhead(lane_index aLane,
                                     time_point aDeadline) const;

  // The expected slot time of all that waits.
  std::chrono::nanoseconds TotalWork() const;

  std::size_t Size() const { return mSize; }
  std::size_t Size(lane_index aLane) const;

private:
  struct item
  {
    time_point mDeadline;
    request_id mRequest = 0;
  };

  struct lane
  {
    lane_rule mRule;
    std::deque<item> mItems; // sorted by deadline
  };

  const lane* FrontLane() const;

  std::vector<lane> mLanes;
  std::size_t mSize = 0;
};

} // namespace mangospan::request

#endif // MANGOSPAN_REQUEST_INTERNAL_DEADLINE_QUEUE_H
