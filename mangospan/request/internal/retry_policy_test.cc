#include "mangospan/request/internal/retry_policy.h"

#include <chrono>

#include <gtest/gtest.h>

namespace mangospan::request {
namespace {

TEST(RetryPolicy, OnlyRequestsThatDidNotRunOrAreIdempotentMayBeRetried)
{
  using kind = attempt_end_kind;
  for (const kind end : { kind::kNotSent, kind::kAnsweredNotRun }) {
    EXPECT_FALSE(MayHaveRun(end));
    EXPECT_TRUE(IsSafeToRetry(end, false));
    EXPECT_TRUE(IsSafeToRetry(end, true));
  }
  for (const kind end : { kind::kUnknown, kind::kTimedOut }) {
    EXPECT_TRUE(MayHaveRun(end));
    EXPECT_FALSE(IsSafeToRetry(end, false));
    EXPECT_TRUE(IsSafeToRetry(end, true));
  }
  EXPECT_FALSE(IsSafeToRetry(kind::kAnswered, true));
}

TEST(RetryBudget, AllowsAShareOfTheFirstAttemptsOfTheLastTenSeconds)
{
  manual_clock clock;
  retry_budget budget(0.1);
  for (int i = 0; i < 200; ++i) {
    budget.OnFirstAttempt(clock.Now());
  }
  int taken = 0;
  while (budget.Take(clock.Now())) {
    ++taken;
  }
  EXPECT_EQ(taken, 20);
  clock.Advance(std::chrono::seconds(11));
  taken = 0;
  while (budget.Take(clock.Now())) {
    ++taken;
  }
  EXPECT_EQ(taken, 3); // the minimum that is always allowed
}

} // namespace
} // namespace mangospan::request
