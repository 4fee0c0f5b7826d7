// Starts the gangs: steps whose tasks work only together. All members start at
// once, under one run number and from one checkpoint, or none does.
#include <algorithm>
#include <cstdint>
#include <iterator>
#include <string>
#include <utility>
#include <vector>

#include "mangospan/base/log.h"
#include "mangospan/jobs/internal/scheduler_candidate.h"
#include "mangospan/jobs/placement.h"
#include "mangospan/jobs/scheduler.h"

namespace mangospan::jobs {

namespace {

using std::chrono::milliseconds;

// The shortest time between two log lines of one gang that waits.
constexpr milliseconds kWaitLogInterval{ 2'000 };
// The number of a run that only reserves capacity; those of real runs are
// higher.
constexpr std::uint32_t kReservationNumber = 0;

// Returns a run that reserves capacity for a member while the others of its
// gang are placed.
run
Reservation(const step_spec& aStep, task_id aTask)
{
  run out = MakeRun(aStep);
  out.mTask = std::move(aTask);
  out.mNumber = kReservationNumber;
  return out;
}

// Returns what the gang waits for, for the log.
const char*
ReasonToWait(const step_spec& aStep, const std::vector<runner*>& aAccepting)
{
  const bool hasLabel = std::any_of(
    aAccepting.begin(), aAccepting.end(), [&aStep](const runner* aEach) {
      return aStep.mLabel.empty() || aEach->HasLabel(aStep.mLabel);
    });
  return hasLabel ? "capacity" : "runner";
}

} // namespace

// Returns whether no member of an earlier run may still be live.
bool
scheduler::MayStartGang(const std::vector<task>& aTasks) const
{
  return std::none_of(aTasks.begin(), aTasks.end(), [this](const task& aEach) {
    return aEach.mLive || aEach.mLostAt > mOwnershipConfirmedAt;
  });
}

// Returns a runner for each member, or for the first ones if not all fit. The
// limit of starts in flight is asked for once: it keeps starts from waiting
// behind others, and would keep a gang of more members for good.
std::vector<runner*>
scheduler::ChooseRunnersOfGang(const candidate& aGang,
                               const std::vector<runner*>& aAccepting,
                               time_point aNow)
{
  const auto& tasks = aGang.Tasks();
  std::vector<runner*> chosen;
  rack_name nearRack;
  while (chosen.size() < tasks.size()) {
    const std::size_t i = chosen.size();
    const placement_request request{
      aGang.Spec(), aGang.Id(i), tasks[i].mFailedOn, nearRack
    };
    runner* const best = ChooseAmong(request, aAccepting, aNow);
    if (best == nullptr) {
      break;
    }
    if (aGang.Spec().mColocate) {
      nearRack = best->mInfo.mRack;
    }
    best->Add(Reservation(aGang.Spec(), aGang.Id(i)));
    chosen.push_back(best);
  }
  for (std::size_t i = 0; i < chosen.size(); ++i) {
    chosen[i]->Remove({ aGang.Id(i).Text(), kReservationNumber });
  }
  return chosen;
}

void
scheduler::PlaceGang(const candidate& aCandidate,
                     const std::vector<runner*>& aPool,
                     time_point aNow,
                     std::vector<order>& aOrders)
{
  auto& tasks = aCandidate.Tasks();
  if (!MayStartGang(tasks)) {
    return;
  }
  resources needed;
  for (std::size_t i = 0; i < tasks.size(); ++i) {
    needed += aCandidate.Spec().Reservation();
  }
  if (!IsWithinQuota(aCandidate.mJob->mSpec, needed, tasks.size())) {
    LogWaitingGang(aCandidate, "quota", 0, aNow);
    return;
  }
  std::vector<runner*> accepting;
  std::copy_if(
    aPool.begin(),
    aPool.end(),
    std::back_inserter(accepting),
    [aNow](const runner* aEach) { return CanAcceptRuns(*aEach, aNow); });
  const auto runners = ChooseRunnersOfGang(aCandidate, accepting, aNow);
  if (runners.size() < tasks.size()) {
    LogWaitingGang(aCandidate,
                   ReasonToWait(aCandidate.Spec(), accepting),
                   runners.size(),
                   aNow);
    return;
  }
  std::uint32_t runNumber = 0;
  std::string checkpoint;
  for (const task& each : tasks) {
    runNumber = std::max(runNumber, NextRun(each));
    checkpoint = checkpoint.empty() ? each.mCheckpoint : checkpoint;
  }
  for (std::size_t i = 0; i < tasks.size(); ++i) {
    tasks[i].mCheckpoint = checkpoint;
    aOrders.emplace_back(
      MakeStartOrder(aCandidate, i, *runners[i], runNumber, aNow));
  }
}

void
scheduler::LogWaitingGang(const candidate& aCandidate,
                          const char* aReason,
                          std::size_t aFitting,
                          time_point aNow)
{
  step& waiting = aCandidate.mJob->mOccurrences.at(aCandidate.mOccurrence)
                    .mSteps[aCandidate.mStep];
  if (waiting.mWaitLoggedAt != time_point{} &&
      aNow - waiting.mWaitLoggedAt < kWaitLogInterval) {
    return;
  }
  waiting.mWaitLoggedAt = aNow;
  LogEvent(
    log_level::kInfo,
    "gang.waits",
    { { "job", aCandidate.mJob->mName.Str() },
      { "occurrence", static_cast<std::uint64_t>(aCandidate.mOccurrence) },
      { "step", static_cast<std::uint64_t>(aCandidate.mStep) },
      { "tasks", static_cast<std::uint64_t>(waiting.mTasks.size()) },
      { "fitting", static_cast<std::uint64_t>(aFitting) },
      { "reason", aReason } });
}

// Keeps the latest progress of the task. That of any member of a gang is valid
// for all of them, which have to start with the same one.
void
scheduler::SaveCheckpoint(job& aJob,
                          const task_id& aTask,
                          const std::string& aCheckpoint)
{
  if (aCheckpoint.empty()) {
    return;
  }
  if (!aJob.mSpec.mSteps[aTask.mStep].mGang) {
    aJob.Find(aTask)->mCheckpoint = aCheckpoint;
    return;
  }
  auto& members =
    aJob.mOccurrences.at(aTask.mOccurrence).mSteps[aTask.mStep].mTasks;
  for (task& each : members) {
    each.mCheckpoint = aCheckpoint;
  }
}

} // namespace mangospan::jobs
