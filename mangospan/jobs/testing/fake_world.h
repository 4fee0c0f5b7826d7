// Owners, runners and a store in virtual time, with faults drawn from a seed
// and a check of every promise. For tests.
#ifndef MANGOSPAN_JOBS_TESTING_FAKE_WORLD_H
#define MANGOSPAN_JOBS_TESTING_FAKE_WORLD_H

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "mangospan/base/time.h"
#include "mangospan/jobs/scheduler.h"
#include "mangospan/jobs/testing/fake_runner.h"

namespace mangospan::jobs::testing {

// How often what goes wrong, as shares of orders.
struct fault_rates
{
  double mAnswerLost = 0;
  double mAppliedLate = 0;
  double mTaskFails = 0;
};

class fake_world
{
public:
  fake_world(std::uint64_t aSeed, fault_rates aRates);
  ~fake_world();

  // A runner of `aService`; listed and in touch.
  void AddRunner(const std::string& aName,
                 const std::string& aService,
                 resources aCapacity);
  // Accepts the job as the owner does, with a write to the store.
  void Submit(const std::string& aName, const job_spec& aSpec);
  void Cancel(const std::string& aName);
  // Ends the owner; the next one is elected after `aGap`.
  void KillOwner(std::chrono::milliseconds aGap);
  // As `KillOwner`, but the owner tells its successor until when runs may live.
  void HandOver(std::chrono::milliseconds aGap);
  // The owner's answers are lost and its writes fail, while it still acts.
  void CutOwnerFromStore(std::chrono::milliseconds aFor);
  void SetReachable(const std::string& aRunner, bool aIsReachable);
  void Crash(const std::string& aRunner);
  void Unlist(const std::string& aRunner);
  void ListAgain(const std::string& aRunner);

  void RunFor(std::chrono::milliseconds aTime);

  time_point Now() const { return mNow; }
  std::mt19937_64& Random() { return mRandom; }
  scheduler* Owner() { return mOwner.get(); }
  fake_runner& Runner(const std::string& aName);
  std::vector<std::string> RunnerNames() const;
  job_state StateOf(const std::string& aJob) const; // as stored
  bool IsAccepted(const std::string& aJob) const;
  std::size_t StartsOf(const std::string& aTask) const;
  const std::vector<std::string>& Violations() const { return mViolations; }
  // Accepted jobs that are neither final nor lasting.
  std::vector<std::string> Unfinished() const;

private:
  struct event
  {
    time_point mAt;
    std::uint64_t mSequence = 0;
    std::function<void()> mRun;
    bool operator<(const event& aOther) const
    {
      return std::tie(aOther.mAt, aOther.mSequence) < std::tie(mAt, mSequence);
    }
  };
  struct task_history
  {
    std::set<std::string> mRunningOn;
    std::size_t mStarts = 0;
    std::size_t mNotedFailures = 0; // that the owner has acknowledged
    bool mIsDone = false;
    bool mIsNotedDone = false;
  };

  void At(std::chrono::milliseconds aDelay, std::function<void()> aRun);
  bool Chance(double aShare);
  std::chrono::milliseconds Delay();
  wall_time Wall() const;
  void Elect();
  void Tick();
  void Send(const order& aOrder);
  void Deliver(const start_order& aOrder);
  void Deliver(const stop_order& aOrder);
  void Deliver(const pace_order& aOrder);
  void Deliver(const look_order& aOrder);
  void Answer(std::uint64_t aTerm,
              const std::function<void(scheduler&)>& aTell);
  void Write();
  void OnBegin(const std::string& aRunner,
               const std::string& aTask,
               std::uint32_t aRun);
  void OnEnd(const std::string& aRunner,
             const std::string& aTask,
             run_end aEnd);
  void OnNoted(const std::string& aTask, run_end aEnd);
  void CheckOrder(const task_id& aTask);
  void Complain(const std::string& aWhat);

  std::mt19937_64 mRandom;
  const fault_rates mRates;
  time_point mNow{ std::chrono::hours(1) };
  std::uint64_t mSequence = 0;
  std::priority_queue<event> mEvents;
  std::map<std::string, std::unique_ptr<fake_runner>> mRunners;
  std::set<std::string> mUnlisted;
  std::unique_ptr<scheduler> mOwner;
  std::uint64_t mTerm = 0;
  time_point mConfirmedAt{};
  time_point mCutUntil{};
  bool mIsWriting = false;
  std::map<std::string, std::string> mStoredJobs;
  std::string mStoredRoster;
  std::map<std::string, job_spec> mSpecs;
  std::set<std::string> mAccepted;
  std::map<std::string, time_point> mCancelledAt; // when that was stored
  std::map<std::string, task_history> mTasks;
  std::vector<std::string> mViolations;
  catalog mCatalog;
};

// A catalog with queue "q" on service "s", four attempts.
catalog
TestCatalog();

} // namespace mangospan::jobs::testing

#endif // MANGOSPAN_JOBS_TESTING_FAKE_WORLD_H
