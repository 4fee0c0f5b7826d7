// A simulation of owners, runners and a store in virtual time. It injects
// faults from a seeded random source and checks each guarantee of the
// scheduler. For tests.
#ifndef MANGOSPAN_JOBS_TESTING_FAKE_WORLD_H
#define MANGOSPAN_JOBS_TESTING_FAKE_WORLD_H

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "mangospan/base/time.h"
#include "mangospan/jobs/scheduler.h"
#include "mangospan/jobs/testing/fake_runner.h"

namespace mangospan::jobs::testing {

// The probability of each kind of fault, from 0 to 1.
struct fault_rates
{
  double mAnswerLost = 0; // the answer to an order is lost
  // A start order is applied late and its answer is lost.
  double mAppliedLate = 0;
  double mTaskFails = 0; // a run fails
};

// Runs one scheduler at a time as the owner, with fake runners and a fake
// store. The same seed and calls give the same course of events. Each broken
// guarantee adds an entry to Violations().
class fake_world
{
public:
  fake_world(std::uint64_t aSeed, fault_rates aRates);
  ~fake_world();

  // Ends the random faults. From four seconds later on, a task that is ready
  // and has room twice over must not wait for longer than `kMaxWait`: a
  // long-running one from six seconds after its last run on, another one only
  // while nothing of its job runs and under half of the capacity of its service
  // is in use.
  void BeginCalm();

  // Adds a runner of `aService` that service discovery lists and that is
  // reachable.
  void AddRunner(const std::string& aName,
                 const std::string& aService,
                 resources aCapacity,
                 const std::string& aRack = "");
  // Submits the job to the owner. The job is accepted once the owner has stored
  // it. Does nothing while there is no owner.
  void Submit(const std::string& aName, const job_spec& aSpec);
  void Cancel(const std::string& aName);
  // Terminates the owner. The next one is elected after `aElectionDelay`.
  void KillOwner(std::chrono::milliseconds aElectionDelay);
  // Does the same, and the next owner knows that this one has ended.
  void RestartOwner(std::chrono::milliseconds aElectionDelay);
  // Ends the owner, which is cut off from the store, in favour of a successor
  // that was elected `aAfter` the owner was last confirmed and loads now.
  void SucceedCutOffOwner(std::chrono::milliseconds aAfter);
  // Does the same as KillOwner(), but the owner first stores its roster, which
  // tells its successor until when runs may live.
  void HandOver(std::chrono::milliseconds aElectionDelay);
  // Cuts the owner off from the store for `aFor`: it can neither write nor
  // confirm its ownership nor hear of runners, but continues to act.
  void CutOwnerFromStore(std::chrono::milliseconds aFor);
  // Makes the time of day of this owner and of later ones jump by `aBy`. The
  // clocks that measure durations go on.
  void StepTimeOfDay(std::chrono::milliseconds aBy) { mTimeOfDayOffset += aBy; }
  // Keeps service discovery from reporting anything new for `aFor`.
  void FreezeDiscovery(std::chrono::milliseconds aFor);
  void SetReachable(const std::string& aRunner, bool aIsReachable);
  // Sets the probability that a start order to the runner, or a poll, gets no
  // answer and is executed late; replaces `fault_rates::mAppliedLate` there.
  void SetLateOrders(const std::string& aRunner, double aProbability);
  // Ends all runs of the runner, which starts again at once under its name.
  void Crash(const std::string& aRunner);
  // Ends all runs of the runner, which refuses connections for `aFor` and then
  // starts again: under its name, or under a new one at the same address.
  void CrashFor(const std::string& aRunner, std::chrono::milliseconds aFor);
  void SetRunnersReturnRenamed(bool aAreRenamed)
  {
    mAreReturningRenamed = aAreRenamed;
  }
  // Each runner on which the task begins crashes `aAfter` later and is down for
  // some seconds.
  void SetCrashesRunners(const std::string& aTask,
                         std::chrono::milliseconds aAfter);
  // Each run of the job fails `aAfter` its begin.
  void SetFails(const std::string& aJob, std::chrono::milliseconds aAfter);
  // Runs on the runner fail with this probability, when their work is done.
  void SetFaulty(const std::string& aRunner, double aProbability);
  // The same, but those that fail do so `aAfter` their begin.
  void SetFaulty(const std::string& aRunner,
                 double aProbability,
                 std::chrono::milliseconds aAfter);
  void Unlist(const std::string& aRunner);
  void Relist(const std::string& aRunner);

