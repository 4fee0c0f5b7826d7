// The state of a job that its owner keeps: its specification and the progress
// of each of its tasks.
#ifndef MANGOSPAN_JOBS_JOB_H
#define MANGOSPAN_JOBS_JOB_H

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "mangospan/base/time.h"
#include "mangospan/jobs/spec.h"

namespace mangospan::jobs {

// Identifies one task of one occurrence of a job. Its text form is
// "JOB.OCCURRENCE.STEP.INDEX"; the three numbers count from 0.
struct task_id
{
  job_name mJob;
  std::size_t mOccurrence = 0;
  std::size_t mStep = 0;
  std::size_t mIndex = 0;

  // Returns the text form, which `ParseTaskId` reads.
  std::string Text() const;

  bool operator==(const task_id& aOther) const
  {
    return std::tie(mIndex, mStep, mOccurrence, mJob) ==
           std::tie(
             aOther.mIndex, aOther.mStep, aOther.mOccurrence, aOther.mJob);
  }
};

// Parses the text form of a task id. Returns nothing if it is malformed.
std::optional<task_id>
ParseTaskId(std::string_view aText);

// The life cycle of a job. The last three states are final.
enum class job_state
{
  kQueued, // No task has started yet.
  kRunning,
  kCompleted, // Every task is done.
  kFailed,    // A task has used up the attempts that its queue allows.
  kCancelled,
};

// Returns the name of the state in records and answers, such as "queued".
const char*
Name(job_state aState);

// Returns the state of that name, or nothing if there is none.
std::optional<job_state>
ParseJobState(std::string_view aText);

// Returns whether a job in this state never changes its state again.
bool
IsFinal(job_state aState);

// The crashes of runners under runs of one task, since it was last cleared of
// them.
struct crash_history
{
  std::uint32_t mCount = 0;
  // The longest and the latest time from the start of a run to the crash.
  std::chrono::milliseconds mLongestFuse{ 0 };
  std::chrono::milliseconds mLatestFuse{ 0 };
  // How much the crashes say against the task.
  std::uint32_t mSuspicion = 0;
  // The task may be the cause: until it is cleared it runs alone, unless it
  // would wait too long for that.
  bool mIsSuspect = false;
  // The probability of crashes at these times after the starts if the task is
  // not the cause.
  double mChance = 1.0;
  // The address of the runner of the latest crash, and whether an earlier one
  // was elsewhere.
  std::string mLatestAddress;
  bool mAtSeveralAddresses = false;
  // A suspected task does not start before this time.
  time_point mNotBefore{};
};

// The progress of one task. A run is one attempt to execute the task on a
// runner; at most one run of a task is live at a time.
struct task
{
  bool mDone = false;
  // The numbers of the runs that failed. The queue limits how many there may
  // be. A runner reports the end of a run again until it is acknowledged, so
  // the numbers are kept to count each failure once.
  std::vector<std::uint32_t> mFailedRuns;
  // The highest run number of this task that was used, as far as is known.
  std::uint32_t mLastRun = 0;
  bool mLive = false; // A run of this task exists or may exist.
  // The number of the live run; of use only if there is one. It may be lower
  // than `mLastRun`.
  std::uint32_t mLiveRun = 0;
  // The runner reports that the live run is at work, and nobody has asked the
  // run to stop.
  bool mReady = false;
  runner_name mRunner; // The runner of the live or the latest run.
  // The runners of the latest failed runs, the last of them at the end, and
  // when that one failed.
  std::vector<runner_name> mFailedOn;
  time_point mFailedAt{};
  std::string mCheckpoint; // The latest progress that a run has saved.
  time_point mIdleSince{}; // When the latest run of this task was over.
  crash_history mCrashes;  // of runners under runs of this task
  // When a run was last given up with its runner, or left in doubt since its
  // runner had started again: it may have ended without a report. The epoch if
  // that did not happen.
  time_point mLostAt{};

