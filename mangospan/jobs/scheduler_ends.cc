// Applies the ends of runs to their tasks and jobs, and finds faulty runners.
#include <algorithm>

#include "mangospan/base/log.h"
#include "mangospan/jobs/scheduler.h"

namespace mangospan::jobs {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// At most one in so many runners of a service, rounded down, is in quarantine
// at a time, so that tasks can still start; the second while tasks wait for
// free capacity.
constexpr std::size_t kRunnersPerQuarantinedOne = 2;
constexpr std::size_t kRunnersPerQuarantinedOneWhenFull = 4;
// Other runners are preferred to one that may be faulty for this long.
constexpr milliseconds kSuspectTime{ 4'000 };
// A runner back from quarantine gets one run at a time for no longer than this.
constexpr milliseconds kMaxTrialTime{ 4'000 };
// The same for a runner on which two runs in a row have failed.
constexpr milliseconds kLimitedTime{ 2'000 };
// The time from a failed run to the next one on such a runner, which would get
// more of them than others if its runs fail at once.
constexpr milliseconds kPauseOnTrial{ 250 };

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
  const run* const found = aRunner.Find({ aEnd.mTask, aEnd.mRun });
  const std::optional<run> endedRun =
    found == nullptr ? std::nullopt : std::optional(*found);
  const time_point orderedAt = endedRun ? endedRun->mOrderedAt : time_point{};
  ReleaseRun(aRunner, { aEnd.mTask, aEnd.mRun }, aNow);
  const auto id = ParseTaskId(aEnd.mTask);
  job* const foundJob = id ? FindMutable(id->mJob) : nullptr;
  if (foundJob != nullptr && foundJob->Find(*id) != nullptr &&
      !IsFinal(foundJob->mState)) {
    if (aEnd.mEnd == run_end::kFailed) {
      OnRunFailed(aRunner, *foundJob, *id, aNow);
      foundJob->Find(*id)->OnFailedOn(aRunner.mInfo.mName, aNow);
    } else if (aEnd.mEnd == run_end::kDone) {
      if (endedRun) {
        LearnRunTime(aRunner, *endedRun, foundJob->mSpec, aNow);
      }
      OnRunSucceeded(aRunner, id->mJob, orderedAt, aNow);
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

const run_time_source&
scheduler::RunTimes() const
{
  if (mSettings.mLearnRunTimes) {
    return mRunTimeModel;
  }
  return mEstimatedRunTimes;
}

// Learns from a run that has done its task, if its time tells that of others:
// the run began with this owner's only start order, at the beginning of the
// task, on a sound runner near the data, which has reported its end at once. A
// best-effort run takes as long as the others leave it CPU time.
void
scheduler::LearnRunTime(const runner& aRunner,
                        const run& aRun,
                        const job_spec& aSpec,
                        time_point aNow)
{
  const step_spec& spec = aSpec.mSteps[aRun.mTask.mStep];
  // A run may end before the call that starts it is answered. After a lost
  // answer the order may have been executed late.
  const bool isStartTimeKnown =
    aRun.mUnansweredStarts == 0 || aRun.mPhase == run_phase::kOrdered;
  const bool isWholeRun = aRun.mStartAttempts == 1 && isStartTimeKnown &&
                          !aRun.mIsOfEarlierBoot && aRun.mCheckpoint.empty();
  const bool isSound = aRun.mOrderedAt >= aRunner.mSuspectUntil &&
                       aRun.mOrderedAt >= aRunner.mQuarantinedUntil &&
                       aRun.mOrderedAt >= aRunner.mOnTrialUntil;
  const bool isReportedAtOnce = aRunner.mAnsweredAgainAt != aNow;
  const bool isNearData =
    spec.mDataRack.Empty() || spec.mDataRack == aRunner.mInfo.mRack;
  if (!mSettings.mLearnRunTimes || spec.mLongRunning || spec.mBestEffort ||
      !isWholeRun || !isSound || !isReportedAtOnce || !isNearData) {
    return;
  }
  const auto change =
    mRunTimeModel.Learn(aSpec,
                        aRun.mTask.mStep,
                        duration_cast<milliseconds>(aNow - aRun.mOrderedAt),
                        aNow);
  if (change) {
    LogEvent(log_level::kInfo,
             "run_time.changed",
             { { "queue", aSpec.mQueue.Str() },
               { "step", static_cast<std::uint64_t>(aRun.mTask.mStep) },
               { "from_ratio", change->mFrom },
               { "to_ratio", change->mTo } });
  }
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
scheduler::MayQuarantine(const runner& aRunner, time_point aNow) const
{
  const service_name& service = aRunner.mInfo.mService;
  std::size_t poolSize = 0;
  std::size_t quarantined = 0;
  for (const auto& [runnerName, each] : mRunners) {
    if (each.mInfo.mService == service && each.mListed) {
      ++poolSize;
      quarantined += aNow < each.mQuarantinedUntil ? 1 : 0;
    }
  }
  const std::size_t runnersPerFaultyOne =
    mServicesWithoutFreeCapacity.count(service) > 0
      ? kRunnersPerQuarantinedOneWhenFull
      : kRunnersPerQuarantinedOne;
  return quarantined < poolSize / runnersPerFaultyOne;
}

// Draws the conclusions from the ends of runs on the runner. Only a failure
// begins a quarantine.
void
scheduler::JudgeRunner(runner& aRunner, bool aHasFailed, time_point aNow)
{
  const runner_verdict verdict =
    mFaultyRunners.Judge(aRunner.mInfo.mService, aRunner.mInfo.mName, aNow);
  const bool isQuarantined = aNow < aRunner.mQuarantinedUntil;
  aRunner.mSuspectUntil =
    verdict == runner_verdict::kSound
      ? time_point{}
      : std::max(aNow + kSuspectTime, aRunner.mOnTrialUntil);
  if (verdict == runner_verdict::kSound && isQuarantined) {
    aRunner.mQuarantinedUntil = aNow;
    aRunner.mOnTrialUntil = aNow;
    LogEvent(log_level::kInfo,
             "runner.quarantine_lifted",
             { { "runner", aRunner.mInfo.mName.Str() } });
  }
  if (!aHasFailed || verdict != runner_verdict::kFaulty || isQuarantined ||
      !MayQuarantine(aRunner, aNow)) {
    return;
  }
  ++mPauseCounts.mFaulty;
  aRunner.mQuarantinedUntil = aNow + mSettings.mQuarantineTime;
  aRunner.mOnTrialSince = aRunner.mQuarantinedUntil;
  aRunner.mOnTrialUntil = aRunner.mQuarantinedUntil + kMaxTrialTime;
  aRunner.mSuspectUntil = aRunner.mOnTrialUntil;
  LogEvent(
    log_level::kInfo,
    "runner.shunned",
    { { "runner", aRunner.mInfo.mName.Str() },
      { "for_ms",
        static_cast<std::int64_t>(mSettings.mQuarantineTime.count()) } });
}

// Gives the runner one run at a time for a while, or until one succeeds, if
// runs of two jobs have failed there and none has succeeded since the first:
// much less than a quarantine asks for, but it costs a sound runner little.
void
scheduler::LimitToOneRun(runner& aRunner, const job_name& aJob, time_point aNow)
{
  const bool isFirst = aRunner.mFailedJob.Empty();
  const bool isSecond = !isFirst && aRunner.mFailedJob != aJob;
  if (isFirst) {
    aRunner.mFailedSince = aNow;
  }
  aRunner.mFailedJob = aJob;
  aRunner.mNextTrialAt = aNow + kPauseOnTrial;
  if (!isSecond || aNow < aRunner.mOnTrialUntil) {
    return;
  }
  aRunner.mOnTrialSince = aNow;
  aRunner.mOnTrialUntil = aNow + kLimitedTime;
  LogEvent(log_level::kInfo,
           "runner.limited",
           { { "runner", aRunner.mInfo.mName.Str() },
             { "for_ms", static_cast<std::int64_t>(kLimitedTime.count()) } });
}

// Holds a failed run against its runner, unless the task has failed on another
// one before: then neither runner is to blame.
void
scheduler::OnRunFailed(runner& aRunner,
                       const job& aJob,
                       const task_id& aTask,
                       time_point aNow)
{
  const step& ofTask =
    aJob.mOccurrences.at(aTask.mOccurrence).mSteps[aTask.mStep];
  const auto& failedOn = ofTask.mTasks[aTask.mIndex].mFailedOn;
  const runner_name failedBefore =
    failedOn.empty() ? runner_name() : failedOn.back();
  aRunner.mFailedLatelyUntil = aNow + kSuspectTime;
  if (failedBefore.Empty() || failedBefore == aRunner.mInfo.mName) {
    LimitToOneRun(aRunner, aJob.mName, aNow);
    mFaultyRunners.Add(
      aRunner.mInfo.mService,
      { aNow, aRunner.mInfo.mName, aJob.mName, true, ofTask.mDoneCount > 0 });
    JudgeRunner(aRunner, /*aHasFailed=*/true, aNow);
    return;
  }
  mFaultyRunners.Withdraw(failedBefore, aJob.mName);
  const auto acquitted = mRunners.find(failedBefore);
  if (acquitted != mRunners.end()) {
    JudgeRunner(acquitted->second, /*aHasFailed=*/false, aNow);
  }
}

void
scheduler::OnRunSucceeded(runner& aRunner,
                          const job_name& aJob,
                          time_point aOrderedAt,
                          time_point aNow)
{
  mFaultyRunners.Add(aRunner.mInfo.mService,
                     { aNow, aRunner.mInfo.mName, aJob, false, false });
  aRunner.mSucceededAt = aNow;
  // A run that had begun before says nothing of the runner since.
  if (aOrderedAt >= aRunner.mFailedSince) {
    aRunner.mFailedJob = job_name();
  }
  if (aNow >= aRunner.mQuarantinedUntil &&
      aOrderedAt >= aRunner.mOnTrialSince) {
    aRunner.mOnTrialUntil = std::min(aRunner.mOnTrialUntil, aNow);
  }
  if (aNow < aRunner.mSuspectUntil) {
    JudgeRunner(aRunner, /*aHasFailed=*/false, aNow);
  }
}

} // namespace mangospan::jobs
