// The owner's decisions: which job's tasks start where and when, and what an
// answer of a runner means. Pure: it is told the time and returns orders.
//
//   scheduler owner(settings, term, now);
//   owner.Load(std::move(storedJobs), now, wall);
//   owner.Submit(name, spec, now, wall);
//   for (const order& each : owner.Plan(now, wall)) { ... send it ... }
//   owner.OnStart(order, order_outcome::kDone, now);
//
// The store records what was accepted and what has ended; the runners record
// what runs. An end is acknowledged to its runner only once it is stored, so a
// successor sees every end either in the store or at the runner.
#ifndef MANGOSPAN_JOBS_SCHEDULER_H
#define MANGOSPAN_JOBS_SCHEDULER_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "mangospan/base/time.h"
#include "mangospan/jobs/arrivals.h"
#include "mangospan/jobs/job.h"
#include "mangospan/jobs/orders.h"
#include "mangospan/jobs/runner.h"
#include "mangospan/jobs/sizing.h"
#include "mangospan/jobs/spec.h"

namespace mangospan::jobs {

struct scheduler_settings
{
  // Runs outlive their owner for this long. A runner that is lost is waited for
  // just as long before its tasks start elsewhere. Longer than an owner acts
  // without confirmation, or it would start again what its successor has
  // reached and keeps alive.
  std::chrono::milliseconds mLease{ 6'000 };
  // An owner that can not confirm its ownership orders starts and extends
  // leases for this long after its successor may have claimed it, so that an
  // outage of the store does not stop work.
  std::chrono::milliseconds mUnconfirmed{ 2'500 };
  // A start that arrives later than this is refused by the runner.
  std::chrono::milliseconds mStartValidity{ 1'200 };
  std::chrono::milliseconds mLookWait{ 1'500 };
  // Between two looks at a runner; ends that come meanwhile share one look.
  std::chrono::milliseconds mLookSpacing{ 40 };
  // For each runner: the owner of a large fleet looks less often.
  std::chrono::microseconds mLookSpacingPerRunner{ 1'200 };
  std::chrono::milliseconds mStopRepeat{ 500 };
  std::chrono::milliseconds mShunTime{ 4'000 };
  std::chrono::milliseconds mKeepEnded{ 150'000 };
};

// Which owner this is. Terms rise from owner to owner.
struct ownership
{
  std::uint64_t mTerm = 0;
  time_point mSince{};
  // Whose runners run all its jobs, also those whose queue has changed to
  // another service since. Empty: each queue's own.
  service_name mService;
};

enum class submit_outcome
{
  kPending, // will be accepted once it is stored
  kStored,  // was accepted before
  kRefused, // certainly never runs
};

struct submit_answer
{
  submit_outcome mOutcome = submit_outcome::kRefused;
  std::chrono::milliseconds mRetryAfter{ 0 };
};

// One job's record as it was written.
struct stored_job
{
  job_name mJob;
  std::uint64_t mVersion = 0;
  std::uint64_t mRevision = 0;
};

class scheduler
{
public:
  scheduler(scheduler_settings aSettings, ownership aOwnership);

  // Jobs and runners that earlier owners have stored. Call it once, before
  // anything else.
  void Load(std::vector<job> aJobs,
            const std::vector<roster_entry>& aRoster,
            time_point aNow,
            wall_time aWall);

  void SetCatalog(catalog aCatalog);
  // False: no starts and no longer leases, since a successor may count on the
  // leases given so far. Stops and looks go on.
  void SetMayStart(bool aMayStart);
  const catalog& Catalog() const { return mCatalog; }

  // Service discovery: a runner is listed, or is no longer.
  void OnRunner(const runner_info& aInfo, time_point aNow);
  void OnRunnerUnlisted(const runner_name& aRunner, time_point aNow);
  // Everything on the runner has certainly ended.
  void OnRunnerDead(const runner_name& aRunner, time_point aNow);

  submit_answer Submit(const job_name& aJob,
                       const job_spec& aSpec,
                       time_point aNow,
                       wall_time aWall);
  // Forgets a job that was never stored, since another owner has accepted it.
  void Drop(const job_name& aJob);
  // False if there is no such job.
  bool Cancel(const job_name& aJob, time_point aNow, wall_time aWall);
  const job* Find(const job_name& aJob) const;
  // Jobs of the queue of which no task has started.
  std::size_t Waiting(const queue_name& aQueue) const;

  // Every order that is due. Each must be answered by one of the calls below.
  std::vector<order> Plan(time_point aNow, wall_time aWall);

  void OnStart(const start_order& aOrder,
               order_outcome aOutcome,
               time_point aNow);
  void OnStop(const stop_order& aOrder,
              order_outcome aOutcome,
              time_point aNow);
  void OnPace(const pace_order& aOrder, order_outcome aOutcome);
  // `aReport` is null unless the outcome is kDone.
  void OnLook(const look_order& aOrder,
              order_outcome aOutcome,
              const look_report* aReport,
              time_point aSentAt,
              time_point aNow,
              wall_time aWall);

  // Jobs whose record differs from the stored one. Those are urgent, and come
  // first, that somebody waits for: they are new, or have ended.
  std::vector<job_name> Unstored(std::size_t aMost) const;
  // Whether there is one that is not in `aExcept`.
  bool AwaitsWrite(const std::set<job_name>& aExcept, bool aUrgentOnly) const;
  job* Mutable(const job_name& aJob);
  void OnStored(const std::vector<stored_job>& aStored);
  // The runners in use. A runner gets its first run only once the roster that
  // names it is stored, so that a successor knows of it even if service
  // discovery has forgotten it.
  std::vector<roster_entry> Roster(time_point aNow, wall_time aWall) const;
  std::uint64_t RosterVersion() const { return mRosterVersion; }
  std::uint64_t StoredRosterVersion() const { return mStoredRosterVersion; }
  void OnRosterStored(std::uint64_t aVersion,
                      const std::vector<roster_entry>& aRoster);
  // Ended jobs that need not be kept any longer; they are forgotten.
  std::vector<job_name> TakeExpired(wall_time aWall, std::size_t aMost);

  // True once a runner has seen a higher term: this owner must stop.
  bool IsFenced() const { return mFenced; }

  // Runners that get no new runs, because their hosts are wanted elsewhere.
  void SetClosed(const std::set<runner_name>& aRunners);
  // Stops the lasting runs there, as far as their steps' allowance permits.
  void Evict(const runner_name& aRunner, time_point aNow);

  // Whether all that runs on the runner is known: it has answered this owner,
  // or every lease that an earlier one gave is over.
  bool KnowsRunsOf(const runner_name& aRunner, time_point aNow) const;

  // What each service would use now if it had room for all.
  std::map<service_name, pool_load> Loads(time_point aNow, wall_time aWall);

  const std::map<runner_name, runner>& Runners() const { return mRunners; }
  const std::map<job_name, job>& Jobs() const { return mJobs; }

private:
  struct candidate;
  struct collection;

  bool IsUrgent(const job_name& aJob) const;
  const service_name& ServiceOf(const queue_policy& aQueue) const;
  time_point LeasesOver() const;
  bool MayStartInherited(const service_name& aService, time_point aNow) const;
  void ReleaseDead(time_point aNow);
  void Release(runner& aRunner, const run_key& aKey, time_point aNow);
  void ReleaseAll(runner& aRunner, time_point aNow);
  void PlanStarts(time_point aNow, wall_time aWall, std::vector<order>& aOut);
  void CollectCandidates(job& aJob,
                         time_point aNow,
                         wall_time aWall,
                         collection& aInto);
  // Both: false if there was no room for a task.
  bool PlaceStep(const candidate& aCandidate,
                 const std::vector<runner*>& aPool,
                 time_point aNow,
                 std::vector<order>& aOut);
  bool PlaceGang(const candidate& aCandidate,
                 const std::vector<runner*>& aPool,
                 time_point aNow,
                 std::vector<order>& aOut);
  std::uint32_t NextRun(const task& aTask) const;
  start_order MakeStart(const candidate& aCandidate,
                        std::size_t aIndex,
                        runner& aRunner,
                        std::uint32_t aRun,
                        time_point aNow);
  void PlanStops(time_point aNow, std::vector<order>& aOut);
  void PlanLooks(time_point aNow, std::vector<order>& aOut);
  void PlanPaces(std::vector<order>& aOut);
  std::chrono::nanoseconds LookSpacing() const;
  look_order MakeLook(runner& aRunner, time_point aNow);
  void OnOtherBoot(runner& aRunner, std::int64_t aBoot, time_point aNow);
  void OnSilence(runner& aRunner, order_outcome aOutcome);
  void OnAnswer(runner& aRunner, const look_order& aOrder);
  void OnReport(runner& aRunner,
                const look_report& aReport,
                time_point aSentAt,
                time_point aNow,
                wall_time aWall);
  void OnEnd(runner& aRunner,
             const ended_run& aEnd,
             time_point aNow,
             wall_time aWall);
  void ApplyEnd(job& aJob,
                const task_id& aTask,
                const ended_run& aEnd,
                time_point aNow,
                wall_time aWall);
  void OnFailure(job& aJob, const task_id& aTask, wall_time aWall);
  void NoteFailure(runner& aRunner, const job_name& aJob, time_point aNow);
  void OnLive(runner& aRunner, const live_run& aLive, time_point aNow);
  void Adopt(runner& aRunner,
             const task_id& aTask,
             const live_run& aLive,
             time_point aNow);
  void SettleUnlisted(runner& aRunner,
                      const look_report& aReport,
                      time_point aSentAt,
                      time_point aNow);
  void Touch(job& aJob);
  void Finish(job& aJob, job_state aState, wall_time aWall);
  void StopRuns(const job_name& aJob);
  std::size_t CountAway(const job& aJob, const task_id& aTask) const;
  void Acknowledge(runner& aRunner);

  const scheduler_settings mSettings;
  const ownership mOwnership;
  const std::uint32_t mRunBase;
  catalog mCatalog;
  std::map<job_name, job> mJobs;
  std::set<job_name> mActive;   // not ended
  std::set<job_name> mUnstored; // version differs from the stored one
  std::map<runner_name, runner> mRunners;
  std::map<job_name, std::set<runner_name>> mRunnersOfJob;
  std::map<runner_name, std::map<job_name, time_point>> mFailuresOfRunner;
  std::map<service_name, arrivals> mArrivals;
  std::set<runner_name> mClosed;
  std::uint64_t mRosterVersion = 0;
  std::uint64_t mStoredRosterVersion = 0;
  bool mFenced = false;
  bool mMayStart = true;
};

} // namespace mangospan::jobs

#endif // MANGOSPAN_JOBS_SCHEDULER_H
