// Applies the ends of runs to their tasks and jobs, and finds faulty runners.
#include <algorithm>

#include "mangospan/base/log.h"
#include "mangospan/jobs/scheduler.h"

namespace mangospan::jobs {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// If tasks of this many jobs fail on one runner within `kFailureWindow`, the
// runner is taken to be faulty.
constexpr std::size_t kFailedJobsToQuarantine = 2;
constexpr milliseconds kFailureWindow{ 4'000 };
// One of this many runners of a service may be taken to be faulty at a time: if
// tasks fail on all of them, the others still have to start.
constexpr std::size_t kRunnersPerFaultyOne = 2;

const char*
Name(run_end aEnd)
{
  switch (aEnd) {
    case run_end::kDone:
      return "done";
    case run_end::kFailed:
      return "failed";
    case run_end::kStopped:
      return "stopped";
    case run_end::kLeaseExpired:
      return "lapsed";
    case run_end::kGangBroken:
      return "gang_broken";
    case run_end::kGangTimeout:
      return "gang_timeout";
  }
  return "";
}

} // namespace

void
scheduler::OnRunEnded(runner& aRunner,
                      const ended_run& aEnd,
                      time_point aNow,
                      wall_time aWall)
{
  aRunner.mHighestSeenEnd = aEnd.mNumber;
  ReleaseRun(aRunner, { aEnd.mTask, aEnd.mRun }, aNow);
  const auto id = ParseTaskId(aEnd.mTask);
  job* const foundJob = id ? FindMutable(id->mJob) : nullptr;
  if (foundJob != nullptr && foundJob->Find(*id) != nullptr &&
      !IsFinal(foundJob->mState)) {
    if (aEnd.mEnd == run_end::kFailed) {
      RecordRunnerFailure(aRunner, id->mJob, aNow);
      foundJob->Find(*id)->mFailedOn = aRunner.mInfo.mName;
    }
    if (aEnd.mEnd != run_end::kDone) {
      LogEvent(log_level::kInfo,
               "task.ended",
               { { "task", aEnd.mTask },
                 { "run", static_cast<std::uint64_t>(aEnd.mRun) },
                 { "runner", aRunner.mInfo.mName.Str() },
                 { "end", Name(aEnd.mEnd) } });
    }
    ApplyRunEnd(*foundJob, *id, aEnd, aNow, aWall);
  }
  aRunner.mUnacknowledgedEnds.push_back(
    { aEnd.mNumber,
      id ? id->mJob : job_name(),
      foundJob == nullptr ? 0 : foundJob->mVersion });
  AcknowledgeStoredEnds(aRunner);
}

void
scheduler::ApplyRunEnd(job& aJob,
                       const task_id& aTask,
                       const ended_run& aEnd,
                       time_point aNow,
                       wall_time aWall)
{
  task& endedTask = *aJob.Find(aTask);
  const step_spec& spec = aJob.mSpec.mSteps[aTask.mStep];
  if (aEnd.mRun >= endedTask.mLastRun || endedTask.mCheckpoint.empty()) {
    SaveCheckpoint(aJob, aTask, aEnd.mCheckpoint);
  }
  endedTask.mLastRun = std::max(endedTask.mLastRun, aEnd.mRun);
  if (aEnd.mEnd == run_end::kFailed && endedTask.mCrashes.mIsSuspect) {
    ClearSuspicion(aJob, endedTask); // its runner has survived it
  }
  if (spec.mLongRunning) {
    return; // a long-running task is restarted however its run ends
  }
  if (aEnd.mEnd == run_end::kFailed) {
    auto& failedRuns = endedTask.mFailedRuns;
    if (std::find(failedRuns.begin(), failedRuns.end(), aEnd.mRun) ==
        failedRuns.end()) {
      failedRuns.push_back(aEnd.mRun);
      OnTaskFailed(aJob, aTask, aNow, aWall);
    }
    return;
  }
  if (aEnd.mEnd != run_end::kDone) {
    return;
  }
  step& endedStep = aJob.mOccurrences.at(aTask.mOccurrence).mSteps[aTask.mStep];
  const auto markDone = [&endedStep](task& aEach) {
    if (!aEach.mDone) {
      aEach.mDone = true;
      ++endedStep.mDoneCount;
    }
  };
  if (spec.mGang) {
    std::for_each(endedStep.mTasks.begin(), endedStep.mTasks.end(), markDone);
  } else {
    markDone(endedTask);
  }
  MarkChanged(aJob);
  aJob.CloseIfDone(aTask.mOccurrence);
  if (aJob.AllDone()) {
    const auto age = duration_cast<milliseconds>(aNow - aJob.mAcceptedAt);
    LogEvent(log_level::kInfo,
             "job.completed",
             { { "job", aJob.mName.Str() },
               { "age_ms", static_cast<std::int64_t>(age.count()) },
               { "on_time", aNow <= aJob.mObjectiveDeadline } });
    FinishJob(aJob, job_state::kCompleted, aNow, aWall);
  }
}

void
scheduler::OnTaskFailed(job& aJob,
                        const task_id& aTask,
                        time_point aNow,
                        wall_time aWall)
{
  const std::size_t failures = aJob.Find(aTask)->mFailedRuns.size();
  MarkChanged(aJob);
  if (failures >= PolicyOf(aJob).mMaxAttempts) {
    LogEvent(log_level::kInfo,
             "job.failed",
             { { "job", aJob.mName.Str() },
               { "task", aTask.Text() },
               { "attempts", static_cast<std::uint64_t>(failures) } });
    FinishJob(aJob, job_state::kFailed, aNow, aWall);
  }
}

// Returns whether enough runners of the service would be left without this one.
bool
scheduler::MayShun(const runner& aRunner, time_point aNow) const
{
  std::size_t poolSize = 0;
  std::size_t shunned = 0;
  for (const auto& [runnerName, each] : mRunners) {
    if (each.mInfo.mService == aRunner.mInfo.mService && each.mListed) {
      ++poolSize;
      shunned += aNow < each.mQuarantinedUntil ? 1 : 0;
    }
  }
  return shunned < poolSize / kRunnersPerFaultyOne;
}

// Records a failed run, and quarantines the runner if tasks of several jobs
// have failed on it recently. Failures of one job count once, because a task
// that fails on every runner is faulty itself.
void
scheduler::RecordRunnerFailure(runner& aRunner,
                               const job_name& aJob,
                               time_point aNow)
{
  auto& failures = mFailuresByRunner[aRunner.mInfo.mName];
  for (auto it = failures.begin(); it != failures.end();) {
    it = aNow - it->second > kFailureWindow ? failures.erase(it) : ++it;
  }
  failures[aJob] = aNow;
  if (failures.size() < kFailedJobsToQuarantine || !MayShun(aRunner, aNow)) {
    return;
  }
  failures.clear();
  aRunner.mQuarantinedUntil = aNow + mSettings.mQuarantineTime;
  LogEvent(
    log_level::kInfo,
    "runner.shunned",
    { { "runner", aRunner.mInfo.mName.Str() },
      { "for_ms",
        static_cast<std::int64_t>(mSettings.mQuarantineTime.count()) } });
}

} // namespace mangospan::jobs
