// Schedules the jobs of one owner: decides when and on which runner each task
// starts, and updates the jobs from the runners' answers. Does no I/O and reads
// no clock: the caller passes the time, sends the orders and stores the jobs.
//
//   scheduler scheduling(settings, { term, now, service });
//   scheduling.SetCatalog(catalog);
//   scheduling.Load(std::move(storedJobs), storedRoster, now, wall);
//   scheduling.Submit(name, spec, now, wall);
//   for (const order& each : scheduling.Plan(now, wall)) { ... send it ... }
//   scheduling.OnStart(startOrder, order_outcome::kDone, now);
//
// The store records which jobs were accepted and which tasks have ended; the
// runners record which runs are live. The end of a run is acknowledged to its
// runner only once it is stored, so that a successor finds every end either in
// the store or at the runner.
#ifndef MANGOSPAN_JOBS_SCHEDULER_H
#define MANGOSPAN_JOBS_SCHEDULER_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "mangospan/base/time.h"
#include "mangospan/customers/admission.h"
#include "mangospan/customers/fair_order.h"
#include "mangospan/customers/pool_quota.h"
#include "mangospan/jobs/answer_times.h"
#include "mangospan/jobs/arrival_forecast.h"
#include "mangospan/jobs/faulty_runner_detector.h"
#include "mangospan/jobs/job.h"
#include "mangospan/jobs/orders.h"
#include "mangospan/jobs/outage_detector.h"
#include "mangospan/jobs/placement.h"
#include "mangospan/jobs/pool_autoscaler.h"
#include "mangospan/jobs/run_time_model.h"
#include "mangospan/jobs/run_times.h"
#include "mangospan/jobs/runner.h"
#include "mangospan/jobs/spec.h"
#include "mangospan/jobs/unstored_jobs.h"
#include "mangospan/jobs/waiting_tasks.h"

