// Carries out what the scheduler decides while this node owns a service's jobs:
// writes to the store, orders to runners, answers to those who wait for a
// write.
#ifndef MANGOSPAN_NODE_OWNER_H
#define MANGOSPAN_NODE_OWNER_H

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "mangospan/base/time.h"
#include "mangospan/jobs/scheduler.h"
#include "mangospan/node/election.h"
#include "mangospan/node/job_service.h"
#include "mangospan/node/mirror.h"
#include "mangospan/node/pool_link.h"
#include "mangospan/node/ports.h"

namespace mangospan::daemon {
class metrics;
}

namespace mangospan::node {

struct owner_settings
{
  // Accepted and ended jobs that come within it share one write.
  std::chrono::milliseconds mWriteDelay{ 8 };
  std::chrono::milliseconds mProgressDelay{ 400 }; // of mere progress
  std::size_t mMaxWrites = 4; // under way at once, for different jobs
  std::chrono::milliseconds mWriteTimeout{ 500 };
  std::chrono::milliseconds mWriteRetry{ 60 };
  std::chrono::milliseconds mTick{ 50 };
  // Between two plans; answers that come meanwhile share one.
  std::chrono::milliseconds mPlanSpacing{ 4 };
  std::chrono::milliseconds mLoadTimeout{ 2'000 };
};

// What the owner uses. The references must outlive it.
struct owner_dependencies
{
  boost::asio::io_context& mIo;
  const clock_source& mClock;
  platform::transactional_store& mStore;
  runner_port& mRunners;
  const record_format& mFormat;
  daemon::metrics& mMetrics;
};

class owner
  : public job_service
  , public std::enable_shared_from_this<owner>
{
public:
  owner(owner_dependencies aDependencies,
        owner_settings aSettings,
        jobs::scheduler_settings aScheduling,
        service_name aService,
        owner_record aTerm,
        // Whether this node may still act as owner for now.
        std::function<bool()> aMayStart,
        // Called once when a newer owner was found.
        std::function<void()> aOnSuperseded);

  void Start(const jobs::catalog& aCatalog);
  // Orders nothing more, tells the successor until when runs may live, and
  // calls `aDone` once that is stored or can not be.
  void HandOver(std::function<void()> aDone);
  bool IsHandingOver() const { return mIsHandingOver; }
  // Answers everybody who waits and stops at once.
  void Stop();
  void SetCatalog(const jobs::catalog& aCatalog);

  // Whether jobs and runners have been read.
  bool IsServing() const { return mIsLoaded && mRunnerMirror->IsSynced(); }
  // Whether the last write was confirmed, as far as there was one.
  bool CanWrite() const { return mFailedWrites == 0; }

  void Submit(const jobs::job_name& aJob,
              const jobs::job_spec& aSpec,
              std::chrono::milliseconds aPatience,
              reply_handler aHandler) override;
  void Cancel(const jobs::job_name& aJob,
              std::chrono::milliseconds aPatience,
              reply_handler aHandler) override;
  void Read(const jobs::job_name& aJob,
            std::chrono::milliseconds aPatience,
            reply_handler aHandler) override;
  void CountWaiting(const jobs::queue_name& aQueue,
                    std::chrono::milliseconds aPatience,
                    reply_handler aHandler) override;

  // Follows the fleet's instructions and tells of the pool. Errors:
  // kUnavailable while it does not serve, kConflict for an older fleet term.
  result<pool_state> Exchange(const pool_instructions& aInstructions);

  const jobs::scheduler& Scheduler() const { return mScheduler; }

private:
  struct waiter
  {
    time_point mUntil;
    reply_handler mHandler;
  };
  struct written_job
  {
    jobs::stored_job mStored;
    std::string mText;
  };
  struct written_roster
  {
    std::uint64_t mVersion = 0;
    std::vector<jobs::roster_entry> mRunners;
    std::string mText; // empty: not part of the write
  };
  // What one transaction writes.
  struct written_records
  {
    std::vector<written_job> mJobs;
    written_roster mRoster;
  };

  static std::string OwnedPrefix(const service_name& aService);
  std::string RosterKey() const;
  std::string JobKey(const jobs::job_name& aJob) const;
  bool IsOurs(const jobs::queue_name& aQueue) const;
  pool_state State(time_point aNow);
  void Load();
  void LoadAgain(const error& aError);
  void LoadHostOrders(std::vector<platform::record> aRecords);
  void OnLoaded(const std::vector<platform::record>& aRecords);
  void AddRoster(platform::transaction& aChange, written_records& aWritten);
  void StartRunnerMirror();
  void Tick();
  void Wake(); // plans again soon
  void Plan();
  time_point::duration PlanSpacing() const;
  void Send(const jobs::order& aOrder);
  runner_target TargetOf(const jobs::runner_name& aRunner) const;
  void SendStart(const jobs::start_order& aOrder);
  void SendStop(const jobs::stop_order& aOrder);
  void SendPace(const jobs::pace_order& aOrder);
  void SendLook(const jobs::look_order& aOrder);
  bool IsWriteDue() const;
  void ScheduleWrite();
  void Write();
  void OnAnswered(const written_records& aWritten);
  void OnWritten(const written_records& aWritten,
                 const result<platform::commit_outcome>& aResult);
  void OnConflict(const written_records& aWritten,
                  const std::vector<platform::record>& aPresent);
  void OnElsewhere(const jobs::job_name& aJob, const service_name& aService);
  void Forget();
  void AnswerWaiters();
  bool AnswerIfStored(const jobs::job_name& aJob, const waiter& aWaiter);
  void CheckFence();
  void TellSuperseded();

  owner_dependencies mDeps;
  const owner_settings mSettings;
  const service_name mService;
  const owner_record mTerm;
  const term_fence mFence;
  const std::function<bool()> mMayStart;
  std::function<void()> mOnSuperseded;
  jobs::scheduler mScheduler;
  std::shared_ptr<mirror> mRunnerMirror;
  boost::asio::steady_timer mTickTimer;
  boost::asio::steady_timer mPlanTimer;
  boost::asio::steady_timer mWriteTimer;
  boost::asio::steady_timer mLoadTimer;
  std::multimap<jobs::job_name, waiter> mWaiters;
  time_point mNextProgress{};
  time_point mPlannedAt{};
  time_point::duration mPlanTook{};
  platform::revision mRosterRevision = 0;
  std::uint64_t mFleetTerm = 0; // the highest heard of
  bool mIsLoaded = false;
  bool mIsHandingOver = false;
  bool mIsStopped = false;
  bool mIsPlanPosted = false;
  bool mIsWriteScheduled = false;
  std::size_t mWritesInFlight = 0;
  std::set<jobs::job_name> mBeingWritten;
  bool mIsRosterInFlight = false;
  int mFailedWrites = 0; // in a row
};

} // namespace mangospan::node

#endif // MANGOSPAN_NODE_OWNER_H
