#include "mangospan/request/internal/deadline_queue.h"

#include <chrono>
#include <vector>

#include <gtest/gtest.h>

namespace mangospan::request {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr class_queue_index kPlain = 0;
constexpr class_queue_index kSlow = 1;
constexpr class_queue_index kUrgent = 2;

time_point
At(int aSeconds)
{
  return time_point(seconds(1000 + aSeconds));
}

deadline_queue
MakeQueue()
{
  deadline_queue queue;
  queue.SetClassQueue(kPlain, { false, milliseconds(100), milliseconds(100) });
  queue.SetClassQueue(kSlow, { false, seconds(1), seconds(2) });
  queue.SetClassQueue(kUrgent, { true, milliseconds(10), milliseconds(0) });
  return queue;
}

std::vector<request_id>
Drain(deadline_queue& aQueue)
{
  std::vector<request_id> order;
  while (const auto next = aQueue.Front()) {
    order.push_back(*next);
    aQueue.PopFront();
  }
  return order;
}

TEST(DeadlineQueue, ServesUrgentClassesFirstThenTheEarliestDeadline)
{
  deadline_queue queue = MakeQueue();
  queue.Push(kPlain, At(5), 1);
  queue.Push(kSlow, At(3), 2);
  queue.Push(kPlain, At(1), 3);
  queue.Push(kUrgent, At(9), 4);
  queue.Push(kPlain, At(5), 5);
  EXPECT_EQ(Drain(queue), (std::vector<request_id>{ 4, 3, 2, 1, 5 }));
  EXPECT_EQ(queue.Size(), 0U);
}

TEST(DeadlineQueue, WorkAheadCountsOnlyRequestsServedEarlier)
{
  deadline_queue queue = MakeQueue();
  queue.Push(kPlain, At(1), 1);
  queue.Push(kPlain, At(5), 2);
  queue.Push(kSlow, At(2), 3);
  queue.Push(kUrgent, At(9), 4);
  EXPECT_EQ(queue.WorkAhead(kPlain, At(3)), milliseconds(1110));
  EXPECT_EQ(queue.WorkAhead(kPlain, At(5)), milliseconds(1210));
  EXPECT_EQ(queue.WorkAhead(kUrgent, At(9)), milliseconds(10));
  EXPECT_EQ(queue.WorkAhead(kUrgent, At(8)), milliseconds(0));
  EXPECT_EQ(queue.TotalWork(), milliseconds(1210));
}

TEST(DeadlineQueue, ExpiresRequestsThatCanNoLongerStartInTime)
{
  deadline_queue queue = MakeQueue();
  queue.Push(kPlain, At(3), 1);
  queue.Push(kSlow, At(4), 2);
  EXPECT_EQ(queue.NextExpiry(), At(2));
  EXPECT_TRUE(queue.TakeExpired(At(1)).empty());
  EXPECT_EQ(queue.TakeExpired(At(2)), (std::vector<request_id>{ 2 }));
  EXPECT_EQ(queue.TakeExpired(At(3)), (std::vector<request_id>{ 1 }));
  EXPECT_EQ(queue.NextExpiry(), std::nullopt);
}

TEST(DeadlineQueue, RemovesOnlyTheNamedRequest)
{
  deadline_queue queue = MakeQueue();
  queue.Push(kPlain, At(3), 1);
  queue.Push(kPlain, At(3), 2);
  EXPECT_FALSE(queue.Remove(kPlain, At(3), 7));
  EXPECT_TRUE(queue.Remove(kPlain, At(3), 2));
  EXPECT_FALSE(queue.Remove(kPlain, At(3), 2));
  EXPECT_EQ(Drain(queue), (std::vector<request_id>{ 1 }));
}

} // namespace
} // namespace mangospan::request