  // The operators write another configuration, which holds at once.
  void SetCatalog(const catalog& aCatalog);
  // Whether later owners learn run times.
  void SetLearnsRunTimes(bool aLearns) { mLearnsRunTimes = aLearns; }
  // Runs of the queue's tasks take their estimate times this factor. Those of
  // other queues take half to twice their estimate.
  void SetRunTimeFactor(const std::string& aQueue, double aFactor)
  {
    mRunTimeFactors[aQueue] = aFactor;
  }

  void RunFor(std::chrono::milliseconds aTime);

  time_point Now() const { return mNow; }
  // Returns the owner's time of day.
  wall_time Wall() const;
  std::mt19937_64& Random() { return mRandom; }
  scheduler* Owner() { return mOwner.get(); }
  fake_runner& Runner(const std::string& aName);
  std::vector<std::string> RunnerNames() const;
  // Returns the state in the job's stored record, which must exist.
  job_state StateOf(const std::string& aJob) const;
  bool IsAccepted(const std::string& aJob) const;
  // Returns how many runs of the task have begun.
  std::size_t StartsOf(const std::string& aTask) const;
  // Returns how many runs have begun on the runner.
  std::size_t StartsOn(const std::string& aRunner) const;
  // Returns the polls of the runner so far, which has had at least one.
  const std::vector<poll_order>& PollsOf(const std::string& aRunner) const;
  // Returns a description of each guarantee that was broken.
  const std::vector<std::string>& Violations() const { return mViolations; }
  // Returns the accepted jobs that have not reached a final state, except those
  // with a long-running step.
  std::vector<std::string> UnfinishedJobs() const;

private:
  struct event
  {
    time_point mAt;
    std::uint64_t mSequence = 0;
    std::function<void()> mAction;
    bool operator<(const event& aOther) const
    {
      return std::tie(aOther.mAt, aOther.mSequence) < std::tie(mAt, mSequence);
    }
  };
  struct task_history
  {
    std::set<std::string> mRunningOn;
    std::size_t mStarts = 0;
    std::size_t mAcknowledgedFailures = 0; // acknowledged by the owner
    bool mIsDone = false;
    bool mIsAcknowledgedDone = false;
    time_point mEndedAt{}; // end of its last run
  };

  // A poll that the owner of the term has sent.
  struct sent_poll
  {
    poll_order mOrder;
    std::uint64_t mTerm = 0;
    time_point mSentAt;
  };

