// Plans the orders that are due: starts, stops, throttles and polls.
#include <algorithm>
#include <utility>

#include "mangospan/base/log.h"
#include "mangospan/jobs/internal/scheduler_candidate.h"
#include "mangospan/jobs/placement.h"
#include "mangospan/jobs/ranking.h"
#include "mangospan/jobs/scheduler.h"
#include "mangospan/jobs/throttling.h"

namespace mangospan::jobs {

namespace {

using std::chrono::milliseconds;

// The clock of an idle runner is read again at this age, so that a task need
// not wait for that.
constexpr milliseconds kClockRefreshAge{ 12'000 };
static_assert(kClockRefreshAge < kMaxClockAge);
// A start grants less than a lease, so a successor need not allow for it.
static_assert(scheduler_settings{}.mStartValidity <
              scheduler_settings{}.mLease);
static_assert(scheduler_settings{}.mLease <= scheduler_settings{}.mMaxLease);
// The time after which a runner is polled again if it cannot be reached or its
// last poll failed.
constexpr milliseconds kPollRetryDelay{ 250 };
// The ends of runs on an idle runner are acknowledged after this delay, so that
// one poll acknowledges several of them.
constexpr milliseconds kIdleAckDelay{ 1'000 };
// A runner that has not answered for this many poll intervals may have started
// again unnoticed.
constexpr int kQuietPollIntervals = 3;
// The number of times that the order to start one run is sent.
constexpr int kMaxStartAttempts = 10;
// The longest time for which a runner that has both best-effort and
// latency-sensitive tasks delays its answer to a poll, so that the latency of
// the latter is reported this often.
constexpr milliseconds kSharedRunnerPollWait{ 600 };
// The same for a runner that has left orders unanswered lately, so that a lost
// answer is noticed soon.
constexpr milliseconds kUnreliableRunnerPollWait{ 50 };
// The least time within which the answer of such a runner is expected.
constexpr milliseconds kMinPollAnswerTimeout{ 100 };
// For how long a task that has failed waits for another runner.
constexpr milliseconds kMaxRetryWait{ 2'500 };

} // namespace

// The steps that may start now, collected anew for each plan.
struct scheduler::start_candidates
{
  std::map<service_name, std::vector<candidate>> mByService;
  // Results of `MayStartInheritedJobs()` for the services asked about so far.
  std::map<service_name, bool> mMayStartInherited;
};

std::vector<order>
scheduler::Plan(time_point aNow, wall_time aWall)
{
  std::vector<order> orders;
  ReleaseRunsOfDeadRunners(aNow);
  StoreRosterOfThisTerm(aNow);
  FailJobsOfCrashingTasks(aNow, aWall);
  PlanStops(aNow, orders);
  PlanResends(aNow, orders);
  if (mMayStart) {
    PlanStarts(aNow, aWall, orders);
  }
  PlanThrottles(orders);
  PlanPolls(aNow, orders);
  return orders;
}

// Returns the time from which no earlier owner orders starts or extends leases.
time_point
scheduler::InheritedOrdersEnd() const
{
  return mOwnership.mSince + mSettings.mMaxUnconfirmedTime;
}

time_point
scheduler::InheritedLeasesEnd() const
{
  return InheritedOrdersEnd() + LongestLease(mSettings.mLease);
}

// Returns by when every run on the runner has ended that an earlier owner may
// have started on its present boot.
time_point
scheduler::InheritedLeaseEnd(const roster_entry& aEntry,
                             const inherited_roster& aRoster) const
{
  if (aEntry.mRunsEndWithin) {
    // The roster was written before this owner was elected, since the election
    // fences the writes of earlier owners.
    return std::min(InheritedLeasesEnd(),
                    mOwnership.mSince + *aEntry.mRunsEndWithin);
  }
  if (aRoster.mWriterEndedBy) {
    // The runner has answered the writer, so it refuses the orders of those
    // before it, which may still act.
    return std::min(InheritedLeasesEnd(),
                    *aRoster.mWriterEndedBy + LongestLease(mSettings.mLease));
  }
  return InheritedLeasesEnd();
}

// Has the roster stored once in this term, as soon as that keeps no runner from
// getting runs: the next owner can rely on what it says of this one.
void
scheduler::StoreRosterOfThisTerm(time_point aNow)
{
  if (!mIsRosterInherited) {
    return;
  }
  const bool isWaiting =
    std::any_of(mRunners.begin(), mRunners.end(), [&](const auto& aEntry) {
      const runner& each = aEntry.second;
      return each.mMayHoldInheritedRuns && !each.mContacted &&
             aNow < each.DeadAt();
    });
  if (!isWaiting) {
    mIsRosterInherited = false;
    ++mRosterVersion;
  }
}

// Returns whether tasks of jobs that an earlier owner accepted may start. Such
// a task may still run on a runner of its service that this owner has not
// reached, so it may start only once each of these runners is fenced or its
// lease is over.
bool
scheduler::MayStartInheritedJobs(const service_name& aService,
                                 time_point aNow) const
{
  return std::all_of(mRunners.begin(), mRunners.end(), [&](const auto& aEntry) {
    const runner& each = aEntry.second;
    return each.mInfo.mService != aService || !MayHoldUnknownRuns(each, aNow);
  });
}

// Returns whether runs of an earlier owner may be live on the runner, which
// this owner has not reached.
bool
scheduler::MayHoldUnknownRuns(const runner& aRunner, time_point aNow) const
{
  return aRunner.mMayHoldInheritedRuns && !aRunner.mContacted &&
         aNow < aRunner.DeadAt();
}

// Returns since when the task has not run although its step was ready.
time_point
scheduler::WaitingSince(const job& aJob,
                        const step& aStep,
                        const task& aTask) const
{
  return std::max({ aJob.mAcceptedAt,
                    mOwnership.mSince,
                    aStep.mReadySince,
                    aTask.mIdleSince });
}

void
scheduler::ReleaseRunsOfDeadRunners(time_point aNow)
{
  for (auto it = mRunners.begin(); it != mRunners.end();) {
    runner& each = it->second;
    const bool isUnreachable = !each.mListed || each.mFailedPolls > 0;
    if (isUnreachable && aNow >= each.DeadAt()) {
      RememberLostRunner(each, aNow);
      ReleaseAllRuns(each, loss_reason::kLeaseOver, aNow);
      ReportEndInRoster(each);
      if (!each.mListed) {
        mFaultyRunners.Forget(it->first);
        it = mRunners.erase(it);
        continue;
      }
    }
    ++it;
  }
}

// Has the roster stored anew if by the stored one runs may be live on the
// runner: a successor would wait for the lease anew.
void
scheduler::ReportEndInRoster(runner& aRunner)
{
  if (aRunner.mMayBeLiveInRoster) {
    aRunner.mMayBeLiveInRoster = false;
    ++mRosterVersion;
  }
}

void
scheduler::ReleaseAllRuns(runner& aRunner, loss_reason aReason, time_point aNow)
{
  while (!aRunner.Runs().empty()) {
    const auto& [firstKey, first] = *aRunner.Runs().begin();
    const run_key key = firstKey;
    const auto age =
      std::chrono::duration_cast<milliseconds>(aNow - first.mOrderedAt);
    LogEvent(log_level::kInfo,
             "task.lost",
             { { "task", key.first },
               { "run", static_cast<std::uint64_t>(key.second) },
               { "runner", aRunner.mInfo.mName.Str() },
               { "reason", Name(aReason) },
               { "age_ms",
                 static_cast<std::int64_t>(
                   first.mOrderedAt == time_point{} ? -1 : age.count()) } });
    if (task* const lost = ReleaseRun(aRunner, key, aNow)) {
      lost->mLostAt = aNow;
    }
  }
}

// A run that was lost may have been done. If a successor has acknowledged that
// end before the runner's lease was over or the runner was gone, the task must
// not run again. No successor can have done so if none had been elected by the
// time of the loss.
bool
scheduler::MayStartTask(const task& aTask) const
{
  return aTask.IsIdle() && aTask.mLostAt <= mOwnershipConfirmedAt;
}

// Removes a run that is over for whatever reason: frees its capacity, and lets
// its task be started again.
task*
scheduler::ReleaseRun(runner& aRunner, const run_key& aKey, time_point aNow)
{
  const run* const foundRun = aRunner.Find(aKey);
  if (foundRun == nullptr) {
    return nullptr;
  }
  const task_id taskId = foundRun->mTask;
  const std::uint32_t runNumber = foundRun->mNumber;
  aRunner.Remove(aKey);
  task* const foundTask = FindTask(taskId);
  if (foundTask == nullptr || !foundTask->IsLiveRun(runNumber)) {
    return nullptr;
  }
  foundTask->mLive = false;
  foundTask->mReady = false;
  foundTask->mIdleSince = aNow;
  return foundTask;
}

void
scheduler::PlanStarts(time_point aNow,
                      wall_time aWall,
                      std::vector<order>& aOrders)
{
  start_candidates startable;
  mCustomerUse = CustomerUse(aNow);
  for (const job_name& each : mActiveJobs) {
    CollectCandidates(mJobs.at(each), aNow, aWall, startable);
  }
  mServicesWithoutFreeCapacity.clear();
  for (auto& [service, candidates] : startable.mByService) {
    std::vector<runner*> pool;
    for (auto& [runnerName, each] : mRunners) {
      if (each.mInfo.mService == service && CanAcceptRuns(each, aNow)) {
        pool.push_back(&each);
      }
    }
    if (pool.empty()) {
      mServicesWithoutFreeCapacity.insert(service);
      continue;
    }
    std::stable_sort(candidates.begin(),
                     candidates.end(),
                     [](const candidate& aLeft, const candidate& aRight) {
                       return aLeft.mRank < aRight.mRank;
                     });
    PlaceSuspects(candidates, service, pool, aNow, aOrders);
    pool_free_capacity freeCapacity(pool, aNow);
    for (const candidate& each : candidates) {
      const bool mayFit = freeCapacity.MayFit(each.Spec());
      if (each.Spec().mGang) {
        // One that waits says nothing of the capacity for single tasks.
        if (mayFit) {
          PlaceGang(each, pool, aNow, aOrders);
        }
      } else if (!mayFit) {
        mServicesWithoutFreeCapacity.insert(service);
      } else if (!PlaceStep(each, pool, aNow, aOrders)) {
        freeCapacity.OnPlacementFailed(each.Spec());
        mServicesWithoutFreeCapacity.insert(service);
      }
    }
  }
}

void
scheduler::CollectCandidates(job& aJob,
                             time_point aNow,
                             wall_time aWall,
                             start_candidates& aCandidates)
{
  if (aJob.mStoredVersion == 0 || aJob.mStoredVersion < aJob.mCrashVersion) {
    return;
  }
  const queue_policy& policy = PolicyOf(aJob);
  const service_name& service = ServiceOf(policy);
  if (aJob.mInherited) {
    auto mayStart = aCandidates.mMayStartInherited.find(service);
    if (mayStart == aCandidates.mMayStartInherited.end()) {
      mayStart = aCandidates.mMayStartInherited
                   .emplace(service, MayStartInheritedJobs(service, aNow))
                   .first;
    }
    if (!mayStart->second) {
      return;
    }
  }
  aJob.OpenDueOccurrences(aWall);
  const std::size_t due = aJob.DueOccurrences(aWall);
  for (auto& [k, each] : aJob.mOccurrences) {
    if (!aJob.IsDueOrBegun(k, due)) {
      continue;
    }
    auto& steps = each.mSteps;
    for (std::size_t s = 0; s < steps.size(); ++s) {
      const auto& tasks = steps[s].mTasks;
      const bool hasIdle =
        std::any_of(tasks.begin(), tasks.end(), [this](const task& aTask) {
          return MayStartTask(aTask);
        });
      if (hasIdle && aJob.IsStepReady(k, s)) {
        if (steps[s].mReadySince == time_point{}) {
          steps[s].mReadySince = aNow;
        }
        aCandidates.mByService[service].push_back(
          { &aJob, k, s, RankOf(aJob, s, policy.mPriority, aNow, RunTimes()) });
      }
    }
  }
}

// Returns what to ask of the runner for the task. For a while after a failure
// it goes to none on which it has failed, if another one may take it soon: a
// runner whose runs fail at once is the one with room when all others are busy.
placement_request
scheduler::RequestFor(const job& aJob,
                      const task_id& aTask,
                      time_point aNow) const
{
  const task& placed = aJob.mOccurrences.at(aTask.mOccurrence)
                         .mSteps[aTask.mStep]
                         .mTasks[aTask.mIndex];
  placement_request out{
    aJob.mSpec.mSteps[aTask.mStep], aTask, placed.mFailedOn, {}
  };
  const bool hasFailedLately =
    !placed.mFailedOn.empty() && aNow - placed.mFailedAt < kMaxRetryWait;
  out.mMustAvoid =
    hasFailedLately &&
    std::any_of(mRunners.begin(), mRunners.end(), [&](const auto& aEntry) {
      const runner& each = aEntry.second;
      return each.mInfo.mService == ServiceOf(PolicyOf(aJob)) &&
             !HasFailedOn(out, each) && CanAcceptRunsSoon(each, aNow) &&
             MayFitLater(out, each);
    });
  out.mIsLastAttempt =
    !placed.mFailedRuns.empty() &&
    placed.mFailedRuns.size() + 1 >= PolicyOf(aJob).mMaxAttempts;
  return out;
}

bool
scheduler::PlaceStep(const candidate& aCandidate,
                     const std::vector<runner*>& aPool,
                     time_point aNow,
                     std::vector<order>& aOrders)
{
  auto& tasks = aCandidate.Tasks();
  rack_name nearRack;
  std::uint64_t placed = 0;
  std::uint64_t waiting = 0;
  std::uint64_t overQuota = 0;
  std::uint64_t avoiding = 0; // tasks that wait for another runner than before
  for (std::size_t i = 0; i < tasks.size(); ++i) {
    const bool mustRunAlone =
      tasks[i].mCrashes.mIsSuspect &&
      MustRunAlone(*aCandidate.mJob, aCandidate.Step(), tasks[i], aNow);
    if (!MayStartTask(tasks[i]) || mustRunAlone) {
      continue;
    }
    if (!IsWithinQuota(aCandidate.mJob->mSpec,
                       aCandidate.Spec().Reservation())) {
      ++overQuota;
      continue;
    }
    placement_request request =
      RequestFor(*aCandidate.mJob, aCandidate.Id(i), aNow);
    request.mPreferredRack = nearRack;
    runner* const chosen =
      waiting > 0 ? nullptr : ChooseRunner(request, aPool, aNow);
    if (chosen == nullptr) {
      ++(request.mMustAvoid ? avoiding : waiting);
      continue;
    }
    if (aCandidate.Spec().mColocate) {
      nearRack = chosen->mInfo.mRack;
    }
    aOrders.emplace_back(
      MakeStartOrder(aCandidate, i, *chosen, NextRun(tasks[i]), aNow));
    ++placed;
  }
  if (placed > 0) {
    LogEvent(
      log_level::kInfo,
      "step.placed",
      { { "job", aCandidate.mJob->mName.Str() },
        { "occurrence", static_cast<std::uint64_t>(aCandidate.mOccurrence) },
        { "step", static_cast<std::uint64_t>(aCandidate.mStep) },
        { "tasks", placed },
        { "waiting", waiting + avoiding + overQuota },
        { "age_ms", CountMilliseconds(aNow - aCandidate.mJob->mAcceptedAt) } });
  }
  return waiting == 0;
}

std::uint32_t
scheduler::NextRun(const task& aTask) const
{
  return std::max(aTask.mLastRun, mRunNumberBase) + 1;
}

start_order
scheduler::MakeStartOrder(const candidate& aCandidate,
                          std::size_t aIndex,
                          runner& aRunner,
                          std::uint32_t aRun,
                          time_point aNow)
{
  const step_spec& spec = aCandidate.Spec();
  task& startedTask = aCandidate.Tasks()[aIndex];
  startedTask.SetLiveRun(aRun, aRunner.mInfo.mName);
  startedTask.mReady = false;

  run newRun = MakeRun(spec);
  newRun.mTask = aCandidate.Id(aIndex);
  newRun.mNumber = aRun;
  newRun.mCustomer = aCandidate.mJob->mSpec.mCustomer;
  AddToCustomerUse(newRun);
  mFairOrder.OnServed(aCandidate.mJob->mFairStart);
  newRun.mOrderedAt = aNow;
  newRun.mPhaseSince = aNow;
  newRun.mProgressAt = aNow;
  newRun.mExpiry = aRunner.ClockAt(aNow) + mSettings.mStartValidity;
  newRun.mCheckpoint = startedTask.mCheckpoint;
  newRun.mIsOrderedInCrashSeries = IsInCrashSeries(aNow);
  aRunner.ExtendLease(newRun.mExpiry, aNow);
  ++aRunner.mStartsInFlight;
  mRunnersByJob[aCandidate.mJob->mName].insert(aRunner.mInfo.mName);
  return NextStartOrder(aRunner, aRunner.Add(std::move(newRun)), aNow);
}

// Returns the start order of the run, to be sent at once. Each order of a run
// is the same but for the number of the attempt.
start_order
scheduler::NextStartOrder(runner& aRunner, run& aRun, time_point aNow)
{
  ++aRun.mStartAttempts;
  ++aRun.mUnansweredStarts;
  aRun.mStartSentAt = aNow;
  return { aRunner.mInfo.mName, aRun.mTask,
           aRun.mNumber,        mJobs.at(aRun.mTask.mJob).mSpec.mPayload,
           aRun.mCheckpoint,    aRun.mExpiry,
           aRun.mStartAttempts };
}

// Sends start orders again that have no answer after the usual time, and counts
// the unanswered ones.
void
scheduler::PlanResends(time_point aNow, std::vector<order>& aOrders)
{
  const auto delay = mStartAnswerTimes.ResendDelay();
  for (auto& [runnerName, each] : mRunners) {
    each.mStartsInFlight = 0;
    for (auto& [key, live] : each.Runs()) {
      if (!IsStarting(live)) {
        continue;
      }
      ++each.mStartsInFlight;
      if (aNow - live.mStartSentAt < delay ||
          !MayResendStart(each, live, aNow)) {
        continue;
      }
      each.mAnswerRecord.OnUnanswered(aNow);
      LogEvent(log_level::kInfo,
               "task.start_resent",
               { { "task", key.first },
                 { "run", static_cast<std::uint64_t>(key.second) },
                 { "runner", runnerName.Str() },
                 { "attempt", live.mStartAttempts + 1 } });
      aOrders.emplace_back(NextStartOrder(each, live, aNow));
    }
  }
}

// Returns whether the start order of the run may be sent once more. A runner
// that does not answer polls would not answer it either.
bool
scheduler::MayResendStart(const runner& aRunner,
                          const run& aRun,
                          time_point aNow) const
{
  const job* const foundJob = Find(aRun.mTask.mJob);
  return mMayStart && foundJob != nullptr && !IsFinal(foundJob->mState) &&
         !aRun.mStopWanted && !aRun.mIsOfEarlierBoot &&
         aRun.mStartAttempts < kMaxStartAttempts && aRunner.mListed &&
         !aRunner.mInfo.mDraining && !aRunner.mIsUnresponsive &&
         aRunner.ClockAt(aNow) < aRun.mExpiry;
}

void
scheduler::PlanStops(time_point aNow, std::vector<order>& aOrders)
{
  for (auto& [runnerName, each] : mRunners) {
    for (auto& [key, live] : each.Runs()) {
      const bool isDue =
        live.mStopWanted && !live.mStopInFlight &&
        live.mPhase != run_phase::kOrdered &&
        (live.mStopSentAt == time_point{} ||
         aNow - live.mStopSentAt >= mSettings.mStopRetryInterval);
      if (isDue) {
        live.mStopInFlight = true;
        live.mStopSentAt = aNow;
        aOrders.emplace_back(
          stop_order{ runnerName, live.mTask, live.mNumber });
      }
    }
  }
}

// Returns whether runners of the service may get runs. The jobs of one that the
// catalog does not have any more go on.
bool
scheduler::MayGetRuns(const service_name& aService) const
{
  const auto found = mCatalog.mServices.find(aService);
  if (found != mCatalog.mServices.end()) {
    return !found->second.mSpare;
  }
  return std::any_of(
    mActiveJobs.begin(), mActiveJobs.end(), [&](const job_name& aJob) {
      return ServiceOf(PolicyOf(mJobs.at(aJob))) == aService;
    });
}

void
scheduler::PlanPolls(time_point aNow, std::vector<order>& aOrders)
{
  std::map<service_name, bool> mayGetRuns; // results of `MayGetRuns()`
  const auto isInUse = [&](const service_name& aService) {
    const auto known = mayGetRuns.find(aService);
    return known != mayGetRuns.end()
             ? known->second
             : mayGetRuns.emplace(aService, MayGetRuns(aService)).first->second;
  };
  for (auto& [runnerName, each] : mRunners) {
    if (each.mPollInFlight || aNow < each.mNextPollAt) {
      continue;
    }
    const bool needsFirstPoll = (each.mListed || each.mMayHoldInheritedRuns) &&
                                !each.mContacted &&
                                isInUse(each.mInfo.mService);
    const bool hasRuns = std::any_of(
      each.Runs().begin(), each.Runs().end(), [](const auto& aEntry) {
        return aEntry.second.mPhase != run_phase::kOrdered;
      });
    const bool hasUnsentAck = each.mListed &&
                              each.mHighestSeenEnd > each.mHighestAckedEnd &&
                              each.mHighestStoredEnd > each.mHighestAckedEnd;
    const bool hasFailedPoll = each.mListed && each.mFailedPolls > 0;
    const bool isAckDue = hasUnsentAck && aNow >= each.mAckDueAt;
    const bool isClockDue = each.mListed && each.mContacted &&
                            aNow - each.ClockReadAt() >= kClockRefreshAge;
    if (needsFirstPoll || hasRuns || hasFailedPoll || isAckDue || isClockDue) {
      aOrders.emplace_back(MakePollOrder(each, aNow));
    }
  }
}

std::chrono::nanoseconds
scheduler::PollInterval() const
{
  const auto runners = static_cast<std::int64_t>(mRunners.size());
  return std::max<std::chrono::nanoseconds>(
    mSettings.mPollInterval, mSettings.mPollIntervalPerRunner * runners);
}

// Returns whether a poll of the runner may acknowledge ends. Their numbers
// would acknowledge other ends if the runner has started again and runs of its
// new boot have ended already, so it has to have answered its last poll, and
// lately if it has runs.
bool
scheduler::MayAcknowledge(const runner& aRunner, time_point aNow) const
{
  const bool wasQuiet =
    aNow - aRunner.ClockReadAt() > kQuietPollIntervals * PollInterval();
  return aRunner.mFailedPolls == 0 && (aRunner.Runs().empty() || !wasQuiet);
}

// Returns for how long the runner may delay its answer to the poll. A poll that
// acknowledges ends does not wait: runs of a boot that this owner does not know
// may end meanwhile, and would be acknowledged unseen. Nor does one whose
// answer tells whether a run has begun.
milliseconds
scheduler::PollWait(const runner& aRunner,
                    const poll_order& aPoll,
                    time_point aNow) const
{
  const bool hasUnsettledRun = std::any_of(
    aRunner.Runs().begin(), aRunner.Runs().end(), [](const auto& aEntry) {
      const run& each = aEntry.second;
      return each.mPhase == run_phase::kUnknown ||
             (each.mIsOfEarlierBoot && each.mPhase != run_phase::kListed);
    });
  if (hasUnsettledRun || aPoll.mAcknowledged > 0) {
    return milliseconds(0);
  }
  if (aRunner.mAnswerRecord.IsUnreliable(aNow)) {
    return kUnreliableRunnerPollWait;
  }
  return HasMixedTasks(aRunner) ? kSharedRunnerPollWait : mSettings.mPollWait;
}

poll_order
scheduler::MakePollOrder(runner& aRunner, time_point aNow)
{
  poll_order poll;
  poll.mRunner = aRunner.mInfo.mName;
  // Once acknowledged, the runner has forgotten these ends.
  if (aRunner.mHighestStoredEnd > aRunner.mHighestAckedEnd &&
      MayAcknowledge(aRunner, aNow)) {
    poll.mAcknowledged = aRunner.mHighestStoredEnd;
  }
  aRunner.mAckDueAt = aNow + kIdleAckDelay;
  const bool isReachable =
    aRunner.mContacted && aRunner.mIsInRoster && aRunner.IsAnswering();
  if (isReachable && !aRunner.Runs().empty()) {
    // Only the lease of a runner that answers is extended, so that the tasks of
    // an unreachable runner can soon start elsewhere.
    poll.mWait = PollWait(aRunner, poll, aNow);
    if (mMayStart && aRunner.IsClockCurrent(aNow)) {
      // A repeated poll grants what the lost one would have granted, and no
      // more: the runner may be gone.
      if (aRunner.mFailedPolls == 0) {
        aRunner.mGrantedLease = aRunner.ClockAt(aNow) + mSettings.mLease;
      }
      poll.mLeaseUntil = aRunner.mGrantedLease;
      aRunner.ExtendLease(*poll.mLeaseUntil, aNow);
    }
  }
  if (aRunner.mAnswerRecord.IsUnreliable(aNow)) {
    const auto usual = std::chrono::duration_cast<milliseconds>(
      2 * mStartAnswerTimes.ResendDelay());
    poll.mAnswerTimeout =
      std::clamp(usual, kMinPollAnswerTimeout, poll.mAnswerTimeout);
  }
  aRunner.mPollInFlight = true;
  aRunner.mNextPollAt =
    aNow + (aRunner.mIsUnresponsive ? kPollRetryDelay : PollInterval());
  return poll;
}

void
scheduler::PlanThrottles(std::vector<order>& aOrders)
{
  for (auto& [runnerName, each] : mRunners) {
    const int cpuLimit = each.mBestEffortCpuLimitPercent;
    for (auto& [key, live] : each.Runs()) {
      const bool isDue = live.mBestEffort &&
                         live.mPhase == run_phase::kListed &&
                         !live.mStopWanted && !live.mThrottleInFlight &&
                         live.mCpuLimitPercent != cpuLimit;
      if (isDue) {
        live.mThrottleInFlight = true;
        aOrders.emplace_back(
          throttle_order{ runnerName, live.mTask, live.mNumber, cpuLimit });
      }
    }
  }
}

} // namespace mangospan::jobs