namespace mangospan::jobs {

// Timing parameters of a scheduler.
struct scheduler_settings
{
  // The length of the lease that each poll grants to the runs on a runner, and
  // so the time for which runs outlive their owner. The tasks of an unreachable
  // runner start elsewhere only after its lease has ended. Must be longer than
  // the time for which an owner acts without confirmation of its ownership;
  // otherwise that owner would restart tasks whose runs its successor has
  // reached and keeps alive.
  std::chrono::milliseconds mLease{ 6'000 };
  // The longest lease that a runner grants. An order that was made by the clock
  // of an earlier boot may get that much.
  std::chrono::milliseconds mMaxLease{ 10'000 };
  // The time for which an owner that cannot confirm its ownership may still
  // order starts and extend leases after a successor has claimed it. Includes
  // the time to live of the owner's own lease, since the store may have revoked
  // it without a word. Keeps work going during an outage of the store.
  std::chrono::milliseconds mMaxUnconfirmedTime{ 4'100 };
  // A runner refuses a start order that reaches it later than this after the
  // order was made.
  std::chrono::milliseconds mStartValidity{ 1'200 };
  // The longest time for which a runner delays its answer to a poll while it
  // waits for a run to end.
  std::chrono::milliseconds mPollWait{ 1'500 };
  // The minimum time between two polls of a runner. Runs that end in the
  // meantime are reported together by the next poll.
  std::chrono::milliseconds mPollInterval{ 40 };
  // Multiplied by the number of the owner's runners; the larger of the product
  // and `mPollInterval` is the minimum time between two polls of a runner. So
  // an owner of many runners polls each of them less often.
  std::chrono::microseconds mPollIntervalPerRunner{ 1'200 };
  // The minimum time between two stop orders for the same run.
  std::chrono::milliseconds mStopRetryInterval{ 500 };
  // The time for which a runner that is taken to be faulty gets no new runs.
  std::chrono::milliseconds mQuarantineTime{ 4'000 };
  // The time for which the record of a job is kept after the job has ended.
  std::chrono::milliseconds mEndedJobRetention{ 150'000 };
  // How many jobs customers are entitled to.
  customers::rate_settings mCustomerRate;
  // Run times are learned from finished runs, and used in place of the callers'
  // estimates.
  bool mLearnRunTimes = false;
};

// The term of office of one owner.
struct ownership
{
  // Higher than the term of every earlier owner.
  std::uint64_t mTerm = 0;
  // When the owner was elected. An earlier one may act for some time after it.
  time_point mSince{};
  // The service on whose runners all jobs of this owner run, including jobs
  // whose queue has since moved to another service. If empty, each job runs on
  // the service of its queue.
  service_name mService;
};

// The decision on a submitted job.
enum class submit_outcome
{
  kPending, // the job will be accepted once its record is stored
  kStored,  // the job was accepted before
  kRefused, // the job was not taken and never runs
};

// The answer to `scheduler::Submit()`.
struct submit_answer
{
  submit_outcome mOutcome = submit_outcome::kRefused;
  // The time after which a refused caller may submit the job again: the catalog
  // may have the queue by then, or the pool may have room. Zero unless the job
  // is refused.
  std::chrono::milliseconds mRetryAfter{ 0 };
  // The job is refused because it is beyond its customer's rate while the pool
  // is full.
  bool mIsOverRate = false;
};

// How often runners got no new runs for a while, by the reason.
struct pause_counts
{
  std::uint64_t mFaulty = 0;  // by the jobs that they failed
  std::uint64_t mRefused = 0; // they refused a start
};

// The version of a job's record that a write to the store has stored.
struct stored_job
{
  job_name mJob;
  std::uint64_t mVersion = 0;  // `job::mVersion` of the written record
  std::uint64_t mRevision = 0; // the store's revision of the record
};

// The scheduling state of one owner for the time of its ownership: its jobs,
// the runners that it uses and the runs on them.
//
// Arguments named `aNow` are on the owner's monotonic clock. Arguments named
// `aWall` are the time of day, which stored records hold.
class scheduler
{
public:
  scheduler(scheduler_settings aSettings, ownership aOwnership);

  // Restores the jobs and the roster that earlier owners have stored. Call it
  // once, before the first job is submitted or the first plan is made.
  void Load(std::vector<job> aJobs,
            const inherited_roster& aRoster,
            time_point aNow,
            wall_time aWall);

  // Replaces the operators' configuration of queues and services.
  void SetCatalog(catalog aCatalog);
  // Sets whether the scheduler may order starts and extend leases. Pass false
  // as soon as a successor may rely on the leases granted so far. Stops and
  // polls go on either way.
  void SetMayStart(bool aMayStart);
  // Notes that no successor had been elected at `aAt`. Tasks whose run was lost
  // later than that do not start again yet.
  void OnOwnershipConfirmed(time_point aAt);
  const catalog& Catalog() const { return mCatalog; }

  // Adds or updates a runner that service discovery lists.
  void OnRunnerListed(const runner_info& aInfo, time_point aNow);
  // Marks a runner as no longer listed by service discovery. While it answers
  // polls its lease is extended; otherwise its runs are released once the lease
  // is over.
  void OnRunnerUnlisted(const runner_name& aRunner, time_point aNow);
  // Removes a runner and releases its runs. Requires that every run on it has
  // certainly ended.
  void OnRunnerDead(const runner_name& aRunner, time_point aNow);

  // Adds a job, unless a job of this name exists, and reports whether it is
  // stored. Refuses the job if the catalog has no such queue, or if it is
  // beyond its customer's rate while the pool is full.
  submit_answer Submit(const job_name& aJob,
                       const job_spec& aSpec,
                       time_point aNow,
                       wall_time aWall);
  // Notes that a caller was told to come back with a job that could not be
  // accepted. The job counts as demand, since it is expected again; its further
  // submissions within a few seconds don't count anew.
  void OnTurnedAway(const job_name& aJob,
                    const job_spec& aSpec,
                    time_point aNow);
  // Removes a job that is not stored yet, because another owner has accepted a
  // job of this name. Does nothing to a stored job.
  void RemoveUnstored(const job_name& aJob);
  // Cancels the job unless it has ended, and orders its runs to stop. Returns
  // false if there is no such job.
  bool Cancel(const job_name& aJob, time_point aNow, wall_time aWall);
  // Returns the job, or null if there is no such job.
  const job* Find(const job_name& aJob) const;
  // Returns the number of accepted jobs in the queue of which no task has
  // started.
  std::size_t CountWaitingJobs(const queue_name& aQueue) const;

  // Returns every order that is due now. The caller must report the outcome of
  // each order to the method below for its type.
  std::vector<order> Plan(time_point aNow, wall_time aWall);

  // Applies the outcome of a start order: the run has started, its state is
  // unknown, or it never began and its task may be placed again.
  void OnStart(const start_order& aOrder,
               order_outcome aOutcome,
               time_point aNow);
  // Applies the outcome of a stop order. The order is repeated until the runner
  // reports the end of the run.
  void OnStop(const stop_order& aOrder,
              order_outcome aOutcome,
              time_point aNow);
  // Applies the outcome of an order that limits the CPU of a best-effort run.
  void OnThrottle(const throttle_order& aOrder, order_outcome aOutcome);
  // Applies the outcome of a poll: the runner's live and ended runs, or the
  // failure to get an answer. `aReport` is null unless the outcome is kDone.
  // `aSentAt` is when the poll was sent.
  void OnPoll(const poll_order& aOrder,
              order_outcome aOutcome,
              const poll_report* aReport,
              time_point aSentAt,
              time_point aNow,
              wall_time aWall);

  // Returns up to `aMaxCount` jobs whose record differs from the stored one.
  // Urgent records come first: those of new and of ended jobs, since callers
  // wait for them. Of these, and of the others, the ones that wait longest.
  std::vector<job_name> UnstoredJobs(std::size_t aMaxCount) const;
  // Returns whether any job outside `aExcept` has a record that differs from
  // the stored one; with `aUrgentOnly`, whether any such record is urgent.
  bool HasUnstoredJobs(const std::set<job_name>& aExcept,
                       bool aUrgentOnly) const;
  // Returns the job for changes, or null if there is no such job.
  job* FindMutable(const job_name& aJob);
  // Notes the records that a write has stored. The next polls acknowledge to
  // the runners the ends of runs that these records hold.
  void OnStored(const std::vector<stored_job>& aStored);
  // Returns the runners in use, to be stored for the successor. A runner gets
  // its first run only once a roster that names it is stored, so that a
  // successor knows of the runner even if service discovery no longer lists it.
  // One that the roster names with the end of its runs gets no more of them
  // until a later roster without that end is stored.
  std::vector<roster_entry> Roster(time_point aNow);
  // Changes whenever the roster has to be stored anew.
  std::uint64_t RosterVersion() const { return mRosterVersion; }
  // The newest version of the roster that is known to be stored.
  std::uint64_t StoredRosterVersion() const { return mStoredRosterVersion; }
  // Notes that the roster of version `aVersion` is stored.
  void OnRosterStored(std::uint64_t aVersion,
                      const std::vector<roster_entry>& aRoster);
  // Removes up to `aMaxCount` jobs whose stored end this owner has known for
  // longer than `scheduler_settings::mEndedJobRetention`, and returns their
  // stored records.
  std::vector<stored_job> RemoveExpiredJobs(time_point aNow,
                                            std::size_t aMaxCount);

  // Returns whether a runner has refused an order because it has seen a higher
  // term. This owner must then stop.
  bool IsFenced() const { return mFenced; }

  // Cordons exactly these runners: they get no new runs, because their hosts
  // are needed elsewhere. All other runners are uncordoned.
  void SetCordoned(const std::set<runner_name>& aRunners);
  // Stops the long-running runs on the runner, except where a step would have
  // more tasks unavailable than its `step_spec` allows. Stops none just after a
  // takeover, while runs that the earlier owner has stopped may still show as
  // live.
  void Evict(const runner_name& aRunner, time_point aNow);

  // Returns the time by which every run started by an earlier owner has ended,
  // also on runners that this owner has not reached, unless one of them has
  // started again and nobody has told of it.
  time_point InheritedLeasesEnd() const;
  // Returns whether this owner knows every run on the runner: the runner has
  // answered it, or every lease granted by an earlier owner is over.
  bool KnowsRunsOf(const runner_name& aRunner, time_point aNow) const;

  // Returns the load of each service except spare ones: the resources that its
  // jobs would use now if its pool had capacity for all of them.
  std::map<service_name, pool_load> ComputeLoads(time_point aNow,
                                                 wall_time aWall);

  // Follows the division of the customers' caps among the pools.
  void ApplyQuota(const customers::quota_instructions& aInstructions);
  // Reports what the customers with caps hold, use and want in this pool.
  customers::quota_report ReportQuota(time_point aNow, wall_time aWall) const;

  // Returns which ready tasks wait for what. Takes time for every task.
  waiting_tasks WaitingTasks(time_point aNow, wall_time aWall) const;

  // Returns what was learned of run times, to be stored with the roster.
  std::vector<run_time_summary> LearnedRunTimes() const
  {
    return mRunTimeModel.Summary();
  }
  bool LearnsRunTimes() const { return mSettings.mLearnRunTimes; }
  // Returns the number of queues and step indexes whose run times were learned.
  std::size_t CountLearnedClasses() const
  {
    return mRunTimeModel.CountClasses();
  }

  const pause_counts& PauseCounts() const { return mPauseCounts; }

  const std::map<runner_name, runner>& Runners() const { return mRunners; }
  const std::map<job_name, job>& Jobs() const { return mJobs; }

private:
  struct candidate;
  struct start_candidates;

  // A crash of a runner, to compare others with.
  struct recent_crash
  {
    time_point mAt;
    service_name mService;
    std::size_t mRunnersAtRisk = 1; // of the service, which might have crashed
    std::vector<task_id> mTasks{};  // that had runs there
    bool mIsCauseKnown = false;     // One of them is it.
  };

  bool IsWriteUrgent(const job_name& aJob) const;
  const service_name& ServiceOf(const queue_policy& aQueue) const;
  const queue_policy& PolicyOf(const job& aJob) const;
  void ForgetTurnedAwayJobs(time_point aNow);
  time_point InheritedOrdersEnd() const;
  time_point InheritedLeaseEnd(const roster_entry& aEntry,
                               const inherited_roster& aRoster) const;
  void StoreRosterOfThisTerm(time_point aNow);
  bool MayStartInheritedJobs(const service_name& aService,
                             time_point aNow) const;
  void ReleaseRunsOfDeadRunners(time_point aNow);
  void ReportEndInRoster(runner& aRunner);
  // Returns null if there is no such task.
  task* FindTask(const task_id& aTask);
  // Returns the task of the run, if it needs another run.
  task* ReleaseRun(runner& aRunner, const run_key& aKey, time_point aNow);
  void ReleaseAllRuns(runner& aRunner, loss_reason aReason, time_point aNow);
  bool MayStartTask(const task& aTask) const;
  bool MayHoldUnknownRuns(const runner& aRunner, time_point aNow) const;
  bool IsFullFor(const job_spec& aSpec, const queue_policy& aQueue) const;
  customers::pool_backlog Backlog(const service_name& aService) const;
  double DominantWork(const job_spec& aSpec,
                      const service_name& aService) const;
  customers::customer_resources CustomerUse(time_point aNow) const;
  void AddToCustomerUse(const run& aRun);
  bool IsWithinQuota(const job_spec& aSpec,
                     const resources& aNeed,
                     std::size_t aTasks = 1) const;
  bool MayStartMore(const job_spec& aSpec) const;
  placement_request RequestFor(const job& aJob,
                               const task_id& aTask,
                               time_point aNow) const;
  time_point WaitingSince(const job& aJob,
                          const step& aStep,
                          const task& aTask) const;
  std::optional<wait_reason> ReasonOfJob(const job& aJob,
                                         time_point aNow) const;
  std::optional<wait_reason> ReasonOfTask(const job& aJob,
                                          const task_id& aTask,
                                          time_point aNow) const;
  void FindObstacles(const service_name& aService,
                     time_point aNow,
                     waiting_tasks& aWaiting) const;
  void AddWaitingTasks(const job& aJob,
                       std::size_t aOccurrence,
                       std::size_t aStep,
                       std::optional<wait_reason> aReasonOfJob,
                       time_point aNow,
                       waiting_tasks& aWaiting) const;
  void PlanResends(time_point aNow, std::vector<order>& aOrders);
  bool MayResendStart(const runner& aRunner,
                      const run& aRun,
                      time_point aNow) const;
  void PlanStarts(time_point aNow,
                  wall_time aWall,
                  std::vector<order>& aOrders);
  void CollectCandidates(job& aJob,
                         time_point aNow,
                         wall_time aWall,
                         start_candidates& aCandidates);
  // Orders the starts of a step's tasks. Returns false if some task fits on no
  // runner.
  bool PlaceStep(const candidate& aCandidate,
                 const std::vector<runner*>& aPool,
                 time_point aNow,
                 std::vector<order>& aOrders);
  void PlaceGang(const candidate& aCandidate,
                 const std::vector<runner*>& aPool,
                 time_point aNow,
                 std::vector<order>& aOrders);
  bool MayStartGang(const std::vector<task>& aTasks) const;
  static std::vector<runner*> ChooseRunnersOfGang(
    const candidate& aGang,
    const std::vector<runner*>& aAccepting,
    time_point aNow);
  void LogWaitingGang(const candidate& aCandidate,
                      const char* aReason,
                      std::size_t aFitting,
                      time_point aNow);
  void SaveCheckpoint(job& aJob,
                      const task_id& aTask,
                      const std::string& aCheckpoint);
  void OnRunnerSilent(const runner& aRunner);
  void OnRunnerCrashed(const runner& aRunner, time_point aNow);
  void CountCrash(const runner& aRunner,
                  const run& aRun,
                  std::uint32_t aSuspicion,
                  time_point aCrashedAt);
  std::chrono::milliseconds CrashNoticeTime() const;
  void OnIdleRunnerCrashed(const runner& aRunner,
                           bool aIsOutage,
                           time_point aNow);
  void RememberCrash(const runner& aRunner, time_point aNow);
  double ProbabilityOfCause(const task_id& aTask);
  double CrashRateWithout(const task_id& aTask,
                          const service_name& aService,
                          time_point aNow);
  void ChargeCrashesTo(const task_id& aTask);
  void AddEvidence(task& aTask,
                   const runner& aRunner,
                   const run& aRun,
                   time_point aCrashedAt,
                   double aCrashRate) const;
  bool IsCertainCause(const job& aJob,
                      const task& aTask,
                      const run& aRun,
                      bool aWasAlone,
                      double aChanceBefore) const;
  bool IsInCrashSeries(time_point aNow) const;
  void FailJobsOfCrashingTasks(time_point aNow, wall_time aWall);
  void RememberLostRunner(const runner& aRunner, time_point aNow);
  void OnRunnerAtAddress(const std::string& aAddress, time_point aNow);
  void ClearSuspicion(job& aJob, task& aTask);
  void CheckProbation(job& aJob, task& aTask, run& aRun, time_point aNow);
  bool MustRunAlone(const job& aJob,
                    const step& aStep,
                    const task& aSuspect,
                    time_point aNow) const;
  void PlaceSuspects(const std::vector<candidate>& aCandidates,
                     const service_name& aService,
                     std::vector<runner*>& aPool,
                     time_point aNow,
                     std::vector<order>& aOrders);
  runner* ReserveRunner(const placement_request& aRequest,
                        const crash_history& aCrashes,
                        const std::vector<runner*>& aPool,
                        const std::set<runner*>& aTaken,
                        time_point aNow) const;
  std::uint32_t NextRun(const task& aTask) const;
  start_order MakeStartOrder(const candidate& aCandidate,
                             std::size_t aIndex,
                             runner& aRunner,
                             std::uint32_t aRun,
                             time_point aNow);
  start_order NextStartOrder(runner& aRunner, run& aRun, time_point aNow);
  void OnStartConfirmed(const start_order& aOrder, run& aRun, time_point aNow);
  void PlanStops(time_point aNow, std::vector<order>& aOrders);
  bool MayGetRuns(const service_name& aService) const;
  void PlanPolls(time_point aNow, std::vector<order>& aOrders);
  void PlanThrottles(std::vector<order>& aOrders);
  std::chrono::nanoseconds PollInterval() const;
  bool MayAcknowledge(const runner& aRunner, time_point aNow) const;
  std::chrono::milliseconds PollWait(const runner& aRunner,
                                     const poll_order& aPoll,
                                     time_point aNow) const;
  poll_order MakePollOrder(runner& aRunner, time_point aNow);
  std::vector<run> TakeUnsettledRuns(runner& aRunner, time_point aNow);
  void OnBootChanged(runner& aRunner, runner_info aInfo, time_point aNow);
  void OnAddressTaken(runner& aRunner, time_point aNow);
  void OnPollFailed(runner& aRunner, order_outcome aOutcome, time_point aNow);
  void OnPollAnswered(runner& aRunner,
                      const poll_order& aOrder,
                      time_point aNow);
  void ApplyReport(runner& aRunner,
                   const poll_report& aReport,
                   time_point aSentAt,
                   time_point aNow,
                   wall_time aWall);
  void OnRunEnded(runner& aRunner,
                  const ended_run& aEnd,
                  time_point aNow,
                  wall_time aWall);
  void ApplyRunEnd(job& aJob,
                   const task_id& aTask,
                   const ended_run& aEnd,
                   time_point aNow,
                   wall_time aWall);
  void OnTaskFailed(job& aJob,
                    const task_id& aTask,
                    time_point aNow,
                    wall_time aWall);
  const run_time_source& RunTimes() const;
  void LearnRunTime(const runner& aRunner,
                    const run& aRun,
                    const job_spec& aSpec,
                    time_point aNow);
  bool MayQuarantine(const runner& aRunner, time_point aNow) const;
  void OnRunFailed(runner& aRunner,
                   const job& aJob,
                   const task_id& aTask,
                   time_point aNow);
  void OnRunSucceeded(runner& aRunner,
                      const job_name& aJob,
                      time_point aOrderedAt,
                      time_point aNow);
  static void LimitToOneRun(runner& aRunner,
                            const job_name& aJob,
                            time_point aNow);
  void JudgeRunner(runner& aRunner, bool aHasFailed, time_point aNow);
  void OnLiveRun(runner& aRunner, const live_run& aLive, time_point aNow);
  void AdoptRun(runner& aRunner,
                const task_id& aTask,
                const live_run& aLive,
                time_point aNow);
  void ResolveUnlistedRuns(runner& aRunner,
                           const poll_report& aReport,
                           time_point aSentAt,
                           time_point aNow);
  void MarkChanged(job& aJob);
  void FinishJob(job& aJob, job_state aState, time_point aNow, wall_time aWall);
  void StopRuns(const job_name& aJob);
  std::size_t CountUnavailable(const job& aJob, const task_id& aTask) const;
  void AcknowledgeStoredEnds(runner& aRunner);

  const scheduler_settings mSettings;
  const ownership mOwnership;
  const std::uint32_t mRunNumberBase; // run numbers of this term are above it
  customers::admission mAdmission;
  customers::fair_order mFairOrder;
  customers::pool_quota mQuota;
  customers::customer_resources mCustomerUse; // as of the last plan
  catalog mCatalog;
  std::map<job_name, job> mJobs;
  std::set<job_name> mActiveJobs; // jobs that have not ended
  unstored_jobs mUnstoredJobs;
  std::map<runner_name, runner> mRunners;
  std::map<job_name, std::set<runner_name>> mRunnersByJob;
  faulty_runner_detector mFaultyRunners;
  pause_counts mPauseCounts;
  // Services with ready tasks that the latest plan had no room for.
  std::set<service_name> mServicesWithoutFreeCapacity;
  outage_detector mOutages;
  answer_time_estimator mStartAnswerTimes;
  // Runners whose runs were given up while they could not be reached, as they
  // were then, by address.
  std::map<std::string, runner> mLostRunners;
  std::map<std::string, time_point> mCrashedAt; // latest crash by address
  time_point mLatestCrashAt{};                  // of any runner
  std::deque<recent_crash> mRecentCrashes;      // oldest first
  std::vector<task_id> mCrashingTasks; // whose jobs the next plan gives up
  time_point mNoEvictionBefore{};
  std::map<service_name, arrival_forecast> mArrivalForecasts;
  estimated_run_times mEstimatedRunTimes;
  run_time_model mRunTimeModel;
  // Jobs that were turned away lately, and the same with the times, in order.
  std::set<job_name> mTurnedAwayJobs;
  std::deque<std::pair<time_point, job_name>> mTurnedAway;
  std::set<runner_name> mCordonedRunners;
  std::uint64_t mRosterVersion = 0;
  std::uint64_t mStoredRosterVersion = 0;
  // The stored roster is that of an earlier owner.
  bool mIsRosterInherited = false;
  bool mFenced = false;
  bool mMayStart = true;
  time_point mOwnershipConfirmedAt{};
};

} // namespace mangospan::jobs

#endif // MANGOSPAN_JOBS_SCHEDULER_H
