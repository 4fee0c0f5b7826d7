#include "mangospan/node/stop_schedule.h"

#include <gtest/gtest.h>

namespace mangospan::node {
namespace {

using std::chrono::milliseconds;

const time_point kBegin{ std::chrono::hours(1) };

class stop_schedule_test : public ::testing::TestWithParam<int>
{
protected:
  const milliseconds mStopTimeout{ GetParam() };
  const stop_schedule mSchedule{ kBegin, mStopTimeout };
};

TEST_P(stop_schedule_test, RequestReadAtAnyTimeIsAnsweredBeforeTheExit)
{
  for (milliseconds at{ 0 }; at < mStopTimeout; at += milliseconds(10)) {
    const time_point now = kBegin + at;
    const auto timeout = mSchedule.LimitTimeout(kMaxRequestTimeout, now);
    if (timeout) {
      EXPECT_LE(*timeout, kMaxRequestTimeout);
      EXPECT_LE(now + *timeout, mSchedule.AnswerBy()) << at.count();
    }
  }
}

TEST_P(stop_schedule_test, StepsComeInOrderBeforeTheProcessIsKilled)
{
  EXPECT_LE(kBegin, mSchedule.AcceptUntil());
  EXPECT_LE(mSchedule.AcceptUntil(), mSchedule.AnswerBy());
  EXPECT_LE(mSchedule.AnswerBy(), mSchedule.ExitBy());
  EXPECT_LE(mSchedule.ExitBy(), kBegin + mStopTimeout);
}

INSTANTIATE_TEST_SUITE_P(
  StopTimeouts,
  stop_schedule_test,
  ::testing::Values(1, 200, 1'000, 3'000, 6'000, 30'000));

TEST(StopSchedule, LastConnectionHasTheWholeTimeOfARequest)
{
  const stop_schedule schedule(kBegin, milliseconds(6'000));
  EXPECT_EQ(schedule.LimitTimeout(kMaxRequestTimeout, schedule.AcceptUntil()),
            kMaxRequestTimeout);
  // The load balancer's two checks fail within 2 s.
  EXPECT_GT(schedule.AcceptUntil(), kBegin + milliseconds(2'000));
}

TEST(StopSchedule, RequestThatComesTooLateIsRefused)
{
  const stop_schedule schedule(kBegin, milliseconds(6'000));
  EXPECT_EQ(schedule.LimitTimeout(kMaxRequestTimeout, schedule.AnswerBy()),
            std::nullopt);
}

} // namespace
} // namespace mangospan::node
