// A job as its owner knows it: the specification and what became of its tasks.
#ifndef MANGOSPAN_JOBS_JOB_H
#define MANGOSPAN_JOBS_JOB_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mangospan/base/time.h"
#include "mangospan/jobs/spec.h"

namespace mangospan::jobs {

// Which task of which job. Its text form is "JOB.OCCURRENCE.STEP.INDEX".
struct task_id
{
  job_name mJob;
  std::size_t mOccurrence = 0;
  std::size_t mStep = 0;
  std::size_t mIndex = 0;

  std::string Text() const;
};

// The task that the text names, or nothing if it is malformed.
std::optional<task_id>
ParseTaskId(std::string_view aText);

enum class job_state
{
  kQueued, // no task has started
  kRunning,
  kCompleted, // every task is done
  kFailed,    // a task has failed as often as its queue allows
  kCancelled,
};

const char*
Name(job_state aState);

std::optional<job_state>
ParseJobState(std::string_view aText);

bool
IsFinal(job_state aState);

// What is known of one task. At most one run of it is live at a time.
struct task
{
  bool mDone = false;
  // The runs that failed. Their number is what the queue limits; a runner
  // repeats an end until it is acknowledged, so each is counted by its number.
  std::vector<std::uint32_t> mFailedRuns;
  std::uint32_t mLastRun = 0; // the highest number given to a run of it
  bool mLive = false;         // a run of it exists or may exist
  bool mAtWork = false;       // the run was seen at work
  runner_name mRunner;        // of the live or the latest run
  runner_name mFailedOn;      // where it failed last
  std::string mCheckpoint;
  time_point mIdleSince{}; // since when no run of it is live

  // Whether it needs a run.
  bool IsIdle() const { return !mDone && !mLive; }
};

struct step
{
  std::vector<task> mTasks;
  std::size_t mDone = 0;
};

struct occurrence
{
  std::vector<step> mSteps;
};

struct job
{
  job_name mName;
  job_spec mSpec;
  job_state mState = job_state::kQueued;
  time_point mAccepted{}; // by the owner's clock; of a taken-over job, the
                          // time of the takeover
  wall_time mAcceptedAt;
  wall_time mEndedAt;  // of a final state
  time_point mDueBy{}; // objective
  std::vector<occurrence> mOccurrences;
  bool mInherited = false; // accepted by an earlier owner

  std::uint64_t mVersion = 1;       // rises with every change worth keeping
  std::uint64_t mStoredVersion = 0; // the newest version known to be stored
  std::uint64_t mRevision = 0;      // of the stored record; 0: none

  bool IsStored() const { return mStoredVersion >= mVersion; }
  task* Find(const task_id& aTask);
  // Whether every step that `aStep` comes after is done.
  bool IsStepReady(std::size_t aOccurrence, std::size_t aStep) const;
  // How many occurrences, from the first, have reached their time.
  std::size_t DueOccurrences(wall_time aWall) const;
  bool AllDone() const;
};

// A job whose occurrences are laid out and in which nothing has run.
job
MakeJob(job_name aName, job_spec aSpec);

} // namespace mangospan::jobs

#endif // MANGOSPAN_JOBS_JOB_H
