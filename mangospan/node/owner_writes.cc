#include "mangospan/node/owner.h"

#include <algorithm>
#include <utility>

#include "mangospan/base/log.h"
#include "mangospan/base/timer.h"
#include "mangospan/daemon/metrics.h"
#include "mangospan/jobs/codec.h"
#include "mangospan/node/host_orders.h"

namespace mangospan::node {

using std::chrono::nanoseconds;

namespace {

constexpr const char* kOwnedPrefix = "mangospan/owned/";
constexpr const char* kJobsSegment = "jobs/";
constexpr const char* kRosterSegment = "runners";
// Prefix of the keys that name the service that owns a job, its home. The key
// exists from acceptance to removal of the job, so no second owner accepts the
// job after its queue has moved to another service.
constexpr const char* kHomePrefix = "mangospan/homes/";
// Entries that a job takes in a transaction: its record, and for a new job also
// its home. Each key counts twice, as an expectation and as a write.
constexpr std::size_t kEntriesPerNewJob = 4;
constexpr std::size_t kEntriesPerJob = 2;
// Each takes an expectation and two deletes of a transaction.
constexpr std::size_t kJobsPerDelete = 10;
// A write with records of more than these bytes in total has only one.
constexpr std::size_t kMaxBytesPerWrite = std::size_t{ 256 } * 1024;
// A new job may wait for its write by this much longer than a call for this
// process: its caller is better off waiting than coming back.
constexpr std::chrono::milliseconds kWriteWaitAllowance{ 90 };
// A caller whose job the store does not take is told to wait for so long.
constexpr std::chrono::milliseconds kRefusedRecordRetryAfter{ 60'000 };

// Returns whether the store has answered that it does not take the write, which
// repeating it would not change.
bool
IsRefusal(const error& aError)
{
  return aError.mCode == error_code::kInvalidArgument ||
         aError.mCode == error_code::kTooLarge;
}

std::string
HomeKey(const jobs::job_name& aJob)
{
  return kHomePrefix + aJob.Str();
}

} // namespace

std::string
owner::OwnedPrefix(const service_name& aService)
{
  return kOwnedPrefix + aService.Str() + "/";
}

std::string
owner::RosterKey() const
{
  return OwnedPrefix(mService) + kRosterSegment;
}

std::string
owner::JobKey(const jobs::job_name& aJob) const
{
  return OwnedPrefix(mService) + kJobsSegment + aJob.Str();
}

void
owner::HandOver(std::function<void()> aDone)
{
  mIsHandingOver = true;
  mScheduler.SetMayStart(false);
  written_roster roster;
  roster.mText = jobs::EncodeRoster(mScheduler.Roster(mDeps.mClock.Now()),
                                    mScheduler.LearnedRunTimes());
  platform::transaction change = mFence.Begin();
  change.mWrites.push_back({ RosterKey(), roster.mText, std::nullopt });
  mDeps.mStore.Commit(
    std::move(change),
    mSettings.mWriteTimeout,
    [done = std::move(aDone)](const result<platform::commit_outcome>& aResult) {
      if (aResult.has_error()) {
        // The successor then waits for the longest possible lease.
        LogError("owner.handover_failed", aResult.assume_error());
      }
      done();
    });
}

void
owner::Load()
{
  mDeps.mStore.List(
    OwnedPrefix(mService),
    mSettings.mLoadTimeout,
    [self = shared_from_this()](result<std::vector<platform::record>> aResult) {
      if (self->mIsStopped) {
        return;
      }
      if (aResult.has_error()) {
        self->RetryLoad(aResult.assume_error());
        return;
      }
      self->LoadHostOrders(std::move(aResult).assume_value());
    });
}

void
owner::RetryLoad(const error& aError)
{
  LogError("owner.load_failed", aError);
  mLoadTimer.expires_after(mSettings.mRetryDelay);
  mLoadTimer.async_wait(
    [self = shared_from_this()](const boost::system::error_code& aAbort) {
      if (!aAbort && !self->mIsStopped) {
        self->Load();
      }
    });
}

// Cordons runners on hosts with stored host orders: an earlier owner reported
// that nothing runs there, so no new run may start.
void
owner::LoadHostOrders(std::vector<platform::record> aRecords)
{
  mDeps.mStore.Read(
    kHostOrdersKey,
    mSettings.mLoadTimeout,
    [self = shared_from_this(), records = std::move(aRecords)](
      const result<std::optional<platform::record>>& aResult) {
      if (self->mIsStopped) {
        return;
      }
      if (aResult.has_error()) {
        self->RetryLoad(aResult.assume_error());
        return;
      }
      std::set<jobs::runner_name> cordoned;
      if (aResult.assume_value()) {
        const auto orders = DecodeHostOrders(aResult.assume_value()->mValue);
        if (orders.has_error()) {
          LogError("owner.malformed_orders", orders.assume_error());
        } else {
          for (const auto& [host, each] : orders.assume_value()) {
            cordoned.insert(each.mRunner);
          }
        }
      }
      self->mScheduler.SetCordoned(cordoned);
      self->OnLoaded(records);
    });
}

void
owner::OnLoaded(const std::vector<platform::record>& aRecords)
{
  std::vector<jobs::job> loaded;
  jobs::inherited_roster roster;
  const std::string jobPrefix = OwnedPrefix(mService) + kJobsSegment;
  for (const platform::record& each : aRecords) {
    if (each.mKey == RosterKey()) {
      mRosterRevision = each.mRevision;
      auto known = jobs::DecodeRoster(each.mValue);
      if (known.has_error()) {
        LogError("owner.malformed_roster", known.assume_error());
      } else {
        roster.mRunners = std::move(known).assume_value();
        roster.mWriterEndedBy = WriterEndedBy(each.mRevision);
      }
      roster.mRunTimes = LoadRunTimes(each.mValue);
      continue;
    }
    if (each.mKey.compare(0, jobPrefix.size(), jobPrefix) != 0) {
      continue; // a record of a service whose name continues after a slash
    }
    const jobs::job_name name{ each.mKey.substr(jobPrefix.size()) };
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
           { { "service", mService.Str() },
             { "term", mOwnerRecord.mTerm },
             { "jobs", static_cast<std::uint64_t>(loaded.size()) },
             { "inherited_leases_ms",
               CountMilliseconds(mScheduler.InheritedLeasesEnd() -
                                 mDeps.mClock.Now()) },
             { "writer_ended", roster.mWriterEndedBy.has_value() } });
  mScheduler.Load(std::move(loaded), roster, mDeps.mClock.Now(), WallNow());
  mIsLoaded = true;
  mTickDueAt = mDeps.mClock.Now();
  Tick();
}

// Returns the learned run times in the stored roster; none if they are missing
// or damaged, which does not affect its runners.
std::vector<jobs::run_time_summary>
owner::LoadRunTimes(const std::string& aRoster) const
{
  if (!mScheduler.LearnsRunTimes()) {
    return {};
  }
  auto stored = jobs::DecodeRunTimes(aRoster);
  if (stored.has_error()) {
    LogError("owner.malformed_run_times", stored.assume_error());
    return {};
  }
  LogEvent(log_level::kInfo,
           "owner.loaded_run_times",
           { { "service", mService.Str() },
             { "classes",
               static_cast<std::uint64_t>(stored.assume_value().size()) } });
  return std::move(stored).assume_value();
}

// Returns by when the owner that has written the roster of this revision had
// certainly ended, if it was the one before this owner.
std::optional<time_point>
owner::WriterEndedBy(platform::revision aRoster) const
{
  const auto& predecessor = mOwnerRecord.mPredecessor;
  // Its election fences the writes of those before it.
  return predecessor && aRoster > predecessor->mElectedAt
           ? std::optional(predecessor->mEndedBy)
           : std::nullopt;
}

// Returns the jobs that a write in flight carries, those whose present record
// the store has refused, and those whose next attempt is not due.
std::set<jobs::job_name>
owner::JobsNotToWrite() const
{
  std::set<jobs::job_name> out = mJobsBeingWritten;
  const time_point now = mDeps.mClock.Now();
  for (const jobs::job_name& each : mRefusedRecords.Jobs()) {
    const jobs::job* const found = mScheduler.Find(each);
    if (found != nullptr &&
        mRefusedRecords.IsHeldBack(each, found->mVersion, now)) {
      out.insert(each);
    }
  }
  mUnsettled.AddHeldBack(now, out);
  return out;
}

bool
owner::IsRosterWriteDue() const
{
  return !mIsRosterInFlight &&
         mScheduler.RosterVersion() != mScheduler.StoredRosterVersion() &&
         mDeps.mClock.Now() >= mNextRosterWriteAt;
}

// Returns the number of writes in flight that are not overdue.
std::size_t
owner::CountCurrentWrites() const
{
  return static_cast<std::size_t>(std::count_if(
    mWritesInFlight.begin(), mWritesInFlight.end(), [](const auto& aEntry) {
      return !aEntry.second.mIsOverdue;
    }));
}

// Returns whether there is anything to write that no write in flight carries.
// While a write is in flight, only urgent changes of jobs count.
bool
owner::IsWriteNeeded() const
{
  if (CountCurrentWrites() > 0) {
    return mScheduler.HasUnstoredJobs(JobsNotToWrite(), /*aUrgentOnly=*/true);
  }
  const bool isProgressDue = mDeps.mClock.Now() >= mNextProgressWriteAt;
  return IsRosterWriteDue() ||
         mScheduler.HasUnstoredJobs(JobsNotToWrite(), !isProgressDue);
}

void
owner::ScheduleWrite()
{
  const bool isAtWriteLimit =
    CountCurrentWrites() >=
    (mFailedWrites > 0 ? 1 : mSettings.mMaxConcurrentWrites);
  if (mIsWriteScheduled || isAtWriteLimit || mIsStopped || !mIsLoaded ||
      !IsWriteNeeded()) {
    return;
  }
  mIsWriteScheduled = true;
  const auto delay =
    mFailedWrites > 0 ? mSettings.mRetryDelay : mSettings.mWriteDelay;
  mWriteDueAt = mDeps.mClock.Now() + delay;
  mWriteTimer.expires_after(delay);
  mWriteTimer.async_wait(
    [self = shared_from_this()](const boost::system::error_code& aAbort) {
      self->mIsWriteScheduled = false;
      if (!aAbort && !self->mIsStopped) {
        self->ObserveWait(self->mWriteDueAt);
        self->Write();
        self->ScheduleWrite();
      }
    });
}

// Measures for how long work waits. Calls wait for this process as long as a
// timer that was due at `aDueAt` did.
void
owner::ObserveWait(time_point aDueAt)
{
  const time_point now = mDeps.mClock.Now();
  mProcessWait = std::max(nanoseconds(0), now - aDueAt);
  mWriteWait = WaitForWrite();
  mLongestProcessWait = std::max(mLongestProcessWait, mProcessWait);
  mLongestWriteWait = std::max(mLongestWriteWait, mWriteWait);
  mOverload.OnWait(now,
                   std::max(mProcessWait, mWriteWait - kWriteWaitAllowance));
}

// Returns for how long the first of the new jobs had waited when the last full
// write was sent without it, beyond the time that the store takes to answer. A
// job that no write has left out only waits for a slow store.
nanoseconds
owner::WaitForWrite()
{
  while (!mNotWritten.empty()) {
    const auto& [acceptedAt, name] = mNotWritten.front();
    const jobs::job* const found = mScheduler.Find(name);
    const bool isWaiting = found != nullptr && found->mStoredVersion == 0 &&
                           mJobsBeingWritten.count(name) == 0 &&
                           !mUnsettled.Contains(name) &&
                           !mRefusedRecords.MustBeAlone(name);
    if (isWaiting) {
      return std::max(nanoseconds(0),
                      mLastFullWriteAt - acceptedAt - mAnswerTime);
    }
    mNotWritten.pop_front();
  }
  return nanoseconds(0);
}

void
owner::AddRosterWrite(platform::transaction& aChange, written_records& aWritten)
{
  mIsRosterInFlight = true;
  written_roster& roster = aWritten.mRoster;
  roster.mVersion = mScheduler.RosterVersion();
  roster.mRunners = mScheduler.Roster(mDeps.mClock.Now());
  roster.mText =
    jobs::EncodeRoster(roster.mRunners, mScheduler.LearnedRunTimes());
  aChange.mExpectations.push_back({ RosterKey(), mRosterRevision });
  aChange.mWrites.push_back({ RosterKey(), roster.mText, std::nullopt });
}

void
owner::Write()
{
  platform::transaction change = mFence.Begin();
  written_records written;
  if (IsRosterWriteDue()) {
    AddRosterWrite(change, written);
  }
  const std::set<jobs::job_name> excluded = JobsNotToWrite();
  const auto unstored = mScheduler.UnstoredJobs(
    excluded.size() + platform::kMaxTransactionKeys / kEntriesPerJob);
  for (const jobs::job_name& each : unstored) {
    if (excluded.count(each) == 0 &&
        !AddJobWrite(*mScheduler.Find(each), change, written)) {
      mLastFullWriteAt = mDeps.mClock.Now();
      break;
    }
  }
  if (change.mWrites.empty()) {
    return;
  }
  const std::uint64_t number = ++mWriteCount;
  write_in_flight& write = mWritesInFlight[number];
  write.mRecords = std::move(written);
  write.mSentAt = mDeps.mClock.Now();
  write.mTimer = std::make_unique<timer>(mDeps.mIo);
  write.mTimer->expires_after(IsStoreSilent() ? mSettings.mWriteTimeout
                                              : mWriteTimes.ResendDelay());
  write.mTimer->async_wait([self = shared_from_this(),
                            number](const boost::system::error_code& aAbort) {
    if (!aAbort && !self->mIsStopped) {
      self->OnWriteOverdue(number);
    }
  });
  mNextProgressWriteAt = mDeps.mClock.Now() + mSettings.mMinProgressInterval;
  mDeps.mMetrics.Add("mangospan_node_store_writes_total", {});
  mDeps.mStore.Commit(std::move(change),
                      mSettings.mWriteTimeout,
                      [self = shared_from_this(), number](
                        const result<platform::commit_outcome>& aResult) {
                        self->OnWriteAnswered(number, aResult);
                      });
}

// Adds the job's record, unless it has to be written alone or would make the
// write too large. Returns false if the write takes no further record.
bool
owner::AddJobWrite(const jobs::job& aJob,
                   platform::transaction& aChange,
                   written_records& aWritten)
{
  const jobs::job_name& name = aJob.mName;
  const bool isFirst = aWritten.Count() == 0;
  const bool isAlone = mRefusedRecords.MustBeAlone(name);
  const bool isNew = aJob.mRevision == 0;
  const std::size_t entries = aChange.mExpectations.size() +
                              aChange.mWrites.size() +
                              (isNew ? kEntriesPerNewJob : kEntriesPerJob);
  if (entries > platform::kMaxTransactionKeys ||
      (aWritten.HasRoster() && mMustRosterBeAlone)) {
    return false;
  }
  // A write of unsettled records is likely to be in conflict, which would hold
  // up the others.
  const bool isUnsettled = mUnsettled.Contains(name);
  const std::size_t maxJobs =
    std::min(aWritten.mMaxJobs, mUnsettled.MaxPerWrite(name));
  const bool isOfOtherKind =
    isUnsettled != (!aWritten.mJobs.empty() &&
                    mUnsettled.Contains(aWritten.mJobs.front().mStored.mJob));
  if (!isFirst &&
      (isAlone || isOfOtherKind || aWritten.mJobs.size() >= maxJobs)) {
    return true; // another write takes it
  }
  written_job record{ { name, aJob.mVersion, 0 }, jobs::EncodeRecord(aJob) };
  std::size_t bytes = aWritten.mRoster.mText.size() + record.mText.size();
  for (const written_job& each : aWritten.mJobs) {
    bytes += each.mText.size();
  }
  if (bytes > kMaxBytesPerWrite && !isFirst) {
    return false;
  }
  if (isNew) {
    aChange.mExpectations.push_back({ HomeKey(name), 0 });
    aChange.mWrites.push_back({ HomeKey(name), mService.Str(), std::nullopt });
  }
  aChange.mExpectations.push_back({ JobKey(name), aJob.mRevision });
  aChange.mWrites.push_back({ JobKey(name), record.mText, std::nullopt });
  mJobsBeingWritten.insert(name);
  aWritten.mMaxJobs = maxJobs;
  aWritten.mJobs.push_back(std::move(record));
  return !isAlone;
}

void
owner::OnWriteAnswered(std::uint64_t aNumber,
                       const result<platform::commit_outcome>& aResult)
{
  const auto found = mWritesInFlight.find(aNumber);
  if (found == mWritesInFlight.end()) {
    return; // the write was given up, and its records written again
  }
  const write_in_flight write = std::move(found->second);
  mWritesInFlight.erase(found);
  if (aResult.has_value()) {
    mAnswerTime = mDeps.mClock.Now() - write.mSentAt;
  }
  write.mTimer->cancel();
  if (!write.mIsOverdue) {
    ClearInFlight(write.mRecords);
  }
  if (!mIsStopped) {
    OnCommitResult(write, aResult);
  }
}

// Handles a write that has had no answer for longer than answers usually take.
// Its records are written again, and the others are no longer held up by it.
void
owner::OnWriteOverdue(std::uint64_t aNumber)
{
  const auto found = mWritesInFlight.find(aNumber);
  if (found == mWritesInFlight.end()) {
    return;
  }
  found->second.mIsOverdue = true;
  mDeps.mMetrics.Add("mangospan_node_overdue_writes_total", {});
  ClearInFlight(found->second.mRecords);
  NoteUnsettled(found->second);
  ScheduleWrite();
}

// Returns whether the store has answered nothing for the timeout of a write. A
// lost answer is no sign of that: the store answers the other writes, and the
// renewals of the lease.
bool
owner::IsStoreSilent() const
{
  return std::max(mWriteAnsweredAt, mOwnershipStatus().mConfirmedAt) +
           mSettings.mWriteTimeout <=
         mDeps.mClock.Now();
}

// Writes that are under way were sent while the store did not answer. They are
// given up, as after their timeout: if one has an effect all the same, the next
// write of its records is in conflict and finds that out.
void
owner::OnStoreAnswersAgain()
{
  mRunnerMirror->OnStoreAnswersAgain();
  if (mFailedWrites == 0 || mIsStopped || !mIsLoaded) {
    return;
  }
  for (const auto& [number, each] : mWritesInFlight) {
    if (!each.mIsOverdue) {
      ClearInFlight(each.mRecords);
      NoteUnsettled(each);
    }
  }
  mWritesInFlight.clear();
  mUnsettled.RetryAll();
  Write();
}

void
owner::ClearInFlight(const written_records& aWritten)
{
  for (const written_job& each : aWritten.mJobs) {
    mJobsBeingWritten.erase(each.mStored.mJob);
  }
  if (aWritten.HasRoster()) {
    mIsRosterInFlight = false;
  }
}

void
owner::NoteUnsettled(const write_in_flight& aWrite)
{
  for (const written_job& each : aWrite.mRecords.mJobs) {
    mUnsettled.OnUnanswered(
      each.mStored.mJob, aWrite.mSentAt, mSettings.mWriteTimeout);
  }
  mMustRosterBeAlone = mMustRosterBeAlone || aWrite.mRecords.HasRoster();
}

// Handles a write without an answer, or one that the store had no effect of and
// would take at another time.
void
owner::OnWriteFailed(const error& aError)
{
  const bool isUnanswered = aError.mCode == error_code::kUnknownResult;
  if (isUnanswered && !IsStoreSilent()) {
    return;
  }
  if (mFailedWrites++ == 0) {
    LogError("owner.write_failed", aError);
  }
}

void
owner::OnCommitResult(const write_in_flight& aWrite,
                      const result<platform::commit_outcome>& aResult)
{
  const written_records& written = aWrite.mRecords;
  if (aResult.has_error() && !IsRefusal(aResult.assume_error())) {
    if (aResult.assume_error().mCode == error_code::kUnknownResult &&
        !aWrite.mIsOverdue) {
      NoteUnsettled(aWrite);
    }
    OnWriteFailed(aResult.assume_error());
    ScheduleWrite();
    return;
  }
  mWriteAnsweredAt = mDeps.mClock.Now();
  mWriteTimes.Add(mWriteAnsweredAt - aWrite.mSentAt);
  if (mFailedWrites > 0) {
    LogEvent(
      log_level::kInfo, "owner.writes_again", { { "failed", mFailedWrites } });
  }
  mFailedWrites = 0;
  if (aResult.has_error()) {
    OnWriteRefused(written, aResult.assume_error());
    ScheduleWrite();
  } else if (!aResult.assume_value().mCommitted) {
    OnConflict(written, aResult.assume_value().mCurrentRecords);
  } else {
    OnCommitted(aWrite, aResult.assume_value().mRevision);
  }
}

// The answer to an overdue write may arrive after newer writes of its records
// were answered, so the revisions only rise.
void
owner::OnCommitted(const write_in_flight& aWrite, platform::revision aRevision)
{
  const written_records& written = aWrite.mRecords;
  std::vector<jobs::stored_job> stored;
  for (const written_job& each : written.mJobs) {
    if (const jobs::job* const found = mScheduler.Find(each.mStored.mJob)) {
      stored.push_back(each.mStored);
      stored.back().mRevision = std::max(aRevision, found->mRevision);
    }
  }
  if (written.HasRoster()) {
    mRosterRevision = std::max(mRosterRevision, aRevision);
    if (!aWrite.mIsOverdue) { // else a newer one may be stored
      mMustRosterBeAlone = false;
      mScheduler.OnRosterStored(written.mRoster.mVersion,
                                written.mRoster.mRunners);
    }
  }
  OnJobsStored(stored);
  Wake();
}

void
owner::OnJobsStored(const std::vector<jobs::stored_job>& aStored)
{
  for (const jobs::stored_job& each : aStored) {
    mRefusedRecords.Remove(each.mJob);
    mUnsettled.Remove(each.mJob);
  }
  mScheduler.OnStored(aStored);
  for (const jobs::stored_job& each : aStored) {
    AnswerWaitersOf(each.mJob);
  }
  ScheduleWrite();
}

// Handles a write that the store has answered and does not take, so that it had
// no effect. Not an outage: the records that are not the reason are written
// without the one that is.
void
owner::OnWriteRefused(const written_records& aWritten, const error& aError)
{
  if (aWritten.Count() > 1) {
    std::vector<jobs::job_name> written;
    for (const written_job& each : aWritten.mJobs) {
      written.push_back(each.mStored.mJob);
    }
    mRefusedRecords.OnWriteRefused(written);
    mMustRosterBeAlone = mMustRosterBeAlone || aWritten.HasRoster();
    LogError("owner.write_refused", aError);
    return;
  }
  if (aWritten.HasRoster()) {
    mNextRosterWriteAt = mDeps.mClock.Now() + refused_records::kRetryDelay;
    LogError("owner.roster_refused", aError);
    return;
  }
  OnRecordRefused(aWritten.mJobs.front(), aError);
}

// A new job is refused, unless an earlier write of it may have taken effect.
// Any other job goes on; its ends stay unacknowledged at the runners.
void
owner::OnRecordRefused(const written_job& aWritten, const error& aError)
{
  const jobs::job_name& name = aWritten.mStored.mJob;
  LogEvent(log_level::kError,
           "owner.record_refused",
           { { "job", name.Str() },
             { "bytes", static_cast<std::uint64_t>(aWritten.mText.size()) },
             { "message", aError.mMessage } });
  const jobs::job* const found = mScheduler.Find(name);
  const bool isNew = found != nullptr && found->mStoredVersion == 0;
  if (!isNew || mUnsettled.Contains(name)) {
    mRefusedRecords.OnRecordRefused(
      name, aWritten.mStored.mVersion, mDeps.mClock.Now());
    return;
  }
  job_reply refused;
  refused.mKind = reply_kind::kRefused;
  refused.mReason = refusal_reason::kRecordRefused;
  refused.mRetryAfter = kRefusedRecordRetryAfter;
  RemoveUnstoredJob(name, refused);
}

// Handles a write that the store rejected. Either a newer owner has claimed the
// term, or an earlier attempt by this owner succeeded although its answer was
// lost.
void
owner::OnConflict(const written_records& aWritten,
                  const std::vector<platform::record>& aPresent)
{
  std::map<std::string, const platform::record*> present;
  for (const platform::record& each : aPresent) {
    present.emplace(each.mKey, &each);
  }
  const auto term = present.find(mFence.mTermKey);
  if (term != present.end() &&
      term->second->mRevision != mOwnerRecord.mRevision) {
    LogEvent(log_level::kInfo,
             "owner.superseded",
             { { "term", mOwnerRecord.mTerm },
               { "revision", term->second->mRevision } });
    NotifySuperseded();
    return;
  }
  const auto roster = present.find(RosterKey());
  if (roster != present.end()) {
    // The next write replaces the present roster.
    mRosterRevision = std::max(mRosterRevision, roster->second->mRevision);
  }
  std::vector<jobs::stored_job> stored;
  for (const written_job& each : aWritten.mJobs) {
    jobs::job* const one = mScheduler.FindMutable(each.mStored.mJob);
    if (one == nullptr) {
      continue;
    }
    const auto home = present.find(HomeKey(each.mStored.mJob));
    const bool isOwnedByOtherService =
      home != present.end() && home->second->mValue != mService.Str();
    if (isOwnedByOtherService && one->mRevision == 0) {
      OnOwnedByOtherService(each.mStored.mJob,
                            service_name{ home->second->mValue });
      continue;
    }
    const auto found = present.find(JobKey(each.mStored.mJob));
    if (found == present.end()) {
      continue;
    }
    if (found->second->mValue == each.mText && found->second->mRevision > 0) {
      stored.push_back(each.mStored);
      stored.back().mRevision =
        std::max(one->mRevision, found->second->mRevision);
    } else {
      // The next write replaces the present record.
      one->mRevision = std::max(one->mRevision, found->second->mRevision);
    }
  }
  OnJobsStored(stored);
}

// Removes a job that the owner of another service accepted before its queue
// moved to this service. The job stays with that owner, so submissions get kOk.
void
owner::OnOwnedByOtherService(const jobs::job_name& aJob,
                             const service_name& aService)
{
  const auto waiters = mWaiters.equal_range(aJob);
  const auto cancels =
    std::count_if(waiters.first, waiters.second, [](const auto& aEntry) {
      return aEntry.second.mKind == request_kind::kCancel;
    });
  LogEvent(log_level::kInfo,
           "job.elsewhere",
           { { "job", aJob.Str() },
             { "service", mService.Str() },
             { "home", aService.Str() },
             { "cancels", static_cast<std::uint64_t>(cancels) } });
  job_reply accepted;
  accepted.mKind = reply_kind::kOk;
  RemoveUnstoredJob(aJob, accepted);
}

// Removes a job that no record of this owner holds, and answers all that wait
// for it. A cancel has cancelled nothing here: another service may have a job
// of that name, which the caller's node asks next.
void
owner::RemoveUnstoredJob(const jobs::job_name& aJob,
                         const job_reply& aReplyToSubmissions)
{
  mScheduler.RemoveUnstored(aJob);
  mRefusedRecords.Remove(aJob);
  mUnsettled.Remove(aJob);
  const job_reply notHere = NoSuchJobReply();
  const auto range = mWaiters.equal_range(aJob);
  std::vector<waiter> waiters;
  for (auto it = range.first; it != range.second; ++it) {
    waiters.push_back(std::move(it->second));
  }
  mWaiters.erase(range.first, range.second);
  for (const waiter& each : waiters) {
    const bool isSubmission = each.mKind == request_kind::kSubmit;
    each.mHandler(isSubmission ? aReplyToSubmissions : notHere);
  }
}

void
owner::DeleteExpiredJobs()
{
  const auto expired =
    mScheduler.RemoveExpiredJobs(mDeps.mClock.Now(), kJobsPerDelete);
  if (expired.empty()) {
    return;
  }
  platform::transaction change = mFence.Begin();
  for (const jobs::stored_job& each : expired) {
    // The store may execute this after a new job of that name was accepted.
    change.mExpectations.push_back({ JobKey(each.mJob), each.mRevision });
    change.mDeletes.push_back(JobKey(each.mJob));
    change.mDeletes.push_back(HomeKey(each.mJob));
  }
  mDeps.mStore.Commit(std::move(change),
                      mSettings.mWriteTimeout,
                      [](const result<platform::commit_outcome>& aResult) {
                        if (aResult.has_error()) {
                          // This owner has dropped the jobs; a later owner
                          // loads and deletes the records.
                          LogError("owner.delete_failed",
                                   aResult.assume_error());
                        }
                      });
}

} // namespace mangospan::node