  // Notes that a run has failed on the runner.
  void OnFailedOn(const runner_name& aRunner, time_point aNow);
  // Returns whether the task needs a run.
  bool IsIdle() const { return !mDone && !mLive; }
  // Returns whether the live run is the one of this number.
  bool IsLiveRun(std::uint32_t aNumber) const
  {
    return mLive && mLiveRun == aNumber;
  }
  // Notes that a run of this number is live on the runner.
  void SetLiveRun(std::uint32_t aNumber, const runner_name& aRunner)
  {
    mLive = true;
    mLiveRun = aNumber;
    mLastRun = std::max(mLastRun, aNumber);
    mRunner = aRunner;
  }
};

// The tasks of one step in one occurrence of a job.
struct step
{
  std::vector<task> mTasks;
  std::size_t mDoneCount = 0; // The number of tasks that are done.
  time_point mReadySince{};   // When this owner first found one to start.
  time_point mWaitLoggedAt{}; // When the log last told why a gang waits.
};

// One execution of all steps of a job. A job that repeats has several.
struct occurrence
{
  std::vector<step> mSteps;
};

// The occurrences of a job that are done, as ranges of their numbers: there are
// few ranges however many occurrences are done.
class done_occurrences
{
public:
  void Add(std::size_t aNumber) { AddRange(aNumber, aNumber + 1); }
  // Adds the occurrences from `aFirst` to before `aEnd`, which is higher. None
  // of them may be in the set.
  void AddRange(std::size_t aFirst, std::size_t aEnd);
  bool Contains(std::size_t aNumber) const;
  std::size_t Count() const { return mCount; }
  // The first number of each range, and the number after its last one.
  const std::map<std::size_t, std::size_t>& Ranges() const { return mRanges; }

private:
  std::map<std::size_t, std::size_t> mRanges;
  std::size_t mCount = 0;
};

// A job, its state, and how much of it is stored.
struct job
{
  job_name mName;
  job_spec mSpec;
  // The policy of the queue when the job was accepted, which holds on once the
  // operators have removed the queue.
  queue_policy mPolicy;
  job_state mState = job_state::kQueued;
  // When the job was accepted, on the owner's monotonic clock. After a takeover
  // it is the time of the takeover less the age of the job by the wall clock.
  time_point mAcceptedAt{};
  time_point mFirstTryAt{}; // of the caller's submission; not later
  wall_time mAcceptedWallTime;
  wall_time mEndedWallTime; // When the job reached a final state.
  // Since when the present owner knows that the job has ended. The time of day
  // may jump, and a job that is forgotten too soon would run again.
  time_point mEndKnownAt{};
  // The end of the objective: until then the job is worth its full value.
  time_point mObjectiveDeadline{};
  // The open occurrences, by number: those that are due or have begun, and are
  // not done. A job may have any number of others.
  std::map<std::size_t, occurrence> mOccurrences;
  done_occurrences mDoneOccurrences;
  // Every occurrence below this number has been opened, or is done.
  std::size_t mOpenedBelow = 0;
  bool mInherited = false; // An earlier owner accepted the job.
  bool mIsExcess = false;  // It is beyond its customer's rate.
  // Its place in the fair order of the customers; 0 if it has no customer.
  double mFairStart = 0;

  std::uint64_t mVersion = 1; // Rises with every change that has to be stored.
  std::uint64_t mStoredVersion = 0; // The newest version known to be stored.
  std::uint64_t mRevision = 0;      // Revision of the stored record; 0 if none.

  // The first version that includes the latest crash of a runner. No task
  // starts before it is stored, so that a successor knows of the crash.
  std::uint64_t mCrashVersion = 0;

  // Returns whether the store holds the newest version.
  bool IsStored() const { return mStoredVersion >= mVersion; }
  // Returns the task, or null if the job has no such task or the whole
  // occurrence is done. Opens the occurrence, which an earlier owner may have
  // begun. Ignores the job's name in the id.
  task* Find(const task_id& aTask);
  // Opens the occurrences that are due, as far as there is room for more.
  void OpenDueOccurrences(wall_time aWall);
  // Closes the occurrence if it is open and all of its tasks are done.
  void CloseIfDone(std::size_t aOccurrence);
  // Returns whether every step that `aStep` depends on is done. Requires that
  // the occurrence is open and the step exists.
  bool IsStepReady(std::size_t aOccurrence, std::size_t aStep) const;
  // Returns the number of occurrences, from the first, whose due time is not
  // after `aWall`. The only occurrence of a job without repetitions is always
  // due.
  std::size_t DueOccurrences(wall_time aWall) const;
  // Returns whether tasks of the occurrence, which is open, may start as far as
  // the time goes: it is among the first `aDue`, or has begun. One that has
  // begun goes on though the time of day jumps back, or is behind that of the
  // owner that began it.
  bool IsDueOrBegun(std::size_t aOccurrence, std::size_t aDue) const;
  // Returns whether every task of every occurrence is done.
  bool AllDone() const;

private:
  bool HasTask(const task_id& aTask) const;
  occurrence& Open(std::size_t aOccurrence);
};

// Returns a queued job of which no task has run. If it does not repeat, its
// only occurrence is open.
job
MakeJob(job_name aName, job_spec aSpec);

} // namespace mangospan::jobs

#endif // MANGOSPAN_JOBS_JOB_H
