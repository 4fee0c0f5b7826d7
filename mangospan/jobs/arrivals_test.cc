#include "mangospan/jobs/arrivals.h"

#include <algorithm>
#include <cmath>

#include <gtest/gtest.h>

namespace mangospan::jobs {
namespace {

using std::chrono::milliseconds;

const time_point kStart{ std::chrono::hours(1) };
constexpr milliseconds kAhead{ 2'000 };

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
  const auto level = recent.Expected(now, {});
  EXPECT_GT(level.mCpu, 2'000'000);
  EXPECT_LT(level.mCpu, 2'808'000);
}

// The peak of a queue whose turn it is: from 4 jobs a second to 220 within five
// seconds, and down again.
double
PeakRate(milliseconds aAt)
{
  constexpr double kPi = 3.14159265358979;
  const double phase = std::chrono::duration<double>(aAt).count() / 10;
  return 4 + 216 * std::sin(kPi * std::clamp(phase, 0.0, 1.0));
}

TEST(arrivals_test, TheRiseOfAPeakIsForeseenAndItsHeightNotExceededByFar)
{
  constexpr double kPerJob = 13 * 1'500 * 0.8;
  arrivals recent;
  double owed = 0;
  double most = 0;
  for (milliseconds at{ 0 }; at < milliseconds(10'000); at += milliseconds(1)) {
    owed += PeakRate(at) / 1'000;
    const auto due = static_cast<int>(owed);
    owed -= due;
    for (int i = 0; i < due; ++i) {
      recent.Add(Job(13, 1'500, milliseconds(800)), kStart + at);
    }
    const auto got =
      static_cast<double>(recent.Expected(kStart + at, kAhead).mCpu);
    most = std::max(most, got);
    const bool isRising =
      at >= milliseconds(1'000) && at <= milliseconds(2'500);
    if (isRising && at.count() % 100 == 0) {
      EXPECT_GT(got, 0.6 * kPerJob * PeakRate(at + kAhead)) << at.count();
    }
  }
  EXPECT_LT(most, 1.5 * kPerJob * 220);
}

TEST(arrivals_test, ASteadyRateIsNotTakenForARise)
{
  arrivals recent;
  time_point now = kStart;
  for (int i = 0; i < 200; ++i) {
    recent.Add(Job(13, 1'500, milliseconds(800)), now);
    now += milliseconds(10);
  }
  EXPECT_EQ(recent.Expected(now, kAhead).mCpu, recent.Expected(now, {}).mCpu);
}

TEST(arrivals_test, OneLargeJobTellsNothingOfTheNext)
{
  arrivals recent;
  recent.Add(Job(16, 3'300, milliseconds(1'700)), kStart);
  EXPECT_EQ(recent.Expected(kStart + milliseconds(10), kAhead).mCpu, 0);
}

TEST(arrivals_test, ThePeakIsForgottenOnceItIsOver)
{
  arrivals recent;
  for (int i = 0; i < 90; ++i) {
    recent.Add(Job(13, 1'500, milliseconds(800)), kStart);
  }
  EXPECT_EQ(recent.Expected(kStart + milliseconds(700), kAhead).mCpu, 0);
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
  EXPECT_EQ(recent.Expected(kStart, kAhead).mCpu, 0);
}

} // namespace
} // namespace mangospan::jobs
