// What the answers of runners mean.
#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

#include "mangospan/base/log.h"
#include "mangospan/jobs/pacing.h"
#include "mangospan/jobs/scheduler.h"

namespace mangospan::jobs {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// After a start that was refused or not delivered, the runner gets no other for
// this long.
constexpr milliseconds kRefusalPause{ 300 };
// Failures of this many jobs on one runner within the window are the runner's.
constexpr std::size_t kFailuresToShun = 2;
constexpr milliseconds kFailureWindow{ 4'000 };
// The figures of a shared runner cover half a second.
constexpr milliseconds kShareInterval{ 500 };

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
    case run_end::kLapsed:
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
scheduler::OnStart(const start_order& aOrder,
                   order_outcome aOutcome,
                   time_point aNow)
{
  const auto at = mRunners.find(aOrder.mRunner);
  if (at == mRunners.end()) {
    return;
  }
  runner& where = at->second;
  where.mStartsInFlight = std::max(0, where.mStartsInFlight - 1);
  const run_key key{ aOrder.mTask.Text(), aOrder.mRun };
  run* const found = where.Find(key);
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
  if (found == nullptr) {
    return;
  }
  if (aOutcome == order_outcome::kDone) {
    if (found->mPhase == run_phase::kOrdered) {
      found->mPhase = run_phase::kStarted;
      found->mSince = aNow;
    }
    job* const owner = Mutable(aOrder.mTask.mJob);
    if (owner != nullptr && owner->mState == job_state::kQueued) {
      owner->mState = job_state::kRunning;
    }
    return;
  }
  if (aOutcome == order_outcome::kUnknown) {
    if (found->mPhase == run_phase::kOrdered) {
      found->mPhase = run_phase::kUnknown;
      found->mSince = aNow;
    }
    return; // the next looks settle it
  }
  Release(where, key, aNow);
  where.mShunUntil = std::max(where.mShunUntil, aNow + kRefusalPause);
}

void
scheduler::OnStop(const stop_order& aOrder,
                  order_outcome aOutcome,
                  time_point /*aNow*/)
{
  const auto at = mRunners.find(aOrder.mRunner);
  if (aOutcome == order_outcome::kFenced) {
    mFenced = true;
  }
  if (at == mRunners.end()) {
    return;
  }
  run* const found = at->second.Find({ aOrder.mTask.Text(), aOrder.mRun });
  if (found != nullptr) {
    found->mStopInFlight = false; // repeated until the end is listed
  }
}

void
scheduler::OnPace(const pace_order& aOrder, order_outcome aOutcome)
{
  const auto at = mRunners.find(aOrder.mRunner);
  if (aOutcome == order_outcome::kFenced) {
    mFenced = true;
  }
  if (at == mRunners.end()) {
    return;
  }
  run* const found = at->second.Find({ aOrder.mTask.Text(), aOrder.mRun });
  if (found == nullptr) {
    return;
  }
  found->mPaceInFlight = false;
  if (aOutcome == order_outcome::kDone) {
    found->mPace = aOrder.mPercent;
  }
}

void
scheduler::OnLook(const look_order& aOrder,
                  order_outcome aOutcome,
                  const look_report* aReport,
                  time_point aSentAt,
                  time_point aNow,
                  wall_time aWall)
{
  const auto at = mRunners.find(aOrder.mRunner);
  if (at == mRunners.end()) {
    return;
  }
  runner& where = at->second;
  where.mLookInFlight = false;
  where.mNextLook = std::max(where.mNextLook, aNow + LookSpacing());
  if (aOutcome == order_outcome::kFenced) {
    mFenced = true;
    return;
  }
  const bool isOtherBoot =
    aOutcome == order_outcome::kOtherBoot ||
    (aReport != nullptr && where.mInfo.mBoot != 0 && aReport->mBoot != 0 &&
     aReport->mBoot != where.mInfo.mBoot);
  if (isOtherBoot) {
    OnOtherBoot(where, aReport == nullptr ? 0 : aReport->mBoot, aNow);
  } else if (aReport == nullptr) {
    OnSilence(where, aOutcome);
  } else {
    OnAnswer(where, aOrder);
    where.OnClock(aReport->mClock, aNow);
    OnReport(where, *aReport, aSentAt, aNow, aWall);
  }
}

// All that the last boot ran has ended with it; the present one is unknown.
void
scheduler::OnOtherBoot(runner& aRunner, std::int64_t aBoot, time_point aNow)
{
  ReleaseAll(aRunner, aNow);
  runner_info info = aRunner.mInfo;
  info.mBoot = aBoot == 0 ? info.mBoot : aBoot;
  runner fresh(std::move(info));
  fresh.mListed = aRunner.mListed;
  fresh.mClosed = aRunner.mClosed;
  fresh.mNextLook = aNow + kRefusalPause;
  aRunner = std::move(fresh);
}

void
scheduler::OnSilence(runner& aRunner, order_outcome aOutcome)
{
  if (aRunner.mFailedLooks++ > 0) {
    return;
  }
  mRosterVersion += aRunner.mIsInRoster ? 1 : 0; // tells when it is dead
  LogEvent(log_level::kInfo,
           "runner.silent",
           { { "runner", aRunner.mInfo.mName.Str() },
             { "outcome", Name(aOutcome) },
             { "runs", static_cast<std::uint64_t>(aRunner.Runs().size()) } });
}

void
scheduler::OnAnswer(runner& aRunner, const look_order& aOrder)
{
  if (aRunner.mFailedLooks > 0) {
    ++mRosterVersion; // its lease is extended again
    aRunner.mIsInRoster = false;
    LogEvent(log_level::kInfo,
             "runner.answers_again",
             { { "runner", aRunner.mInfo.mName.Str() } });
  }
  aRunner.mFailedLooks = 0;
  if (!aRunner.mContacted) {
    aRunner.mContacted = true;
    mRosterVersion += aRunner.mIsInRoster ? 0 : 1;
  }
  aRunner.mSentAck = std::max(aRunner.mSentAck, aOrder.mAcknowledged);
}

void
scheduler::OnReport(runner& aRunner,
                    const look_report& aReport,
                    time_point aSentAt,
                    time_point aNow,
                    wall_time aWall)
{
  if (aRunner.mInfo.mBoot == 0) {
    aRunner.mInfo.mBoot = aReport.mBoot;
  }
  for (const ended_run& each : aReport.mEnded) {
    if (each.mNumber > aRunner.mSeenEnds) {
      OnEnd(aRunner, each, aNow, aWall);
    }
  }
  for (const live_run& each : aReport.mLive) {
    OnLive(aRunner, each, aNow);
  }
  SettleUnlisted(aRunner, aReport, aSentAt, aNow);
  if (IsShared(aRunner) && aNow - aRunner.mShareChanged >= kShareInterval) {
    aRunner.mShareChanged = aNow;
    aRunner.mFillerShare = NextFillerShare(aRunner);
  }
}

void
scheduler::OnEnd(runner& aRunner,
                 const ended_run& aEnd,
                 time_point aNow,
                 wall_time aWall)
{
  aRunner.mSeenEnds = aEnd.mNumber;
  Release(aRunner, { aEnd.mTask, aEnd.mRun }, aNow);
  const auto id = ParseTaskId(aEnd.mTask);
  job* const owner = id ? Mutable(id->mJob) : nullptr;
  if (owner != nullptr && owner->Find(*id) != nullptr &&
      !IsFinal(owner->mState)) {
    if (aEnd.mEnd == run_end::kFailed) {
      NoteFailure(aRunner, id->mJob, aNow);
      owner->Find(*id)->mFailedOn = aRunner.mInfo.mName;
    }
    if (aEnd.mEnd != run_end::kDone) {
      LogEvent(log_level::kInfo,
               "task.ended",
               { { "task", aEnd.mTask },
                 { "run", static_cast<std::uint64_t>(aEnd.mRun) },
                 { "runner", aRunner.mInfo.mName.Str() },
                 { "end", Name(aEnd.mEnd) } });
    }
    ApplyEnd(*owner, *id, aEnd, aNow, aWall);
  }
  aRunner.mUnstored.push_back({ aEnd.mNumber,
                                id ? id->mJob : job_name(),
                                owner == nullptr ? 0 : owner->mVersion });
  Acknowledge(aRunner);
}

void
scheduler::ApplyEnd(job& aJob,
                    const task_id& aTask,
                    const ended_run& aEnd,
                    time_point aNow,
                    wall_time aWall)
{
  task& one = *aJob.Find(aTask);
  const step_spec& spec = aJob.mSpec.mSteps[aTask.mStep];
  one.mLastRun = std::max(one.mLastRun, aEnd.mRun);
  if (!aEnd.mCheckpoint.empty()) {
    one.mCheckpoint = aEnd.mCheckpoint;
  }
  if (spec.mLasting) {
    return; // started again however it ends
  }
  if (aEnd.mEnd == run_end::kFailed) {
    auto& failed = one.mFailedRuns;
    if (std::find(failed.begin(), failed.end(), aEnd.mRun) == failed.end()) {
      failed.push_back(aEnd.mRun);
      OnFailure(aJob, aTask, aWall);
    }
    return;
  }
  if (aEnd.mEnd != run_end::kDone) {
    return;
  }
  step& whole = aJob.mOccurrences[aTask.mOccurrence].mSteps[aTask.mStep];
  const auto finish = [&whole](task& aEach) {
    if (!aEach.mDone) {
      aEach.mDone = true;
      ++whole.mDone;
    }
  };
  if (spec.mGang) {
    std::for_each(whole.mTasks.begin(), whole.mTasks.end(), finish);
  } else {
    finish(one);
  }
  Touch(aJob);
  if (aJob.AllDone()) {
    const auto age = duration_cast<milliseconds>(aNow - aJob.mAccepted);
    LogEvent(log_level::kInfo,
             "job.completed",
             { { "job", aJob.mName.Str() },
               { "age_ms", static_cast<std::int64_t>(age.count()) },
               { "on_time", aNow <= aJob.mDueBy } });
    Finish(aJob, job_state::kCompleted, aWall);
  }
}

void
scheduler::OnFailure(job& aJob, const task_id& aTask, wall_time aWall)
{
  const std::size_t failures = aJob.Find(aTask)->mFailedRuns.size();
  Touch(aJob);
  const queue_policy* const queue = mCatalog.FindQueue(aJob.mSpec.mQueue);
  if (queue != nullptr && failures >= queue->mMaxAttempts) {
    LogEvent(log_level::kInfo,
             "job.failed",
             { { "job", aJob.mName.Str() },
               { "task", aTask.Text() },
               { "attempts", static_cast<std::uint64_t>(failures) } });
    Finish(aJob, job_state::kFailed, aWall);
  }
}

// A task that fails on many runners is at fault itself; a runner on which tasks
// of several jobs fail is.
void
scheduler::NoteFailure(runner& aRunner, const job_name& aJob, time_point aNow)
{
  auto& failures = mFailuresOfRunner[aRunner.mInfo.mName];
  for (auto it = failures.begin(); it != failures.end();) {
    it = aNow - it->second > kFailureWindow ? failures.erase(it) : ++it;
  }
  failures[aJob] = aNow;
  if (failures.size() < kFailuresToShun) {
    return;
  }
  failures.clear();
  aRunner.mShunUntil = aNow + mSettings.mShunTime;
  LogEvent(
    log_level::kInfo,
    "runner.shunned",
    { { "runner", aRunner.mInfo.mName.Str() },
      { "for_ms", static_cast<std::int64_t>(mSettings.mShunTime.count()) } });
}

void
scheduler::OnLive(runner& aRunner, const live_run& aLive, time_point aNow)
{
  run* found = aRunner.Find({ aLive.mTask, aLive.mRun });
  if (found == nullptr) {
    const auto id = ParseTaskId(aLive.mTask);
    if (!id) {
      return;
    }
    Adopt(aRunner, *id, aLive, aNow);
    found = aRunner.Find({ aLive.mTask, aLive.mRun });
  }
  if (found->mPhase != run_phase::kListed) {
    found->mPhase = run_phase::kListed;
    found->mSince = aNow;
    found->mProgressAt = aNow;
  }
  if (found->mPercent != aLive.mPercent) {
    found->mPercent = aLive.mPercent;
    found->mProgressAt = aNow;
  }
  found->mFigure = aLive.mFigure;
  job* const owner = Mutable(found->mTask.mJob);
  task* const one = owner == nullptr ? nullptr : owner->Find(found->mTask);
  if (one == nullptr || one->mLastRun != found->mNumber) {
    return;
  }
  one->mAtWork = aLive.mPercent >= 100 && !found->mStopWanted;
  if (!aLive.mCheckpoint.empty()) {
    one->mCheckpoint = aLive.mCheckpoint;
  }
  if (owner->mState == job_state::kQueued) {
    owner->mState = job_state::kRunning;
  }
}

// A run that this owner did not start: an earlier owner's, or one whose start
// was carried out late. It is kept if its task needs a run, else stopped.
void
scheduler::Adopt(runner& aRunner,
                 const task_id& aTask,
                 const live_run& aLive,
                 time_point aNow)
{
  run made;
  job* const owner = Mutable(aTask.mJob);
  task* const one =
    owner == nullptr || IsFinal(owner->mState) ? nullptr : owner->Find(aTask);
  if (one == nullptr) {
    made.mStopWanted = true;
    // Nothing is known of its size: the runner counts as full until it ends.
    made.mClaim = aRunner.mInfo.mCapacity;
  } else {
    made = RunOf(owner->mSpec.mSteps[aTask.mStep]);
    made.mStopWanted = !one->IsIdle();
    if (!made.mStopWanted) {
      one->mLive = true;
      one->mLastRun = std::max(one->mLastRun, aLive.mRun);
      one->mRunner = aRunner.mInfo.mName;
    }
    mRunnersOfJob[aTask.mJob].insert(aRunner.mInfo.mName);
  }
  made.mTask = aTask;
  made.mNumber = aLive.mRun;
  made.mPhase = run_phase::kListed;
  made.mSince = aNow;
  made.mProgressAt = aNow;
  LogEvent(log_level::kInfo,
           made.mStopWanted ? "task.surplus" : "task.adopted",
           { { "task", aLive.mTask },
             { "run", static_cast<std::uint64_t>(aLive.mRun) },
             { "runner", aRunner.mInfo.mName.Str() } });
  aRunner.Add(std::move(made));
}

// Runs that the report should list but does not: a start without an answer
// whose expiry has passed never began, and one that was answered has vanished.
void
scheduler::SettleUnlisted(runner& aRunner,
                          const look_report& aReport,
                          time_point aSentAt,
                          time_point aNow)
{
  std::set<std::pair<std::string_view, std::uint32_t>> listed;
  for (const live_run& each : aReport.mLive) {
    listed.emplace(each.mTask, each.mRun);
  }
  std::vector<run_key> settled;
  for (const auto& [key, each] : aRunner.Runs()) {
    const bool neverBegan =
      each.mPhase == run_phase::kUnknown && aReport.mClock > each.mExpiry;
    const bool hasVanished = (each.mPhase == run_phase::kStarted ||
                              each.mPhase == run_phase::kListed) &&
                             each.mSince < aSentAt;
    const bool isInDoubt = neverBegan || hasVanished;
    if (isInDoubt && listed.count({ key.first, key.second }) == 0) {
      settled.push_back(key);
    }
  }
  for (const run_key& each : settled) {
    LogEvent(log_level::kInfo,
             "task.settled",
             { { "task", each.first },
               { "run", static_cast<std::uint64_t>(each.second) },
               { "runner", aRunner.mInfo.mName.Str() } });
    Release(aRunner, each, aNow);
  }
}

} // namespace mangospan::jobs
