// What the scheduler is told about runners, and what it orders them to do.
//
// Times on a runner's own clock are `runner_time`; they are comparable only
// among themselves and only within one boot of the runner.
#ifndef MANGOSPAN_JOBS_ORDERS_H
#define MANGOSPAN_JOBS_ORDERS_H

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "mangospan/base/identity.h"
#include "mangospan/base/time.h"
#include "mangospan/jobs/job.h"
#include "mangospan/jobs/spec.h"

namespace mangospan::jobs {

using runner_time = std::chrono::milliseconds;

// A runner as service discovery lists it.
struct runner_info
{
  runner_name mName;
  service_name mService;
  std::string mAddress; // "ip:port"
  zone_name mZone;
  host_name mHost; // may be empty: not told
  rack_name mRack;
  std::vector<std::string> mLabels; // with the rack's
  resources mCapacity;
  bool mDraining = false;
  std::int64_t mBoot = 0; // differs between two boots of one runner; 0: unknown
};

// A runner that an owner uses, for its successor.
struct roster_entry
{
  runner_info mInfo;
  // By then every run on it has ended, since its lease is not extended any
  // more; unset while it is.
  std::optional<wall_time> mDeadBy;
};

// One run that a runner lists as live.
struct live_run
{
  std::string mTask; // text form of the task id
  std::uint32_t mRun = 0;
  std::string mCheckpoint;
  int mPercent = 0; // 100: at work
  // Of a serving task, the tail of its latency in milliseconds; of any other,
  // the processor time in use in thousandths of a core.
  std::int64_t mFigure = 0;
};

enum class run_end
{
  kDone,
  kFailed,
  kStopped,
  kLapsed,      // the lease ran out
  kGangBroken,  // another member of its gang ended
  kGangTimeout, // the other members did not come in time
};

// One run that has ended on a runner. Numbers rise within a boot.
struct ended_run
{
  std::uint64_t mNumber = 0;
  std::string mTask;
  std::uint32_t mRun = 0;
  run_end mEnd = run_end::kFailed;
  std::string mCheckpoint;
};

// A runner's answer to a look.
struct look_report
{
  runner_time mClock{ 0 };
  std::int64_t mBoot = 0; // as in `runner_info`
  std::vector<live_run> mLive;
  std::vector<ended_run> mEnded;
};

enum class order_outcome
{
  kDone,
  kFenced,    // the runner has seen a higher term
  kStale,     // the run's number is not above one that ended there
  kExpired,   // it came after its expiry
  kNoRoom,    // over the runner's capacity
  kOtherBoot, // another boot answers at this address
  kNotDone,   // certainly not carried out
  kUnknown,   // no answer: it may be carried out, also later
};

const char*
Name(order_outcome aOutcome);

// Start a run. The runner refuses it after `mExpiry` on its own clock.
struct start_order
{
  runner_name mRunner;
  task_id mTask;
  std::uint32_t mRun = 0;
  std::string mPayload;
  std::string mCheckpoint;
  runner_time mExpiry{ 0 };
};

struct stop_order
{
  runner_name mRunner;
  task_id mTask;
  std::uint32_t mRun = 0;
};

// Limit a filler to a share of its processor time.
struct pace_order
{
  runner_name mRunner;
  task_id mTask;
  std::uint32_t mRun = 0;
  int mPercent = 100;
};

// Ask for the lists of live and ended runs, and renew the lease of what is
// live. The answer waits up to `mWait` for a run to end.
struct look_order
{
  runner_name mRunner;
  std::uint64_t mAcknowledged = 0; // ends up to this number may be forgotten
  std::optional<runner_time> mLeaseUntil;
  std::chrono::milliseconds mWait{ 0 };
};

using order = std::variant<start_order, stop_order, pace_order, look_order>;

} // namespace mangospan::jobs

#endif // MANGOSPAN_JOBS_ORDERS_H
