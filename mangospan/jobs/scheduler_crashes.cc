// Finds tasks that crash the runners that start them.
//
// A crash alone does not tell which of the runs on the runner caused it, or
// whether any did. So each task that was under a crash has it counted, and one
// that is suspected runs alone on its runner, later each time, until it has
// outlived what it had taken before.
//
// A task is the cause for certain if runners at several addresses have crashed
// at the same time after its start so often that crashes by another cause, as
// frequent as they are, would not. Only then is its job given up, and never one
// with tasks that last, which have to be restarted however they end.
#include <algorithm>
#include <cmath>
#include <iterator>
#include <set>
#include <tuple>
#include <utility>

#include "mangospan/base/log.h"
#include "mangospan/jobs/internal/scheduler_candidate.h"
#include "mangospan/jobs/placement.h"
#include "mangospan/jobs/scheduler.h"

namespace mangospan::jobs {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// A runner that crashes within this time after a start has probably crashed by
// it.
constexpr milliseconds kShortFuse{ 150 };
// More starts than these within `kShortFuse` of a crash say too little of each.
constexpr std::ptrdiff_t kMaxRecentStarts = 4;
// What a crash says against a task: that had just started there, that ran there
// while none had, and that ran there while others had.
constexpr std::uint32_t kSuspicionOfRecentStart = 2;
constexpr std::uint32_t kSuspicionWithoutRecentStart = 1;
constexpr std::uint32_t kSuspicionBesideRecentStart = 0;
// A task is suspected from this suspicion on, or after this many crashes if its
// last run was no longer than `kMaxProbation`.
constexpr std::uint32_t kMinSuspicion = 2;
constexpr std::uint32_t kCrashesToSuspect = 3;
// A task is the cause if its crashes had at most this probability otherwise:
// thousands of tasks start while runners crash by another cause.
constexpr double kMaxChance = 1e-6;
// The share of tasks that crash their runners, before anything is known.
constexpr double kShareOfCauses = 1e-3;
// A task is not taken to explain crashes to others before it was under so many.
constexpr std::uint32_t kMinCrashesOfCause = 2;
// The crash rate is averaged over the time since the first crash, within these
// bounds, and is at least `kMinCrashesPerSecond` for each runner.
constexpr milliseconds kCrashRateWindow{ 20'000 };
constexpr milliseconds kMinCrashRateWindow{ 5'000 };
constexpr double kMinCrashesPerSecond = 0.01;
// A crash is at the same time after the start as the one before if the two
// differ by at most this, or by this share of the time.
constexpr milliseconds kMinFuseTolerance{ 100 };
constexpr int kFuseToleranceDivisor = 10;
// The delay of a suspected task after a crash. It doubles with each crash, up
// to the shorter maximum as long as the task may not be the cause. A task that
// lasts has to be back within seconds in any case.
constexpr milliseconds kMinStartDelay{ 250 };
constexpr milliseconds kMaxStartDelay{ 2'000 };
constexpr milliseconds kMaxStartDelayOfCause{ 5'000 };
// Runners crash in a series as long as one has crashed within this time.
constexpr milliseconds kCrashSeriesGap{ 3'000 };
// The longest time for which a suspected task waits for a runner of its own
// while runners do not crash in a series; the second if it is the likely cause.
constexpr milliseconds kMaxIsolationWait{ 1'500 };
constexpr milliseconds kMaxIsolationWaitOfCause{ 3'000 };
// The same in a series, for a task that only the number of its crashes speaks
// against. The others have no such limit until the series is over.
constexpr milliseconds kMaxIsolationWaitInSeries{ 5'000 };
// The least and the longest time for which a suspected task runs alone.
constexpr milliseconds kMinProbation{ 1'000 };
constexpr milliseconds kMaxProbation{ 3'000 };
// One of this many runners of a pool may be kept for suspected tasks.
constexpr std::size_t kRunnersPerSuspect = 3;
// A runner at an address where one has crashed is not reserved for this long,
// if there is another: a host that fails again would have its task blamed.
constexpr milliseconds kCrashMemory{ 20'000 };
// An owner may learn of one crash more than once in this time.
constexpr milliseconds kSameCrash{ 1'000 };
// A runner that is back later than this is not asked what was lost with it.
constexpr milliseconds kLostRunnerMemory{ 60'000 };

// Returns what the crash of a runner says against the task of a run there.
std::uint32_t
Suspicion(bool aIsRecentStart, std::ptrdiff_t aRecentStarts)
{
  if (aRecentStarts == 0 || aRecentStarts > kMaxRecentStarts) {
    return kSuspicionWithoutRecentStart;
  }
  return aIsRecentStart ? kSuspicionOfRecentStart : kSuspicionBesideRecentStart;
}

bool
HasStartedWithin(const run& aRun, milliseconds aTime, time_point aCrashedAt)
{
  return aRun.mOrderedAt != time_point{} && aRun.mOrderedAt <= aCrashedAt &&
         aCrashedAt - aRun.mOrderedAt <= aTime;
}

bool
IsRecentStart(const run& aRun, time_point aCrashedAt)
{
  return HasStartedWithin(aRun, kShortFuse, aCrashedAt);
}

// Returns whether the run has been at work for a while, so that it is not the
// cause if its runner crashes now.
bool
IsEstablished(const run& aRun, time_point aNow)
{
  return aRun.mPhase == run_phase::kListed &&
         aNow - aRun.mOrderedAt >= kMinProbation;
}

std::ptrdiff_t
CountUnestablished(const runner& aRunner, time_point aNow)
{
  return std::count_if(
    aRunner.Runs().begin(), aRunner.Runs().end(), [aNow](const auto& aEntry) {
      return !IsEstablished(aEntry.second, aNow);
    });
}

bool
IsAlone(const runner& aRunner, const run& aRun, time_point aCrashedAt)
{
  return CountUnestablished(aRunner, aCrashedAt) ==
         (IsEstablished(aRun, aCrashedAt) ? 0 : 1);
}

bool
HasIsolatedRun(const runner& aRunner)
{
  return std::any_of(
    aRunner.Runs().begin(), aRunner.Runs().end(), [](const auto& aEntry) {
      return aEntry.second.mIsIsolated;
    });
}

milliseconds
Probation(const task& aTask)
{
  return std::clamp(
    2 * aTask.mCrashes.mLongestFuse, kMinProbation, kMaxProbation);
}

// Returns for how long after a start a crash tells of the task, since it came
// at once or at the same time after a start as the one before; 0 if it does
// not. A crash is noticed up to `aNoticeTime` later.
milliseconds
TellingTime(milliseconds aFuse,
            milliseconds aNoticeTime,
            const crash_history& aBefore)
{
  const milliseconds atOnce = kShortFuse + aNoticeTime;
  if (aFuse <= atOnce) {
    return atOnce;
  }
  const milliseconds tolerance =
    aNoticeTime +
    std::max(kMinFuseTolerance, aBefore.mLatestFuse / kFuseToleranceDivisor);
  const milliseconds difference =
    std::max(aFuse, aBefore.mLatestFuse) - std::min(aFuse, aBefore.mLatestFuse);
  return aBefore.mCount > 0 && difference <= tolerance ? 2 * tolerance
                                                       : milliseconds(0);
}

milliseconds
StartDelay(const crash_history& aCrashes)
{
  constexpr std::uint32_t kMaxDoublings = 10;
  const milliseconds delay =
    kMinStartDelay * (1U << std::min(aCrashes.mCount, kMaxDoublings));
  return std::min(delay,
                  aCrashes.mChance <= kMaxChance ? kMaxStartDelayOfCause
                                                 : kMaxStartDelay);
}

} // namespace

void
scheduler::OnRunnerSilent(const runner& aRunner)
{
  if (aRunner.mContacted) { // else it may have been silent for long
    mOutages.Add(
      { aRunner.mSilentSince, aRunner.mInfo.mName, aRunner.mInfo.mRack });
  }
}

// Counts the crash of a runner without runs as one that no task has caused. A
// crash that was counted for the same address within `kSameCrash` is not
// counted again.
void
scheduler::OnIdleRunnerCrashed(const runner& aRunner,
                               bool aIsOutage,
                               time_point aNow)
{
  const auto latest = mCrashedAt.find(aRunner.mInfo.mAddress);
  const bool isKnown =
    latest != mCrashedAt.end() && aNow - latest->second <= kSameCrash;
  if (aRunner.mContacted && aRunner.IsAnswering() && !aIsOutage && !isKnown) {
    mCrashedAt[aRunner.mInfo.mAddress] = aNow;
    LogEvent(log_level::kInfo,
             "runner.crashed",
             { { "runner", aRunner.mInfo.mName.Str() },
               { "runs", std::uint64_t{ 0 } } });
    RememberCrash(aRunner, aNow);
  }
}

// Counts the crash of a runner, which has certainly ended, for the tasks whose
// runs had begun on it. Not for those of a runner that was to leave.
void
scheduler::OnRunnerCrashed(const runner& aRunner, time_point aNow)
{
  if (aRunner.mInfo.mDraining || aRunner.mCordoned) {
    return;
  }
  const bool isNoticed = aRunner.mSilentSince != time_point{};
  const time_point crashedAt = isNoticed ? aRunner.mSilentSince : aNow;
  const auto answering = std::count_if(
    mRunners.begin(), mRunners.end(), [&aRunner](const auto& aEntry) {
      const runner& each = aEntry.second;
      return each.mInfo.mRack == aRunner.mInfo.mRack && each.mContacted &&
             each.mFailedPolls == 0;
    });
  const bool isOutage =
    mOutages.IsOutage({ crashedAt, aRunner.mInfo.mName, aRunner.mInfo.mRack },
                      static_cast<std::size_t>(answering));
  if (aRunner.Runs().empty()) {
    OnIdleRunnerCrashed(aRunner, isOutage, aNow);
    return;
  }
  const auto recentStarts = std::count_if(
    aRunner.Runs().begin(), aRunner.Runs().end(), [&](const auto& aEntry) {
      return IsRecentStart(aEntry.second, crashedAt);
    });
  LogEvent(log_level::kInfo,
           "runner.crashed",
           { { "runner", aRunner.mInfo.mName.Str() },
             { "runs", static_cast<std::uint64_t>(aRunner.Runs().size()) },
             { "recent_starts", static_cast<std::int64_t>(recentStarts) },
             { "outage", isOutage } });
  mCrashedAt[aRunner.mInfo.mAddress] = aNow;
  mLatestCrashAt = aNow;
  if (isOutage) {
    return;
  }
  RememberCrash(aRunner, aNow);
  for (const auto& [key, each] : aRunner.Runs()) {
    // A runner that was back before its silence was noticed may have taken
    // orders in its new boot.
    const bool hadBegun = isNoticed ? each.mPhase != run_phase::kOrdered &&
                                        each.mOrderedAt <= crashedAt
                                    : each.mPhase == run_phase::kListed;
    if (hadBegun) {
      CountCrash(aRunner,
                 each,
                 Suspicion(IsRecentStart(each, crashedAt), recentStarts),
                 crashedAt);
    }
  }
}

// Returns how long a crash may stay unnoticed: a poll that gets no answer may
// be the second one after it.
milliseconds
scheduler::CrashNoticeTime() const
{
  return std::chrono::ceil<milliseconds>(2 * PollInterval());
}

// Notes the crash for the comparison with tasks that were not there.
void
scheduler::RememberCrash(const runner& aRunner, time_point aNow)
{
  while (!mRecentCrashes.empty() &&
         aNow - mRecentCrashes.front().mAt > kCrashRateWindow) {
    mRecentCrashes.pop_front();
  }
  const service_name& service = aRunner.mInfo.mService;
  recent_crash crash{ aNow, service };
  for (const auto& [name, each] : mRunners) {
    const bool isAtRisk = &each != &aRunner && each.mInfo.mService == service &&
                          each.mContacted && each.IsAnswering();
    crash.mRunnersAtRisk += isAtRisk ? 1 : 0;
  }
  for (const auto& [key, each] : aRunner.Runs()) {
    crash.mTasks.push_back(each.mTask);
  }
  mRecentCrashes.push_back(std::move(crash));
}

// Returns the probability that the task crashes its runners, by its crashes so
// far. One alone speaks against all tasks that were there, so it does not
// count: if it did, the first crashes of a series would hide the next ones.
double
scheduler::ProbabilityOfCause(const task_id& aTask)
{
  const job* const foundJob = Find(aTask.mJob);
  const task* const foundTask = foundJob == nullptr || IsFinal(foundJob->mState)
                                  ? nullptr
                                  : FindTask(aTask);
  if (foundTask == nullptr || foundTask->mDone ||
      foundTask->mCrashes.mCount < kMinCrashesOfCause) {
    return 0;
  }
  return kShareOfCauses / (kShareOfCauses + foundTask->mCrashes.mChance);
}

// Returns how often in a second a runner of the service crashes without the
// task: the cumulative hazard by Nelson and Aalen over the time. Nearly each
// crash of a busy runner comes soon after some start, which thus explains none;
// but a crash counts only as far as no other task that was there has turned out
// to be the probable cause.
double
scheduler::CrashRateWithout(const task_id& aTask,
                            const service_name& aService,
                            time_point aNow)
{
  double hazard = 0;
  for (const recent_crash& each : mRecentCrashes) {
    if (each.mIsCauseKnown || each.mService != aService ||
        aNow - each.mAt > kCrashRateWindow) {
      continue;
    }
    double weight = 1;
    for (const task_id& other : each.mTasks) {
      weight =
        std::min(weight, other == aTask ? 0 : 1 - ProbabilityOfCause(other));
    }
    hazard += weight / static_cast<double>(each.mRunnersAtRisk);
  }
  const auto sinceFirst =
    mRecentCrashes.empty()
      ? kCrashRateWindow
      : duration_cast<milliseconds>(aNow - mRecentCrashes.front().mAt);
  const std::chrono::duration<double> window =
    std::clamp(sinceFirst, kMinCrashRateWindow, kCrashRateWindow);
  return std::max(kMinCrashesPerSecond, hazard / window.count());
}

// Leaves the crashes under the task, which is the cause for certain, out of
// what others are compared with.
void
scheduler::ChargeCrashesTo(const task_id& aTask)
{
  for (recent_crash& each : mRecentCrashes) {
    each.mIsCauseKnown =
      each.mIsCauseKnown ||
      std::find(each.mTasks.begin(), each.mTasks.end(), aTask) !=
        each.mTasks.end();
  }
}

void
scheduler::AddEvidence(task& aTask,
                       const runner& aRunner,
                       const run& aRun,
                       time_point aCrashedAt,
                       double aCrashRate) const
{
  crash_history& crashes = aTask.mCrashes;
  const auto fuse = duration_cast<milliseconds>(aCrashedAt - aRun.mOrderedAt);
  const milliseconds telling = TellingTime(fuse, CrashNoticeTime(), crashes);
  if (telling.count() > 0) {
    const double seconds = std::chrono::duration<double>(telling).count();
    const double chance = -std::expm1(-aCrashRate * seconds);
    // Crashes that have become frequent may have been so at the earlier ones.
    crashes.mChance =
      std::max(crashes.mChance * chance, std::pow(chance, crashes.mCount + 1));
  }
  crashes.mLongestFuse = std::max(crashes.mLongestFuse, fuse);
  crashes.mLatestFuse = fuse;
  const std::string& address = aRunner.mInfo.mAddress;
  crashes.mAtSeveralAddresses =
    crashes.mAtSeveralAddresses ||
    (!crashes.mLatestAddress.empty() && crashes.mLatestAddress != address);
  crashes.mLatestAddress = address;
}

// Returns whether the crashes so far leave no other explanation than the task.
// `aChanceBefore` is their probability without the last one. Either no other
// run on the runner can have caused that, which `aWasAlone` says, or it came at
// the same time after the start as those before, while runners crashed nowhere
// else. A gang can not wait for runners that its members have for themselves.
bool
scheduler::IsCertainCause(const job& aJob,
                          const task& aTask,
                          const run& aRun,
                          bool aWasAlone,
                          double aChanceBefore) const
{
  const crash_history& crashes = aTask.mCrashes;
  const bool isGang = aJob.mSpec.mSteps[aRun.mTask.mStep].mGang;
  const bool isOnlyCrash = !aRun.mIsOrderedInCrashSeries &&
                           aChanceBefore <= kMaxChance &&
                           crashes.mChance < aChanceBefore;
  return crashes.mChance <= kMaxChance && crashes.mAtSeveralAddresses &&
         (isGang || isOnlyCrash || (aRun.mIsIsolated && aWasAlone));
}

void
scheduler::CountCrash(const runner& aRunner,
                      const run& aRun,
                      std::uint32_t aSuspicion,
                      time_point aCrashedAt)
{
  job* const foundJob = FindMutable(aRun.mTask.mJob);
  task* const foundTask = foundJob == nullptr || IsFinal(foundJob->mState)
                            ? nullptr
                            : foundJob->Find(aRun.mTask);
  if (foundTask == nullptr || foundTask->mDone) {
    return;
  }
  const bool isGang = foundJob->mSpec.mSteps[aRun.mTask.mStep].mGang;
  crash_history& crashes = foundTask->mCrashes;
  const double chanceBefore = crashes.mChance;
  if (aRun.mOrderedAt != time_point{}) {
    AddEvidence(
      *foundTask,
      aRunner,
      aRun,
      aCrashedAt,
      CrashRateWithout(aRun.mTask, aRunner.mInfo.mService, aCrashedAt));
  }
  ++crashes.mCount;
  crashes.mSuspicion += aSuspicion;
  crashes.mIsSuspect =
    !isGang && (crashes.mIsSuspect || crashes.mSuspicion >= kMinSuspicion ||
                (crashes.mCount >= kCrashesToSuspect &&
                 aCrashedAt - aRun.mOrderedAt <= kMaxProbation));
  const bool wasAlone = IsAlone(aRunner, aRun, aCrashedAt);
  if (aRun.mIsIsolated && wasAlone) {
    crashes.mNotBefore = aCrashedAt + StartDelay(crashes);
  }
  if (!foundJob->mSpec.HasLongRunningStep() &&
      IsCertainCause(*foundJob, *foundTask, aRun, wasAlone, chanceBefore)) {
    mCrashingTasks.push_back(aRun.mTask);
    ChargeCrashesTo(aRun.mTask);
  }
  MarkChanged(*foundJob);
  foundJob->mCrashVersion = foundJob->mVersion;
}

void
scheduler::FailJobsOfCrashingTasks(time_point aNow, wall_time aWall)
{
  const auto crashing = std::move(mCrashingTasks);
  mCrashingTasks.clear();
  for (const task_id& each : crashing) {
    job* const foundJob = FindMutable(each.mJob);
    const task* const foundTask =
      foundJob == nullptr || IsFinal(foundJob->mState) ? nullptr
                                                       : foundJob->Find(each);
    if (foundTask == nullptr) {
      continue;
    }
    const crash_history& crashes = foundTask->mCrashes;
    LogEvent(log_level::kInfo,
             "job.failed",
             { { "job", each.mJob.Str() },
               { "task", each.Text() },
               { "crashes", static_cast<std::uint64_t>(crashes.mCount) },
               { "after_ms", CountMilliseconds(crashes.mLatestFuse) },
               { "chance", crashes.mChance } });
    FinishJob(*foundJob, job_state::kFailed, aNow, aWall);
  }
}

// The runs were released when the lease of their unreachable runner was over.
// Whether it had crashed shows once a runner answers in its place.
void
scheduler::RememberLostRunner(const runner& aRunner, time_point aNow)
{
  for (auto it = mLostRunners.begin(); it != mLostRunners.end();) {
    it = aNow - it->second.mSilentSince > kLostRunnerMemory
           ? mLostRunners.erase(it)
           : std::next(it);
  }
  if (!aRunner.Runs().empty() && aRunner.mSilentSince != time_point{}) {
    mLostRunners.insert_or_assign(aRunner.mInfo.mAddress, aRunner);
  }
}

void
scheduler::OnRunnerAtAddress(const std::string& aAddress, time_point aNow)
{
  const auto found = mLostRunners.find(aAddress);
  if (found != mLostRunners.end()) {
    const runner lost = std::move(found->second);
    mLostRunners.erase(found);
    OnRunnerCrashed(lost, aNow);
  }
}

void
scheduler::ClearSuspicion(job& aJob, task& aTask)
{
  LogEvent(
    log_level::kInfo,
    "task.cleared",
    { { "job", aJob.mName.Str() },
      { "crashes", static_cast<std::uint64_t>(aTask.mCrashes.mCount) } });
  aTask.mCrashes = crash_history();
  MarkChanged(aJob);
}

void
scheduler::CheckProbation(job& aJob, task& aTask, run& aRun, time_point aNow)
{
  const time_point since =
    aRun.mOrderedAt == time_point{} ? aRun.mPhaseSince : aRun.mOrderedAt;
  const bool isOnProbation = aRun.mIsIsolated || aTask.mCrashes.mIsSuspect;
  if (!isOnProbation || aNow - since < Probation(aTask)) {
    return;
  }
  aRun.mIsIsolated = false;
  if (aTask.mCrashes.mIsSuspect) {
    ClearSuspicion(aJob, aTask);
  }
}

bool
scheduler::IsInCrashSeries(time_point aNow) const
{
  return aNow < mLatestCrashAt + kCrashSeriesGap;
}

// Returns whether the suspected task may only start on a runner of its own.
// Most suspects of a series of crashes are innocent, and more than there are
// runners for them.
bool
scheduler::MustRunAlone(const job& aJob,
                        const step& aStep,
                        const task& aSuspect,
                        time_point aNow) const
{
  const crash_history& crashes = aSuspect.mCrashes;
  const time_point since =
    std::max(WaitingSince(aJob, aStep, aSuspect), crashes.mNotBefore);
  if (IsInCrashSeries(aNow)) {
    const bool hasEvidence = crashes.mChance < 1.0;
    return hasEvidence || aNow < since + kMaxIsolationWaitInSeries;
  }
  const bool isLikelyCause = crashes.mChance <= kMaxChance;
  return aNow <
         since + (isLikelyCause ? kMaxIsolationWaitOfCause : kMaxIsolationWait);
}

// Starts suspected tasks alone on runners, and reserves runners for those that
// wait. A reserved runner gets no other task, so that the last ones that have
// started there are soon at work for long enough, or over.
void
scheduler::PlaceSuspects(const std::vector<candidate>& aCandidates,
                         const service_name& aService,
                         std::vector<runner*>& aPool,
                         time_point aNow,
                         std::vector<order>& aOrders)
{
  std::size_t poolSize = 0;
  std::size_t isolated = 0;
  for (const auto& [runnerName, each] : mRunners) {
    const bool isInPool = each.mInfo.mService == aService && each.mListed;
    poolSize += isInPool ? 1 : 0;
    isolated += isInPool && HasIsolatedRun(each) ? 1 : 0;
  }
  std::size_t available =
    std::max<std::size_t>(poolSize / kRunnersPerSuspect, 1);
  available -= std::min(available, isolated);
  std::set<runner*> chosen;
  for (const candidate& each : aCandidates) {
    auto& tasks = each.Tasks();
    for (std::size_t i = 0; i < tasks.size() && chosen.size() < available;
         ++i) {
      const crash_history& crashes = tasks[i].mCrashes;
      if (!crashes.mIsSuspect || aNow < crashes.mNotBefore ||
          !MayStartTask(tasks[i]) ||
          !MustRunAlone(*each.mJob, each.Step(), tasks[i], aNow) ||
          !IsWithinQuota(each.mJob->mSpec, each.Spec().Reservation())) {
        continue;
      }
      const placement_request request{ each.Spec(), each.Id(i), {}, {} };
      runner* const target =
        ReserveRunner(request, crashes, aPool, chosen, aNow);
      if (target == nullptr) {
        break;
      }
      chosen.insert(target);
      if (CountUnestablished(*target, aNow) > 0 || !Fits(request, *target)) {
        continue;
      }
      aOrders.emplace_back(
        MakeStartOrder(each, i, *target, NextRun(tasks[i]), aNow));
      LogEvent(log_level::kInfo,
               "task.isolated",
               { { "task", each.Id(i).Text() },
                 { "runner", target->mInfo.mName.Str() },
                 { "crashes", static_cast<std::uint64_t>(crashes.mCount) },
                 { "runs_beside",
                   static_cast<std::uint64_t>(target->Runs().size() - 1) } });
      target->Find({ each.Id(i).Text(), tasks[i].mLiveRun })->mIsIsolated =
        true;
    }
  }
  for (auto& [runnerName, each] : mRunners) {
    if (each.mInfo.mService == aService) {
      each.mIsReserved = chosen.count(&each) > 0;
    }
  }
  aPool.erase(std::remove_if(aPool.begin(),
                             aPool.end(),
                             [](const runner* aEach) {
                               return aEach->mIsReserved ||
                                      HasIsolatedRun(*aEach);
                             }),
              aPool.end());
}

// Returns the runner on which the task can soonest be alone, or null. Runners
// that have not crashed lately go first, since their crashes would count
// against the task, unless the task is the likely cause anyway. Then come those
// that are reserved already.
runner*
scheduler::ReserveRunner(const placement_request& aRequest,
                         const crash_history& aCrashes,
                         const std::vector<runner*>& aPool,
                         const std::set<runner*>& aTaken,
                         time_point aNow) const
{
  using score = std::tuple<bool, bool, std::ptrdiff_t, std::size_t>;
  runner* best = nullptr;
  score bestScore;
  for (runner* const each : aPool) {
    if (aTaken.count(each) > 0 || HasIsolatedRun(*each) ||
        !MayFitLater(aRequest, *each)) {
      continue;
    }
    const auto crashed = mCrashedAt.find(each->mInfo.mAddress);
    const bool hasCrashedLately = aCrashes.mChance > kMaxChance &&
                                  crashed != mCrashedAt.end() &&
                                  aNow - crashed->second < kCrashMemory;
    const score candidateScore{ hasCrashedLately,
                                !each->mIsReserved,
                                CountUnestablished(*each, aNow),
                                each->Runs().size() };
    if (best == nullptr || candidateScore < bestScore) {
      best = each;
      bestScore = candidateScore;
    }
  }
  return best;
}

} // namespace mangospan::jobs
