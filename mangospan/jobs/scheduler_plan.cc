// The orders that are due: starts, stops, looks and paces.
#include <algorithm>
#include <utility>

#include "mangospan/base/log.h"
#include "mangospan/jobs/pacing.h"
#include "mangospan/jobs/placement.h"
#include "mangospan/jobs/ranking.h"
#include "mangospan/jobs/scheduler.h"

namespace mangospan::jobs {

namespace {

using std::chrono::milliseconds;

// A lease on a runner's clock may last this much longer on ours.
constexpr int kSlowClockPercent = 103;
// After a look that failed.
constexpr milliseconds kLookRetry{ 250 };
// An idle runner's ends are acknowledged after this long, so that several
// share one look.
constexpr milliseconds kIdleAckDelay{ 1'000 };
// Where fillers run beside serving tasks, the latter's latency is looked at
// this often.
constexpr milliseconds kSharedLookWait{ 600 };

} // namespace

// A step some of whose tasks may start now.
struct scheduler::candidate
{
  job* mJob = nullptr;
  std::size_t mOccurrence = 0;
  std::size_t mStep = 0;
  rank mRank;

  const step_spec& Spec() const { return mJob->mSpec.mSteps[mStep]; }
  std::vector<task>& Tasks() const
  {
    return mJob->mOccurrences[mOccurrence].mSteps[mStep].mTasks;
  }
  task_id Id(std::size_t aIndex) const
  {
    return { mJob->mName, mOccurrence, mStep, aIndex };
  }
};

// While one plan is made.
struct scheduler::collection
{
  std::map<service_name, std::vector<candidate>> mCandidates;
  std::map<service_name, bool> mMayStartInherited; // as far as it was asked
};

std::vector<order>
scheduler::Plan(time_point aNow, wall_time aWall)
{
  std::vector<order> orders;
  ReleaseDead(aNow);
  PlanStops(aNow, orders);
  if (mMayStart) {
    PlanStarts(aNow, aWall, orders);
  }
  PlanPaces(orders);
  PlanLooks(aNow, orders);
  return orders;
}

// When every run has ended that an earlier owner has started, on runners too
// that this owner has not reached.
time_point
scheduler::LeasesOver() const
{
  return mOwnership.mSince + mSettings.mUnconfirmed +
         mSettings.mLease * kSlowClockPercent / 100 + mSettings.mStartValidity;
}

// A task of a taken-over job may still run on a runner of its service that this
// owner has not reached, so it starts only once each is fenced or its lease is
// over.
bool
scheduler::MayStartInherited(const service_name& aService,
                             time_point aNow) const
{
  return std::all_of(mRunners.begin(), mRunners.end(), [&](const auto& aEntry) {
    const runner& each = aEntry.second;
    return each.mInfo.mService != aService || !each.mMayHoldInherited ||
           each.mContacted || aNow >= each.DeadAt();
  });
}

void
scheduler::ReleaseDead(time_point aNow)
{
  for (auto it = mRunners.begin(); it != mRunners.end();) {
    runner& each = it->second;
    const bool isSilent = !each.mListed || each.mFailedLooks > 0;
    if (isSilent && aNow >= each.DeadAt()) {
      ReleaseAll(each, aNow);
      if (!each.mListed) {
        mRosterVersion += each.mIsInRoster ? 1 : 0;
        it = mRunners.erase(it);
        continue;
      }
    }
    ++it;
  }
}

void
scheduler::ReleaseAll(runner& aRunner, time_point aNow)
{
  while (!aRunner.Runs().empty()) {
    const run_key key = aRunner.Runs().begin()->first;
    LogEvent(log_level::kInfo,
             "task.lost",
             { { "task", key.first },
               { "run", static_cast<std::uint64_t>(key.second) },
               { "runner", aRunner.mInfo.mName.Str() } });
    Release(aRunner, key, aNow);
  }
}

// The run is over, whatever its end: its capacity and its task are free.
void
scheduler::Release(runner& aRunner, const run_key& aKey, time_point aNow)
{
  const run* const found = aRunner.Find(aKey);
  if (found == nullptr) {
    return;
  }
  const task_id id = found->mTask;
  const std::uint32_t number = found->mNumber;
  aRunner.Remove(aKey);
  job* const owner = Mutable(id.mJob);
  task* const one = owner == nullptr ? nullptr : owner->Find(id);
  if (one != nullptr && one->mLastRun == number) {
    one->mLive = false;
    one->mAtWork = false;
    one->mIdleSince = aNow;
  }
}

void
scheduler::PlanStarts(time_point aNow,
                      wall_time aWall,
                      std::vector<order>& aOut)
{
  collection wanted;
  for (const job_name& each : mActive) {
    CollectCandidates(mJobs.at(each), aNow, aWall, wanted);
  }
  for (auto& [service, candidates] : wanted.mCandidates) {
    std::vector<runner*> pool;
    for (auto& [runnerName, each] : mRunners) {
      if (each.mInfo.mService == service && TakesRuns(each, aNow)) {
        pool.push_back(&each);
      }
    }
    if (pool.empty()) {
      continue;
    }
    std::stable_sort(candidates.begin(),
                     candidates.end(),
                     [](const candidate& aLeft, const candidate& aRight) {
                       return aLeft.mRank < aRight.mRank;
                     });
    pool_room room(pool, aNow);
    for (const candidate& each : candidates) {
      if (!room.MayFit(each.Spec())) {
        continue;
      }
      const bool isPlaced = each.Spec().mGang
                              ? PlaceGang(each, pool, aNow, aOut)
                              : PlaceStep(each, pool, aNow, aOut);
      if (!isPlaced) {
        room.OnNoRoom(each.Spec());
      }
    }
  }
}

void
scheduler::CollectCandidates(job& aJob,
                             time_point aNow,
                             wall_time aWall,
                             collection& aInto)
{
  const queue_policy* const queue = mCatalog.FindQueue(aJob.mSpec.mQueue);
  if (queue == nullptr || aJob.mStoredVersion == 0) {
    return;
  }
  const service_name& service = ServiceOf(*queue);
  if (aJob.mInherited) {
    auto known = aInto.mMayStartInherited.find(service);
    if (known == aInto.mMayStartInherited.end()) {
      known = aInto.mMayStartInherited
                .emplace(service, MayStartInherited(service, aNow))
                .first;
    }
    if (!known->second) {
      return;
    }
  }
  const std::size_t due = aJob.DueOccurrences(aWall);
  for (std::size_t k = 0; k < due; ++k) {
    const auto& steps = aJob.mOccurrences[k].mSteps;
    for (std::size_t s = 0; s < steps.size(); ++s) {
      const auto& tasks = steps[s].mTasks;
      const bool hasIdle =
        std::any_of(tasks.begin(), tasks.end(), [](const task& aTask) {
          return aTask.IsIdle();
        });
      if (hasIdle && aJob.IsStepReady(k, s)) {
        aInto.mCandidates[service].push_back(
          { &aJob, k, s, RankOf(aJob, s, queue->mPriority, aNow) });
      }
    }
  }
}

bool
scheduler::PlaceStep(const candidate& aCandidate,
                     const std::vector<runner*>& aPool,
                     time_point aNow,
                     std::vector<order>& aOut)
{
  auto& tasks = aCandidate.Tasks();
  rack_name nearRack;
  std::uint64_t placed = 0;
  std::uint64_t left = 0;
  for (std::size_t i = 0; i < tasks.size(); ++i) {
    if (!tasks[i].IsIdle()) {
      continue;
    }
    const placement_request request{
      aCandidate.Spec(), aCandidate.Id(i), tasks[i].mFailedOn, nearRack
    };
    runner* const chosen =
      left > 0 ? nullptr : ChooseRunner(request, aPool, aNow);
    if (chosen == nullptr) {
      ++left;
      continue;
    }
    if (aCandidate.Spec().mColocate) {
      nearRack = chosen->mInfo.mRack;
    }
    aOut.emplace_back(
      MakeStart(aCandidate, i, *chosen, NextRun(tasks[i]), aNow));
    ++placed;
  }
  if (placed > 0) {
    LogEvent(
      log_level::kInfo,
      "step.placed",
      { { "job", aCandidate.mJob->mName.Str() },
        { "occurrence", static_cast<std::uint64_t>(aCandidate.mOccurrence) },
        { "step", static_cast<std::uint64_t>(aCandidate.mStep) },
        { "tasks", placed },
        { "waiting", left },
        { "age_ms",
          static_cast<std::int64_t>(std::chrono::duration_cast<milliseconds>(
                                      aNow - aCandidate.mJob->mAccepted)
                                      .count()) } });
  }
  return left == 0;
}

// All members start together or none does; they share one run number.
bool
scheduler::PlaceGang(const candidate& aCandidate,
                     const std::vector<runner*>& aPool,
                     time_point aNow,
                     std::vector<order>& aOut)
{
  auto& tasks = aCandidate.Tasks();
  std::uint32_t number = 0;
  for (const task& each : tasks) {
    if (each.mLive) {
      return true; // members of the last run have not all ended yet
    }
    number = std::max(number, NextRun(each));
  }
  std::vector<order> starts;
  rack_name nearRack;
  for (std::size_t i = 0; i < tasks.size(); ++i) {
    const placement_request request{
      aCandidate.Spec(), aCandidate.Id(i), tasks[i].mFailedOn, nearRack
    };
    runner* const chosen = ChooseRunner(request, aPool, aNow);
    if (chosen == nullptr) {
      for (const order& each : starts) {
        const auto& undone = std::get<start_order>(each);
        runner& at = mRunners.at(undone.mRunner);
        --at.mStartsInFlight;
        Release(at, { undone.mTask.Text(), undone.mRun }, aNow);
      }
      return false;
    }
    if (aCandidate.Spec().mColocate) {
      nearRack = chosen->mInfo.mRack;
    }
    starts.emplace_back(MakeStart(aCandidate, i, *chosen, number, aNow));
  }
  aOut.insert(aOut.end(), starts.begin(), starts.end());
  return true;
}

std::uint32_t
scheduler::NextRun(const task& aTask) const
{
  return std::max(aTask.mLastRun, mRunBase) + 1;
}

start_order
scheduler::MakeStart(const candidate& aCandidate,
                     std::size_t aIndex,
                     runner& aRunner,
                     std::uint32_t aRun,
                     time_point aNow)
{
  const step_spec& spec = aCandidate.Spec();
  task& one = aCandidate.Tasks()[aIndex];
  one.mLive = true;
  one.mAtWork = false;
  one.mLastRun = aRun;
  one.mRunner = aRunner.mInfo.mName;

  run made = RunOf(spec);
  made.mTask = aCandidate.Id(aIndex);
  made.mNumber = aRun;
  made.mSince = aNow;
  made.mProgressAt = aNow;
  made.mExpiry = aRunner.ClockAt(aNow) + mSettings.mStartValidity;
  aRunner.ExtendLease(made.mExpiry, aNow);
  ++aRunner.mStartsInFlight;
  mRunnersOfJob[aCandidate.mJob->mName].insert(aRunner.mInfo.mName);
  const run& added = aRunner.Add(std::move(made));
  return {
    aRunner.mInfo.mName, added.mTask,  aRun, aCandidate.mJob->mSpec.mPayload,
    one.mCheckpoint,     added.mExpiry
  };
}

void
scheduler::PlanStops(time_point aNow, std::vector<order>& aOut)
{
  for (auto& [runnerName, each] : mRunners) {
    for (auto& [key, live] : each.Runs()) {
      const bool isDue = live.mStopWanted && !live.mStopInFlight &&
                         live.mPhase != run_phase::kOrdered &&
                         (live.mStopSentAt == time_point{} ||
                          aNow - live.mStopSentAt >= mSettings.mStopRepeat);
      if (isDue) {
        live.mStopInFlight = true;
        live.mStopSentAt = aNow;
        aOut.emplace_back(stop_order{ runnerName, live.mTask, live.mNumber });
      }
    }
  }
}

void
scheduler::PlanLooks(time_point aNow, std::vector<order>& aOut)
{
  for (auto& [runnerName, each] : mRunners) {
    if (each.mLookInFlight || aNow < each.mNextLook) {
      continue;
    }
    const auto service = mCatalog.mServices.find(each.mInfo.mService);
    const bool isSpare =
      service == mCatalog.mServices.end() || service->second.mSpare;
    const bool isFirst =
      (each.mListed || each.mMayHoldInherited) && !each.mContacted && !isSpare;
    const bool hasRuns = std::any_of(
      each.Runs().begin(), each.Runs().end(), [](const auto& aEntry) {
        return aEntry.second.mPhase != run_phase::kOrdered;
      });
    const bool owesAck = each.mListed && each.mSeenEnds > each.mSentAck &&
                         each.mAckedEnds > each.mSentAck;
    const bool isLost = each.mListed && each.mFailedLooks > 0;
    const bool ackIsDue = owesAck && aNow >= each.mAckDueAt;
    if (isFirst || hasRuns || isLost || ackIsDue) {
      aOut.emplace_back(MakeLook(each, aNow));
    }
  }
}

std::chrono::nanoseconds
scheduler::LookSpacing() const
{
  const auto runners = static_cast<std::int64_t>(mRunners.size());
  return std::max<std::chrono::nanoseconds>(
    mSettings.mLookSpacing, mSettings.mLookSpacingPerRunner * runners);
}

look_order
scheduler::MakeLook(runner& aRunner, time_point aNow)
{
  look_order look;
  look.mRunner = aRunner.mInfo.mName;
  look.mAcknowledged = aRunner.mAckedEnds;
  aRunner.mAckDueAt = aNow + kIdleAckDelay;
  const bool isReachable =
    aRunner.mContacted && aRunner.mIsInRoster && aRunner.mFailedLooks == 0;
  if (isReachable && !aRunner.Runs().empty()) {
    // A runner that does not answer gets no longer lease, so that its tasks can
    // start elsewhere in time.
    look.mWait = IsShared(aRunner) ? kSharedLookWait : mSettings.mLookWait;
    if (mMayStart) {
      look.mLeaseUntil = aRunner.ClockAt(aNow) + mSettings.mLease;
      aRunner.ExtendLease(*look.mLeaseUntil, aNow);
    }
  }
  aRunner.mLookInFlight = true;
  aRunner.mNextLook = aNow + (isReachable ? LookSpacing() : kLookRetry);
  return look;
}

void
scheduler::PlanPaces(std::vector<order>& aOut)
{
  for (auto& [runnerName, each] : mRunners) {
    const int share = each.mFillerShare;
    for (auto& [key, live] : each.Runs()) {
      const bool isDue = live.mFiller && live.mPhase == run_phase::kListed &&
                         !live.mStopWanted && !live.mPaceInFlight &&
                         live.mPace != share;
      if (isDue) {
        live.mPaceInFlight = true;
        aOut.emplace_back(
          pace_order{ runnerName, live.mTask, live.mNumber, share });
      }
    }
  }
}

} // namespace mangospan::jobs
