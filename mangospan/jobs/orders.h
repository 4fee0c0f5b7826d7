// Runners as the scheduler knows them, the reports it gets from them, and the
// orders it sends to them.
//
// Times on a runner's own clock are `runner_time`. Two of them can be compared
// only if they come from the same boot of the same runner.
#ifndef MANGOSPAN_JOBS_ORDERS_H
#define MANGOSPAN_JOBS_ORDERS_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "mangospan/base/identity.h"
#include "mangospan/base/time.h"
#include "mangospan/jobs/job.h"
#include "mangospan/jobs/run_time_model.h"
#include "mangospan/jobs/spec.h"

namespace mangospan::jobs {

// Milliseconds on the clock of one runner.
using runner_time = std::chrono::milliseconds;

// A runner as service discovery lists it.
struct runner_info
{
  runner_name mName;
  service_name mService;
  std::string mAddress; // "ip:port"
  zone_name mZone;
  host_name mHost; // Empty if service discovery does not tell the host.
  rack_name mRack;
  std::vector<std::string> mLabels; // Includes the labels of its rack.
  resources mCapacity;
  bool mDraining = false;
  // Identifies the boot: it differs between two boots of one runner. 0 if it is
  // unknown.
  std::int64_t mBoot = 0;
};

// A runner in the roster: the stored list of the runners that an owner uses.
// The next owner reads it to learn where runs may still be live.
struct roster_entry
{
  runner_info mInfo;
  // The longest time for which runs on the runner may go on from the writing of
  // the roster, because the owner no longer extends its lease. Unset while the
  // owner extends the lease. Not a time of day: that of the next owner's host
  // may be ahead by any amount, or jump.
  std::optional<std::chrono::milliseconds> mRunsEndWithin;
};

// The roster that an owner finds when it has been elected.
struct inherited_roster
{
  std::vector<roster_entry> mRunners;
  // By when the owner that wrote the roster had certainly ended, if it is the
  // one before this owner; unset if that is not known.
  std::optional<time_point> mWriterEndedBy;
  std::vector<run_time_summary> mRunTimes; // that the writer had learned
};

// A run that a runner reports as live.
struct live_run
{
  std::string mTask;       // Text form of the task id.
  std::uint32_t mRun = 0;  // The run's number within the task.
  std::string mCheckpoint; // The latest saved progress; empty if none.
  int mPercent = 0;        // Progress in percent; 100 once the run is at work.
  // For a latency-sensitive task, its tail latency in milliseconds. For any
  // other task, the CPU time it uses in thousandths of a core.
  std::int64_t mMetric = 0;
};

// The reason for the end of a run.
enum class run_end
{
  kDone,
  kFailed,
  kStopped,
  kLeaseExpired, // The runner's lease expired.
  kGangBroken,   // Another member of the run's gang ended.
  kGangTimeout,  // The other members of the gang did not start in time.
};

// A run that has ended on a runner. The runner reports it until the owner
// acknowledges its number.
struct ended_run
{
  std::uint64_t mNumber = 0; // Rises with every end within a boot.
  std::string mTask;         // Text form of the task id.
  std::uint32_t mRun = 0;    // The run's number within the task.
  run_end mEnd = run_end::kFailed;
  std::string mCheckpoint; // The latest saved progress; empty if none.
};

// A report lists at most this many ended runs, the oldest ones.
constexpr std::size_t kMaxReportedEnds = 500;

// A runner's answer to a poll: all runs that are live, and the ended runs that
// have not been acknowledged.
struct poll_report
{
  runner_time mClock{ 0 }; // The runner's clock when it answered.
  std::int64_t mBoot = 0;  // As in `runner_info`.
  std::vector<live_run> mLive;
  std::vector<ended_run> mEnded;
};

// The result of an order to a runner.
enum class order_outcome
{
  kDone,
  kFenced,     // Refused: the runner has seen a higher term.
  kStale,      // Refused: a run of this number or a higher one has ended there.
  kExpired,    // Refused: the order arrived after its expiry.
  kNoCapacity, // Refused: the run exceeds the free capacity of the runner.
  kOtherBoot,  // Refused: another boot answers at this address.
  kNotExecuted, // The order was certainly not executed.
  kUnknown,     // No answer: the order may have been executed, or may be later.
};

// Returns the name of the outcome in logs, such as "fenced".
const char*
Name(order_outcome aOutcome);

// Starts a run. The runner refuses the order if it arrives after `mExpiry` on
// the runner's clock. If the run has begun already, the order changes nothing
// and is answered as done.
struct start_order
{
  runner_name mRunner;
  task_id mTask;
  std::uint32_t mRun = 0;
  std::string mPayload;
  std::string mCheckpoint; // The progress to continue from; empty if none.
  runner_time mExpiry{ 0 };
  int mAttempt = 1; // How often the order has been sent, with this time.
};

// Stops a run, and prevents its start if that has not happened yet.
struct stop_order
{
  runner_name mRunner;
  task_id mTask;
  std::uint32_t mRun = 0;
};

// Limits the CPU time of a best-effort run.
struct throttle_order
{
  runner_name mRunner;
  task_id mTask;
  std::uint32_t mRun = 0;
  // Percent of the CPU time that the run would use without a limit.
  int mCpuLimitPercent = 100;
};

// Polls a runner: asks for its live and ended runs, and extends the lease of
// the live ones. The runner delays its answer for up to `mWait` until a run
// ends.
struct poll_order
{
  runner_name mRunner;
  // Acknowledges the ended runs up to this number, so that the runner may
  // forget them.
  std::uint64_t mAcknowledged = 0;
  // The new end of the lease; unset if the lease is not extended.
  std::optional<runner_time> mLeaseUntil;
  // The longest time for which the runner may delay its answer.
  std::chrono::milliseconds mWait{ 0 };
  // The answer counts as lost if it has not arrived this long after `mWait`.
  std::chrono::milliseconds mAnswerTimeout{ 500 };
};

// Any order to a runner.
using order = std::variant<start_order, stop_order, throttle_order, poll_order>;

} // namespace mangospan::jobs

#endif // MANGOSPAN_JOBS_ORDERS_H
