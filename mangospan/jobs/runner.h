// The state that an owner keeps of one runner: its clock, its lease, its runs
// and the state of its polls.
#ifndef MANGOSPAN_JOBS_RUNNER_H
#define MANGOSPAN_JOBS_RUNNER_H

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "mangospan/base/time.h"
#include "mangospan/jobs/answer_times.h"
#include "mangospan/jobs/orders.h"

namespace mangospan::jobs {

// The owner's knowledge of the start of a run.
enum class run_phase
{
  kOrdered, // The start order was sent and is not yet answered.
  kUnknown, // Some start order got no answer, so the run may exist or not.
  kStarted, // The runner answered that it started the run.
  kListed,  // The runner listed the run as live in its answer to a poll.
};

// Why the runs on a runner are given up.
enum class loss_reason
{
  kNewBoot,      // The runner has started again under its name.
  kAddressTaken, // Another runner answers at its address.
  kLeaseOver,    // It can not be reached, and its lease is over.
  kRunnerDead,   // It is known to have ended.
};

// Returns the name of the reason in logs, such as "new_boot".
const char*
Name(loss_reason aReason);

// A run that exists, or may exist, on a runner. It takes capacity until the
// runner lists its end or it is certain that the run never began.
struct run
{
  task_id mTask;
  std::uint32_t mNumber = 0;
  run_phase mPhase = run_phase::kOrdered;
  customer_name mCustomer; // Of the run's job; empty if it has none.
  resources mReservation;  // The capacity that the run takes.
  // Nothing is known of the run's job, so it may be any customer's.
  bool mIsOfUnknownJob = false;
  bool mLongRunning = false; // The run lasts until the job is cancelled.
  // The run is long-running and has a target latency.
  bool mLatencySensitive = false;
  bool mBestEffort = false; // The run uses only the CPU time that others leave.
  // The target latency; used only if the run is latency-sensitive.
  std::chrono::milliseconds mTargetLatency{ 0 };
  // When the start order was made; the epoch if an earlier owner made it.
  time_point mOrderedAt{};
  runner_time mExpiry{ 0 };  // Expiry of the start order.
  std::string mCheckpoint;   // As in the start order.
  int mStartAttempts = 0;    // How often the start order was sent.
  time_point mStartSentAt{}; // When it was sent last.
  // The start orders that were not answered. Any of them may still be executed
  // until `mExpiry`.
  int mUnansweredStarts = 0;
  time_point mPhaseSince{}; // When the run reached its phase.
  // The task is suspected to crash its runners: nothing else starts there.
  bool mIsIsolated = false;
  // Runners had just crashed when the start order was made.
  bool mIsOrderedInCrashSeries = false;
  bool mStopWanted = false;   // The run is to be stopped.
  bool mStopInFlight = false; // A stop order was sent and is not yet answered.
  time_point mStopSentAt{};   // When the latest stop order was sent.
  // When the present boot of the runner has answered a stop order; the epoch if
  // it has not.
  time_point mStopConfirmedAt{};
  // The start order was made for an earlier boot of the runner, so its expiry
  // means nothing to the present one.
  bool mIsOfEarlierBoot = false;
  int mPercent = 0;           // The latest `live_run::mPercent`.
  time_point mProgressAt{};   // When `mPercent` changed last.
  std::int64_t mMetric = 0;   // The latest `live_run::mMetric`.
  int mCpuLimitPercent = 100; // The CPU limit that the runner has confirmed.
  bool mThrottleInFlight = false; // A throttle order is not yet answered.
};

// Returns whether the start of the run is neither confirmed nor refused.
bool
IsStarting(const run& aRun);

// Returns a run of the step for which no order was sent yet. Its task and
// number are not set.
run
MakeRun(const step_spec& aStep);

// The text form of the task id, and the number of the run.
using run_key = std::pair<std::string, std::uint32_t>;

// An ended run that a runner has reported. The owner acknowledges it once the
// record of its job is stored.
struct unacknowledged_end
{
  std::uint64_t mNumber = 0; // As in `ended_run`.
  job_name mJob;
  std::uint64_t mVersion = 0; // The first version of the job that includes it.
};

// No order names a time on a runner's clock by a reading that is older, since
// that clock may be slow: it would grant more than a successor allows for.
constexpr std::chrono::milliseconds kMaxClockAge{ 15'000 };

// Returns the longest time on an owner's clock in which a runner's clock, which
// may be slow, advances by this much.
std::chrono::milliseconds
LongestDuration(std::chrono::milliseconds aOnRunnerClock);

// Returns the longest time on an owner's clock that a lease of this length may
// last, as `runner::ClockAt()` names its end.
std::chrono::milliseconds
LongestLease(std::chrono::milliseconds aLease);

// One runner and its runs, as an owner of its service knows them.
class runner
{
public:
  explicit runner(runner_info aInfo);

  // Returns the runner's clock at `aNow`, estimated from its last answer.
  // Requires an earlier call of `OnClock`.
  runner_time ClockAt(time_point aNow) const;
  // Notes that the runner's clock showed `aClock` at `aNow`.
  void OnClock(runner_time aClock, time_point aNow);
  // Returns when the runner last told its clock; the epoch if it never did.
  time_point ClockReadAt() const { return mClockAt; }
  // Returns whether the runner has told its clock.
  bool KnowsClock() const { return mClockAt != time_point{}; }

  // Returns whether orders may name times on the runner's clock.
  bool IsClockCurrent(time_point aNow) const
  {
    return KnowsClock() && aNow - mClockAt <= kMaxClockAge;
  }

  // Notes that runs may be live until `aUntil` on the runner's clock. Requires
  // an earlier call of `OnClock`.
  void ExtendLease(runner_time aUntil, time_point aNow);
  // Notes that an order may have granted up to `aLongest` on the runner's clock
  // until `aUntil`, since it named a time on the clock of an earlier boot.
  void ExtendLeaseByOtherClock(std::chrono::milliseconds aLongest,
                               time_point aUntil);
  // Returns the time from which every run of this boot has certainly ended.
  time_point DeadAt() const { return mDeadAt; }
  // Returns for how long runs of this boot may go on; 0 if they have ended.
  time_point::duration LeaseLeft(time_point aNow) const;
  // Replaces the time that `DeadAt` returns.
  void SetDeadAt(time_point aAt) { mDeadAt = aAt; }

  // Returns the capacity that no run takes.
  resources FreeCapacity() const;
  // Returns the number of runs of this step of this occurrence on the runner.
  std::size_t CountRuns(const job_name& aJob,
                        std::size_t aOccurrence,
                        std::size_t aStep) const;
  // Returns whether the runner answers polls, up to a lost answer. Otherwise it
  // gets no new runs, its lease is not extended, and its pool has to do without
  // it.
  bool IsAnswering() const;
  // Returns whether the runner is on trial and has its one run, or that has
  // just failed.
  bool HasTrialRun(time_point aNow) const;
  // Returns whether the runner carries the label.
  bool HasLabel(const std::string& aLabel) const;

  // Adds the run and takes its capacity. Requires that the run is not on the
  // runner yet. Returns the added run.
  run& Add(run aRun);
  // Removes the run, if there is one, and frees its capacity.
  void Remove(const run_key& aKey);
  // Returns the run, or null if there is none.
  run* Find(const run_key& aKey);
  const std::map<run_key, run>& Runs() const { return mRuns; }
  std::map<run_key, run>& Runs() { return mRuns; }

  runner_info mInfo;
  bool mListed = true; // Service discovery lists the runner.
  // The runner has answered this owner, so it refuses orders of earlier owners.
  bool mContacted = false;
  // The stored roster lists the runner with `mRunsEndWithin` unset.
  bool mIsInRoster = false;
  // By the stored roster, runs may be live on the runner.
  bool mMayBeLiveInRoster = false;
  // An earlier owner has used the runner, so its runs may still be live there.
  bool mMayHoldInheritedRuns = false;
  runner_time mGrantedLease{ 0 }; // The end of the lease in the latest poll.
  bool mPollInFlight = false;     // A poll was sent and is not yet answered.
  // When this boot became known. Answers to earlier polls tell of another one.
  time_point mBootKnownAt{};
  time_point mNextPollAt{};  // The earliest time of the next poll.
  int mFailedPolls = 0;      // The number of consecutive failed polls.
  time_point mSilentSince{}; // When they began; the epoch if there are none.
  // When it last answered after a failed poll. What it reported then may have
  // happened some time before.
  time_point mAnsweredAgainAt{};
  // Polls have failed so often, or so certainly, that the runner is taken to be
  // unreachable. The stored roster tells a successor by when its runs are over,
  // so none may start and no lease be extended there.
  bool mIsUnresponsive = false;
  bool mIsReserved = false; // For a task that has to run alone.
  // It refused a start: no new runs before this time.
  time_point mRefusesUntil{};
  // It is taken to be faulty: no new runs before this time.
  time_point mQuarantinedUntil{};
  // From the first time on the runner gets one run at a time until the second
  // one, or until one has succeeded: after a quarantine, or since two runs in a
  // row have failed.
  time_point mOnTrialSince{};
  time_point mOnTrialUntil{};
  // A run has failed there: none before this time while it is on trial.
  time_point mNextTrialAt{};
  // Whose run failed last, if no run that was ordered since the first of these
  // failures has succeeded, and when that was.
  job_name mFailedJob;
  time_point mFailedSince{};
  time_point mSucceededAt{}; // When a run there succeeded last.
  // Other runners are preferred before this time, because it may be faulty.
  time_point mSuspectUntil{};
  // A run has failed there within the last seconds, until this time.
  time_point mFailedLatelyUntil{};
  // The runner gets no new runs, because its host is needed elsewhere.
  bool mCordoned = false;
  int mStartsInFlight = 0;     // Runs whose start is not yet answered.
  answer_record mAnswerRecord; // of start orders and polls
  // CPU limit of every best-effort run on the runner, in percent; see
  // throttling.h.
  int mBestEffortCpuLimitPercent = 100;
  time_point mCpuLimitComputedAt{};  // When the CPU limit was last recomputed.
  std::uint64_t mHighestSeenEnd = 0; // The highest number of an ended run seen.
  // The number up to which every ended run is stored, so that the runner may
  // forget it.
  std::uint64_t mHighestStoredEnd = 0;
  // The highest number that was acknowledged in an answered poll.
  std::uint64_t mHighestAckedEnd = 0;
  // If nothing else needs a poll, acknowledgements wait until this time, so
  // that several share one poll.
  time_point mAckDueAt{};
  // The ended runs that are not yet acknowledged, oldest first.
  std::deque<unacknowledged_end> mUnacknowledgedEnds;

private:
  runner_time mClock{ 0 }; // The runner's clock in its last answer.
  time_point mClockAt{};   // When `mClock` was read, on the owner's clock.
  time_point mDeadAt{};    // The time that `DeadAt` returns.
  resources mUsed;         // The sum of what the runs take.
  std::map<run_key, run> mRuns;
};

} // namespace mangospan::jobs

#endif // MANGOSPAN_JOBS_RUNNER_H