  void Schedule(std::chrono::milliseconds aDelay,
                std::function<void()> aAction);
  bool Chance(double aProbability);
  double FailureRateOn(const std::string& aRunner) const;
  // Returns the time after which an unanswered order is executed.
  std::chrono::milliseconds LateDelay();
  std::chrono::milliseconds RandomDelay();
  void Elect(time_point aElectedAt);
  void Tick();
  void ListRunners();
  void Send(const order& aOrder);
  void Deliver(const start_order& aOrder);
  void Deliver(const stop_order& aOrder);
  void Deliver(const throttle_order& aOrder);
  void Deliver(const poll_order& aOrder);
  void DeliverLate(const poll_order& aOrder);
  void AwaitReport(const sent_poll& aPoll,
                   std::int64_t aBoot,
                   time_point aArrivedAt);
  void AnswerPoll(const sent_poll& aPoll,
                  order_outcome aOutcome,
                  const poll_report* aReport);
  void NotifyOwner(std::uint64_t aTerm,
                   const std::function<void(scheduler&)>& aNotify);
  void WriteToStore();
  void OnBegin(const std::string& aRunner,
               const std::string& aTask,
               std::uint32_t aRun);
  void OnEnd(const std::string& aRunner,
             const std::string& aTask,
             run_end aEnd);
  void OnAcknowledged(const std::string& aTask,
                      run_end aEnd,
                      bool aHasLeaseExpired);
  void CheckDependencies(const task_id& aTask);
  // Returns the runners of the service that are up and may take new runs.
  std::vector<const fake_runner*> PoolOf(const service_name& aService) const;
  bool HasRoomTwice(const task_id& aTask) const;
  bool IsHalfUsed(const service_name& aService) const;
  bool IsWaiting(const task_id& aTask);
  bool IsRunning(const std::string& aJob) const;
  void CheckWait(const task_id& aTask);
  void CheckWaits();
  void Return(const std::string& aRunner);
  // Returns the outcome of an order for a runner that is not there any more.
  std::optional<order_outcome> OutcomeWithoutRunner(
    const std::string& aRunner) const;
  void AddViolation(const std::string& aDescription);

  std::mt19937_64 mRandom;
  fault_rates mRates;
  std::optional<time_point> mCalmSince;
  // Since when the tasks wait that have had room all the time.
  std::map<std::string, time_point> mWaitingSince;
  time_point mNow{ std::chrono::hours(1) };
  std::chrono::milliseconds mTimeOfDayOffset{ 0 };
  std::uint64_t mSequence = 0;
  std::priority_queue<event> mEvents;
  std::map<std::string, std::unique_ptr<fake_runner>> mRunners;
  std::map<std::string, double> mLateOrders; // probabilities by runner
  std::set<std::string> mUnlisted;
  std::set<std::string> mDown;     // runners that have crashed and are not back
  std::set<std::string> mReplaced; // at whose address another one answers
  bool mAreReturningRenamed = false;
  // Tasks that crash their runners, with the time from the begin of a run.
  std::map<std::string, std::chrono::milliseconds> mCrashingTasks;
  // Jobs whose runs fail, with the time from the begin of a run.
  std::map<std::string, std::chrono::milliseconds> mFailingJobs;
  std::map<std::string, double> mFaultyRunners; // probabilities of failure
  std::map<std::string, std::chrono::milliseconds> mFailsAfter; // by runner
  std::map<std::string, std::size_t> mStartsOnRunner;
  bool mLearnsRunTimes = false;
  std::map<std::string, double> mRunTimeFactors; // by queue
  std::unique_ptr<scheduler> mOwner;
  std::uint64_t mTerm = 0;
  time_point mConfirmedAt{};
  time_point mStoreCutUntil{};
  time_point mDiscoveryFrozenUntil{};
  std::map<std::string, std::vector<poll_order>> mPolls; // by runner
  bool mIsWriting = false;
  std::map<std::string, std::string> mStoredJobs;
  std::map<std::string, job_state> mStoredStates; // in these records
  std::string mStoredRoster;
  std::uint64_t mRosterTerm = 0; // of the owner that has written it
  std::uint64_t mLastOwnerTerm = 0;
  std::optional<time_point> mLastOwnerEndedBy; // if the next one knows it
  std::map<std::string, job_spec> mSpecs;
  std::set<std::string> mAccepted;
  std::map<std::string, time_point> mCancelledAt; // time of the write
  std::map<std::string, task_history> mTasks;
  std::vector<std::string> mViolations;
  catalog mCatalog;
};

// Returns a catalog with queue "q" on service "s", which allows four attempts
// for each task.
catalog
TestCatalog();

} // namespace mangospan::jobs::testing

#endif // MANGOSPAN_JOBS_TESTING_FAKE_WORLD_H
