// Applies the runners' answers to start, stop, throttle and poll orders.
#include <algorithm>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

#include "mangospan/base/log.h"
#include "mangospan/jobs/scheduler.h"
#include "mangospan/jobs/throttling.h"

namespace mangospan::jobs {

namespace {

using std::chrono::milliseconds;

// A runner that refused a start order, or to which it was not delivered, gets
// no further start for this long. A runner that has rebooted is polled after
// this.
constexpr milliseconds kRunnerRetryDelay{ 300 };
// A runner is unresponsive after this many polls in a row without an answer.
// Fewer lost answers neither give up its lease nor show in the stored roster.
constexpr int kLostAnswersToBeUnresponsive = 8;
// The latency and CPU usage that a runner reports cover half a second, so the
// CPU limit of its best-effort tasks is updated at this interval.
constexpr milliseconds kThrottleInterval{ 500 };

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
  if (aOutcome != order_outcome::kUnknown) {
    targetRunner.mAnswerRecord.OnAnswered();
  }
  if (foundRun == nullptr) {
    return;
  }
  if (aOutcome != order_outcome::kUnknown) {
    foundRun->mUnansweredStarts = std::max(0, foundRun->mUnansweredStarts - 1);
  }
  if (aOutcome == order_outcome::kDone) {
    OnStartConfirmed(aOrder, *foundRun, aNow);
    return;
  }
  if (!IsStarting(*foundRun)) {
    return; // another order has started the run
  }
  if (foundRun->mUnansweredStarts > 0) {
    // The next polls show whether the run began.
    if (foundRun->mPhase == run_phase::kOrdered) {
      foundRun->mPhase = run_phase::kUnknown;
      foundRun->mPhaseSince = aNow;
    }
    return;
  }
  ReleaseRun(targetRunner, key, aNow);
  targetRunner.mRefusesUntil =
    std::max(targetRunner.mRefusesUntil, aNow + kRunnerRetryDelay);
  ++mPauseCounts.mRefused;
}

// Notes that the runner has answered a start order of the run as done.
void
scheduler::OnStartConfirmed(const start_order& aOrder,
                            run& aRun,
                            time_point aNow)
{
  if (aOrder.mAttempt == 1) {
    mStartAnswerTimes.Add(aNow - aRun.mOrderedAt);
  }
  if (IsStarting(aRun)) {
    // If the runner has started again, it may have answered before that, and
    // execute another order of the run now.
    const bool isUncertain =
      aRun.mIsOfEarlierBoot && aRun.mUnansweredStarts > 0;
    aRun.mPhase = isUncertain ? run_phase::kUnknown : run_phase::kStarted;
    aRun.mPhaseSince = aNow;
  }
  job* const foundJob = FindMutable(aOrder.mTask.mJob);
  if (foundJob != nullptr && foundJob->mState == job_state::kQueued) {
    foundJob->mState = job_state::kRunning;
  }
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
  if (aSentAt < polledRunner.mBootKnownAt) {
    LogEvent(
      log_level::kInfo,
      "runner.late_answer",
      { { "runner", aOrder.mRunner.Str() }, { "outcome", Name(aOutcome) } });
    mFenced = mFenced || aOutcome == order_outcome::kFenced;
    return;
  }
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
    OnAddressTaken(polledRunner, aNow);
  } else if (hasNewBoot) {
    runner_info info = polledRunner.mInfo;
    info.mBoot = aReport->mBoot;
    OnBootChanged(polledRunner, std::move(info), aNow);
    polledRunner.mNextPollAt = aNow + kRunnerRetryDelay;
  } else if (aReport == nullptr) {
    OnPollFailed(polledRunner, aOutcome, aNow);
  } else {
    OnPollAnswered(polledRunner, aOrder, aNow);
    polledRunner.OnClock(aReport->mClock, aNow);
    ApplyReport(polledRunner, *aReport, aSentAt, aNow, aWall);
  }
}

// Removes and returns the runs of a runner that has started again which may
// belong to its new boot. The runs that the previous boot has listed have ended
// with it. One that no report has listed yet may have begun in either boot, and
// an order that is not answered may still reach the new one, since an order
// names only the runner.
std::vector<run>
scheduler::TakeUnsettledRuns(runner& aRunner, time_point aNow)
{
  std::vector<run> taken;
  for (const auto& [key, each] : aRunner.Runs()) {
    if (each.mPhase != run_phase::kListed || each.mUnansweredStarts > 0) {
      taken.push_back(each);
    }
  }
  for (run& each : taken) {
    aRunner.Remove({ each.mTask.Text(), each.mNumber });
    if (task* const takenTask = FindTask(each.mTask)) {
      takenTask->mLostAt = aNow; // it may have ended with the previous boot
    }
    each.mIsOfEarlierBoot = true;
    each.mStopConfirmedAt = time_point{};
    if (each.mUnansweredStarts > 0 && each.mPhase != run_phase::kOrdered) {
      each.mPhase = run_phase::kUnknown;
    }
  }
  return taken;
}

