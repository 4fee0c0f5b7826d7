#include "mangospan/jobs/arrival_forecast.h"

#include <algorithm>
#include <cmath>

#include <gtest/gtest.h>

namespace mangospan::jobs {
namespace {

using std::chrono::milliseconds;

const time_point kStart{ std::chrono::hours(1) };
constexpr milliseconds kHorizon{ 2'000 };
const estimated_run_times kEstimates;

job_spec
Job(std::size_t aTasks, std::int64_t aCpu, milliseconds aDuration)
{
  step_spec step;
  step.mTaskCount = aTasks;
  step.mTaskResources = { aCpu, 1'024, 0 };
  step.mEstimate = aDuration;
  job_spec out;
  out.mSteps = { step };
  return out;
}

// Guards against a forecast that lags behind a sudden peak. A queue of 36 jobs
// a second rises to five times as many. Each job has 13 tasks of 0.8 seconds on
// 1.5 cores, so that the peak occupies 2,800 cores in the long run. The
// arrivals of its first half second must show most of that, and not more.
TEST(arrival_forecast_test, FirstHalfSecondOfPeakShowsMostOfItsHeight)
{
  arrival_forecast forecaster;
  time_point now = kStart;
  for (int i = 0; i < 90; ++i) {
    forecaster.Add(Job(13, 1'500, milliseconds(800)), now, kEstimates);
    now += std::chrono::microseconds(5'556);
  }
  const auto level = forecaster.ExpectedDemand(now, {});
  EXPECT_GT(level.mCpu, 2'000'000);
  EXPECT_LT(level.mCpu, 2'808'000);
}

// Returns the jobs per second of a queue whose peak rises from 4 jobs a second
// to 220 within five seconds, and falls again.
double
PeakRate(milliseconds aAt)
{
  constexpr double kPi = 3.14159265358979;
  const double phase = std::chrono::duration<double>(aAt).count() / 10;
  return 4 + 216 * std::sin(kPi * std::clamp(phase, 0.0, 1.0));
}

// Guards against a forecast that follows a rising peak too late, and against
// one that extrapolates the rise far beyond the height of the peak.
TEST(arrival_forecast_test, ForecastFollowsRisingPeakWithoutLargeOvershoot)
{
  constexpr double kCpuPerJob = 13 * 1'500 * 0.8;
  arrival_forecast forecaster;
  double fractionalJobs = 0;
  double highest = 0;
  for (milliseconds at{ 0 }; at < milliseconds(10'000); at += milliseconds(1)) {
    fractionalJobs += PeakRate(at) / 1'000;
    const auto newJobs = static_cast<int>(fractionalJobs);
    fractionalJobs -= newJobs;
    for (int i = 0; i < newJobs; ++i) {
      forecaster.Add(
        Job(13, 1'500, milliseconds(800)), kStart + at, kEstimates);
    }
    const auto forecast = static_cast<double>(
      forecaster.ExpectedDemand(kStart + at, kHorizon).mCpu);
    highest = std::max(highest, forecast);
    const bool isRising =
      at >= milliseconds(1'000) && at <= milliseconds(2'500);
    if (isRising && at.count() % 100 == 0) {
      EXPECT_GT(forecast, 0.6 * kCpuPerJob * PeakRate(at + kHorizon))
        << at.count();
    }
  }
  EXPECT_LT(highest, 1.5 * kCpuPerJob * 220);
}

// Guards against growth that is extrapolated from the noise of a steady rate:
// the forecast must not depend on the horizon.
TEST(arrival_forecast_test, SteadyRateIsNotExtrapolated)
{
  arrival_forecast forecaster;
  time_point now = kStart;
  for (int i = 0; i < 200; ++i) {
    forecaster.Add(Job(13, 1'500, milliseconds(800)), now, kEstimates);
    now += milliseconds(10);
  }
  EXPECT_EQ(forecaster.ExpectedDemand(now, kHorizon).mCpu,
            forecaster.ExpectedDemand(now, {}).mCpu);
}

// Guards against hosts requested because of one large job: its standard error
// is as large as the job itself.
TEST(arrival_forecast_test, OneLargeJobGivesNoForecast)
{
  arrival_forecast forecaster;
  forecaster.Add(Job(16, 3'300, milliseconds(1'700)), kStart, kEstimates);
  EXPECT_EQ(forecaster.ExpectedDemand(kStart + milliseconds(10), kHorizon).mCpu,
            0);
}

// Guards against a forecast that outlives the peak: after the last window
// without arrivals it must be 0.
TEST(arrival_forecast_test, ForecastIsZeroAfterPeakEnds)
{
  arrival_forecast forecaster;
  for (int i = 0; i < 90; ++i) {
    forecaster.Add(Job(13, 1'500, milliseconds(800)), kStart, kEstimates);
  }
  EXPECT_EQ(
    forecaster.ExpectedDemand(kStart + milliseconds(700), kHorizon).mCpu, 0);
}

// Guards against a forecast for work that does not grow with the rate of
// arrivals: long-running steps, and jobs whose due times are known in advance.
TEST(arrival_forecast_test, LongRunningAndScheduledJobsAreNotCounted)
{
  arrival_forecast forecaster;
  job_spec longRunning = Job(24, 2'000, milliseconds(700));
  longRunning.mSteps[0].mLongRunning = true;
  job_spec scheduled = Job(24, 2'000, milliseconds(700));
  scheduled.mRepetitions = 5;
  for (int i = 0; i < 50; ++i) {
    forecaster.Add(longRunning, kStart, kEstimates);
    forecaster.Add(scheduled, kStart, kEstimates);
  }
  EXPECT_EQ(forecaster.ExpectedDemand(kStart, kHorizon).mCpu, 0);
}

} // namespace
} // namespace mangospan::jobs
