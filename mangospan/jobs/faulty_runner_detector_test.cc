// False and missed verdicts on runners, over rates of failures, sizes of pools
// and rates of starts.
#include "mangospan/jobs/faulty_runner_detector.h"

#include <chrono>
#include <random>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace mangospan::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

const service_name kPool{ "s" };
constexpr seconds kTime{ 20 };
// So many tasks of one job run on one runner.
constexpr int kTasksPerJob = 4;

struct pool_case
{
  double mOwnFailures = 0; // the share of tasks that fail by themselves
  int mRunners = 0;
  int mStartsPerSecond = 0; // on each runner
};

// The ends of runs on the runners of a pool, one round after the other.
class simulated_pool
{
public:
  simulated_pool(pool_case aCase, std::uint64_t aSeed)
    : mCase(aCase)
    , mRandom(aSeed)
  {
  }

  // Makes the runner fail this share of its tasks.
  void SetFaulty(int aRunner, double aShare)
  {
    mFaulty = aRunner;
    mFaultyShare = aShare;
  }
  // Adds the runs of one job on each runner. Returns after how long the next
  // job comes.
  nanoseconds AddRound(time_point aNow)
  {
    for (int i = 0; i < mCase.mRunners; ++i) {
      AddRuns(i, aNow);
    }
    return nanoseconds(seconds(kTasksPerJob)) / mCase.mStartsPerSecond;
  }
  runner_verdict Judge(int aRunner, time_point aNow)
  {
    return mDetector.Judge(kPool, Name(aRunner), aNow);
  }

private:
  static runner_name Name(int aRunner)
  {
    return runner_name{ "r" + std::to_string(aRunner) };
  }
  void AddRuns(int aRunner, time_point aNow)
  {
    const double rate = aRunner == mFaulty ? mFaultyShare : mCase.mOwnFailures;
    std::bernoulli_distribution fails(rate);
    const job_name job{ "j" + std::to_string(mJobs++) };
    for (int i = 0; i < kTasksPerJob; ++i) {
      mDetector.Add(kPool, { aNow, Name(aRunner), job, fails(mRandom), false });
    }
  }

  const pool_case mCase;
  std::mt19937_64 mRandom;
  faulty_runner_detector mDetector;
  int mJobs = 0;
  int mFaulty = -1;
  double mFaultyShare = 0;
};

class faulty_runner_detector_test : public ::testing::TestWithParam<pool_case>
{};

TEST_P(faulty_runner_detector_test, FailuresByChanceGiveAtMostOneFaultyVerdict)
{
  simulated_pool pool(GetParam(), 1);
  int verdicts = 0;
  const time_point begin{ std::chrono::hours(1) };
  for (time_point now = begin; now < begin + kTime;) {
    const auto gap = pool.AddRound(now);
    for (int i = 0; i < GetParam().mRunners; ++i) {
      verdicts += pool.Judge(i, now) == runner_verdict::kFaulty ? 1 : 0;
    }
    now += gap;
  }
  EXPECT_LE(verdicts, 1);
}

TEST_P(faulty_runner_detector_test, FaultyRunnerIsFound)
{
  struct bound
  {
    double mShare = 0; // of the tasks that the runner fails
    int mMaxJobs = 0;  // that it gets until it is found
  };
  constexpr int kRoundsBefore = 20;
  for (const auto& [share, maxJobs] :
       { bound{ 0.3, 60 }, bound{ 0.6, 20 }, bound{ 1.0, 12 } }) {
    for (std::uint64_t seed = 0; seed < 5; ++seed) {
      simulated_pool pool(GetParam(), seed);
      time_point now{ std::chrono::hours(1) };
      for (int i = 0; i < kRoundsBefore; ++i) {
        now += pool.AddRound(now);
      }
      pool.SetFaulty(0, share);
      int jobs = 0;
      while (jobs < 100 && pool.Judge(0, now) != runner_verdict::kFaulty) {
        now += pool.AddRound(now);
        ++jobs;
      }
      EXPECT_LE(jobs, maxJobs) << "share " << share << " seed " << seed;
    }
  }
}

std::vector<pool_case>
PoolCases()
{
  std::vector<pool_case> out;
  for (const double ownFailures : { 0.001, 0.01, 0.05 }) {
    for (const int runners : { 3, 30, 300 }) {
      for (const int starts : { 1, 10, 50 }) {
        out.push_back({ ownFailures, runners, starts });
      }
    }
  }
  return out;
}

