#include "mangospan/jobs/scheduler.h"

#include <algorithm>
#include <utility>

#include "mangospan/base/log.h"

namespace mangospan::jobs {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Run numbers of one term; no task is started this often within one.
constexpr std::uint32_t kRunsPerTerm = 1'000;
constexpr milliseconds kMaxRetryAfter{ 8'000 };
// Two hosts' times of day differ by less than this.
constexpr milliseconds kWallSlack{ 500 };

// The steps in one word each, for the log: "4x500" is four tasks of half a
// core, "5x1300L" five lasting ones.
std::string
Summary(const job_spec& aSpec)
{
  std::string text;
  for (const step_spec& each : aSpec.mSteps) {
    text += (text.empty() ? "" : ",") + std::to_string(each.mTasks) + "x" +
            std::to_string(each.mNeed.mCpu) + (each.mLasting ? "L" : "") +
            (each.mFiller ? "F" : "") + (each.mGang ? "G" : "");
  }
  return text;
}

} // namespace

scheduler::scheduler(scheduler_settings aSettings, ownership aOwnership)
  : mSettings(aSettings)
  , mOwnership(std::move(aOwnership))
  , mRunBase(static_cast<std::uint32_t>(
      (std::max<std::uint64_t>(mOwnership.mTerm, 1) - 1) * kRunsPerTerm))
{
}

void
scheduler::Load(std::vector<job> aJobs,
                const std::vector<roster_entry>& aRoster,
                time_point aNow,
                wall_time aWall)
{
  for (const roster_entry& each : aRoster) {
    const auto added = mRunners.emplace(each.mInfo.mName, runner(each.mInfo));
    runner& known = added.first->second;
    // One that is told to be dead by some time gets no longer lease before the
    // roster has been written without it.
    known.mIsInRoster = !each.mDeadBy;
    known.mMayHoldInherited = true;
    known.mListed = !added.second;
    time_point deadAt = LeasesOver();
    if (each.mDeadBy) {
      deadAt = std::min(deadAt, aNow + (*each.mDeadBy - aWall) + kWallSlack);
    }
    known.SetDeadAt(deadAt);
  }
  for (job& each : aJobs) {
    each.mInherited = true;
    // Restored against the wall clock; nothing but the order rests on it.
    each.mAccepted =
      aNow - std::max(aWall - each.mAcceptedAt, wall_time::duration(0));
    each.mStoredVersion = each.mVersion;
    each.mDueBy = each.mAccepted;
    if (!IsFinal(each.mState)) {
      mActive.insert(each.mName);
      const queue_policy* const queue = mCatalog.FindQueue(each.mSpec.mQueue);
      if (queue != nullptr) {
        each.mDueBy += queue->Objective(each.mSpec);
      }
    }
    const job_name jobName = each.mName;
    mJobs.insert_or_assign(jobName, std::move(each));
  }
}

void
scheduler::SetCatalog(catalog aCatalog)
{
  mCatalog = std::move(aCatalog);
}

void
scheduler::OnRunner(const runner_info& aInfo, time_point aNow)
{
  const auto found = mRunners.find(aInfo.mName);
  if (found == mRunners.end()) {
    LogEvent(log_level::kInfo,
             "runner.listed",
             { { "runner", aInfo.mName.Str() },
               { "service", aInfo.mService.Str() },
               { "address", aInfo.mAddress },
               { "zone", aInfo.mZone.Str() } });
    runner made(aInfo);
    made.mClosed = mClosed.count(aInfo.mName) > 0;
    mRunners.emplace(aInfo.mName, std::move(made));
    return;
  }
  runner& known = found->second;
  if (known.mInfo.mBoot != 0 && aInfo.mBoot > known.mInfo.mBoot) {
    LogEvent(
      log_level::kInfo, "runner.rebooted", { { "runner", aInfo.mName.Str() } });
    ReleaseAll(known, aNow);
    known = runner(aInfo);
    known.mClosed = mClosed.count(aInfo.mName) > 0;
    return;
  }
  if (known.mInfo.mDraining != aInfo.mDraining) {
    LogEvent(
      log_level::kInfo,
      "runner.draining",
      { { "runner", aInfo.mName.Str() }, { "draining", aInfo.mDraining } });
  }
  known.mInfo = aInfo;
  known.mListed = true;
}

void
scheduler::OnRunnerUnlisted(const runner_name& aRunner, time_point aNow)
{
  const auto found = mRunners.find(aRunner);
  if (found == mRunners.end() || !found->second.mListed) {
    return;
  }
  LogEvent(
    log_level::kInfo,
    "runner.unlisted",
    { { "runner", aRunner.Str() },
      { "runs", static_cast<std::uint64_t>(found->second.Runs().size()) } });
  found->second.mListed = false;
  found->second.SetDeadAt(std::max(found->second.DeadAt(), aNow));
}

void
scheduler::OnRunnerDead(const runner_name& aRunner, time_point aNow)
{
  const auto found = mRunners.find(aRunner);
  if (found == mRunners.end()) {
    return;
  }
  ReleaseAll(found->second, aNow);
  mRunners.erase(found);
  ++mRosterVersion;
}

submit_answer
scheduler::Submit(const job_name& aJob,
                  const job_spec& aSpec,
                  time_point aNow,
                  wall_time aWall)
{
  const auto found = mJobs.find(aJob);
  if (found != mJobs.end()) {
    const bool isStored = found->second.mStoredVersion > 0;
    return { isStored ? submit_outcome::kStored : submit_outcome::kPending,
             milliseconds(0) };
  }
  const queue_policy* const queue = mCatalog.FindQueue(aSpec.mQueue);
  if (queue == nullptr) {
    return { submit_outcome::kRefused, kMaxRetryAfter };
  }
  job made = MakeJob(aJob, aSpec);
  made.mAccepted = aNow;
  made.mAcceptedAt = aWall;
  made.mDueBy = aNow + queue->Objective(aSpec);
  LogEvent(log_level::kInfo,
           "job.submitted",
           { { "job", aJob.Str() },
             { "queue", aSpec.mQueue.Str() },
             { "catalog", mCatalog.mVersion },
             { "objective_ms",
               static_cast<std::int64_t>(queue->Objective(aSpec).count()) },
             { "steps", Summary(aSpec) } });
  mArrivals[ServiceOf(*queue)].Add(aSpec, aNow);
  mJobs.emplace(aJob, std::move(made));
  mActive.insert(aJob);
  mUnstored.insert(aJob);
  return { submit_outcome::kPending, milliseconds(0) };
}

void
scheduler::Drop(const job_name& aJob)
{
  const auto found = mJobs.find(aJob);
  if (found != mJobs.end() && found->second.mStoredVersion == 0) {
    mJobs.erase(found);
    mActive.erase(aJob);
    mUnstored.erase(aJob);
  }
}

const service_name&
scheduler::ServiceOf(const queue_policy& aQueue) const
{
  return mOwnership.mService.Empty() ? aQueue.mService : mOwnership.mService;
}

bool
scheduler::Cancel(const job_name& aJob, time_point aNow, wall_time aWall)
{
  job* const found = Mutable(aJob);
  if (found == nullptr) {
    return false;
  }
  if (!IsFinal(found->mState)) {
    LogEvent(
      log_level::kInfo,
      "job.cancelled",
      { { "job", aJob.Str() },
        { "age_ms",
          static_cast<std::int64_t>(
            duration_cast<milliseconds>(aNow - found->mAccepted).count()) } });
    Finish(*found, job_state::kCancelled, aWall);
  }
  return true;
}

const job*
scheduler::Find(const job_name& aJob) const
{
  const auto found = mJobs.find(aJob);
  return found == mJobs.end() ? nullptr : &found->second;
}

job*
scheduler::Mutable(const job_name& aJob)
{
  const auto found = mJobs.find(aJob);
  return found == mJobs.end() ? nullptr : &found->second;
}

std::size_t
scheduler::Waiting(const queue_name& aQueue) const
{
  return static_cast<std::size_t>(
    std::count_if(mActive.begin(), mActive.end(), [&](const job_name& aJob) {
      const job& each = mJobs.at(aJob);
      return each.mSpec.mQueue == aQueue && each.mState == job_state::kQueued;
    }));
}

bool
scheduler::IsUrgent(const job_name& aJob) const
{
  const job& one = mJobs.at(aJob);
  return one.mStoredVersion == 0 || IsFinal(one.mState);
}

bool
scheduler::AwaitsWrite(const std::set<job_name>& aExcept,
                       bool aUrgentOnly) const
{
  return std::any_of(
    mUnstored.begin(), mUnstored.end(), [&](const job_name& aJob) {
      return (!aUrgentOnly || IsUrgent(aJob)) && aExcept.count(aJob) == 0;
    });
}

std::vector<job_name>
scheduler::Unstored(std::size_t aMost) const
{
  std::vector<job_name> urgent;
  std::vector<job_name> others;
  for (const job_name& each : mUnstored) {
    (IsUrgent(each) ? urgent : others).push_back(each);
  }
  // A write that is due anyway takes the others along.
  urgent.insert(urgent.end(), others.begin(), others.end());
  urgent.resize(std::min(urgent.size(), aMost));
  return urgent;
}

void
scheduler::OnStored(const std::vector<stored_job>& aStored)
{
  for (const stored_job& each : aStored) {
    job* const found = Mutable(each.mJob);
    if (found == nullptr) {
      continue;
    }
    found->mStoredVersion = std::max(found->mStoredVersion, each.mVersion);
    found->mRevision = each.mRevision;
    if (found->IsStored()) {
      mUnstored.erase(each.mJob);
    }
  }
  for (auto& [runnerName, each] : mRunners) {
    Acknowledge(each);
  }
}

void
scheduler::SetMayStart(bool aMayStart)
{
  if (aMayStart && !mMayStart) {
    // A roster written meanwhile told when each runner would be dead.
    ++mRosterVersion;
    for (auto& [runnerName, each] : mRunners) {
      each.mIsInRoster = false;
    }
  }
  mMayStart = aMayStart;
}

std::vector<roster_entry>
scheduler::Roster(time_point aNow, wall_time aWall) const
{
  std::vector<roster_entry> roster;
  for (const auto& [runnerName, each] : mRunners) {
    if (!each.mContacted && !each.mMayHoldInherited) {
      continue;
    }
    roster_entry entry{ each.mInfo, std::nullopt };
    // Whether discovery lists it or not: a runner that answers runs on.
    const bool isExtended =
      mMayStart && each.mContacted && each.mFailedLooks == 0;
    if (!isExtended) {
      entry.mDeadBy = aWall + std::chrono::duration_cast<wall_time::duration>(
                                std::max(each.DeadAt(), aNow) - aNow);
    }
    roster.push_back(std::move(entry));
  }
  return roster;
}

void
scheduler::OnRosterStored(std::uint64_t aVersion,
                          const std::vector<roster_entry>& aRoster)
{
  mStoredRosterVersion = aVersion;
  for (const roster_entry& each : aRoster) {
    const auto found = mRunners.find(each.mInfo.mName);
    if (found != mRunners.end() && !each.mDeadBy &&
        found->second.mInfo.mAddress == each.mInfo.mAddress) {
      found->second.mIsInRoster = true;
    }
  }
}

std::vector<job_name>
scheduler::TakeExpired(wall_time aWall, std::size_t aMost)
{
  std::vector<job_name> expired;
  for (const auto& [jobName, each] : mJobs) {
    if (expired.size() == aMost) {
      break;
    }
    if (IsFinal(each.mState) && each.IsStored() &&
        aWall - each.mEndedAt > mSettings.mKeepEnded) {
      expired.push_back(jobName);
    }
  }
  for (const job_name& each : expired) {
    mJobs.erase(each);
    mRunnersOfJob.erase(each);
  }
  return expired;
}

void
scheduler::SetClosed(const std::set<runner_name>& aRunners)
{
  mClosed = aRunners;
  for (auto& [runnerName, each] : mRunners) {
    each.mClosed = aRunners.count(runnerName) > 0;
  }
}

// Tasks of the step that are not known to be at work: what a silent runner
// listed last proves nothing.
std::size_t
scheduler::CountAway(const job& aJob, const task_id& aTask) const
{
  const auto& tasks =
    aJob.mOccurrences[aTask.mOccurrence].mSteps[aTask.mStep].mTasks;
  return static_cast<std::size_t>(
    std::count_if(tasks.begin(), tasks.end(), [this](const task& aEach) {
      const auto at = mRunners.find(aEach.mRunner);
      const bool isHeard = at != mRunners.end() && at->second.mListed &&
                           at->second.mFailedLooks == 0;
      return !aEach.mAtWork || !isHeard;
    }));
}

void
scheduler::Evict(const runner_name& aRunner, time_point aNow)
{
  const auto at = mRunners.find(aRunner);
  if (at == mRunners.end()) {
    return;
  }
  for (auto& [key, live] : at->second.Runs()) {
    job* const owner = Mutable(live.mTask.mJob);
    if (!live.mLasting || live.mStopWanted || owner == nullptr) {
      continue;
    }
    const std::size_t away = CountAway(*owner, live.mTask);
    const std::size_t allowed = owner->mSpec.mSteps[live.mTask.mStep].mMaxAway;
    if (allowed > 0 && away >= allowed) {
      continue;
    }
    LogEvent(log_level::kInfo,
             "task.evicted",
             { { "task", key.first },
               { "runner", aRunner.Str() },
               { "away", static_cast<std::uint64_t>(away) } });
    live.mStopWanted = true;
    live.mSince = aNow;
    if (task* const one = owner->Find(live.mTask)) {
      one->mAtWork = false;
    }
  }
}

bool
scheduler::KnowsRunsOf(const runner_name& aRunner, time_point aNow) const
{
  const auto found = mRunners.find(aRunner);
  return found == mRunners.end()
           ? aNow >= LeasesOver()
           : found->second.mContacted || aNow >= found->second.DeadAt();
}

void
scheduler::Touch(job& aJob)
{
  ++aJob.mVersion;
  mUnstored.insert(aJob.mName);
}

void
scheduler::Finish(job& aJob, job_state aState, wall_time aWall)
{
  aJob.mState = aState;
  aJob.mEndedAt = aWall;
  mActive.erase(aJob.mName);
  Touch(aJob);
  StopRuns(aJob.mName);
}

void
scheduler::StopRuns(const job_name& aJob)
{
  const auto found = mRunnersOfJob.find(aJob);
  if (found == mRunnersOfJob.end()) {
    return;
  }
  for (const runner_name& each : found->second) {
    const auto one = mRunners.find(each);
    if (one == mRunners.end()) {
      continue;
    }
    for (auto& [key, live] : one->second.Runs()) {
      if (live.mTask.mJob == aJob) {
        live.mStopWanted = true;
      }
    }
  }
}

void
scheduler::Acknowledge(runner& aRunner)
{
  while (!aRunner.mUnstored.empty()) {
    const seen_end& oldest = aRunner.mUnstored.front();
    const job* const owner = Find(oldest.mJob);
    if (owner != nullptr && owner->mStoredVersion < oldest.mVersion) {
      return;
    }
    aRunner.mAckedEnds = oldest.mNumber;
    aRunner.mUnstored.pop_front();
  }
}

} // namespace mangospan::jobs
