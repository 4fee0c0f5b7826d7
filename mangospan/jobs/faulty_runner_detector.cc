#include "mangospan/jobs/faulty_runner_detector.h"

#include <algorithm>
#include <cmath>

namespace mangospan::jobs {

namespace {

using std::chrono::milliseconds;

// The end of a run tells of the state of its runner for this long.
constexpr milliseconds kMemory{ 120'000 };
constexpr milliseconds kSecond{ 1'000 };
// No more jobs of each runner are remembered.
constexpr std::size_t kMaxJobs = 100;

// A faulty runner fails at least this share of its runs, and more where all
// runners fail many.
constexpr double kMinFaultyRate = 0.3;
constexpr double kMinRateRatio = 3;
constexpr double kMaxFaultyRate = 0.9;
// The share that a sound runner fails is taken to lie within these bounds, and
// to be this as long as no more than so many runs have ended.
constexpr double kMinSoundRate = 0.005;
constexpr double kMaxSoundRate = 0.3;
constexpr double kPriorRate = 0.02;
constexpr double kPriorRuns = 100;

// By how much likelier the ends are if the runner is faulty.
const double kDoubtfulLogRatio = std::log(2e1);
const double kFaultyLogRatio = std::log(1e5);
// The runs of one job weigh no more than so many failures: the second if its
// step is proven.
constexpr double kMaxFailuresOfJob = 1;
constexpr double kMaxFailuresOfProvenStep = 3;

} // namespace

faulty_runner_detector::job_record*
faulty_runner_detector::runner_record::Find(const job_name& aJob)
{
  const auto found = std::find_if(
    mJobs.rbegin(), mJobs.rend(), [&aJob](const job_record& aEach) {
      return aEach.mJob == aJob;
    });
  return found == mJobs.rend() ? nullptr : &*found;
}

void
faulty_runner_detector::Add(const service_name& aPool,
                            const run_outcome& aOutcome)
{
  auto& seconds = mPools[aPool];
  if (seconds.empty() || aOutcome.mAt - seconds.back().mSince >= kSecond) {
    seconds.push_back({ aOutcome.mAt, {} });
  }
  while (aOutcome.mAt - seconds.front().mSince > kMemory) {
    seconds.pop_front();
  }

  runner_record& onRunner = mRunners[aOutcome.mRunner];
  job_record* ofJob = onRunner.Find(aOutcome.mJob);
  if (ofJob == nullptr) {
    onRunner.mJobs.push_back({ aOutcome.mJob, aOutcome.mAt, {}, false });
    ofJob = &onRunner.mJobs.back();
  }
  ofJob->mIsStepProven = ofJob->mIsStepProven || aOutcome.mIsStepProven;
  ofJob->mCounts.Add(aOutcome.mIsFailure);
  if (onRunner.mVerdict == runner_verdict::kSound) {
    seconds.back().mCounts.Add(aOutcome.mIsFailure);
  }
  while (onRunner.mJobs.size() > kMaxJobs ||
         aOutcome.mAt - onRunner.mJobs.front().mSince > kMemory) {
    onRunner.mJobs.pop_front();
  }
}

void
faulty_runner_detector::Withdraw(const runner_name& aRunner,
                                 const job_name& aJob)
{
  const auto onRunner = mRunners.find(aRunner);
  job_record* const ofJob =
    onRunner == mRunners.end() ? nullptr : onRunner->second.Find(aJob);
  if (ofJob != nullptr) {
    run_counts& counts = ofJob->mCounts;
    counts.mEnded -= counts.mFailed;
    counts.mFailed = 0;
  }
}

void
faulty_runner_detector::Forget(const runner_name& aRunner)
{
  mRunners.erase(aRunner);
}

// Returns the share of the runs on the sound runners that have failed.
double
faulty_runner_detector::UsualFailureRate(const service_name& aPool) const
{
  run_counts all;
  const auto pool = mPools.find(aPool);
  if (pool != mPools.end()) {
    for (const second& each : pool->second) {
      all.mEnded += each.mCounts.mEnded;
      all.mFailed += each.mCounts.mFailed;
    }
  }
  const double rate =
    (static_cast<double>(all.mFailed) + kPriorRate * kPriorRuns) /
    (static_cast<double>(all.mEnded) + kPriorRuns);
  return std::clamp(rate, kMinSoundRate, kMaxSoundRate);
}

// Page's test: adds up the evidence since the runner last looked sound, so that
// one that has just become faulty is soon found.
runner_verdict
faulty_runner_detector::Judge(const service_name& aPool,
                              const runner_name& aRunner,
                              time_point aNow)
{
  const auto found = mRunners.find(aRunner);
  if (found == mRunners.end()) {
    return runner_verdict::kSound;
  }
  const double soundRate = UsualFailureRate(aPool);
  const double faultyRate =
    std::clamp(kMinRateRatio * soundRate, kMinFaultyRate, kMaxFaultyRate);
  const double ofFailure = std::log(faultyRate / soundRate);
  const double ofSuccess = std::log((1 - faultyRate) / (1 - soundRate));
  double evidence = 0;
  for (const job_record& each : found->second.mJobs) {
    if (aNow - each.mSince > kMemory) {
      continue;
    }
    const auto failed = static_cast<double>(each.mCounts.mFailed);
    const auto succeeded =
      static_cast<double>(each.mCounts.mEnded - each.mCounts.mFailed);
    const double maxFailures =
      each.mIsStepProven ? kMaxFailuresOfProvenStep : kMaxFailuresOfJob;
    const double ofJob = std::min(maxFailures * ofFailure,
                                  failed * ofFailure + succeeded * ofSuccess);
    evidence = std::clamp(evidence + ofJob, 0.0, kFaultyLogRatio);
  }
  runner_verdict& verdict = found->second.mVerdict;
  verdict = evidence >= kFaultyLogRatio     ? runner_verdict::kFaulty
            : evidence >= kDoubtfulLogRatio ? runner_verdict::kDoubtful
                                            : runner_verdict::kSound;
  return verdict;
}

} // namespace mangospan::jobs
