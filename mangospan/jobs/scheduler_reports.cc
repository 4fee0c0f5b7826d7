// Applies the runners' answers to start, stop, throttle and poll orders.
#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

#include "mangospan/base/log.h"
#include "mangospan/jobs/scheduler.h"
#include "mangospan/jobs/throttling.h"

namespace mangospan::jobs {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// A runner that refused a start order, or to which it was not delivered, gets
// no further start for this long. A runner that has rebooted is polled after
// this.
constexpr milliseconds kRunnerRetryDelay{ 300 };
// If tasks of this many jobs fail on one runner within `kFailureWindow`, the
// runner is taken to be faulty.
constexpr std::size_t kFailedJobsToQuarantine = 2;
constexpr milliseconds kFailureWindow{ 4'000 };
// The latency and CPU usage that a runner reports cover half a second, so the
// CPU limit of its best-effort tasks is updated at this interval.
constexpr milliseconds kThrottleInterval{ 500 };

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

// Returns whether a run that the report does not list is gone, if it had
// started, or never begins, if its start order got no answer.
bool
IsOver(const run& aRun, const poll_report& aReport, time_point aSentAt)
{
  switch (aRun.mPhase) {
    case run_phase::kOrdered:
      return false;
    case run_phase::kUnknown:
      // A runner refuses a start order that has expired by its clock, and a run
      // that it was told to stop. Its clock begins anew with each boot.
      return aRun.mIsOfEarlierBoot ? aRun.mStopConfirmedAt != time_point{} &&
                                       aRun.mStopConfirmedAt < aSentAt
                                   : aReport.mClock > aRun.mExpiry;
    case run_phase::kStarted:
    case run_phase::kListed:
      return aRun.mPhaseSince < aSentAt;
  }
  return false;
}

} // namespace

void
scheduler::OnStart(const start_order& aOrder,
                   order_outcome aOutcome,
                   time_point aNow)
{
  const auto found = mRunners.find(aOrder.mRunner);
  if (found == mRunners.end()) {
    return;
  }
  runner& targetRunner = found->second;
  targetRunner.mStartsInFlight = std::max(0, targetRunner.mStartsInFlight - 1);
  const run_key key{ aOrder.mTask.Text(), aOrder.mRun };
  run* const foundRun = targetRunner.Find(key);
  if (aOutcome != order_outcome::kDone) {
    LogEvent(log_level::kInfo,
             "task.start_failed",
             { { "task", key.first },
               { "run", static_cast<std::uint64_t>(key.second) },
               { "runner", aOrder.mRunner.Str() },
               { "outcome", Name(aOutcome) } });
  }
  if (aOutcome == order_outcome::kFenced) {
    mFenced = true;
    return;
  }
  if (foundRun == nullptr) {
    return;
  }
  if (aOutcome == order_outcome::kDone) {
    if (foundRun->mPhase == run_phase::kOrdered) {
      foundRun->mPhase = run_phase::kStarted;
      foundRun->mPhaseSince = aNow;
    }
    job* const foundJob = FindMutable(aOrder.mTask.mJob);
    if (foundJob != nullptr && foundJob->mState == job_state::kQueued) {
      foundJob->mState = job_state::kRunning;
    }
    return;
  }
  if (aOutcome == order_outcome::kUnknown) {
    if (foundRun->mPhase == run_phase::kOrdered) {
      foundRun->mPhase = run_phase::kUnknown;
      foundRun->mPhaseSince = aNow;
    }
    return; // the next polls show whether the run began
  }
  ReleaseRun(targetRunner, key, aNow);
  targetRunner.mQuarantinedUntil =
    std::max(targetRunner.mQuarantinedUntil, aNow + kRunnerRetryDelay);
}

void
scheduler::OnStop(const stop_order& aOrder,
                  order_outcome aOutcome,
                  time_point aNow)
{
  const auto found = mRunners.find(aOrder.mRunner);
  if (aOutcome == order_outcome::kFenced) {
    mFenced = true;
  }
  if (found == mRunners.end()) {
    return;
  }
  run* const foundRun =
    found->second.Find({ aOrder.mTask.Text(), aOrder.mRun });
  if (foundRun != nullptr) {
    // The order is repeated until the runner reports the end of the run.
    foundRun->mStopInFlight = false;
    if (aOutcome == order_outcome::kDone) {
      foundRun->mStopConfirmedAt = aNow;
    }
  }
}

void
scheduler::OnThrottle(const throttle_order& aOrder, order_outcome aOutcome)
{
  const auto found = mRunners.find(aOrder.mRunner);
  if (aOutcome == order_outcome::kFenced) {
    mFenced = true;
  }
  if (found == mRunners.end()) {
    return;
  }
  run* const foundRun =
    found->second.Find({ aOrder.mTask.Text(), aOrder.mRun });
  if (foundRun == nullptr) {
    return;
  }
  foundRun->mThrottleInFlight = false;
  if (aOutcome == order_outcome::kDone) {
    foundRun->mCpuLimitPercent = aOrder.mCpuLimitPercent;
  }
}

void
scheduler::OnPoll(const poll_order& aOrder,
                  order_outcome aOutcome,
                  const poll_report* aReport,
                  time_point aSentAt,
                  time_point aNow,
                  wall_time aWall)
{
  const auto found = mRunners.find(aOrder.mRunner);
  if (found == mRunners.end()) {
    return;
  }
  runner& polledRunner = found->second;
  polledRunner.mPollInFlight = false;
  polledRunner.mNextPollAt =
    std::max(polledRunner.mNextPollAt, aNow + PollInterval());
  if (aOutcome == order_outcome::kFenced) {
    mFenced = true;
    return;
  }
  const bool hasNewBoot = aReport != nullptr && polledRunner.mInfo.mBoot != 0 &&
                          aReport->mBoot != 0 &&
                          aReport->mBoot != polledRunner.mInfo.mBoot;
  if (aOutcome == order_outcome::kOtherBoot) {
    // Another runner answers at the address, which takes no order for this one.
    ReleaseAllRuns(polledRunner, aNow);
    OnBootChanged(polledRunner, polledRunner.mInfo, aNow);
    polledRunner.mNextPollAt = aNow + kRunnerRetryDelay;
  } else if (hasNewBoot) {
    runner_info info = polledRunner.mInfo;
    info.mBoot = aReport->mBoot;
    OnBootChanged(polledRunner, std::move(info), aNow);
    polledRunner.mNextPollAt = aNow + kRunnerRetryDelay;
  } else if (aReport == nullptr) {
    OnPollFailed(polledRunner, aOutcome);
  } else {
    OnPollAnswered(polledRunner, aOrder);
    polledRunner.OnClock(aReport->mClock, aNow);
    ApplyReport(polledRunner, *aReport, aSentAt, aNow, aWall);
  }
}

// Handles a runner that has started again under its name. The runs that the
// previous boot has listed have ended with it. A run that no report has listed
// yet may have begun in either boot, or its order may still reach the new one,
// since an order names only the runner. It is kept until that is certain.
void
scheduler::OnBootChanged(runner& aRunner, runner_info aInfo, time_point aNow)
{
  std::vector<run> kept;
  for (const auto& [key, each] : aRunner.Runs()) {
    if (each.mPhase != run_phase::kListed) {
      kept.push_back(each);
    }
  }
  if (aInfo.mBoot != aRunner.mInfo.mBoot) {
    LogEvent(log_level::kInfo,
             "runner.rebooted",
             { { "runner", aInfo.mName.Str() },
               { "unsettled", static_cast<std::uint64_t>(kept.size()) } });
  }
  runner rebooted(std::move(aInfo));
  rebooted.mListed = aRunner.mListed;
  rebooted.mCordoned = aRunner.mCordoned;
  rebooted.mStartsInFlight = aRunner.mStartsInFlight;
  if (aRunner.mMayHoldInheritedRuns && aNow < InheritedLeasesEnd()) {
    // The new boot takes orders of earlier owners until this one reaches it.
    rebooted.mMayHoldInheritedRuns = true;
    rebooted.SetDeadAt(aRunner.DeadAt());
  }
  if (!kept.empty()) {
    rebooted.SetDeadAt(aNow + mSettings.mMaxLease);
  }
  for (run& each : kept) {
    aRunner.Remove({ each.mTask.Text(), each.mNumber });
    if (task* const keptTask = FindTask(each.mTask)) {
      keptTask->mLostAt = aNow; // it may have ended with the previous boot
    }
    each.mIsOfEarlierBoot = true;
    each.mStopConfirmedAt = time_point{};
    rebooted.Add(std::move(each));
  }
  ReleaseAllRuns(aRunner, aNow);
  aRunner = std::move(rebooted);
}

void
scheduler::OnPollFailed(runner& aRunner, order_outcome aOutcome)
{
  if (aRunner.mFailedPolls++ > 0) {
    return;
  }
  // The next roster says by when the runs on this runner have ended.
  mRosterVersion += aRunner.mIsInRoster ? 1 : 0;
  LogEvent(log_level::kInfo,
           "runner.silent",
           { { "runner", aRunner.mInfo.mName.Str() },
             { "outcome", Name(aOutcome) },
             { "runs", static_cast<std::uint64_t>(aRunner.Runs().size()) } });
}

void
scheduler::OnPollAnswered(runner& aRunner, const poll_order& aOrder)
{
  if (aRunner.mFailedPolls > 0) {
    // The lease may be extended again once a roster that says so is stored.
    ++mRosterVersion;
    aRunner.mIsInRoster = false;
    LogEvent(log_level::kInfo,
             "runner.answers_again",
             { { "runner", aRunner.mInfo.mName.Str() } });
  }
  aRunner.mFailedPolls = 0;
  if (!aRunner.mContacted) {
    aRunner.mContacted = true;
    mRosterVersion += aRunner.mIsInRoster ? 0 : 1;
  }
  aRunner.mHighestAckedEnd =
    std::max(aRunner.mHighestAckedEnd, aOrder.mAcknowledged);
}

void
scheduler::ApplyReport(runner& aRunner,
                       const poll_report& aReport,
                       time_point aSentAt,
                       time_point aNow,
                       wall_time aWall)
{
  if (aRunner.mInfo.mBoot == 0) {
    aRunner.mInfo.mBoot = aReport.mBoot;
  }
  for (const ended_run& each : aReport.mEnded) {
    if (each.mNumber <= aRunner.mHighestAckedEnd) {
      // The runner lists it again: what was acknowledged were ends of an
      // earlier boot.
      aRunner.mHighestAckedEnd = each.mNumber - 1;
    }
    if (each.mNumber > aRunner.mHighestSeenEnd) {
      OnRunEnded(aRunner, each, aNow, aWall);
    }
  }
  for (const live_run& each : aReport.mLive) {
    OnLiveRun(aRunner, each, aNow);
  }
  ResolveUnlistedRuns(aRunner, aReport, aSentAt, aNow);
  if (HasMixedTasks(aRunner) &&
      aNow - aRunner.mCpuLimitComputedAt >= kThrottleInterval) {
    aRunner.mCpuLimitComputedAt = aNow;
    aRunner.mBestEffortCpuLimitPercent = NextBestEffortCpuLimit(aRunner);
  }
}

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
  endedTask.mLastRun = std::max(endedTask.mLastRun, aEnd.mRun);
  if (!aEnd.mCheckpoint.empty()) {
    endedTask.mCheckpoint = aEnd.mCheckpoint;
  }
  if (spec.mLongRunning) {
    return; // a long-running task is restarted however its run ends
  }
  if (aEnd.mEnd == run_end::kFailed) {
    auto& failedRuns = endedTask.mFailedRuns;
    if (std::find(failedRuns.begin(), failedRuns.end(), aEnd.mRun) ==
        failedRuns.end()) {
      failedRuns.push_back(aEnd.mRun);
      OnTaskFailed(aJob, aTask, aWall);
    }
    return;
  }
  if (aEnd.mEnd != run_end::kDone) {
    return;
  }
  step& endedStep = aJob.mOccurrences[aTask.mOccurrence].mSteps[aTask.mStep];
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
  if (aJob.AllDone()) {
    const auto age = duration_cast<milliseconds>(aNow - aJob.mAcceptedAt);
    LogEvent(log_level::kInfo,
             "job.completed",
             { { "job", aJob.mName.Str() },
               { "age_ms", static_cast<std::int64_t>(age.count()) },
               { "on_time", aNow <= aJob.mObjectiveDeadline } });
    FinishJob(aJob, job_state::kCompleted, aWall);
  }
}

