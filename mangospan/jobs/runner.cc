#include "mangospan/jobs/runner.h"

#include <algorithm>
#include <cmath>

namespace mangospan::jobs {

const char*
Name(loss_reason aReason)
{
  switch (aReason) {
    case loss_reason::kNewBoot:
      return "new_boot";
    case loss_reason::kAddressTaken:
      return "address_taken";
    case loss_reason::kLeaseOver:
      return "lease_over";
    case loss_reason::kRunnerDead:
      return "runner_dead";
  }
  return "";
}

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// The lowest rate of a runner's clock, relative to the owner's clock, that the
// computed end of a lease allows for.
constexpr double kMinClockRate = 0.98;
// One answer may be lost while the runner is well.
constexpr int kToleratedFailedPolls = 1;
// Covers rounding to whole milliseconds and late timers.
constexpr milliseconds kLeaseSlack{ 100 };

} // namespace

milliseconds
LongestDuration(milliseconds aOnRunnerClock)
{
  const double longest =
    static_cast<double>(aOnRunnerClock.count()) / kMinClockRate;
  return milliseconds(static_cast<std::int64_t>(longest)) + kLeaseSlack;
}

bool
IsStarting(const run& aRun)
{
  return aRun.mPhase == run_phase::kOrdered ||
         aRun.mPhase == run_phase::kUnknown;
}

run
MakeRun(const step_spec& aStep)
{
  run out;
  out.mReservation = aStep.Reservation();
  out.mLongRunning = aStep.mLongRunning;
  out.mLatencySensitive =
    aStep.mLongRunning && aStep.mTargetLatency.count() > 0;
  out.mBestEffort = aStep.mBestEffort;
  out.mTargetLatency = aStep.mTargetLatency;
  return out;
}

milliseconds
LongestLease(milliseconds aLease)
{
  const double maxClockError =
    static_cast<double>(kMaxClockAge.count()) * (1.0 - kMinClockRate);
  return LongestDuration(
    aLease + milliseconds(static_cast<std::int64_t>(std::ceil(maxClockError))));
}

runner::runner(runner_info aInfo)
  : mInfo(std::move(aInfo))
{
}

runner_time
runner::ClockAt(time_point aNow) const
{
  return mClock + duration_cast<milliseconds>(aNow - mClockAt);
}

void
runner::OnClock(runner_time aClock, time_point aNow)
{
  mClock = aClock;
  mClockAt = aNow;
}

void
runner::ExtendLease(runner_time aUntil, time_point aNow)
{
  mDeadAt =
    std::max({ mDeadAt, mClockAt + LongestDuration(aUntil - mClock), aNow });
}

void
runner::ExtendLeaseByOtherClock(milliseconds aLongest, time_point aUntil)
{
  mDeadAt = std::max(mDeadAt, aUntil + LongestDuration(aLongest));
}

time_point::duration
runner::LeaseLeft(time_point aNow) const
{
  return std::max(mDeadAt, aNow) - aNow;
}

resources
runner::FreeCapacity() const
{
  resources freeCapacity = mInfo.mCapacity;
  freeCapacity -= mUsed;
  return freeCapacity;
}

std::size_t
runner::CountRuns(const job_name& aJob,
                  std::size_t aOccurrence,
                  std::size_t aStep) const
{
  return static_cast<std::size_t>(
    std::count_if(mRuns.begin(), mRuns.end(), [&](const auto& aEntry) {
      const task_id& task = aEntry.second.mTask;
      return task.mJob == aJob && task.mOccurrence == aOccurrence &&
             task.mStep == aStep;
    }));
}

bool
runner::IsAnswering() const
{
  return !mIsUnresponsive && mFailedPolls <= kToleratedFailedPolls;
}

bool
runner::HasTrialRun(time_point aNow) const
{
  const auto isTrialRun = [this](const auto& aEntry) {
    return aEntry.second.mOrderedAt >= mOnTrialSince;
  };
  return aNow < mOnTrialUntil &&
         (aNow < mNextTrialAt ||
          std::any_of(mRuns.begin(), mRuns.end(), isTrialRun));
}

bool
runner::HasLabel(const std::string& aLabel) const
{
  const auto& labels = mInfo.mLabels;
  return std::find(labels.begin(), labels.end(), aLabel) != labels.end();
}

run&
runner::Add(run aRun)
{
  const run_key key{ aRun.mTask.Text(), aRun.mNumber };
  mUsed += aRun.mReservation;
  return mRuns.insert_or_assign(key, std::move(aRun)).first->second;
}

void
runner::Remove(const run_key& aKey)
{
  const auto found = mRuns.find(aKey);
  if (found != mRuns.end()) {
    mUsed -= found->second.mReservation;
    mRuns.erase(found);
  }
}

run*
runner::Find(const run_key& aKey)
{
  const auto found = mRuns.find(aKey);
  return found == mRuns.end() ? nullptr : &found->second;
}

} // namespace mangospan::jobs
