// Job specifications, which callers submit, and the parts of the operators'
// configuration that apply to jobs.
//
// A job is a list of steps; a step is a number of equal tasks. The tasks of a
// step may start once every task of the steps that it depends on is done.
#ifndef MANGOSPAN_JOBS_SPEC_H
#define MANGOSPAN_JOBS_SPEC_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "mangospan/base/identity.h"
#include "mangospan/base/resources.h"
#include "mangospan/customers/customer.h"

namespace mangospan::jobs {

using job_name = name<struct job_tag>;
using queue_name = name<struct queue_tag>;
using runner_name = name<struct runner_tag>;
using mangospan::resources;

// A time of day. Those of two hosts may differ by any amount, and each may
// jump.
using wall_time = std::chrono::system_clock::time_point;

// A step as the caller specifies it: the number of its tasks, what each of them
// takes, and where and how they may run.
struct step_spec
{
  std::size_t mTaskCount = 1;
  resources mTaskResources; // The resources that each task requests.
  std::chrono::milliseconds mEstimate{ 0 }; // Expected duration of one task.
  // Indexes of the steps that must be done before this one starts.
  std::vector<std::size_t> mAfter;
  bool mSavesCheckpoints = false; // The tasks save their progress.
  bool mGang = false;             // The tasks work only while all of them run.
  bool mColocate = false;         // The tasks are slower if they span racks.
  std::string mLabel; // A label that the runner must have, or empty.
  // The rack that holds the input; the tasks are slower on any other rack.
  // Empty if there is none.
  rack_name mDataRack;
  // The maximum number of tasks of this step on one runner; 0 for no limit.
  std::size_t mMaxPerRunner = 0;
  // The caller permits parallel copies of a task. The scheduler starts none.
  bool mSpeculative = false;
  bool mLongRunning = false; // The tasks run until the job is cancelled.
  std::string mImage; // Kept with the job; the scheduler does not use it.
  // The latency that a long-running task may have towards its callers. Above 0
  // it makes the task latency-sensitive.
  std::chrono::milliseconds mTargetLatency{ 0 };
  // The tasks are best effort: they use only the CPU time that others leave.
  bool mBestEffort = false;
  // The maximum number of tasks of this step that may be unavailable at the
  // same time; 0 if the caller sets no limit.
  std::size_t mMaxUnavailable = 0;

  // Returns the capacity that one task takes on a runner. A best-effort task
  // takes no CPU time.
  resources Reservation() const;
};

// A job as the caller specifies it.
struct job_spec
{
  queue_name mQueue;
  customer_name mCustomer; // who has submitted it; empty for a public queue
  std::string mPayload;    // Passed to every task unchanged.
  std::vector<step_spec> mSteps;
  // For how long the caller had been trying to submit the job when it was
  // submitted; 0 for the first try. The objective counts from the first try.
  std::chrono::milliseconds mElapsed{ 0 };
  // The number of occurrences of a job that runs at set times; 0 for a job that
  // runs once, as soon as it is submitted.
  std::size_t mRepetitions = 0;
  wall_time mFirstDue; // When the first of the repetitions is due.
  std::chrono::milliseconds mInterval{ 0 }; // The time between repetitions.

  // Returns the number of occurrences, which is at least 1.
  std::size_t Occurrences() const;
  // Returns the number of tasks of one occurrence.
  std::size_t TasksPerOccurrence() const;
  // Returns how many occurrences an owner works on at a time, which bounds what
  // it keeps of the job in memory and in the store.
  std::size_t MaxOpenOccurrences() const;
  // Returns when the occurrence of that index, from 0, is due.
  wall_time DueAt(std::size_t aOccurrence) const;
  // Returns whether the tasks of any step are long-running.
  bool HasLongRunningStep() const;
};

// The largest record of a job in bytes.
constexpr std::size_t kMaxRecordBytes = std::size_t{ 1000 } * 1000;

// Returns why the specification is invalid, or an empty string if it is valid.
// Invalid is also a job whose record might become larger than
// `kMaxRecordBytes`.
std::string
ValidateSpec(const job_spec& aSpec);

// Returns the length of the critical path: the largest sum of estimates along
// the dependencies between steps. Requires that each step depends only on
// earlier ones.
std::chrono::milliseconds
CriticalPath(const std::vector<step_spec>& aSteps);

// A queue as the operators have configured it: the requests that it accepts and
// the rules for its jobs.
struct queue_policy
{
  queue_name mName;
  // The host name in the header Host of the requests that belong to the queue.
  std::string mHostHeader;
  std::string mPrefix;   // Prefix of the paths of these requests.
  service_name mService; // The service whose runners execute the jobs.
  int mPriority = 0;     // 0 is the highest priority.
  // The number of failed runs of one task after which its job fails.
  std::size_t mMaxAttempts = 1;
  // The critical path is multiplied by this factor in the objective.
  double mObjectiveFactor = 1.0;
  // The fixed part of the objective, added to the scaled critical path.
  std::chrono::milliseconds mTargetLatency{ 0 };
  std::chrono::milliseconds mTimeout{ 0 }; // Limit for one caller request.
  bool mIsPublic = true;                   // The calls need no API key.

  // Returns the objective of a job: the time from its submission within which
  // it is worth its full value.
  std::chrono::milliseconds Objective(const job_spec& aSpec) const;
};

// A service as the operators have configured it, as far as jobs are concerned.
struct service_policy
{
  service_name mName;
  // The service is a pool of spare hosts, which are switched off and cost
  // nothing.
  bool mSpare = false;
};

// The queues, services and customers of the operators' configuration.
struct catalog
{
  std::uint64_t mVersion = 0;
  std::map<queue_name, queue_policy> mQueues;
  std::map<service_name, service_policy> mServices;
  std::map<customer_name, customers::customer_policy> mCustomers;

  // Returns the queue of a request: among the queues for this host, the one
  // with the longest prefix that the path begins with. Returns null if there is
  // none.
  const queue_policy* FindQueue(std::string_view aHost,
                                std::string_view aPath) const;
  // Returns the queue of that name, or null if there is none.
  const queue_policy* FindQueue(const queue_name& aName) const;
  // Returns how many services are not spare. The pools of these share the
  // customers' caps.
  std::size_t CountPools() const;
};

} // namespace mangospan::jobs

#endif // MANGOSPAN_JOBS_SPEC_H