void
scheduler::OnTaskFailed(job& aJob, const task_id& aTask, wall_time aWall)
{
  const std::size_t failures = aJob.Find(aTask)->mFailedRuns.size();
  MarkChanged(aJob);
  const queue_policy* const queue = mCatalog.FindQueue(aJob.mSpec.mQueue);
  if (queue != nullptr && failures >= queue->mMaxAttempts) {
    LogEvent(log_level::kInfo,
             "job.failed",
             { { "job", aJob.mName.Str() },
               { "task", aTask.Text() },
               { "attempts", static_cast<std::uint64_t>(failures) } });
    FinishJob(aJob, job_state::kFailed, aWall);
  }
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
  if (failures.size() < kFailedJobsToQuarantine) {
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

void
scheduler::OnLiveRun(runner& aRunner, const live_run& aLive, time_point aNow)
{
  run* foundRun = aRunner.Find({ aLive.mTask, aLive.mRun });
  if (foundRun == nullptr) {
    const auto id = ParseTaskId(aLive.mTask);
    if (!id) {
      return;
    }
    AdoptRun(aRunner, *id, aLive, aNow);
    foundRun = aRunner.Find({ aLive.mTask, aLive.mRun });
  }
  if (foundRun->mPhase != run_phase::kListed) {
    foundRun->mPhase = run_phase::kListed;
    foundRun->mPhaseSince = aNow;
    foundRun->mProgressAt = aNow;
  }
  if (foundRun->mPercent != aLive.mPercent) {
    foundRun->mPercent = aLive.mPercent;
    foundRun->mProgressAt = aNow;
  }
  foundRun->mMetric = aLive.mMetric;
  job* const foundJob = FindMutable(foundRun->mTask.mJob);
  task* const foundTask =
    foundJob == nullptr ? nullptr : foundJob->Find(foundRun->mTask);
  if (foundTask == nullptr || foundTask->mLastRun != foundRun->mNumber) {
    return;
  }
  foundTask->mReady = aLive.mPercent >= 100 && !foundRun->mStopWanted;
  if (!aLive.mCheckpoint.empty()) {
    foundTask->mCheckpoint = aLive.mCheckpoint;
  }
  if (foundJob->mState == job_state::kQueued) {
    foundJob->mState = job_state::kRunning;
  }
}

// Adds a live run that this owner does not know: an earlier owner started it,
// or its start order was executed late. The run is kept if its task needs one,
// and stopped otherwise.
void
scheduler::AdoptRun(runner& aRunner,
                    const task_id& aTask,
                    const live_run& aLive,
                    time_point aNow)
{
  run adopted;
  job* const foundJob = FindMutable(aTask.mJob);
  task* const foundTask = foundJob == nullptr || IsFinal(foundJob->mState)
                            ? nullptr
                            : foundJob->Find(aTask);
  if (foundTask == nullptr) {
    adopted.mStopWanted = true;
    // The size of the run is unknown, so the runner counts as full until the
    // run ends.
    adopted.mReservation = aRunner.mInfo.mCapacity;
  } else {
    adopted = MakeRun(foundJob->mSpec.mSteps[aTask.mStep]);
    adopted.mStopWanted = !foundTask->IsIdle();
    if (!adopted.mStopWanted) {
      foundTask->mLive = true;
      foundTask->mLastRun = std::max(foundTask->mLastRun, aLive.mRun);
      foundTask->mRunner = aRunner.mInfo.mName;
    }
    mRunnersByJob[aTask.mJob].insert(aRunner.mInfo.mName);
  }
  adopted.mTask = aTask;
  adopted.mNumber = aLive.mRun;
  adopted.mPhase = run_phase::kListed;
  adopted.mPhaseSince = aNow;
  adopted.mProgressAt = aNow;
  LogEvent(log_level::kInfo,
           adopted.mStopWanted ? "task.surplus" : "task.adopted",
           { { "task", aLive.mTask },
             { "run", static_cast<std::uint64_t>(aLive.mRun) },
             { "runner", aRunner.mInfo.mName.Str() } });
  aRunner.Add(std::move(adopted));
}

// Releases the runs that the report would list if they were live or could still
// begin.
void
scheduler::ResolveUnlistedRuns(runner& aRunner,
                               const poll_report& aReport,
                               time_point aSentAt,
                               time_point aNow)
{
  std::set<std::pair<std::string_view, std::uint32_t>> listed;
  for (const live_run& each : aReport.mLive) {
    listed.emplace(each.mTask, each.mRun);
  }
  std::vector<run_key> endedRuns;
  for (auto& [key, each] : aRunner.Runs()) {
    if (listed.count({ key.first, key.second }) > 0) {
      continue;
    }
    if (IsOver(each, aReport, aSentAt)) {
      endedRuns.push_back(key);
    } else if (each.mIsOfEarlierBoot && each.mPhase == run_phase::kUnknown) {
      each.mStopWanted = true;
    }
  }
  for (const run_key& each : endedRuns) {
    LogEvent(log_level::kInfo,
             "task.settled",
             { { "task", each.first },
               { "run", static_cast<std::uint64_t>(each.second) },
               { "runner", aRunner.mInfo.mName.Str() } });
    ReleaseRun(aRunner, each, aNow);
  }
}

} // namespace mangospan::jobs
