// Tells a faulty runner from tasks that fail by themselves.
//
// Compares the failed runs on a runner with those on the runners of its pool
// that look sound, by a sequential test, which waits for as many ends as the
// decision needs. The runs of one job on one runner weigh no more than one
// failure unless tasks of its step have succeeded, and those of a task that
// fails on other runners, too, are withdrawn. Pure: the caller passes the time.
//
//   detector.Add(pool, { now, runner, job, true, false });
//   if (detector.Judge(pool, runner, now) == runner_verdict::kFaulty) { ... }
#ifndef MANGOSPAN_JOBS_FAULTY_RUNNER_DETECTOR_H
#define MANGOSPAN_JOBS_FAULTY_RUNNER_DETECTOR_H

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>

#include "mangospan/base/identity.h"
#include "mangospan/base/time.h"
#include "mangospan/jobs/orders.h"

namespace mangospan::jobs {

// What the ends of runs say of their runner.
enum class runner_verdict
{
  kSound,   // no more failures than elsewhere, or too little is known
  kSuspect, // the ends are 20 times likelier if the runner is faulty
  kFaulty,  // 100,000 times likelier
};

// The end of a run on a runner.
struct run_outcome
{
  time_point mAt{};
  runner_name mRunner;
  job_name mJob;
  bool mIsFailure = false;
  bool mIsStepProven = false; // other tasks of its step have succeeded
};

class faulty_runner_detector
{
public:
  void Add(const service_name& aPool, const run_outcome& aOutcome);
  // Forgets the failures of all tasks of the job on the runner, since the job
  // is to blame. They still count towards what is usual in the pool.
  void Withdraw(const runner_name& aRunner, const job_name& aJob);
  // Forgets the runs on a runner that has started again or is gone.
  void Forget(const runner_name& aRunner);

  // Judges the runner. The ends of runs on runners that did not look sound then
  // do not count towards what is usual in the pool.
  runner_verdict Judge(const service_name& aPool,
                       const runner_name& aRunner,
                       time_point aNow);

private:
  struct run_counts
  {
    std::uint64_t mEnded = 0;
    std::uint64_t mFailed = 0;

    void Add(bool aIsFailure)
    {
      ++mEnded;
      mFailed += aIsFailure ? 1 : 0;
    }
  };
  // The runs of one job on one runner.
  struct job_record
  {
    job_name mJob;
    time_point mSince{}; // when the first of them ended
    run_counts mCounts;
    // A run has failed of a step of which other tasks had succeeded.
    bool mIsStepProven = false;
  };
  struct runner_record
  {
    std::deque<job_record> mJobs; // oldest first
    runner_verdict mVerdict = runner_verdict::kSound;

    job_record* Find(const job_name& aJob);
    // Leaves room for one job more.
    void ForgetOldJobs(time_point aNow);
  };
  // The runs on the sound runners of a pool within some time.
  struct time_slice
  {
    time_point mSince{};
    run_counts mCounts;
  };

  double UsualFailureRate(const service_name& aPool, time_point aNow) const;

  std::map<runner_name, runner_record> mRunners;
  std::map<service_name, std::deque<time_slice>> mPools; // oldest first
};

} // namespace mangospan::jobs

#endif // MANGOSPAN_JOBS_FAULTY_RUNNER_DETECTOR_H