INSTANTIATE_TEST_SUITE_P(Pools,
                         faulty_runner_detector_test,
                         ::testing::ValuesIn(PoolCases()),
                         [](const auto& aInfo) {
                           const pool_case& each = aInfo.param;
                           return std::to_string(static_cast<int>(
                                    each.mOwnFailures * 1'000)) +
                                  "PerMilleOf" +
                                  std::to_string(each.mStartsPerSecond) +
                                  "StartsOn" + std::to_string(each.mRunners);
                         });

constexpr int kOtherRunners = 10;

// Runs on sound runners, so that failures elsewhere are known to be rare.
void
AddSoundRuns(faulty_runner_detector& aDetector, time_point aNow)
{
  for (int i = 0; i < kOtherRunners; ++i) {
    for (int k = 0; k < 10; ++k) {
      aDetector.Add(kPool,
                    { aNow,
                      runner_name{ "other" + std::to_string(i) },
                      job_name{ "sound" + std::to_string(k) },
                      false,
                      false });
    }
  }
}

TEST(runner_evidence_test, FailuresOfOneJobCountOnce)
{
  faulty_runner_detector detector;
  const time_point now{ std::chrono::hours(1) };
  AddSoundRuns(detector, now);
  for (int i = 0; i < 50; ++i) {
    detector.Add(kPool,
                 { now, runner_name{ "r" }, job_name{ "j" }, true, false });
  }
  EXPECT_EQ(detector.Judge(kPool, runner_name{ "r" }, now),
            runner_verdict::kSound);
}

TEST(runner_evidence_test, FailuresOfJobsThatFailElsewhereAreWithdrawn)
{
  faulty_runner_detector detector;
  const time_point now{ std::chrono::hours(1) };
  const runner_name runner{ "r" };
  AddSoundRuns(detector, now);
  for (int i = 0; i < 10; ++i) {
    detector.Add(
      kPool, { now, runner, job_name{ "j" + std::to_string(i) }, true, false });
  }
  ASSERT_EQ(detector.Judge(kPool, runner, now), runner_verdict::kFaulty);
  for (int i = 0; i < 9; ++i) {
    detector.Withdraw(runner, job_name{ "j" + std::to_string(i) });
  }
  EXPECT_EQ(detector.Judge(kPool, runner, now), runner_verdict::kSound);
}

TEST(runner_evidence_test, OldRunsAreForgotten)
{
  faulty_runner_detector detector;
  const time_point now{ std::chrono::hours(1) };
  const runner_name runner{ "r" };
  AddSoundRuns(detector, now);
  for (int i = 0; i < 10; ++i) {
    detector.Add(
      kPool, { now, runner, job_name{ "j" + std::to_string(i) }, true, false });
  }
  EXPECT_EQ(detector.Judge(kPool, runner, now + seconds(121)),
            runner_verdict::kSound);
}

TEST(runner_evidence_test, RunsOfARunnerThatIsGoneAreForgotten)
{
  faulty_runner_detector detector;
  const time_point now{ std::chrono::hours(1) };
  const runner_name runner{ "r" };
  AddSoundRuns(detector, now);
  for (int i = 0; i < 10; ++i) {
    detector.Add(
      kPool, { now, runner, job_name{ "j" + std::to_string(i) }, true, false });
  }
  detector.Forget(runner);
  EXPECT_EQ(detector.Judge(kPool, runner, now), runner_verdict::kSound);
}

// The runs of one job on one runner may end minutes apart.
TEST(runner_evidence_test, RunOfAJobWhoseFirstRunIsForgottenCounts)
{
  faulty_runner_detector detector;
  const time_point begin{ std::chrono::hours(1) };
  const time_point later = begin + seconds(121);
  const runner_name runner{ "r" };
  detector.Add(kPool, { begin, runner, job_name{ "j" }, false, false });
  AddSoundRuns(detector, later);
  detector.Add(kPool, { later, runner, job_name{ "j" }, true, false });
  EXPECT_EQ(detector.Judge(kPool, runner, later), runner_verdict::kSuspect);
}

} // namespace
} // namespace mangospan::jobs
