#include "mangospan/jobs/answer_times.h"

#include <chrono>

#include <gtest/gtest.h>

namespace mangospan::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point kStart{ std::chrono::hours(1) };

TEST(answer_time_estimator_test, FollowsTheUsualTime)
{
  answer_time_estimator estimator;
  for (int i = 0; i < 100; ++i) {
    estimator.Add(milliseconds(i % 2 == 0 ? 80 : 100));
  }
  EXPECT_GT(estimator.ResendDelay(), milliseconds(100));
  EXPECT_LT(estimator.ResendDelay(), milliseconds(150));
}

TEST(answer_time_estimator_test, StaysWithinBounds)
{
  answer_time_estimator fast;
  answer_time_estimator slow;
  for (int i = 0; i < 100; ++i) {
    fast.Add(milliseconds(1));
    slow.Add(seconds(5));
  }
  EXPECT_GE(fast.ResendDelay(), milliseconds(20));
  EXPECT_LT(slow.ResendDelay(), milliseconds(400)); // the timeout of an order
}

TEST(answer_record_test, IsTrustedAgainAfterAnswers)
{
  answer_record record;
  EXPECT_FALSE(record.IsUnreliable(kStart));
  record.OnUnanswered(kStart);
  record.OnAnswered();
  EXPECT_TRUE(record.IsUnreliable(kStart));
  for (int i = 0; i < 10; ++i) {
    record.OnAnswered();
  }
  EXPECT_FALSE(record.IsUnreliable(kStart));
}

// A runner that gets no orders, because others are preferred, can not answer
// any either.
TEST(answer_record_test, IsTrustedAgainAfterATime)
{
  answer_record record;
  record.OnUnanswered(kStart);
  EXPECT_TRUE(record.IsUnreliable(kStart + seconds(1)));
  EXPECT_FALSE(record.IsUnreliable(kStart + seconds(10)));
}

// Half of its answers are not enough.
TEST(answer_record_test, RemainsUnreliableWhileOrdersAreLost)
{
  answer_record record;
  for (int i = 0; i < 100; ++i) {
    record.OnUnanswered(kStart);
    record.OnAnswered();
  }
  EXPECT_TRUE(record.IsUnreliable(kStart));
}

} // namespace
} // namespace mangospan::jobs
