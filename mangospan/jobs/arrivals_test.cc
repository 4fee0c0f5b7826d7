#include "mangospan/jobs/arrivals.h"

#include <gtest/gtest.h>

namespace mangospan::jobs {
namespace {

using std::chrono::milliseconds;

const time_point kStart{ std::chrono::hours(1) };

job_spec
Job(std::size_t aTasks, std::int64_t aCpu, milliseconds aTakes)
{
  step_spec step;
  step.mTasks = aTasks;
  step.mNeed = { aCpu, 1'024, 0 };
  step.mEstimate = aTakes;
  job_spec out;
  out.mSteps = { step };
  return out;
}

// A queue of 36 jobs a second that asks for five times as many: 13 tasks of 0.8
// seconds on 1.5 cores each, 2,800 cores in the long run.
TEST(arrivals_test, TheFirstHalfSecondOfAPeakTellsMostOfItsHeight)
{
  arrivals recent;
  time_point now = kStart;
  for (int i = 0; i < 90; ++i) {
    recent.Add(Job(13, 1'500, milliseconds(800)), now);
    now += std::chrono::microseconds(5'556);
  }
  const auto level = recent.Level(now);
  EXPECT_GT(level.mCpu, 2'000'000);
  EXPECT_LT(level.mCpu, 2'808'000);
}

TEST(arrivals_test, OneLargeJobTellsNothingOfTheNext)
{
  arrivals recent;
  recent.Add(Job(16, 3'300, milliseconds(1'700)), kStart);
  EXPECT_EQ(recent.Level(kStart + milliseconds(10)).mCpu, 0);
}

TEST(arrivals_test, ThePeakIsForgottenOnceItIsOver)
{
  arrivals recent;
  for (int i = 0; i < 90; ++i) {
    recent.Add(Job(13, 1'500, milliseconds(800)), kStart);
  }
  EXPECT_EQ(recent.Level(kStart + milliseconds(700)).mCpu, 0);
}

TEST(arrivals_test, LastingAndTimedJobsDoNotCount)
{
  arrivals recent;
  job_spec lasting = Job(24, 2'000, milliseconds(700));
  lasting.mSteps[0].mLasting = true;
  job_spec timed = Job(24, 2'000, milliseconds(700));
  timed.mRepetitions = 5;
  for (int i = 0; i < 50; ++i) {
    recent.Add(lasting, kStart);
    recent.Add(timed, kStart);
  }
  EXPECT_EQ(recent.Level(kStart).mCpu, 0);
}

} // namespace
} // namespace mangospan::jobs
