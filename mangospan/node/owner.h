// Executes the scheduler's decisions while this node owns the jobs of a
// service: writes job records to the store, sends orders to runners, and
// replies to callers once the write that they wait for is confirmed.
#ifndef MANGOSPAN_NODE_OWNER_H
#define MANGOSPAN_NODE_OWNER_H

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "mangospan/base/time.h"
#include "mangospan/base/timer.h"
#include "mangospan/customers/quota_changes.h"
#include "mangospan/jobs/answer_times.h"
#include "mangospan/jobs/scheduler.h"
#include "mangospan/node/election.h"
#include "mangospan/node/job_service.h"
#include "mangospan/node/mirror.h"
#include "mangospan/node/overload_guard.h"
#include "mangospan/node/pool_link.h"
#include "mangospan/node/ports.h"
#include "mangospan/node/refused_records.h"
#include "mangospan/node/unsettled_records.h"

namespace mangospan::daemon {
class metrics;
}

namespace mangospan::node {

// Timing and limits of an `owner`.
struct owner_settings
{
  // Jobs that are accepted or end within this delay share one write.
  std::chrono::milliseconds mWriteDelay{ 8 };
  // Minimum time from one write to the next that only records progress.
  std::chrono::milliseconds mMinProgressInterval{ 400 };
  // Maximum number of concurrent writes. No two of them carry the same job.
  std::size_t mMaxConcurrentWrites = 4;
  // Timeout of one write. The store is taken to be away if it has answered
  // nothing for so long.
  std::chrono::milliseconds mWriteTimeout{ 500 };
  // The records of a write are written again once it has had no answer for
  // longer than answers usually take, but not before this time, nor after
  // `mWriteTimeout`.
  std::chrono::milliseconds mMinRepeatDelay{ 60 };
  // Delay of the next attempt after a failed write or load.
  std::chrono::milliseconds mRetryDelay{ 60 };
  // Interval of the periodic planning, reply and cleanup pass.
  std::chrono::milliseconds mTickInterval{ 50 };
  // Minimum time between two plans; answers of runners that arrive in between
  // share one plan.
  std::chrono::milliseconds mMinPlanInterval{ 4 };
  // Timeout of one read of the store while the jobs are loaded.
  std::chrono::milliseconds mLoadTimeout{ 2'000 };
};

// Objects that an `owner` uses. The references must outlive it.
struct owner_dependencies
{
  boost::asio::io_context& mIo;
  const clock_source& mClock;
  platform::transactional_store& mStore;
  runner_port& mRunners;
  const record_format& mFormat;
  daemon::metrics& mMetrics;
};

// What a node knows of its own ownership.
struct ownership_status
{
  bool mMayStartRuns = false;
  bool mIsLeaseValid = false; // certainly, so no other node is the owner
  time_point mConfirmedAt{};  // when it certainly was still the owner
};

// Owns the jobs of one service for the duration of one term: loads them from
// the store, accepts new ones and runs them on the service's runners. Every
// write is fenced by the term, so it fails once a newer owner has been elected.
// Must be owned by a std::shared_ptr.
class owner
  : public job_service
  , public std::enable_shared_from_this<owner>
{
public:
  owner(owner_dependencies aDependencies,
        owner_settings aSettings,
        jobs::scheduler_settings aScheduling,
        service_name aService,
        owner_record aOwnerRecord,
        std::function<ownership_status()> aOwnershipStatus,
        // Called at most once, when a newer owner is detected.
        std::function<void()> aOnSuperseded);

  // Begins to load jobs and to watch runners. Call once.
  void Start(const jobs::catalog& aCatalog);
  // Starts no more runs, stores until when the present runs may live, so that
  // the next owner knows how long to wait, and calls `aDone` once that write
  // has succeeded or failed.
  void HandOver(std::function<void()> aDone);
  bool IsHandingOver() const { return mIsHandingOver; }
  // Replies kUnknown to all waiting callers and stops immediately.
  void Stop();
  void SetCatalog(const jobs::catalog& aCatalog);

  // Writes at once if the last write has failed. For use when the store answers
  // again.
  void OnStoreAnswersAgain();

  // Returns whether the jobs and the runners have been read from the store.
  bool IsLoaded() const { return mIsLoaded && mRunnerMirror->IsSynced(); }
  // Returns false from a write that the store did not take, or had no answer to
  // while it answered nothing else either, until it answers one.
  bool CanWrite() const { return mFailedWrites == 0; }

  void Submit(const jobs::job_name& aJob,
              const jobs::job_spec& aSpec,
              std::chrono::milliseconds aTimeout,
              reply_handler aHandler) override;
  void Cancel(const jobs::job_name& aJob,
              std::chrono::milliseconds aTimeout,
              reply_handler aHandler) override;
  void Read(const jobs::job_name& aJob,
            std::chrono::milliseconds aTimeout,
            reply_handler aHandler) override;
  void CountWaiting(const jobs::queue_name& aQueue,
                    std::chrono::milliseconds aTimeout,
                    reply_handler aHandler) override;

  // Applies the fleet controller's instructions and returns the state of the
  // pool. Errors: kUnavailable before the jobs and runners are loaded and
  // during a hand-over; kConflict if the instructions are of an older fleet
  // term than earlier ones.
  result<pool_state> Exchange(const pool_instructions& aInstructions);

  const jobs::scheduler& Scheduler() const { return mScheduler; }
  // Returns what the customers with caps had, used and wanted at most a second
  // ago.
  const customers::quota_report& LastQuotaReport() const { return mLastQuota; }

private:
  // What a caller has asked for.
  enum class request_kind
  {
    kSubmit,
    kCancel,
  };
  // A caller that waits until the record of its job says what it has asked for.
  struct waiter
  {
    request_kind mKind;
    time_point mDeadline;
    reply_handler mHandler;
  };
  // A job in a write, with the encoded record.
  struct written_job
  {
    jobs::stored_job mStored;
    std::string mText;
  };
  // The roster in a write. An empty `mText` means that the write has none.
  struct written_roster
  {
    std::uint64_t mVersion = 0;
    std::vector<jobs::roster_entry> mRunners;
    std::string mText;
  };
  // The records that one transaction writes.
  struct written_records
  {
    std::vector<written_job> mJobs;
    written_roster mRoster;
    // How many jobs the write may have, by what it carries already.
    std::size_t mMaxJobs = platform::kMaxTransactionKeys;

    bool HasRoster() const { return !mRoster.mText.empty(); }
    std::size_t Count() const { return mJobs.size() + (HasRoster() ? 1 : 0); }
  };

  // A write without an answer so far. Once it is overdue, other writes may
  // carry its records.
  struct write_in_flight
  {
    written_records mRecords;
    time_point mSentAt{};
    bool mIsOverdue = false;
    std::unique_ptr<timer> mTimer;
  };

  static std::string OwnedPrefix(const service_name& aService);
  std::string RosterKey() const;
  std::string JobKey(const jobs::job_name& aJob) const;
  bool IsQueueOfThisService(const jobs::queue_name& aQueue) const;
  refusal_reason ReasonToRefuse(const jobs::queue_name& aQueue,
                                bool aIsKnown,
                                std::chrono::milliseconds aTimeout) const;
  std::chrono::milliseconds RetryAfter(refusal_reason aReason, time_point aNow);
  pool_state BuildPoolState(time_point aNow);
  void Load();
  void RetryLoad(const error& aError);
  void LoadHostOrders(std::vector<platform::record> aRecords);
  void OnLoaded(const std::vector<platform::record>& aRecords);
  std::vector<jobs::run_time_summary> LoadRunTimes(
    const std::string& aRoster) const;
  std::optional<time_point> WriterEndedBy(platform::revision aRoster) const;
  void AddRosterWrite(platform::transaction& aChange,
                      written_records& aWritten);
  void StartRunnerMirror();
  void OnRunnerRecordGone(const std::string& aKey);
  void Tick();
  void Wake(); // schedules a plan
  void Plan();
  void ReportWaits();
  void SetPauseMetrics();
  void ReportQuota(const jobs::waiting_tasks& aWaiting, time_point aNow);
  void SetQuotaMetrics(const customers::quota_report& aReport);
  void ReportOverload();
  void SetOverloadMetric(std::chrono::nanoseconds aLongestWait);
  void SetWaitMetrics(const jobs::waiting_tasks& aWaiting);
  time_point::duration PlanInterval() const;
  void Send(const jobs::order& aOrder);
  runner_target TargetOf(const jobs::runner_name& aRunner) const;
  void SendStart(const jobs::start_order& aOrder);
  void SendStop(const jobs::stop_order& aOrder);
  void SendThrottle(const jobs::throttle_order& aOrder);
  void SendPoll(const jobs::poll_order& aOrder);
  std::set<jobs::job_name> JobsNotToWrite() const;
  bool IsRosterWriteDue() const;
  bool IsWriteNeeded() const;
  void ScheduleWrite();
  void ObserveWait(time_point aDueAt);
  std::chrono::nanoseconds WaitForWrite();
  void Write();
  bool AddJobWrite(const jobs::job& aJob,
                   platform::transaction& aChange,
                   written_records& aWritten);
  void OnWriteAnswered(std::uint64_t aNumber,
                       const result<platform::commit_outcome>& aResult);
  void OnWriteOverdue(std::uint64_t aNumber);
  std::size_t CountCurrentWrites() const;
  bool IsStoreSilent() const;
  void ClearInFlight(const written_records& aWritten);
  void NoteUnsettled(const write_in_flight& aWrite);
  void OnWriteFailed(const error& aError);
  void OnCommitResult(const write_in_flight& aWrite,
                      const result<platform::commit_outcome>& aResult);
  void OnCommitted(const write_in_flight& aWrite, platform::revision aRevision);
  void OnWriteRefused(const written_records& aWritten, const error& aError);
  void OnRecordRefused(const written_job& aWritten, const error& aError);
  void OnJobsStored(const std::vector<jobs::stored_job>& aStored);
  void OnConflict(const written_records& aWritten,
                  const std::vector<platform::record>& aPresent);
  void OnOwnedByOtherService(const jobs::job_name& aJob,
                             const service_name& aService);
  void DeleteExpiredJobs();
  void RemoveUnstoredJob(const jobs::job_name& aJob,
                         const job_reply& aReplyToSubmissions);
  job_reply NoSuchJobReply() const;
  void AnswerWaiters();
  void AnswerWaitersOf(const jobs::job_name& aJob);
  bool AnswerIfStored(const jobs::job_name& aJob, const waiter& aWaiter);
  void CheckFence();
  void NotifySuperseded();

  owner_dependencies mDeps;
  const owner_settings mSettings;
  const service_name mService;
  const owner_record mOwnerRecord;
  const term_fence mFence;
  const std::function<ownership_status()> mOwnershipStatus;
  std::function<void()> mOnSuperseded;
  jobs::scheduler mScheduler;
  std::shared_ptr<mirror> mRunnerMirror;
  timer mTickTimer;
  timer mPlanTimer;
  timer mWriteTimer;
  timer mLoadTimer;
  std::multimap<jobs::job_name, waiter> mWaiters;
  time_point mNextProgressWriteAt{};
  time_point mLastPlanAt{};
  time_point mNextWaitReportAt{};
  customers::quota_report mLastQuota;
  customers::quota_changes mQuotaChanges;
  customers::usage_by_label mUsageByLabel;
  time_point mTickDueAt{};
  time_point mWriteDueAt{};
  time_point mLastFullWriteAt{};
  std::chrono::nanoseconds mAnswerTime{ 0 }; // of the store to the last write
  time_point mNextOverloadReportAt{};
  overload_guard mOverload{ overload_settings{} };
  // New jobs in the order of their arrival, until their first write.
  std::deque<std::pair<time_point, jobs::job_name>> mNotWritten;
  // The latest wait of a call for this process and of a new job for its write,
  // and the longest ones since the last report.
  std::chrono::nanoseconds mProcessWait{ 0 };
  std::chrono::nanoseconds mWriteWait{ 0 };
  std::chrono::nanoseconds mLongestProcessWait{ 0 };
  std::chrono::nanoseconds mLongestWriteWait{ 0 };
  std::uint64_t mRefusedSinceReport = 0;
  time_point::duration mLastPlanDuration{};
  platform::revision mRosterRevision = 0;
  std::uint64_t mFleetTerm = 0; // highest fleet term received so far
  bool mIsLoaded = false;
  bool mIsHandingOver = false;
  bool mIsStopped = false;
  bool mIsPlanScheduled = false;
  bool mIsWriteScheduled = false;
  std::map<std::uint64_t, write_in_flight> mWritesInFlight; // by number
  std::uint64_t mWriteCount = 0;
  std::set<jobs::job_name> mJobsBeingWritten;
  refused_records mRefusedRecords;
  unsettled_records mUnsettled;
  jobs::answer_time_estimator mWriteTimes;
  time_point mWriteAnsweredAt{}; // when a write was last answered
  bool mIsRosterInFlight = false;
  bool mMustRosterBeAlone = false; // after a write with it was refused
  time_point mNextRosterWriteAt{}; // later than now after it was refused
  int mFailedWrites = 0; // since the last answer, while the store was away
};

} // namespace mangospan::node

#endif // MANGOSPAN_NODE_OWNER_H
