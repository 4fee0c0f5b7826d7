#include "mangospan/request/internal/pool_state.h"

#include <chrono>

#include <gtest/gtest.h>

namespace mangospan::request {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class class_state_test : public ::testing::Test
{
protected:
  static config::work_class Work()
  {
    config::work_class work;
    work.mName = class_name("check");
    work.mTarget = { 0.99, seconds(2) };
    return work;
  }

  pipeline_options mOptions;
  service_state mService{ service_name("permits"), 0, mOptions };
  class_state mClass{ Work(), mService };
};

TEST_F(class_state_test, LateAnswersShortenTheWaitBudgetUntilTheTargetIsMet)
{
  mClass.OnAnswered(milliseconds(100));
  const auto before = mClass.WaitBudget(seconds(2));
  mClass.OnDelivered(false);
  EXPECT_EQ(mClass.WaitBudget(seconds(2)), before);
  for (int i = 0; i < 5; ++i) {
    mClass.OnDelivered(true);
  }
  EXPECT_LT(mClass.WaitBudget(seconds(2)), before);
  for (int i = 0; i < 600; ++i) { // 5 late of 605 are within 1%
    mClass.OnDelivered(false);
  }
  EXPECT_EQ(mClass.WaitBudget(seconds(2)), before);
}

TEST_F(class_state_test, AllowsAMinimumWaitHoweverSlowTheAnswers)
{
  for (int i = 0; i < 100; ++i) {
    mClass.OnAnswered(seconds(60));
  }
  EXPECT_EQ(mClass.WaitBudget(seconds(2)), milliseconds(250));
}

TEST_F(class_state_test, TimedOutAttemptsRaiseOnlyTheAttemptTimeout)
{
  mClass.OnAnswered(milliseconds(100));
  const auto before = mClass.MinAttemptTimeout();
  mClass.OnTimedOut(seconds(1));
  EXPECT_GT(mClass.MinAttemptTimeout(), before);
  EXPECT_EQ(mClass.mAnswerTime.Mean(), milliseconds(100));
}

} // namespace
} // namespace mangospan::request
