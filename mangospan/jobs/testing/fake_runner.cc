#include "mangospan/jobs/testing/fake_runner.h"

#include <algorithm>
#include <utility>

namespace mangospan::jobs::testing {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

// A longer lease is shortened to this.
constexpr milliseconds kMaxLease{ 10'000 };

} // namespace

fake_runner::fake_runner(runner_info aInfo, double aClockRate, time_point aNow)
  : mInfo(std::move(aInfo))
  , mClockRate(aClockRate)
  , mBootAt(aNow)
{
}

void
fake_runner::SetHooks(work_source aWork,
                      begin_hook aOnBegin,
                      end_hook aOnEnd,
                      acknowledge_hook aOnAcknowledged)
{
  mOnAcknowledged = std::move(aOnAcknowledged);
  mWork = std::move(aWork);
  mOnBegin = std::move(aOnBegin);
  mOnEnd = std::move(aOnEnd);
}

runner_time
fake_runner::Clock(time_point aNow) const
{
  const auto real = duration_cast<milliseconds>(aNow - mBootAt).count();
  return milliseconds(
    static_cast<std::int64_t>(static_cast<double>(real) * mClockRate));
}

void
fake_runner::ExtendLease(runner_time aUntil, time_point aNow)
{
  mLeaseUntil =
    std::max(mLeaseUntil, std::min(aUntil, Clock(aNow) + kMaxLease));
}

bool
fake_runner::IsFenced(std::uint64_t aTerm)
{
  if (aTerm < mTerm) {
    return true;
  }
  mTerm = aTerm;
  return false;
}

void
fake_runner::End(const std::string& aTask, run_end aEnd)
{
  const fake_run ended = mRuns.at(aTask);
  mRuns.erase(aTask);
  mHighestEndedRun[aTask] = std::max(mHighestEndedRun[aTask], ended.mNumber);
  mEnded.push_back({ ++mEndCount, aTask, ended.mNumber, aEnd, "" });
  mOnEnd(aTask, ended.mNumber, aEnd);
}

void
fake_runner::Advance(time_point aNow)
{
  const bool isLeaseExpired = Clock(aNow) >= mLeaseUntil;
  if (isLeaseExpired) {
    mEndsBeforeExpiry = mEndCount;
  }
  std::vector<std::pair<std::string, run_end>> ends;
  for (const auto& [task, each] : mRuns) {
    if (each.mEndsAt <= aNow) {
      ends.emplace_back(task,
                        each.mWillFail ? run_end::kFailed : run_end::kDone);
    } else if (isLeaseExpired) {
      ends.emplace_back(task, run_end::kLeaseExpired);
    }
  }
  for (const auto& [task, end] : ends) {
    End(task, end);
  }
}

order_outcome
fake_runner::Start(const start_order& aOrder,
                   std::uint64_t aTerm,
                   time_point aNow)
{
  Advance(aNow);
  const std::string task = aOrder.mTask.Text();
  if (IsFenced(aTerm)) {
    return order_outcome::kFenced;
  }
  if (Clock(aNow) > aOrder.mExpiry) {
    return order_outcome::kExpired;
  }
  ExtendLease(aOrder.mExpiry, aNow);
  const auto live = mRuns.find(task);
  if (live != mRuns.end()) {
    return live->second.mNumber == aOrder.mRun ? order_outcome::kDone
                                               : order_outcome::kStale;
  }
  const auto highest = mHighestEndedRun.find(task);
  if (highest != mHighestEndedRun.end() && aOrder.mRun <= highest->second) {
    return order_outcome::kStale;
  }
  const fake_work work = mWork(task);
  mRuns[task] = {
    aOrder.mRun, aNow + work.mDuration, work.mWillFail, work.mResources
  };
  mOnBegin(task, aOrder.mRun);
  return order_outcome::kDone;
}

order_outcome
fake_runner::Stop(const stop_order& aOrder,
                  std::uint64_t aTerm,
                  time_point aNow)
{
  Advance(aNow);
  if (IsFenced(aTerm)) {
    return order_outcome::kFenced;
  }
  const std::string task = aOrder.mTask.Text();
  mHighestEndedRun[task] = std::max(mHighestEndedRun[task], aOrder.mRun);
  const auto live = mRuns.find(task);
  if (live != mRuns.end() && live->second.mNumber == aOrder.mRun) {
    End(task, run_end::kStopped);
  }
  return order_outcome::kDone;
}

std::optional<poll_report>
fake_runner::Poll(const poll_order& aOrder,
                  std::uint64_t aTerm,
                  time_point aNow)
{
  Advance(aNow);
  if (IsFenced(aTerm)) {
    return std::nullopt;
  }
  if (aOrder.mLeaseUntil) {
    ExtendLease(*aOrder.mLeaseUntil, aNow);
  }
  const auto kept = std::partition_point(
    mEnded.begin(), mEnded.end(), [&aOrder](const ended_run& aEnd) {
      return aEnd.mNumber <= aOrder.mAcknowledged;
    });
  for (auto it = mEnded.begin(); it != kept; ++it) {
    const bool hasExpired = it->mNumber <= mEndsBeforeExpiry;
    mOnAcknowledged(it->mTask, it->mRun, it->mEnd, hasExpired);
  }
  mEnded.erase(mEnded.begin(), kept);
  poll_report report;
  report.mClock = Clock(aNow);
  report.mBoot = mInfo.mBoot;
  for (const auto& [task, each] : mRuns) {
    report.mLive.push_back({ task, each.mNumber, "", 100, 0 });
  }
  report.mEnded.assign(mEnded.begin(),
                       mEnded.begin() + static_cast<std::ptrdiff_t>(std::min(
                                          mEnded.size(), kMaxReportedEnds)));
  return report;
}

void
fake_runner::Crash(time_point aNow)
{
  while (!mRuns.empty()) {
    const auto [task, run] = *mRuns.begin();
    mRuns.erase(task);
    mOnEnd(task, run.mNumber, run_end::kLeaseExpired);
  }
  ++mInfo.mBoot;
  mBootAt = aNow;
  mTerm = 0;
  mLeaseUntil = milliseconds(0);
  mHighestEndedRun.clear();
  mEnded.clear();
  mEndCount = 0;
  mEndsBeforeExpiry = 0;
}

} // namespace mangospan::jobs::testing
