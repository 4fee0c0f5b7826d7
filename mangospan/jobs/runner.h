// The owner's picture of one runner: its clock, its lease and what runs on it.
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
#include "mangospan/jobs/orders.h"

namespace mangospan::jobs {

enum class run_phase
{
  kOrdered, // the start was sent and not yet answered
  kUnknown, // the start got no answer
  kStarted, // the start was answered with success
  kListed,  // a look has listed it as live
};

// A run that exists, or may exist, on a runner. It takes capacity until its end
// is listed or it is certain that it never began.
struct run
{
  task_id mTask;
  std::uint32_t mNumber = 0;
  run_phase mPhase = run_phase::kOrdered;
  resources mClaim;
  bool mLasting = false;
  bool mServing = false;
  bool mFiller = false;
  std::chrono::milliseconds mTargetLatency{ 0 };
  runner_time mExpiry{ 0 }; // of the start order
  time_point mSince{};      // when the phase was reached
  bool mStopWanted = false;
  bool mStopInFlight = false;
  time_point mStopSentAt{};
  int mPercent = 0;
  time_point mProgressAt{}; // when `mPercent` changed last
  std::int64_t mFigure = 0; // see `live_run`
  int mPace = 100;
  bool mPaceInFlight = false;
};

// A run of the step that nobody has ordered yet.
run
RunOf(const step_spec& aStep);

using run_key = std::pair<std::string, std::uint32_t>; // task text, number

// An end that the owner has seen, until it is stored and acknowledged.
struct seen_end
{
  std::uint64_t mNumber = 0;
  job_name mJob;
  std::uint64_t mVersion = 0; // of the job's record that holds it
};

class runner
{
public:
  explicit runner(runner_info aInfo);

  // The runner's clock at `aNow`, estimated from its last answer.
  runner_time ClockAt(time_point aNow) const;
  void OnClock(runner_time aClock, time_point aNow);
  bool KnowsClock() const { return mClockAt != time_point{}; }

  // Notes that runs may live until `aUntil` on the runner's clock.
  void ExtendLease(runner_time aUntil, time_point aNow);
  // The time from which every run of this boot has certainly ended.
  time_point DeadAt() const { return mDeadAt; }
  void SetDeadAt(time_point aAt) { mDeadAt = aAt; }

  resources Room() const;
  std::size_t CountOf(const job_name& aJob,
                      std::size_t aOccurrence,
                      std::size_t aStep) const;
  bool HasLabel(const std::string& aLabel) const;

  run& Add(run aRun);
  void Remove(const run_key& aKey);
  run* Find(const run_key& aKey);
  const std::map<run_key, run>& Runs() const { return mRuns; }
  std::map<run_key, run>& Runs() { return mRuns; }

  runner_info mInfo;
  bool mListed = true;            // service discovery lists it
  bool mContacted = false;        // it has answered this owner, so it is fenced
  bool mIsInRoster = false;       // the stored roster names it
  bool mMayHoldInherited = false; // an earlier owner has used it
  bool mLookInFlight = false;
  time_point mNextLook{};
  int mFailedLooks = 0;    // in a row
  time_point mShunUntil{}; // no new runs before
  bool mClosed = false;    // no new runs: its host is wanted elsewhere
  int mStartsInFlight = 0;
  int mFillerShare = 100;       // percent, see pacing.h
  time_point mShareChanged{};   // when it was reconsidered last
  std::uint64_t mSeenEnds = 0;  // the highest number seen
  std::uint64_t mAckedEnds = 0; // stored, and may be forgotten by the runner
  std::uint64_t mSentAck = 0;   // the highest acknowledgement it was sent
  time_point mAckDueAt{};       // not before, if nothing else needs a look
  std::deque<seen_end> mUnstored;

private:
  runner_time mClock{ 0 };
  time_point mClockAt{};
  time_point mDeadAt{};
  resources mUsed;
  std::map<run_key, run> mRuns;
};

} // namespace mangospan::jobs

#endif // MANGOSPAN_JOBS_RUNNER_H
