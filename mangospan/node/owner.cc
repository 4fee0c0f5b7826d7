#include "mangospan/node/owner.h"

#include <algorithm>
#include <utility>

#include "mangospan/base/log.h"
#include "mangospan/daemon/metrics.h"
#include "mangospan/jobs/codec.h"

namespace mangospan::node {

using jobs::order_outcome;
using std::chrono::milliseconds;

namespace {

constexpr const char* kOwnedPrefix = "mangospan/owned/";
constexpr const char* kJobPrefix = "mangospan/owned/jobs/";
constexpr const char* kRosterKey = "mangospan/owned/runners";
// Each job takes two of a transaction's entries; two more keys may be needed.
constexpr std::size_t kJobsPerWrite = platform::kMaxTransactionKeys / 2 - 2;
constexpr std::size_t kJobsPerDelete = 16;
constexpr milliseconds kUnavailableRetry{ 1'000 };

jobs::wall_time
WallNow()
{
  return std::chrono::system_clock::now();
}

std::string
JobKey(const jobs::job_name& aJob)
{
  return kJobPrefix + aJob.Str();
}

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
             owner_record aTerm,
             std::function<bool()> aMayStart,
             std::function<void()> aOnSuperseded)
  : mDeps(aDependencies)
  , mSettings(aSettings)
  , mTerm(std::move(aTerm))
  , mMayStart(std::move(aMayStart))
  , mOnSuperseded(std::move(aOnSuperseded))
  , mScheduler(aScheduling, { mTerm.mTerm, mDeps.mClock.Now() })
  , mTickTimer(mDeps.mIo)
  , mPlanTimer(mDeps.mIo)
  , mWriteTimer(mDeps.mIo)
  , mLoadTimer(mDeps.mIo)
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
  mRunnerMirror->Stop();
  mTickTimer.cancel();
  mPlanTimer.cancel();
  mWriteTimer.cancel();
  mLoadTimer.cancel();
  const auto waiters = std::move(mWaiters);
  mWaiters.clear();
  for (const auto& [job, each] : waiters) {
    each.mHandler(Reply(reply_kind::kUnknown));
  }
}

void
owner::HandOver(std::function<void()> aDone)
{
  mIsHandingOver = true;
  mScheduler.SetMayStart(false);
  written_roster roster;
  roster.mText =
    jobs::EncodeRoster(mScheduler.Roster(mDeps.mClock.Now(), WallNow()));
  platform::transaction change;
  change.mExpected.push_back({ election::TermKey(), mTerm.mRevision });
  change.mWrites.push_back({ kRosterKey, 0, roster.mText, std::nullopt });
  mDeps.mStore.Commit(
    std::move(change),
    mSettings.mWriteTimeout,
    [done = std::move(aDone)](const result<platform::commit_outcome>& aResult) {
      if (aResult.has_error()) { // the successor waits for the longest lease
        LogError("owner.handover_failed", aResult.assume_error());
      }
      done();
    });
}

void
owner::SetCatalog(const jobs::catalog& aCatalog)
{
  mScheduler.SetCatalog(aCatalog);
  Wake();
}

void
owner::Load()
{
  mDeps.mStore.List(kOwnedPrefix,
                    mSettings.mLoadTimeout,
                    [self = shared_from_this()](
                      const result<std::vector<platform::record>>& aResult) {
                      if (self->mIsStopped) {
                        return;
                      }
                      if (aResult.has_value()) {
                        self->OnLoaded(aResult.assume_value());
                        return;
                      }
                      LogError("owner.load_failed", aResult.assume_error());
                      self->mLoadTimer.expires_after(
                        self->mSettings.mWriteRetry);
                      self->mLoadTimer.async_wait(
                        [self](const boost::system::error_code& aAbort) {
                          if (!aAbort && !self->mIsStopped) {
                            self->Load();
                          }
                        });
                    });
}

void
owner::OnLoaded(const std::vector<platform::record>& aRecords)
{
  std::vector<jobs::job> loaded;
  std::vector<jobs::roster_entry> roster;
  for (const platform::record& each : aRecords) {
    if (each.mKey == kRosterKey) {
      mRosterRevision = each.mRevision;
      auto known = jobs::DecodeRoster(each.mValue);
      if (known.has_error()) {
        LogError("owner.malformed_roster", known.assume_error());
      } else {
        roster = std::move(known).assume_value();
      }
      continue;
    }
    const jobs::job_name name{ each.mKey.substr(
      std::string_view(kJobPrefix).size()) };
    auto decoded = jobs::DecodeRecord(name, each.mValue);
    if (decoded.has_error()) {
      LogError("owner.malformed_job", decoded.assume_error());
      continue;
    }
    decoded.assume_value().mRevision = each.mRevision;
    loaded.push_back(std::move(decoded).assume_value());
  }
  LogEvent(log_level::kInfo,
           "owner.loaded",
           { { "term", mTerm.mTerm },
             { "jobs", static_cast<std::uint64_t>(loaded.size()) } });
  mScheduler.Load(std::move(loaded), roster, mDeps.mClock.Now(), WallNow());
  mIsLoaded = true;
  Tick();
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
      return;
    }
    self->mScheduler.OnRunner(info.assume_value(), self->mDeps.mClock.Now());
    self->Wake();
  };
  const auto onDeleted = [weak = weak_from_this()](const std::string& aKey) {
    if (const auto self = weak.lock()) {
      const auto prefix = self->mDeps.mFormat.RunnerPrefix().size();
      self->mScheduler.OnRunnerUnlisted(
        jobs::runner_name{ aKey.substr(prefix) }, self->mDeps.mClock.Now());
      self->Wake();
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

void
owner::Tick()
{
  if (mIsStopped) {
    return;
  }
  Plan();
  AnswerWaiters();
  Forget();
  ScheduleWrite();
  mTickTimer.expires_after(mSettings.mTick);
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
  if (mIsPlanPosted || mIsStopped) {
    return;
  }
  mIsPlanPosted = true;
  const time_point now = mDeps.mClock.Now();
  mPlanTimer.expires_after(
    std::max(time_point::duration(0), mPlannedAt + PlanSpacing() - now));
  mPlanTimer.async_wait(
    [self = shared_from_this()](const boost::system::error_code& aAbort) {
      self->mIsPlanPosted = false;
      if (!aAbort) {
        self->Plan();
      }
    });
}

// Planning takes a third of the time at the most, however much waits.
time_point::duration
owner::PlanSpacing() const
{
  return std::max<time_point::duration>(mSettings.mPlanSpacing, 3 * mPlanTook);
}

void
owner::Plan()
{
  if (mIsStopped || !IsServing()) {
    return;
  }
  mPlannedAt = mDeps.mClock.Now();
  mScheduler.SetMayStart(!mIsHandingOver && mMayStart());
  const auto orders = mScheduler.Plan(mPlannedAt, WallNow());
  mPlanTook = mDeps.mClock.Now() - mPlannedAt;
  for (const jobs::order& each : orders) {
    Send(each);
  }
}

runner_target
owner::TargetOf(const jobs::runner_name& aRunner) const
{
  return { aRunner,
           mScheduler.Runners().at(aRunner).mInfo.mAddress,
           mTerm.mTerm };
}

void
owner::Send(const jobs::order& aOrder)
{
  struct sender
  {
    owner& mOwner;
    void operator()(const jobs::start_order& aEach) { mOwner.SendStart(aEach); }
    void operator()(const jobs::stop_order& aEach) { mOwner.SendStop(aEach); }
    void operator()(const jobs::pace_order& aEach) { mOwner.SendPace(aEach); }
    void operator()(const jobs::look_order& aEach) { mOwner.SendLook(aEach); }
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
owner::SendPace(const jobs::pace_order& aOrder)
{
  mDeps.mRunners.Pace(
    TargetOf(aOrder.mRunner),
    aOrder,
    [self = shared_from_this(), aOrder](order_outcome aOutcome) {
      if (!self->mIsStopped) {
        self->mScheduler.OnPace(aOrder, aOutcome);
        self->CheckFence();
      }
    });
}

void
owner::SendLook(const jobs::look_order& aOrder)
{
  const time_point sentAt = mDeps.mClock.Now();
  mDeps.mMetrics.Add("mangospan_node_looks_total", {});
  mDeps.mRunners.Look(
    TargetOf(aOrder.mRunner),
    aOrder,
    [self = shared_from_this(), aOrder, sentAt](const look_answer& aAnswer) {
      if (self->mIsStopped) {
        return;
      }
      const jobs::look_report* const report =
        aAnswer.mReport ? &*aAnswer.mReport : nullptr;
      self->mScheduler.OnLook(aOrder,
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
    TellSuperseded();
  }
}

void
owner::TellSuperseded()
{
  if (mOnSuperseded) {
    const auto tell = std::move(mOnSuperseded);
    mOnSuperseded = nullptr;
    tell();
  }
}

void
owner::ScheduleWrite()
{
  if (mIsWriteScheduled || mIsWriting || mIsStopped || !mIsLoaded) {
    return;
  }
  const bool progressIsDue = mDeps.mClock.Now() >= mNextProgress;
  const bool rosterIsDue =
    mScheduler.RosterVersion() != mScheduler.StoredRosterVersion();
  if (!rosterIsDue && mScheduler.Unstored(1, !progressIsDue).empty()) {
    return;
  }
  mIsWriteScheduled = true;
  mWriteTimer.expires_after(mFailedWrites > 0 ? mSettings.mWriteRetry
                                              : mSettings.mWriteDelay);
  mWriteTimer.async_wait(
    [self = shared_from_this()](const boost::system::error_code& aAbort) {
      self->mIsWriteScheduled = false;
      if (!aAbort && !self->mIsStopped) {
        self->Write();
      }
    });
}

void
owner::AddRoster(platform::transaction& aChange, written_records& aWritten)
{
  if (mScheduler.RosterVersion() == mScheduler.StoredRosterVersion()) {
    return;
  }
  written_roster& roster = aWritten.mRoster;
  roster.mVersion = mScheduler.RosterVersion();
  roster.mRunners = mScheduler.Roster(mDeps.mClock.Now(), WallNow());
  roster.mText = jobs::EncodeRoster(roster.mRunners);
  aChange.mExpected.push_back({ kRosterKey, mRosterRevision });
  aChange.mWrites.push_back({ kRosterKey, 0, roster.mText, std::nullopt });
}

void
owner::Write()
{
  platform::transaction change;
  written_records written;
  change.mExpected.push_back({ election::TermKey(), mTerm.mRevision });
  AddRoster(change, written);
  for (const jobs::job_name& each : mScheduler.Unstored(kJobsPerWrite, false)) {
    const jobs::job& one = *mScheduler.Find(each);
    written_job record{ { each, one.mVersion, 0 }, jobs::EncodeRecord(one) };
    change.mExpected.push_back({ JobKey(each), one.mRevision });
    change.mWrites.push_back({ JobKey(each), 0, record.mText, std::nullopt });
    written.mJobs.push_back(std::move(record));
  }
  if (change.mWrites.empty()) {
    return;
  }
  mIsWriting = true;
  mNextProgress = mDeps.mClock.Now() + mSettings.mProgressDelay;
  mDeps.mMetrics.Add("mangospan_node_store_writes_total", {});
  mDeps.mStore.Commit(std::move(change),
                      mSettings.mWriteTimeout,
                      [self = shared_from_this(), written](
                        const result<platform::commit_outcome>& aResult) {
                        self->mIsWriting = false;
                        if (!self->mIsStopped) {
                          self->OnWritten(written, aResult);
                        }
                      });
}

void
owner::OnWritten(const written_records& aWritten,
                 const result<platform::commit_outcome>& aResult)
{
  if (aResult.has_error()) {
    if (mFailedWrites++ == 0) {
      LogError("owner.write_failed", aResult.assume_error());
    }
    ScheduleWrite();
    return;
  }
  if (mFailedWrites > 0) {
    LogEvent(
      log_level::kInfo, "owner.writes_again", { { "failed", mFailedWrites } });
  }
  mFailedWrites = 0;
  if (!aResult.assume_value().mCommitted) {
    OnConflict(aWritten, aResult.assume_value().mPresent);
    return;
  }
  const platform::revision revision = aResult.assume_value().mRevision;
  std::vector<jobs::stored_job> stored;
  for (const written_job& each : aWritten.mJobs) {
    stored.push_back(each.mStored);
    stored.back().mRevision = revision;
  }
  if (!aWritten.mRoster.mText.empty()) {
    mRosterRevision = revision;
    mScheduler.OnRosterStored(aWritten.mRoster.mVersion,
                              aWritten.mRoster.mRunners);
  }
  mScheduler.OnStored(stored);
  AnswerWaiters();
  ScheduleWrite();
  Wake();
}

// Either a newer owner has claimed the term, or an earlier attempt of ours took
// effect although its answer was lost.
void
owner::OnConflict(const written_records& aWritten,
                  const std::vector<platform::record>& aPresent)
{
  std::map<std::string, const platform::record*> present;
  for (const platform::record& each : aPresent) {
    present.emplace(each.mKey, &each);
  }
  const auto term = present.find(election::TermKey());
  if (term != present.end() && term->second->mRevision != mTerm.mRevision) {
    LogEvent(
      log_level::kInfo,
      "owner.superseded",
      { { "term", mTerm.mTerm }, { "revision", term->second->mRevision } });
    TellSuperseded();
    return;
  }
  const auto roster = present.find(kRosterKey);
  if (roster != present.end()) {
    mRosterRevision = roster->second->mRevision; // written again over it
  }
  std::vector<jobs::stored_job> stored;
  for (const written_job& each : aWritten.mJobs) {
    const auto found = present.find(JobKey(each.mStored.mJob));
    if (found == present.end()) {
      continue;
    }
    jobs::job* const one = mScheduler.Mutable(each.mStored.mJob);
    if (one == nullptr) {
      continue;
    }
    if (found->second->mValue == each.mText && found->second->mRevision > 0) {
      stored.push_back(each.mStored);
      stored.back().mRevision = found->second->mRevision;
    } else {
      one->mRevision = found->second->mRevision; // written again over it
    }
  }
  mScheduler.OnStored(stored);
  AnswerWaiters();
  ScheduleWrite();
}

void
owner::Forget()
{
  const auto expired = mScheduler.TakeExpired(WallNow(), kJobsPerDelete);
  if (expired.empty()) {
    return;
  }
  platform::transaction change;
  change.mExpected.push_back({ election::TermKey(), mTerm.mRevision });
  for (const jobs::job_name& each : expired) {
    change.mDeletes.push_back(JobKey(each));
  }
  mDeps.mStore.Commit(std::move(change),
                      mSettings.mWriteTimeout,
                      [](const result<platform::commit_outcome>& aResult) {
                        if (aResult.has_error()) { // a later owner deletes them
                          LogError("owner.delete_failed",
                                   aResult.assume_error());
                        }
                      });
}

void
owner::Submit(const jobs::job_name& aJob,
              const jobs::job_spec& aSpec,
              milliseconds aPatience,
              reply_handler aHandler)
{
  const time_point now = mDeps.mClock.Now();
  if (!IsServing() || mIsHandingOver ||
      (mFailedWrites > 0 && mScheduler.Find(aJob) == nullptr)) {
    job_reply busy = Reply(reply_kind::kUnavailable);
    busy.mRetryAfter = kUnavailableRetry;
    aHandler(busy);
    return;
  }
  const jobs::submit_answer answer =
    mScheduler.Submit(aJob, aSpec, now, WallNow());
  if (answer.mOutcome == jobs::submit_outcome::kPending) {
    mWaiters.emplace(aJob, waiter{ now + aPatience, std::move(aHandler) });
    ScheduleWrite();
    return;
  }
  job_reply reply = Reply(answer.mOutcome == jobs::submit_outcome::kStored
                            ? reply_kind::kOk
                            : reply_kind::kRefused);
  reply.mRetryAfter = answer.mRetryAfter;
  aHandler(reply);
}

void
owner::Cancel(const jobs::job_name& aJob,
              milliseconds aPatience,
              reply_handler aHandler)
{
  if (!IsServing()) {
    aHandler(Reply(reply_kind::kUnavailable));
    return;
  }
  const time_point now = mDeps.mClock.Now();
  if (!mScheduler.Cancel(aJob, now, WallNow())) {
    aHandler(Reply(reply_kind::kNoSuchJob));
    return;
  }
  const waiter one{ now + aPatience, std::move(aHandler) };
  if (!AnswerIfStored(aJob, one)) {
    mWaiters.emplace(aJob, one);
  }
  ScheduleWrite();
  Wake();
}

void
owner::Read(const jobs::job_name& aJob,
            milliseconds /*aPatience*/,
            reply_handler aHandler)
{
  if (!IsServing()) {
    aHandler(Reply(reply_kind::kUnavailable));
    return;
  }
  const jobs::job* const found = mScheduler.Find(aJob);
  if (found == nullptr) {
    aHandler(Reply(reply_kind::kNoSuchJob));
    return;
  }
  job_reply reply = Reply(reply_kind::kOk);
  // An end that is not stored yet could still be forgotten with this owner.
  const bool isCertain = !jobs::IsFinal(found->mState) || found->IsStored();
  reply.mState = isCertain ? found->mState : jobs::job_state::kRunning;
  aHandler(reply);
}

void
owner::CountWaiting(const jobs::queue_name& aQueue,
                    milliseconds /*aPatience*/,
                    reply_handler aHandler)
{
  if (!IsServing()) {
    aHandler(Reply(reply_kind::kUnavailable));
    return;
  }
  job_reply reply = Reply(reply_kind::kOk);
  reply.mWaiting = mScheduler.Waiting(aQueue);
  aHandler(reply);
}

bool
owner::AnswerIfStored(const jobs::job_name& aJob, const waiter& aWaiter)
{
  const jobs::job* const found = mScheduler.Find(aJob);
  if (found == nullptr) {
    aWaiter.mHandler(Reply(reply_kind::kUnknown));
    return true;
  }
  const bool isStored = jobs::IsFinal(found->mState)
                          ? found->IsStored()
                          : found->mStoredVersion > 0;
  if (isStored) {
    aWaiter.mHandler(Reply(reply_kind::kOk));
  }
  return isStored;
}

void
owner::AnswerWaiters()
{
  const time_point now = mDeps.mClock.Now();
  for (auto it = mWaiters.begin(); it != mWaiters.end();) {
    const waiter each = it->second;
    if (AnswerIfStored(it->first, each)) {
      it = mWaiters.erase(it);
    } else if (now >= each.mUntil) {
      it = mWaiters.erase(it);
      each.mHandler(Reply(reply_kind::kUnknown));
    } else {
      ++it;
    }
  }
}

} // namespace mangospan::node
