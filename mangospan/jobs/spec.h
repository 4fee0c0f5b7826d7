// What a caller asks for and what the operators' configuration says of it.
//
// A job is a list of steps; a step is a number of equal tasks. A step's tasks
// may start once every task of the steps it comes after is done.
#ifndef MANGOSPAN_JOBS_SPEC_H
#define MANGOSPAN_JOBS_SPEC_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "mangospan/base/identity.h"

namespace mangospan::jobs {

using job_name = name<struct job_tag>;
using queue_name = name<struct queue_tag>;
using runner_name = name<struct runner_tag>;

using wall_time = std::chrono::system_clock::time_point;

// An amount of a runner's capacity.
struct resources
{
  std::int64_t mCpu = 0;      // thousandths of a core
  std::int64_t mMemoryMb = 0; // MiB
  std::int64_t mGpus = 0;

  bool FitsIn(const resources& aRoom) const;
  resources& operator+=(const resources& aOther);
  resources& operator-=(const resources& aOther);
};

struct step_spec
{
  std::size_t mTasks = 1;
  resources mNeed; // of each task
  std::chrono::milliseconds mEstimate{ 0 };
  std::vector<std::size_t> mAfter; // steps that must be done first
  bool mCheckpoints = false;       // saves its progress
  bool mGang = false;              // tasks work only together
  bool mColocate = false;          // slower across racks
  std::string mLabel;              // a label the runner must have
  rack_name mDataRack;             // slower on any other rack
  std::size_t mMaxPerRunner = 0;   // 0: no limit
  bool mSpeculative = false;       // copies may run in parallel
  bool mLasting = false;           // runs until the job is cancelled
  std::string mImage;
  std::chrono::milliseconds mTargetLatency{ 0 }; // of a serving task's callers
  bool mFiller = false;     // uses only the processor time that others leave
  std::size_t mMaxAway = 0; // tasks of ours that may be away; 0: not stated

  // What one task takes of a runner; a filler takes no processor time.
  resources Claim() const;
};

struct job_spec
{
  queue_name mQueue;
  std::string mPayload; // handed to every task as it is
  std::vector<step_spec> mSteps;
  std::size_t mRepetitions = 0; // 0: runs once, at once
  wall_time mFirstDue;
  std::chrono::milliseconds mInterval{ 0 };

  std::size_t Occurrences() const;
  wall_time DueAt(std::size_t aOccurrence) const;
  bool HasLastingStep() const;
};

// Why a specification can not be carried out, or empty.
std::string
FindFlaw(const job_spec& aSpec);

// The longest chain of estimates through the steps.
std::chrono::milliseconds
LongestChain(const std::vector<step_spec>& aSteps);

// A queue as the operators have configured it.
struct queue_policy
{
  queue_name mName;
  std::string mHost;   // of the callers' requests
  std::string mPrefix; // of their paths
  service_name mService;
  int mPriority = 0; // 0 comes first
  std::size_t mMaxAttempts = 1;
  double mStretch = 1.0; // of the longest chain, for the objective
  std::chrono::milliseconds mTargetLatency{ 0 };
  std::chrono::milliseconds mTimeout{ 0 }; // of a caller's request

  // The time from submission within which the job is worth its full value.
  std::chrono::milliseconds Objective(const job_spec& aSpec) const;
};

struct service_policy
{
  service_name mName;
  bool mSpare = false; // its hosts are off and cost nothing
};

// The operators' configuration, as far as jobs are concerned.
struct catalog
{
  std::uint64_t mVersion = 0;
  std::map<queue_name, queue_policy> mQueues;
  std::map<service_name, service_policy> mServices;

  // The queue whose host matches and whose prefix is the longest that the path
  // begins with, or null.
  const queue_policy* FindQueue(std::string_view aHost,
                                std::string_view aPath) const;
  const queue_policy* FindQueue(const queue_name& aName) const;
};

} // namespace mangospan::jobs

#endif // MANGOSPAN_JOBS_SPEC_H
