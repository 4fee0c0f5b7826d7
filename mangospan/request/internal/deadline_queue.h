// The requests of one pool that wait for a slot, earliest deadline first,
// urgent classes ahead of all others.
//
// Each class has a class queue of its own, sorted by deadline, so that the work
// ahead of a request is computed without walking over all queued requests:
//
//   deadline_queue queue;
//   queue.SetClassQueue(index, { urgent, meanSlotTime, startMargin });
//   queue.Push(index, deadline, id);
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

// Identifies the queue of one class within a deadline_queue.
using class_queue_index = std::size_t;

// The scheduling parameters of a class queue.
struct class_queue_options
{
  bool mUrgent = false; // served before all classes that are not urgent
  // The expected slot time of a request.
  std::chrono::nanoseconds mMeanSlotTime{ 0 };
  // A request must start at least this long before its deadline.
  std::chrono::nanoseconds mStartMargin{ 0 };
};

// Requests of all classes of a pool, in the order in which they are served.
// Methods with a class queue index require that `SetClassQueue` has made it.
class deadline_queue
{
public:
  // Sets the options of a class queue. Creates the queue, and those with a
  // lower index, if it is new.
  void SetClassQueue(class_queue_index aClassQueue,
                     const class_queue_options& aOptions);

  // Adds a request. Equal deadlines of a class are served in order of arrival.
  void Push(class_queue_index aClassQueue,
            time_point aDeadline,
            request_id aRequest);

  // Returns the request to serve next; empty if none waits.
  std::optional<request_id> Front() const;
  // Removes the request that `Front` returns, if any.
  void PopFront();

  // Removes a request. Returns false if it was not queued.
  bool Remove(class_queue_index aClassQueue,
              time_point aDeadline,
              request_id aRequest);

  // Removes and returns every request that can no longer start in time.
  std::vector<request_id> TakeExpired(time_point aNow);
  // Returns the time at which the next request expires; empty if none waits.
  std::optional<time_point> NextExpiry() const;

  // Removes and returns all requests.
  std::vector<request_id> TakeAll();

  // Returns the expected slot time of all requests that would be served before
  // a new request of the class with the deadline.
  std::chrono::nanoseconds WorkAhead(class_queue_index aClassQueue,
                                     time_point aDeadline) const;

  // Returns the expected slot time of all queued requests.
  std::chrono::nanoseconds TotalWork() const;

  std::size_t Size() const { return mSize; }
  std::size_t Size(class_queue_index aClassQueue) const;

private:
  struct item
  {
    time_point mDeadline;
    request_id mRequest = 0;
  };

  struct class_queue
  {
    class_queue_options mOptions;
    std::deque<item> mItems; // sorted by deadline
  };

  const class_queue* FrontClassQueue() const;

  std::vector<class_queue> mClassQueues;
  std::size_t mSize = 0;
};

} // namespace mangospan::request

#endif // MANGOSPAN_REQUEST_INTERNAL_DEADLINE_QUEUE_H