// Handles a runner that has started again under its name. `aInfo` is that of
// the new boot.
void
scheduler::OnBootChanged(runner& aRunner, runner_info aInfo, time_point aNow)
{
  OnRunnerAtAddress(aRunner.mInfo.mAddress, aNow);
  OnRunnerCrashed(aRunner, aNow);
  mFaultyRunners.Forget(aRunner.mInfo.mName);
  std::vector<run> unsettled = TakeUnsettledRuns(aRunner, aNow);
  const bool isNewBoot = aInfo.mBoot != aRunner.mInfo.mBoot;
  ReleaseAllRuns(aRunner, loss_reason::kNewBoot, aNow);
  runner rebooted(std::move(aInfo));
  rebooted.mBootKnownAt = aNow;
  rebooted.mListed = aRunner.mListed;
  rebooted.mCordoned = aRunner.mCordoned;
  rebooted.mMayBeLiveInRoster = aRunner.mMayBeLiveInRoster;
  rebooted.SetDeadAt(aRunner.DeadAt());
  if (aRunner.mMayHoldInheritedRuns &&
      aNow < InheritedOrdersEnd() + LongestDuration(mSettings.mMaxLease)) {
    // The new boot takes orders of earlier owners until this one reaches it.
    rebooted.mMayHoldInheritedRuns = true;
    rebooted.ExtendLeaseByOtherClock(mSettings.mMaxLease, InheritedOrdersEnd());
  }
  if (aRunner.KnowsClock() || !unsettled.empty()) {
    // An order that was sent before the boot was known may have reached it.
    rebooted.ExtendLeaseByOtherClock(mSettings.mMaxLease,
                                     aNow + mSettings.mStartValidity);
    ++mRosterVersion; // a successor has to allow for them, too
  }
  if (isNewBoot) {
    LogEvent(log_level::kInfo,
             "runner.rebooted",
             { { "runner", aRunner.mInfo.mName.Str() },
               { "unsettled", static_cast<std::uint64_t>(unsettled.size()) },
               { "lease_left_ms", CountMilliseconds(rebooted.LeaseLeft(aNow)) },
               { "inherited", aRunner.mMayHoldInheritedRuns } });
  }
  for (run& each : unsettled) {
    rebooted.Add(std::move(each));
  }
  aRunner = std::move(rebooted);
}

// Handles a runner at whose address another one answers, which takes no order
// for this one. All runs on this one have ended.
void
scheduler::OnAddressTaken(runner& aRunner, time_point aNow)
{
  OnRunnerCrashed(aRunner, aNow);
  ReleaseAllRuns(aRunner, loss_reason::kAddressTaken, aNow);
  aRunner.mMayHoldInheritedRuns = false;
  OnBootChanged(aRunner, aRunner.mInfo, aNow);
  aRunner.SetDeadAt(aNow);
  aRunner.mNextPollAt = aNow + kRunnerRetryDelay;
}

void
scheduler::OnPollFailed(runner& aRunner,
                        order_outcome aOutcome,
                        time_point aNow)
{
  if (aOutcome == order_outcome::kUnknown) {
    aRunner.mAnswerRecord.OnUnanswered(aNow);
  }
  if (aRunner.mFailedPolls++ == 0) {
    aRunner.mSilentSince = aNow;
  }
  if (aRunner.mIsUnresponsive) {
    return;
  }
  const bool isCertain = aOutcome != order_outcome::kUnknown;
  if (!isCertain && aRunner.mFailedPolls < kLostAnswersToBeUnresponsive) {
    aRunner.mNextPollAt = aNow;
    return;
  }
  aRunner.mIsUnresponsive = true;
  OnRunnerSilent(aRunner);
  // The next roster says by when the runs on this runner have ended.
  mRosterVersion += aRunner.mIsInRoster ? 1 : 0;
  LogEvent(
    log_level::kInfo,
    "runner.silent",
    { { "runner", aRunner.mInfo.mName.Str() },
      { "outcome", Name(aOutcome) },
      { "runs", static_cast<std::uint64_t>(aRunner.Runs().size()) },
      { "lease_left_ms", CountMilliseconds(aRunner.LeaseLeft(aNow)) },
      { "clock_age_ms",
        aRunner.KnowsClock() ? CountMilliseconds(aNow - aRunner.ClockReadAt())
                             : -1 } });
}

void
scheduler::OnPollAnswered(runner& aRunner,
                          const poll_order& aOrder,
                          time_point aNow)
{
  aRunner.mAnswerRecord.OnAnswered();
  if (aRunner.mFailedPolls > 0) {
    aRunner.mAnsweredAgainAt = aNow;
  }
  if (aRunner.mIsUnresponsive) {
    // The lease may be extended again once a roster that says so is stored.
    ++mRosterVersion;
    aRunner.mIsInRoster = false;
    LogEvent(log_level::kInfo,
             "runner.answers_again",
             { { "runner", aRunner.mInfo.mName.Str() } });
  }
  aRunner.mFailedPolls = 0;
  aRunner.mSilentSince = time_point{};
  aRunner.mIsUnresponsive = false;
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
  if (foundTask == nullptr || !foundTask->IsLiveRun(foundRun->mNumber)) {
    return;
  }
  CheckProbation(*foundJob, *foundTask, *foundRun, aNow);
  foundTask->mReady = aLive.mPercent >= 100 && !foundRun->mStopWanted;
  SaveCheckpoint(*foundJob, foundRun->mTask, aLive.mCheckpoint);
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
    adopted.mIsOfUnknownJob = true;
  } else {
    adopted = MakeRun(foundJob->mSpec.mSteps[aTask.mStep]);
    adopted.mCustomer = foundJob->mSpec.mCustomer;
    adopted.mStopWanted = !foundTask->IsIdle();
    if (!adopted.mStopWanted) {
      foundTask->SetLiveRun(aLive.mRun, aRunner.mInfo.mName);
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
  if (aReport.mEnded.size() >= kMaxReportedEnds) {
    return; // a run that is not listed may have ended, too
  }
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
