#include "mangospan/node/owner.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "mangospan/base/log.h"
#include "mangospan/base/timer.h"
#include "mangospan/daemon/metrics.h"

namespace mangospan::node {

using jobs::order_outcome;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

namespace {

// The time after which a write counts as unanswered before the first answer.
constexpr milliseconds kInitialRepeatDelay{ 100 };
// How often an owner tells why ready tasks wait, and from which wait on it logs
// that.
constexpr milliseconds kWaitReportInterval{ 1'000 };
constexpr milliseconds kLongWait{ 2'000 };

job_reply
Reply(reply_kind aKind)
{
  job_reply out;
  out.mKind = aKind;
  return out;
}

} // namespace

owner::owner(owner_dependencies aDependencies,
             owner_settings aSettings,
             jobs::scheduler_settings aScheduling,
             service_name aService,
             owner_record aOwnerRecord,
             std::function<ownership_status()> aOwnershipStatus,
             std::function<void()> aOnSuperseded)
  : mDeps(aDependencies)
  , mSettings(aSettings)
  , mService(std::move(aService))
  , mOwnerRecord(std::move(aOwnerRecord))
  , mFence{ election::TermKey(JobsSubject(mService)), mOwnerRecord.mRevision }
  , mOwnershipStatus(std::move(aOwnershipStatus))
  , mOnSuperseded(std::move(aOnSuperseded))
  , mScheduler(aScheduling,
               { mOwnerRecord.mTerm, mDeps.mClock.Now(), mService })
  , mTickTimer(mDeps.mIo)
  , mPlanTimer(mDeps.mIo)
  , mWriteTimer(mDeps.mIo)
  , mLoadTimer(mDeps.mIo)
  , mWriteTimes({ mSettings.mMinRepeatDelay,
                  mSettings.mWriteTimeout,
                  kInitialRepeatDelay })
{
}

void
owner::Start(const jobs::catalog& aCatalog)
{
  mScheduler.SetCatalog(aCatalog);
  StartRunnerMirror();
  Load();
}

void
owner::Stop()
{
  if (mIsStopped) {
    return;
  }
  mIsStopped = true;
  SetWaitMetrics({});
  SetQuotaMetrics({});
  SetOverloadMetric(nanoseconds(0));
  mRunnerMirror->Stop();
  mTickTimer.cancel();
  mPlanTimer.cancel();
  mWriteTimer.cancel();
  mLoadTimer.cancel();
  for (auto& [number, each] : mWritesInFlight) {
    each.mTimer->cancel();
  }
  const auto waiters = std::move(mWaiters);
  mWaiters.clear();
  for (const auto& [job, each] : waiters) {
    each.mHandler(Reply(reply_kind::kUnknown));
  }
}

void
owner::SetCatalog(const jobs::catalog& aCatalog)
{
  mScheduler.SetCatalog(aCatalog);
  Wake();
}

void
owner::StartRunnerMirror()
{
  const auto onRecord = [weak =
                           weak_from_this()](const platform::record& aRecord) {
    const auto self = weak.lock();
    if (!self) {
      return;
    }
    const auto info =
      self->mDeps.mFormat.DecodeRunner(aRecord.mKey, aRecord.mValue);
    if (info.has_error()) {
      LogError("runner.malformed_record", info.assume_error());
      self->mDeps.mMetrics.Add("mangospan_node_malformed_entries_total",
                               { { "service", self->mService.Str() } });
      self->OnRunnerRecordGone(aRecord.mKey);
      return;
    }
    const time_point now = self->mDeps.mClock.Now();
    if (info.assume_value().mService == self->mService) {
      self->mScheduler.OnRunnerListed(info.assume_value(), now);
      self->Wake();
    } else {
      self->mScheduler.OnRunnerUnlisted(info.assume_value().mName, now);
    }
  };
  const auto onDeleted =
    [weak = weak_from_this()](const std::string& aKey,
                              platform::revision /*aRevision*/) {
      if (const auto self = weak.lock()) {
        self->OnRunnerRecordGone(aKey);
      }
    };
  mRunnerMirror =
    std::make_shared<mirror>(mDeps.mIo,
                             mDeps.mClock,
                             mDeps.mStore,
                             mDeps.mFormat.RunnerPrefix(),
                             mirror_settings{},
                             mirror_handlers{ onRecord, onDeleted, nullptr });
  mRunnerMirror->Start();
}

// Handles a record that was deleted, or that names no runner any more.
void
owner::OnRunnerRecordGone(const std::string& aKey)
{
  const auto prefix = mDeps.mFormat.RunnerPrefix().size();
  mScheduler.OnRunnerUnlisted(jobs::runner_name{ aKey.substr(prefix) },
                              mDeps.mClock.Now());
  Wake();
}

void
owner::Tick()
{
  if (mIsStopped) {
    return;
  }
  ObserveWait(mTickDueAt);
  Plan();
  ReportWaits();
  ReportOverload();
  AnswerWaiters();
  DeleteExpiredJobs();
  ScheduleWrite();
  mTickDueAt = mDeps.mClock.Now() + mSettings.mTickInterval;
  mTickTimer.expires_after(mSettings.mTickInterval);
  mTickTimer.async_wait(
    [self = shared_from_this()](const boost::system::error_code& aAbort) {
      if (!aAbort) {
        self->Tick();
      }
    });
}

void
owner::Wake()
{
  if (mIsPlanScheduled || mIsStopped) {
    return;
  }
  mIsPlanScheduled = true;
  const time_point now = mDeps.mClock.Now();
  mPlanTimer.expires_after(
    std::max(time_point::duration(0), mLastPlanAt + PlanInterval() - now));
  mPlanTimer.async_wait(
    [self = shared_from_this()](const boost::system::error_code& aAbort) {
      self->mIsPlanScheduled = false;
      if (!aAbort) {
        self->Plan();
      }
    });
}

// Limits planning to a tenth of the time, however many tasks wait.
time_point::duration
owner::PlanInterval() const
{
  return std::max<time_point::duration>(mSettings.mMinPlanInterval,
                                        9 * mLastPlanDuration);
}

void
owner::Plan()
{
  if (mIsStopped || !IsLoaded()) {
    return;
  }
  mLastPlanAt = mDeps.mClock.Now();
  const ownership_status status = mOwnershipStatus();
  mScheduler.OnOwnershipConfirmed(status.mConfirmedAt);
  mScheduler.SetMayStart(!mIsHandingOver && status.mMayStartRuns);
  const auto orders = mScheduler.Plan(mLastPlanAt, WallNow());
  mLastPlanDuration = mDeps.mClock.Now() - mLastPlanAt;
  for (const jobs::order& each : orders) {
    Send(each);
  }
}

void
owner::SetWaitMetrics(const jobs::waiting_tasks& aWaiting)
{
  for (const jobs::wait_reason each : jobs::kCountedWaitReasons) {
    const auto found = aWaiting.mCounts.find(each);
    mDeps.mMetrics.Set(
      "mangospan_node_waiting_tasks",
      { { "service", mService.Str() }, { "reason", jobs::Name(each) } },
      found == aWaiting.mCounts.end() ? 0 : static_cast<double>(found->second));
  }
  mDeps.mMetrics.Set(
    "mangospan_node_oldest_waiting_task_seconds",
    { { "service", mService.Str() } },
    std::chrono::duration<double>(aWaiting.mOldestAge).count());
}

void
owner::SetPauseMetrics()
{
  const jobs::pause_counts& counts = mScheduler.PauseCounts();
  const auto set = [this](const char* aReason, std::uint64_t aCount) {
    mDeps.mMetrics.Set("mangospan_node_quarantines",
                       { { "service", mService.Str() }, { "reason", aReason } },
                       static_cast<double>(aCount));
  };
  set("faulty", counts.mFaulty);
  set("refused", counts.mRefused);
}

void
owner::SetQuotaMetrics(const customers::quota_report& aReport)
{
  for (const auto& [label, usage] : mUsageByLabel.Update(aReport)) {
    const daemon::metric_labels labels{ { "service", mService.Str() },
                                        { "customer", label } };
    mDeps.mMetrics.Set("mangospan_node_customer_share", labels, usage.mShare);
    mDeps.mMetrics.Set("mangospan_node_customer_used", labels, usage.mUsed);
  }
}

// Reports what the customers with caps have, and which of them the quota starts
// or ends to hold back.
void
owner::ReportQuota(const jobs::waiting_tasks& aWaiting, time_point aNow)
{
  mLastQuota = mScheduler.ReportQuota(aNow, WallNow());
  SetQuotaMetrics(mLastQuota);
  for (const customers::quota_change& each :
       mQuotaChanges.Update(mLastQuota, aWaiting.mLimitedByQuota)) {
    LogEvent(log_level::kInfo,
             each.mIsLimited ? "customer.limited" : "customer.unlimited",
             { { "service", mService.Str() },
               { "customer", each.mCustomer.Str() },
               { "share", customers::Fraction(each.mUsage.mShare) },
               { "used", customers::Fraction(each.mUsage.mUsed) },
               { "wanted", customers::Fraction(each.mUsage.mWanted) } });
  }
}

// Reports why ready tasks wait, and how many runners were kept from them.
void
owner::ReportWaits()
{
  const time_point now = mDeps.mClock.Now();
  if (now < mNextWaitReportAt) {
    return;
  }
  mNextWaitReportAt = now + kWaitReportInterval;
  const jobs::waiting_tasks waiting = mScheduler.WaitingTasks(now, WallNow());
  SetWaitMetrics(waiting);
  SetPauseMetrics();
  ReportQuota(waiting, now);
  mDeps.mMetrics.Set("mangospan_node_learned_classes",
                     { { "service", mService.Str() } },
                     static_cast<double>(mScheduler.CountLearnedClasses()));
  if (waiting.mOldestAge >= kLongWait) {
    LogEvent(log_level::kInfo,
             "task.waits",
             { { "service", mService.Str() },
               { "task", waiting.mOldest.Text() },
               { "age_ms", CountMilliseconds(waiting.mOldestAge) },
               { "reason", jobs::Name(waiting.mOldestReason) },
               { "obstacles", waiting.mObstacles } });
  }
}

void
owner::SetOverloadMetric(nanoseconds aLongestWait)
{
  mDeps.mMetrics.Set("mangospan_node_owner_wait_seconds",
                     { { "service", mService.Str() } },
                     std::chrono::duration<double>(aLongestWait).count());
}

// Reports how long work has waited, while new jobs are refused for it.
void
owner::ReportOverload()
{
  const time_point now = mDeps.mClock.Now();
  if (now < mNextOverloadReportAt) {
    return;
  }
  mNextOverloadReportAt = now + kWaitReportInterval;
  SetOverloadMetric(std::max(mLongestProcessWait, mLongestWriteWait));
  if (mRefusedSinceReport > 0) {
    LogEvent(log_level::kWarning,
             "owner.overloaded",
             { { "service", mService.Str() },
               { "refused", mRefusedSinceReport },
               { "process_wait_ms", CountMilliseconds(mLongestProcessWait) },
               { "write_wait_ms", CountMilliseconds(mLongestWriteWait) } });
  }
  mRefusedSinceReport = 0;
  mLongestProcessWait = nanoseconds(0);
  mLongestWriteWait = nanoseconds(0);
}

runner_target
owner::TargetOf(const jobs::runner_name& aRunner) const
{
  return { aRunner,
           mScheduler.Runners().at(aRunner).mInfo.mAddress,
           mOwnerRecord.mTerm };
}

void
owner::Send(const jobs::order& aOrder)
{
  struct sender
  {
    owner& mOwner;
    void operator()(const jobs::start_order& aEach) { mOwner.SendStart(aEach); }
    void operator()(const jobs::stop_order& aEach) { mOwner.SendStop(aEach); }
    void operator()(const jobs::throttle_order& aEach)
    {
      mOwner.SendThrottle(aEach);
    }
    void operator()(const jobs::poll_order& aEach) { mOwner.SendPoll(aEach); }
  };
  std::visit(sender{ *this }, aOrder);
}

void
owner::SendStart(const jobs::start_order& aOrder)
{
  const time_point sentAt = mDeps.mClock.Now();
  mDeps.mRunners.Start(
    TargetOf(aOrder.mRunner),
    aOrder,
    [self = shared_from_this(), aOrder, sentAt](order_outcome aOutcome) {
      if (self->mIsStopped) {
        return;
      }
      const time_point now = self->mDeps.mClock.Now();
      self->mDeps.mMetrics.Add("mangospan_node_starts_total",
                               { { "outcome", jobs::Name(aOutcome) } });
      self->mDeps.mMetrics.Observe(
        "mangospan_node_start_call_seconds",
        {},
        std::chrono::duration<double>(now - sentAt).count());
      self->mScheduler.OnStart(aOrder, aOutcome, now);
      self->CheckFence();
      self->Wake();
    });
}

void
owner::SendStop(const jobs::stop_order& aOrder)
{
  mDeps.mRunners.Stop(
    TargetOf(aOrder.mRunner),
    aOrder,
    [self = shared_from_this(), aOrder](order_outcome aOutcome) {
      if (!self->mIsStopped) {
        self->mScheduler.OnStop(aOrder, aOutcome, self->mDeps.mClock.Now());
        self->CheckFence();
      }
    });
}

void
owner::SendThrottle(const jobs::throttle_order& aOrder)
{
  mDeps.mRunners.Throttle(
    TargetOf(aOrder.mRunner),
    aOrder,
    [self = shared_from_this(), aOrder](order_outcome aOutcome) {
      if (!self->mIsStopped) {
        self->mScheduler.OnThrottle(aOrder, aOutcome);
        self->CheckFence();
      }
    });
}

void
owner::SendPoll(const jobs::poll_order& aOrder)
{
  const time_point sentAt = mDeps.mClock.Now();
  mDeps.mMetrics.Add("mangospan_node_looks_total", {});
  mDeps.mRunners.Poll(
    TargetOf(aOrder.mRunner),
    aOrder,
    [self = shared_from_this(), aOrder, sentAt](const poll_answer& aAnswer) {
      if (self->mIsStopped) {
        return;
      }
      const jobs::poll_report* const report =
        aAnswer.mReport ? &*aAnswer.mReport : nullptr;
      self->mScheduler.OnPoll(aOrder,
                              aAnswer.mOutcome,
                              report,
                              sentAt,
                              self->mDeps.mClock.Now(),
                              WallNow());
      self->CheckFence();
      self->ScheduleWrite();
      self->Wake();
    });
}

void
owner::CheckFence()
{
  if (mScheduler.IsFenced()) {
    NotifySuperseded();
  }
}

void
owner::NotifySuperseded()
{
  if (mOnSuperseded) {
    const auto notify = std::move(mOnSuperseded);
    mOnSuperseded = nullptr;
    notify();
  }
}

void
owner::Submit(const jobs::job_name& aJob,
              const jobs::job_spec& aSpec,
              milliseconds aTimeout,
              reply_handler aHandler)
{
  const time_point now = mDeps.mClock.Now();
  const bool isKnown = mScheduler.Find(aJob) != nullptr;
  const refusal_reason reason = ReasonToRefuse(aSpec.mQueue, isKnown, aTimeout);
  if (reason != refusal_reason::kNone) {
    if (reason == refusal_reason::kStoreUnavailable ||
        reason == refusal_reason::kNotLoaded ||
        reason == refusal_reason::kOverloaded) {
      mScheduler.OnTurnedAway(aJob, aSpec, now);
    }
    job_reply unavailable = Reply(reply_kind::kUnavailable);
    unavailable.mReason = reason;
    unavailable.mRetryAfter = RetryAfter(reason, now);
    aHandler(unavailable);
    return;
  }
  const jobs::submit_answer answer =
    mScheduler.Submit(aJob, aSpec, now, WallNow());
  if (answer.mOutcome == jobs::submit_outcome::kPending) {
    if (!isKnown) {
      mNotWritten.emplace_back(now, aJob);
      mOverload.OnAccepted(now);
    }
    mWaiters.emplace(
      aJob,
      waiter{ request_kind::kSubmit, now + aTimeout, std::move(aHandler) });
    ScheduleWrite();
    return;
  }
  job_reply reply = Reply(answer.mOutcome == jobs::submit_outcome::kStored
                            ? reply_kind::kOk
                            : reply_kind::kRefused);
  reply.mRetryAfter = answer.mRetryAfter;
  if (reply.mKind == reply_kind::kRefused) {
    reply.mReason = answer.mIsOverRate ? refusal_reason::kOverRate
                                       : refusal_reason::kNoSuchQueue;
  }
  aHandler(reply);
}

// Returns why this owner can not take a job of the queue now, or kNone.
// `aIsKnown` says that it has a job of that name already, which is only
// reported. `aTimeout` is for how long the caller waits, as of when the call
// was sent; it has waited for this process since, and its job would wait for a
// write.
refusal_reason
owner::ReasonToRefuse(const jobs::queue_name& aQueue,
                      bool aIsKnown,
                      milliseconds aTimeout) const
{
  if (!IsLoaded()) {
    return refusal_reason::kNotLoaded;
  }
  if (mIsHandingOver) {
    return refusal_reason::kHandover;
  }
  if (aIsKnown) {
    return refusal_reason::kNone;
  }
  if (mFailedWrites > 0) {
    return refusal_reason::kStoreUnavailable;
  }
  if (!IsQueueOfThisService(aQueue)) {
    return refusal_reason::kOtherService;
  }
  if (aTimeout <= mProcessWait + mWriteWait) {
    return refusal_reason::kTimeIsUp;
  }
  return mOverload.IsOverloaded() ? refusal_reason::kOverloaded
                                  : refusal_reason::kNone;
}

// Returns when a caller that is refused for the reason comes back.
milliseconds
owner::RetryAfter(refusal_reason aReason, time_point aNow)
{
  if (aReason == refusal_reason::kOverloaded) {
    ++mRefusedSinceReport;
    return mOverload.OnRefused(aNow);
  }
  const bool isSoon =
    mFailedWrites == 0 && aReason != refusal_reason::kTimeIsUp;
  return isSoon ? kHandoverRetryAfter : kUnavailableRetryAfter;
}

// Returns whether the catalog of this node assigns new jobs of the queue to
// this service. A node that forwarded a job may have a different catalog
// version for a short time.
bool
owner::IsQueueOfThisService(const jobs::queue_name& aQueue) const
{
  const auto* const queue = mScheduler.Catalog().FindQueue(aQueue);
  return queue != nullptr && queue->mService == mService;
}

// The reply where this owner has no job of that name. Once its lease may be
// over the next owner may have accepted one.
job_reply
owner::NoSuchJobReply() const
{
  if (mOwnershipStatus().mIsLeaseValid) {
    return Reply(reply_kind::kNoSuchJob);
  }
  job_reply uncertain = Reply(reply_kind::kUnavailable);
  uncertain.mReason = refusal_reason::kLeaseUncertain;
  uncertain.mRetryAfter = kUnavailableRetryAfter;
  return uncertain;
}

void
owner::Cancel(const jobs::job_name& aJob,
              milliseconds aTimeout,
              reply_handler aHandler)
{
  if (!IsLoaded()) {
    aHandler(Reply(reply_kind::kUnavailable));
    return;
  }
  const time_point now = mDeps.mClock.Now();
  if (!mScheduler.Cancel(aJob, now, WallNow())) {
    aHandler(NoSuchJobReply());
    return;
  }
  const waiter one{ request_kind::kCancel,
                    now + aTimeout,
                    std::move(aHandler) };
  if (!AnswerIfStored(aJob, one)) {
    mWaiters.emplace(aJob, one);
  }
  ScheduleWrite();
  Wake();
}

void
owner::Read(const jobs::job_name& aJob,
            milliseconds /*aTimeout*/,
            reply_handler aHandler)
{
  if (!IsLoaded()) {
    aHandler(Reply(reply_kind::kUnavailable));
    return;
  }
  const jobs::job* const found = mScheduler.Find(aJob);
  if (found == nullptr) {
    aHandler(NoSuchJobReply());
    return;
  }
  if (found->mStoredVersion == 0) {
    // The job is not accepted yet, and may be a copy of one that is elsewhere.
    job_reply notStored = NoSuchJobReply();
    if (notStored.mKind == reply_kind::kNoSuchJob) {
      notStored.mReason = refusal_reason::kNotStored;
    }
    aHandler(notStored);
    return;
  }
  job_reply reply = Reply(reply_kind::kOk);
  // A final state that is not stored yet would be lost if this owner failed
  // now.
  const bool isCertain = !jobs::IsFinal(found->mState) || found->IsStored();
  reply.mJobState = isCertain ? found->mState : jobs::job_state::kRunning;
  aHandler(reply);
}

void
owner::CountWaiting(const jobs::queue_name& aQueue,
                    milliseconds /*aTimeout*/,
                    reply_handler aHandler)
{
  if (!IsLoaded()) {
    aHandler(Reply(reply_kind::kUnavailable));
    return;
  }
  job_reply reply = Reply(reply_kind::kOk);
  reply.mWaitingCount = mScheduler.CountWaitingJobs(aQueue);
  aHandler(reply);
}

result<pool_state>
owner::Exchange(const pool_instructions& aInstructions)
{
  if (!IsLoaded() || mIsHandingOver) {
    return error{ error_code::kUnavailable,
                  "pool.exchange",
                  mService.Str(),
                  "the owner of the pool's jobs is not serving" };
  }
  if (aInstructions.mFleetTerm < mFleetTerm) {
    return error{ error_code::kConflict,
                  "pool.exchange",
                  mService.Str(),
                  "the instructions are of an older fleet term" };
  }
  mFleetTerm = aInstructions.mFleetTerm;
  const time_point now = mDeps.mClock.Now();
  for (const jobs::runner_name& each : aInstructions.mDeadRunners) {
    mScheduler.OnRunnerDead(each, now);
  }
  mScheduler.SetCordoned(aInstructions.mCordoned);
  if (aInstructions.mQuota) {
    mScheduler.ApplyQuota(*aInstructions.mQuota);
  }
  for (const jobs::runner_name& each : aInstructions.mEvictFrom) {
    mScheduler.Evict(each, now);
  }
  Wake();
  return BuildPoolState(now);
}

pool_state
owner::BuildPoolState(time_point aNow)
{
  pool_state out;
  out.mTermRevision = mOwnerRecord.mRevision;
  const auto loads = mScheduler.ComputeLoads(aNow, WallNow());
  const auto load = loads.find(mService);
  if (load != loads.end()) {
    out.mLoad = load->second;
  }
  out.mQuota = mScheduler.ReportQuota(aNow, WallNow());
  out.mAreUnlistedRunnersIdle =
    mScheduler.KnowsRunsOf(jobs::runner_name(), aNow);
  for (const auto& [runnerName, each] : mScheduler.Runners()) {
    runner_state state;
    state.mAreRunsKnown = mScheduler.KnowsRunsOf(runnerName, aNow);
    state.mIsUnschedulable = !each.IsAnswering() || each.mInfo.mDraining ||
                             aNow < each.mQuarantinedUntil ||
                             aNow < each.mRefusesUntil;
    state.mCanGetRuns = each.mContacted && each.mIsInRoster;
    state.mIsCordoned = each.mCordoned;
    for (const auto& [key, run] : each.Runs()) {
      ++state.mRunCount;
      state.mLongRunningCount += run.mLongRunning ? 1 : 0;
    }
    out.mRunners.emplace(runnerName, state);
  }
  return out;
}

bool
owner::AnswerIfStored(const jobs::job_name& aJob, const waiter& aWaiter)
{
  const jobs::job* const found = mScheduler.Find(aJob);
  if (found == nullptr) {
    aWaiter.mHandler(Reply(reply_kind::kUnknown));
    return true;
  }
  const bool isFinalStored = jobs::IsFinal(found->mState) && found->IsStored();
  const bool isDone = aWaiter.mKind == request_kind::kCancel
                        ? isFinalStored
                        : found->mStoredVersion > 0;
  if (isDone) {
    aWaiter.mHandler(Reply(reply_kind::kOk));
  }
  return isDone;
}

void
owner::AnswerWaitersOf(const jobs::job_name& aJob)
{
  const auto waiters = mWaiters.equal_range(aJob);
  for (auto it = waiters.first; it != waiters.second;) {
    it = AnswerIfStored(aJob, it->second) ? mWaiters.erase(it) : std::next(it);
  }
}

void
owner::AnswerWaiters()
{
  const time_point now = mDeps.mClock.Now();
  for (auto it = mWaiters.begin(); it != mWaiters.end();) {
    const waiter& each = it->second;
    if (AnswerIfStored(it->first, each)) {
      it = mWaiters.erase(it);
    } else if (now >= each.mDeadline) {
      const waiter expired = std::move(it->second);
      it = mWaiters.erase(it);
      expired.mHandler(Reply(reply_kind::kUnknown));
    } else {
      ++it;
    }
  }
}

} // namespace mangospan::node
