#include "mangospan/jobs/faulty_runner_detector.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace mangospan::jobs {

namespace {

using std::chrono::milliseconds;

// The end of a run tells of the state of its runner for this long.
constexpr milliseconds kMemory{ 120'000 };
// The runs of a pool are counted in slices of this length.
constexpr milliseconds kSliceLength{ 1'000 };
// At most this many jobs are remembered for each runner.
constexpr std::size_t kMaxJobs = 100;

// A faulty runner fails at least this share of its runs, and at least so many
// times the share that sound ones fail.
constexpr double kMinFaultyRate = 0.3;
constexpr double kMinRateRatio = 3;
// The failure rate of sound runners is estimated with a prior of `kPriorRate`,
// which weighs as much as `kPriorRuns` runs, and clamped to these bounds.
constexpr double kPriorRate = 0.02;
constexpr double kPriorRuns = 100;
constexpr double kMinSoundRate = 0.005;
constexpr double kMaxSoundRate = 0.3;

// Thresholds of the log-likelihood ratio of "faulty" to "sound".
const double kSuspectLogRatio = std::log(20.0);
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
faulty_runner_detector::runner_record::ForgetOldJobs(time_point aNow)
{
  while (!mJobs.empty() &&
         (mJobs.size() >= kMaxJobs || aNow - mJobs.front().mSince > kMemory)) {
    mJobs.pop_front();
  }
}

void
faulty_runner_detector::Add(const service_name& aPool,
                            const run_outcome& aOutcome)
{
  auto& slices = mPools[aPool];
  if (slices.empty() || aOutcome.mAt - slices.back().mSince >= kSliceLength) {
    slices.push_back({ aOutcome.mAt, {} });
  }
  while (aOutcome.mAt - slices.front().mSince > kMemory) {
    slices.pop_front();
  }

  runner_record& onRunner = mRunners[aOutcome.mRunner];
  onRunner.ForgetOldJobs(aOutcome.mAt);
  job_record* ofJob = onRunner.Find(aOutcome.mJob);
  if (ofJob == nullptr) {
    onRunner.mJobs.push_back({ aOutcome.mJob, aOutcome.mAt, {}, false });
    ofJob = &onRunner.mJobs.back();
  }
  ofJob->mIsStepProven = ofJob->mIsStepProven || aOutcome.mIsStepProven;
  ofJob->mCounts.Add(aOutcome.mIsFailure);
  if (onRunner.mVerdict == runner_verdict::kSound) {
    slices.back().mCounts.Add(aOutcome.mIsFailure);
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
faulty_runner_detector::UsualFailureRate(const service_name& aPool,
                                         time_point aNow) const
{
  run_counts all;
  const auto pool = mPools.find(aPool);
  if (pool != mPools.end()) {
    for (const time_slice& each : pool->second) {
      if (aNow - each.mSince > kMemory) {
        continue;
      }
      all.mEnded += each.mCounts.mEnded;
      all.mFailed += each.mCounts.mFailed;
    }
  }
  const double rate =
    (static_cast<double>(all.mFailed) + kPriorRate * kPriorRuns) /
    (static_cast<double>(all.mEnded) + kPriorRuns);
  return std::clamp(rate, kMinSoundRate, kMaxSoundRate);
}

// Page's test (CUSUM) over the jobs in the order of their first ends. Clamping
// at 0 drops the evidence from before the runner last looked sound; clamping at
// the threshold lets a runner that has recovered be cleared soon.
runner_verdict
faulty_runner_detector::Judge(const service_name& aPool,
                              const runner_name& aRunner,
                              time_point aNow)
{
  const auto found = mRunners.find(aRunner);
  if (found == mRunners.end()) {
    return runner_verdict::kSound;
  }
  const double soundRate = UsualFailureRate(aPool, aNow);
  const double faultyRate = std::max(kMinRateRatio * soundRate, kMinFaultyRate);
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
  verdict = evidence >= kFaultyLogRatio    ? runner_verdict::kFaulty
            : evidence >= kSuspectLogRatio ? runner_verdict::kSuspect
                                           : runner_verdict::kSound;
  return verdict;
}

} // namespace mangospan::jobs
