#include "mangospan/jobs/scheduler.h"

#include <algorithm>
#include <utility>

#include "mangospan/base/log.h"

namespace mangospan::jobs {

namespace {

using std::chrono::milliseconds;

// Run numbers reserved for each term. No task is started this many times within
// one term.
constexpr std::uint32_t kRunNumbersPerTerm = 1'000;
// The time that a caller is told to wait if the queue of its job does not
// exist.
constexpr milliseconds kUnknownQueueRetryAfter{ 8'000 };
// A job that was turned away is the same demand when it returns within this
// time.
constexpr milliseconds kTurnedAwayMemory{ 3'000 };
// A run that an earlier owner has ordered to stop shows as live for up to this
// time after the takeover.
constexpr milliseconds kPredecessorStopTime{ 1'500 };

bool
MayBeLive(const roster_entry& aEntry)
{
  return !aEntry.mRunsEndWithin || aEntry.mRunsEndWithin->count() > 0;
}

// Describes each step in one word, for the log: the number of tasks, the CPU
// that each needs in thousandths of a core, and L for long-running, F for
// best-effort and G for gang. "4x500" is four tasks of half a core, "5x1300L"
// five long-running tasks of 1.3 cores.
std::string
Summary(const job_spec& aSpec)
{
  std::string text;
  for (const step_spec& each : aSpec.mSteps) {
    text += (text.empty() ? "" : ",") + std::to_string(each.mTaskCount) + "x" +
            std::to_string(each.mTaskResources.mCpu) +
            (each.mLongRunning ? "L" : "") + (each.mBestEffort ? "F" : "") +
            (each.mGang ? "G" : "");
  }
  return text;
}

} // namespace

scheduler::scheduler(scheduler_settings aSettings, ownership aOwnership)
  : mSettings(aSettings)
  , mOwnership(std::move(aOwnership))
  , mRunNumberBase(static_cast<std::uint32_t>(
      (std::max<std::uint64_t>(mOwnership.mTerm, 1) - 1) * kRunNumbersPerTerm))
  , mAdmission(mSettings.mCustomerRate)
{
}

void
scheduler::Load(std::vector<job> aJobs,
                const inherited_roster& aRoster,
                time_point aNow,
                wall_time aWall)
{
  mIsRosterInherited = !aRoster.mRunners.empty();
  if (mSettings.mLearnRunTimes &&
      !mRunTimeModel.Restore(aRoster.mRunTimes, aNow)) {
    LogEvent(
      log_level::kWarning,
      "run_time.invalid_summary",
      { { "classes", static_cast<std::uint64_t>(aRoster.mRunTimes.size()) } });
  }
  for (const roster_entry& each : aRoster.mRunners) {
    const auto added = mRunners.emplace(each.mInfo.mName, runner(each.mInfo));
    runner& known = added.first->second;
    // The stored roster may say within what time every run on the runner ends.
    // Its lease is extended again only after a roster without that time is
    // stored.
    known.mIsInRoster = !each.mRunsEndWithin;
    known.mMayBeLiveInRoster = MayBeLive(each);
    known.mMayHoldInheritedRuns = true;
    known.mListed = !added.second;
    known.SetDeadAt(InheritedLeaseEnd(each, aRoster));
    if (known.mInfo.mBoot != each.mInfo.mBoot) {
      // The earlier owner may not have known of the new boot.
      known.ExtendLeaseByOtherClock(mSettings.mMaxLease, InheritedOrdersEnd());
    }
  }
  if (!aJobs.empty()) {
    mNoEvictionBefore = aNow + kPredecessorStopTime;
  }
  for (job& each : aJobs) {
    each.mInherited = true;
    // Derived from the time of day, which may be off: it affects only the order
    // in which jobs are scheduled.
    each.mAcceptedAt =
      aNow - std::max(aWall - each.mAcceptedWallTime, wall_time::duration(0));
    each.mFirstTryAt = each.mAcceptedAt - each.mSpec.mElapsed;
    each.mStoredVersion = each.mVersion;
    each.mObjectiveDeadline = each.mFirstTryAt;
    each.mEndKnownAt = aNow;
    if (!IsFinal(each.mState)) {
      mActiveJobs.insert(each.mName);
      if (each.mPolicy.mService.Empty()) {
        each.mPolicy = PolicyOf(each); // of an earlier version
      }
      each.mObjectiveDeadline += PolicyOf(each).Objective(each.mSpec);
    }
    const job_name jobName = each.mName;
    mJobs.insert_or_assign(jobName, std::move(each));
  }
}

void
scheduler::SetCatalog(catalog aCatalog)
{
  mCatalog = std::move(aCatalog);
  mQuota.SetCustomers(
    mCatalog.mCustomers, mCatalog.CountPools(), mCatalog.mVersion);
  mAdmission.SetCustomers(mCatalog.mCustomers);
  mFairOrder.SetCustomers(mCatalog.mCustomers);
}

void
scheduler::OnRunnerListed(const runner_info& aInfo, time_point aNow)
{
  const auto found = mRunners.find(aInfo.mName);
  if (found == mRunners.end()) {
    LogEvent(log_level::kInfo,
             "runner.listed",
             { { "runner", aInfo.mName.Str() },
               { "service", aInfo.mService.Str() },
               { "address", aInfo.mAddress },
               { "zone", aInfo.mZone.Str() } });
    OnRunnerAtAddress(aInfo.mAddress, aNow);
    runner newRunner(aInfo);
    newRunner.mCordoned = mCordonedRunners.count(aInfo.mName) > 0;
    mRunners.emplace(aInfo.mName, std::move(newRunner));
    return;
  }
  runner& known = found->second;
  const std::int64_t knownBoot = known.mInfo.mBoot;
  if (knownBoot != 0 && aInfo.mBoot > knownBoot) {
    OnBootChanged(known, aInfo, aNow);
    known.mListed = true;
    return;
  }
  if (aInfo.mBoot != 0 && aInfo.mBoot < knownBoot) {
    // A poll has told of the new boot before service discovery.
    LogEvent(log_level::kInfo,
             "runner.late_record",
             { { "runner", aInfo.mName.Str() } });
    return;
  }
  if (known.mInfo.mDraining != aInfo.mDraining) {
    LogEvent(
      log_level::kInfo,
      "runner.draining",
      { { "runner", aInfo.mName.Str() }, { "draining", aInfo.mDraining } });
  }
  known.mInfo = aInfo;
  known.mInfo.mBoot = knownBoot != 0 ? knownBoot : aInfo.mBoot;
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
  ReleaseAllRuns(found->second, loss_reason::kRunnerDead, aNow);
  mFaultyRunners.Forget(aRunner);
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
    return { submit_outcome::kRefused, kUnknownQueueRetryAfter };
  }
  const customers::admission_verdict verdict =
    mAdmission.Decide(aSpec.mCustomer, IsFullFor(aSpec, *queue), aNow, [&] {
      return Backlog(ServiceOf(*queue));
    });
  if (verdict.mIsRefused) {
    return { submit_outcome::kRefused, verdict.mRetryAfter, true };
  }
  job newJob = MakeJob(aJob, aSpec);
  newJob.mIsExcess = verdict.mIsExcess;
  // Excess work takes its turn behind all other and costs the customer none.
  newJob.mFairStart = mFairOrder.Enqueue(
    aSpec.mCustomer,
    verdict.mIsExcess ? 0 : DominantWork(aSpec, ServiceOf(*queue)));
  newJob.mPolicy = *queue;
  newJob.mAcceptedAt = aNow;
  newJob.mAcceptedWallTime = aWall;
  newJob.mFirstTryAt = aNow - aSpec.mElapsed;
  newJob.mObjectiveDeadline = newJob.mFirstTryAt + queue->Objective(aSpec);
  LogEvent(
    log_level::kInfo,
    "job.submitted",
    { { "job", aJob.Str() },
      { "queue", aSpec.mQueue.Str() },
      { "catalog", mCatalog.mVersion },
      { "objective_ms",
        static_cast<std::int64_t>(queue->Objective(aSpec).count()) },
      { "elapsed_ms", static_cast<std::int64_t>(aSpec.mElapsed.count()) },
      { "steps", Summary(aSpec) } });
  ForgetTurnedAwayJobs(aNow);
  if (mTurnedAwayJobs.count(aJob) == 0) {
    mArrivalForecasts[ServiceOf(*queue)].Add(aSpec, aNow, RunTimes());
  }
  mJobs.emplace(aJob, std::move(newJob));
  mActiveJobs.insert(aJob);
  mUnstoredJobs.Add(aJob);
  return { submit_outcome::kPending, milliseconds(0) };
}

void
scheduler::OnTurnedAway(const job_name& aJob,
                        const job_spec& aSpec,
                        time_point aNow)
{
  ForgetTurnedAwayJobs(aNow);
  const queue_policy* const queue = mCatalog.FindQueue(aSpec.mQueue);
  if (queue == nullptr || mJobs.count(aJob) > 0 ||
      !mTurnedAwayJobs.insert(aJob).second) {
    return;
  }
  mTurnedAway.emplace_back(aNow, aJob);
  mArrivalForecasts[ServiceOf(*queue)].Add(aSpec, aNow, RunTimes());
}

void
scheduler::ForgetTurnedAwayJobs(time_point aNow)
{
  while (!mTurnedAway.empty() &&
         aNow - mTurnedAway.front().first >= kTurnedAwayMemory) {
    mTurnedAwayJobs.erase(mTurnedAway.front().second);
    mTurnedAway.pop_front();
  }
}

void
scheduler::RemoveUnstored(const job_name& aJob)
{
  const auto found = mJobs.find(aJob);
  if (found != mJobs.end() && found->second.mStoredVersion == 0) {
    mJobs.erase(found);
    mActiveJobs.erase(aJob);
    mUnstoredJobs.Remove(aJob);
  }
}

const service_name&
scheduler::ServiceOf(const queue_policy& aQueue) const
{
  return mOwnership.mService.Empty() ? aQueue.mService : mOwnership.mService;
}

const queue_policy&
scheduler::PolicyOf(const job& aJob) const
{
  const queue_policy* const present = mCatalog.FindQueue(aJob.mSpec.mQueue);
  return present == nullptr ? aJob.mPolicy : *present;
}

bool
scheduler::Cancel(const job_name& aJob, time_point aNow, wall_time aWall)
{
  job* const foundJob = FindMutable(aJob);
  if (foundJob == nullptr) {
    return false;
  }
  if (!IsFinal(foundJob->mState)) {
    LogEvent(log_level::kInfo,
             "job.cancelled",
             { { "job", aJob.Str() },
               { "age_ms", CountMilliseconds(aNow - foundJob->mAcceptedAt) },
               { "stored", foundJob->mStoredVersion > 0 } });
    FinishJob(*foundJob, job_state::kCancelled, aNow, aWall);
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
scheduler::FindMutable(const job_name& aJob)
{
  const auto found = mJobs.find(aJob);
  return found == mJobs.end() ? nullptr : &found->second;
}

task*
scheduler::FindTask(const task_id& aTask)
{
  job* const foundJob = FindMutable(aTask.mJob);
  return foundJob == nullptr ? nullptr : foundJob->Find(aTask);
}

std::size_t
scheduler::CountWaitingJobs(const queue_name& aQueue) const
{
  return static_cast<std::size_t>(std::count_if(
    mActiveJobs.begin(), mActiveJobs.end(), [&](const job_name& aJob) {
      const job& each = mJobs.at(aJob);
      return each.mSpec.mQueue == aQueue && each.mStoredVersion > 0 &&
             each.mState == job_state::kQueued;
    }));
}

bool
scheduler::IsWriteUrgent(const job_name& aJob) const
{
  const job& checkedJob = mJobs.at(aJob);
  return checkedJob.mStoredVersion == 0 || IsFinal(checkedJob.mState) ||
         checkedJob.mStoredVersion < checkedJob.mCrashVersion;
}

bool
scheduler::HasUnstoredJobs(const std::set<job_name>& aExcept,
                           bool aUrgentOnly) const
{
  const auto& unstored = mUnstoredJobs.InOrder();
  return std::any_of(unstored.begin(), unstored.end(), [&](const auto& aEntry) {
    const job_name& each = aEntry.second;
    return (!aUrgentOnly || IsWriteUrgent(each)) && aExcept.count(each) == 0;
  });
}

std::vector<job_name>
scheduler::UnstoredJobs(std::size_t aMaxCount) const
{
  std::vector<job_name> urgent;
  std::vector<job_name> others;
  for (const auto& [number, each] : mUnstoredJobs.InOrder()) {
    if (urgent.size() == aMaxCount) {
      break; // however many jobs wait, a write takes only so many
    }
    std::vector<job_name>& listed = IsWriteUrgent(each) ? urgent : others;
    if (listed.size() < aMaxCount) {
      listed.push_back(each);
    }
  }
  // The other records fill up a write that is due anyway.
  urgent.insert(urgent.end(), others.begin(), others.end());
  urgent.resize(std::min(urgent.size(), aMaxCount));
  return urgent;
}

void
scheduler::OnStored(const std::vector<stored_job>& aStored)
{
  for (const stored_job& each : aStored) {
    job* const foundJob = FindMutable(each.mJob);
    if (foundJob == nullptr) {
      continue;
    }
    foundJob->mStoredVersion =
      std::max(foundJob->mStoredVersion, each.mVersion);
    foundJob->mRevision = each.mRevision;
    if (foundJob->IsStored()) {
      mUnstoredJobs.Remove(each.mJob);
    }
  }
  for (auto& [runnerName, each] : mRunners) {
    AcknowledgeStoredEnds(each);
  }
}

void
scheduler::SetMayStart(bool aMayStart)
{
  if (aMayStart && !mMayStart) {
    // A roster stored in the meantime says by when the runs on each runner have
    // ended. It must be replaced before leases are extended again.
    ++mRosterVersion;
    for (auto& [runnerName, each] : mRunners) {
      each.mIsInRoster = false;
    }
  }
  mMayStart = aMayStart;
}

void
scheduler::OnOwnershipConfirmed(time_point aAt)
{
  mOwnershipConfirmedAt = std::max(mOwnershipConfirmedAt, aAt);
}

std::vector<roster_entry>
scheduler::Roster(time_point aNow)
{
  std::vector<roster_entry> roster;
  for (auto& [runnerName, each] : mRunners) {
    if (!each.mContacted && !each.mMayHoldInheritedRuns &&
        each.LeaseLeft(aNow).count() == 0) {
      continue;
    }
    roster_entry entry{ each.mInfo, std::nullopt };
    // Also for runners that service discovery does not list: the lease of a
    // runner that answers is extended, so its runs go on.
    const bool isExtended =
      mMayStart && each.mContacted && !each.mIsUnresponsive;
    if (!isExtended) {
      each.mIsInRoster = false;
      entry.mRunsEndWithin =
        std::chrono::ceil<milliseconds>(std::max(each.DeadAt(), aNow) - aNow);
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
    if (found == mRunners.end()) {
      continue;
    }
    found->second.mMayBeLiveInRoster = MayBeLive(each);
    if (!each.mRunsEndWithin &&
        found->second.mInfo.mAddress == each.mInfo.mAddress) {
      found->second.mIsInRoster = true;
    }
  }
}

std::vector<stored_job>
scheduler::RemoveExpiredJobs(time_point aNow, std::size_t aMaxCount)
{
  std::vector<stored_job> expired;
  for (const auto& [jobName, each] : mJobs) {
    if (expired.size() == aMaxCount) {
      break;
    }
    if (IsFinal(each.mState) && each.IsStored() &&
        aNow - each.mEndKnownAt > mSettings.mEndedJobRetention) {
      expired.push_back({ jobName, each.mStoredVersion, each.mRevision });
    }
  }
  for (const stored_job& each : expired) {
    mJobs.erase(each.mJob);
    mRunnersByJob.erase(each.mJob);
  }
  return expired;
}

void
scheduler::SetCordoned(const std::set<runner_name>& aRunners)
{
  mCordonedRunners = aRunners;
  for (auto& [runnerName, each] : mRunners) {
    each.mCordoned = aRunners.count(runnerName) > 0;
  }
}

// Counts the tasks of the step that are not known to be working. Tasks on a
// runner that does not answer or is not listed count as unavailable, since its
// last report may be out of date.
std::size_t
scheduler::CountUnavailable(const job& aJob, const task_id& aTask) const
{
  const auto& tasks =
    aJob.mOccurrences.at(aTask.mOccurrence).mSteps[aTask.mStep].mTasks;
  return static_cast<std::size_t>(
    std::count_if(tasks.begin(), tasks.end(), [this](const task& aEach) {
      const auto found = mRunners.find(aEach.mRunner);
      const bool isResponsive = found != mRunners.end() &&
                                found->second.mListed &&
                                found->second.mFailedPolls == 0;
      return !aEach.mReady || !isResponsive;
    }));
}

void
scheduler::Evict(const runner_name& aRunner, time_point aNow)
{
  const auto found = mRunners.find(aRunner);
  if (found == mRunners.end() || aNow < mNoEvictionBefore) {
    return;
  }
  for (auto& [key, live] : found->second.Runs()) {
    job* const foundJob = FindMutable(live.mTask.mJob);
    if (!live.mLongRunning || live.mStopWanted || foundJob == nullptr) {
      continue;
    }
    const std::size_t unavailable = CountUnavailable(*foundJob, live.mTask);
    const std::size_t maxUnavailable =
      foundJob->mSpec.mSteps[live.mTask.mStep].mMaxUnavailable;
    if (maxUnavailable > 0 && unavailable >= maxUnavailable) {
      continue;
    }
    LogEvent(log_level::kInfo,
             "task.evicted",
             { { "task", key.first },
               { "runner", aRunner.Str() },
               { "away", static_cast<std::uint64_t>(unavailable) } });
    live.mStopWanted = true;
    live.mPhaseSince = aNow;
    if (task* const foundTask = foundJob->Find(live.mTask)) {
      foundTask->mReady = false;
    }
  }
}

bool
scheduler::KnowsRunsOf(const runner_name& aRunner, time_point aNow) const
{
  const auto found = mRunners.find(aRunner);
  return found == mRunners.end()
           ? aNow >= InheritedLeasesEnd()
           : found->second.mContacted || aNow >= found->second.DeadAt();
}

void
scheduler::MarkChanged(job& aJob)
{
  ++aJob.mVersion;
  mUnstoredJobs.Add(aJob.mName);
}

void
scheduler::FinishJob(job& aJob,
                     job_state aState,
                     time_point aNow,
                     wall_time aWall)
{
  aJob.mState = aState;
  aJob.mEndedWallTime = aWall;
  aJob.mEndKnownAt = aNow;
  mActiveJobs.erase(aJob.mName);
  MarkChanged(aJob);
  StopRuns(aJob.mName);
}

void
scheduler::StopRuns(const job_name& aJob)
{
  const auto found = mRunnersByJob.find(aJob);
  if (found == mRunnersByJob.end()) {
    return;
  }
  for (const runner_name& each : found->second) {
    const auto runnerEntry = mRunners.find(each);
    if (runnerEntry == mRunners.end()) {
      continue;
    }
    for (auto& [key, live] : runnerEntry->second.Runs()) {
      if (live.mTask.mJob == aJob) {
        live.mStopWanted = true;
      }
    }
  }
}

void
scheduler::AcknowledgeStoredEnds(runner& aRunner)
{
  while (!aRunner.mUnacknowledgedEnds.empty()) {
    const unacknowledged_end& oldest = aRunner.mUnacknowledgedEnds.front();
    const job* const foundJob = Find(oldest.mJob);
    if (foundJob != nullptr && foundJob->mStoredVersion < oldest.mVersion) {
      return;
    }
    aRunner.mHighestStoredEnd = oldest.mNumber;
    aRunner.mUnacknowledgedEnds.pop_front();
  }
}

} // namespace mangospan::jobs
