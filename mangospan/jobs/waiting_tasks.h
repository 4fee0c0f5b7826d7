// Why tasks that are ready to start wait: for logs, metrics and operators.
#ifndef MANGOSPAN_JOBS_WAITING_TASKS_H
#define MANGOSPAN_JOBS_WAITING_TASKS_H

#include <array>
#include <chrono>
#include <cstddef>
#include <map>
#include <set>
#include <string>

#include "mangospan/base/identity.h"
#include "mangospan/jobs/orders.h"

namespace mangospan::jobs {

// What a ready task waits for.
enum class wait_reason
{
  kRecord,    // the record of its job, or of a crash, is not stored yet
  kTakeover,  // runs of an earlier owner may still be live
  kOwnership, // this owner has to confirm that it still is the owner
  kCrashes,   // the delay after crashes under it, or a runner for itself
  kGang,      // members of an earlier run of its gang
  kQuota,     // its customer has as much running as its share of the cap
  kCapacity,  // no runner has room
  kRunner,    // only runners that get no new runs have room
  kPlacement, // a runner has room, but others go first or it lacks a condition
};

// The reasons by which tasks are counted. kRunner and kPlacement count as
// kCapacity: they are told apart for the oldest task only.
constexpr std::array<wait_reason, 7> kCountedWaitReasons{
  wait_reason::kRecord,   wait_reason::kTakeover, wait_reason::kOwnership,
  wait_reason::kCrashes,  wait_reason::kGang,     wait_reason::kQuota,
  wait_reason::kCapacity,
};

// Returns the name of the reason in logs and metrics, such as "takeover".
const char*
Name(wait_reason aReason);

// The tasks of one owner that are ready to start and do not run.
struct waiting_tasks
{
  std::map<wait_reason, std::size_t> mCounts;
  std::set<customer_name> mLimitedByQuota; // have tasks counted as kQuota
  // The task that has waited longest, why, and for how long; of use only if
  // `mCounts` is not empty.
  task_id mOldest;
  wait_reason mOldestReason = wait_reason::kCapacity;
  std::chrono::milliseconds mOldestAge{ 0 };
  // Why runners with room for it get no new runs, with the number of runners,
  // such as "cordoned:2,silent:1".
  std::string mObstacles;
};

} // namespace mangospan::jobs

#endif // MANGOSPAN_JOBS_WAITING_TASKS_H
