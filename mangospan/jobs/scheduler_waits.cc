// Tells why tasks that are ready to start wait.
#include <algorithm>

#include "mangospan/jobs/placement.h"
#include "mangospan/jobs/scheduler.h"
#include "mangospan/jobs/waiting_tasks.h"

namespace mangospan::jobs {

namespace {

using std::chrono::milliseconds;

std::string
Text(const std::map<std::string, std::size_t>& aObstacles)
{
  std::string text;
  for (const auto& [name, count] : aObstacles) {
    text += (text.empty() ? "" : ",") + name + ":" + std::to_string(count);
  }
  return text;
}

} // namespace

const char*
Name(wait_reason aReason)
{
  switch (aReason) {
    case wait_reason::kRecord:
      return "record";
    case wait_reason::kTakeover:
      return "takeover";
    case wait_reason::kOwnership:
      return "ownership";
    case wait_reason::kCrashes:
      return "crashes";
    case wait_reason::kGang:
      return "gang";
    case wait_reason::kRunner:
      return "runner";
    case wait_reason::kPlacement:
      return "placement";
    case wait_reason::kQuota:
      return "quota";
    case wait_reason::kCapacity:
      return "capacity";
  }
  return "";
}

// Returns what keeps all tasks of the job from starting, if anything does.
std::optional<wait_reason>
scheduler::ReasonOfJob(const job& aJob, time_point aNow) const
{
  if (aJob.mStoredVersion == 0 || aJob.mStoredVersion < aJob.mCrashVersion) {
    return wait_reason::kRecord;
  }
  if (!mMayStart) {
    return wait_reason::kOwnership;
  }
  if (aJob.mInherited &&
      !MayStartInheritedJobs(ServiceOf(PolicyOf(aJob)), aNow)) {
    return wait_reason::kTakeover;
  }
  return std::nullopt;
}

// Returns what keeps the task from starting, other than the room on runners.
std::optional<wait_reason>
scheduler::ReasonOfTask(const job& aJob,
                        const task_id& aTask,
                        time_point aNow) const
{
  const step& ofTask =
    aJob.mOccurrences.at(aTask.mOccurrence).mSteps[aTask.mStep];
  const task& waiting = ofTask.mTasks[aTask.mIndex];
  if (!MayStartTask(waiting)) {
    return wait_reason::kOwnership;
  }
  if (waiting.mCrashes.mIsSuspect &&
      MustRunAlone(aJob, ofTask, waiting, aNow)) {
    return wait_reason::kCrashes;
  }
  if (aJob.mSpec.mSteps[aTask.mStep].mGang && !MayStartGang(ofTask.mTasks)) {
    return wait_reason::kGang;
  }
  if (!IsWithinQuota(aJob.mSpec,
                     aJob.mSpec.mSteps[aTask.mStep].Reservation())) {
    return wait_reason::kQuota;
  }
  return std::nullopt;
}

// Finds out whether runners that get no new runs have room for the task that
// has waited longest.
void
scheduler::FindObstacles(const service_name& aService,
                         time_point aNow,
                         waiting_tasks& aWaiting) const
{
  const task_id& oldest = aWaiting.mOldest;
  const placement_request request =
    RequestFor(mJobs.at(oldest.mJob), oldest, aNow);
  bool isRoomFree = false;
  std::map<std::string, std::size_t> obstacles;
  for (const auto& [runnerName, each] : mRunners) {
    if (each.mInfo.mService != aService || !Fits(request, each)) {
      continue;
    }
    const char* const obstacle = ReasonToGetNoRuns(each, aNow);
    if (obstacle != nullptr) {
      ++obstacles[obstacle];
    } else if (request.mMustAvoid && HasFailedOn(request, each)) {
      ++obstacles["failed_there"];
    } else if (each.mIsReserved) {
      ++obstacles["reserved"];
    } else {
      isRoomFree = true;
    }
  }
  aWaiting.mObstacles = Text(obstacles);
  if (isRoomFree) {
    aWaiting.mOldestReason = wait_reason::kPlacement;
  } else if (!obstacles.empty()) {
    aWaiting.mOldestReason = wait_reason::kRunner;
  }
}

// Adds the ready tasks of the step that do not run.
void
scheduler::AddWaitingTasks(const job& aJob,
                           std::size_t aOccurrence,
                           std::size_t aStep,
                           std::optional<wait_reason> aReasonOfJob,
                           time_point aNow,
                           waiting_tasks& aWaiting) const
{
  const step& ofTasks = aJob.mOccurrences.at(aOccurrence).mSteps[aStep];
  for (std::size_t i = 0; i < ofTasks.mTasks.size(); ++i) {
    if (!ofTasks.mTasks[i].IsIdle()) {
      continue;
    }
    const task_id id{ aJob.mName, aOccurrence, aStep, i };
    const auto reason =
      aReasonOfJob ? aReasonOfJob : ReasonOfTask(aJob, id, aNow);
    const auto age = std::chrono::duration_cast<milliseconds>(
      aNow - std::min(aNow, WaitingSince(aJob, ofTasks, ofTasks.mTasks[i])));
    ++aWaiting.mCounts[reason.value_or(wait_reason::kCapacity)];
    if (reason == wait_reason::kQuota) {
      aWaiting.mLimitedByQuota.insert(aJob.mSpec.mCustomer);
    }
    if (aWaiting.mOldest.mJob.Empty() || age > aWaiting.mOldestAge) {
      aWaiting.mOldest = id;
      aWaiting.mOldestAge = age;
      aWaiting.mOldestReason = reason.value_or(wait_reason::kCapacity);
    }
  }
}

waiting_tasks
scheduler::WaitingTasks(time_point aNow, wall_time aWall) const
{
  waiting_tasks out;
  for (const job_name& name : mActiveJobs) {
    const job& each = mJobs.at(name);
    const std::size_t due = each.DueOccurrences(aWall);
    const auto ofJob = ReasonOfJob(each, aNow);
    for (const auto& [k, occurrence] : each.mOccurrences) {
      const bool mayStart = each.IsDueOrBegun(k, due);
      for (std::size_t s = 0; mayStart && s < occurrence.mSteps.size(); ++s) {
        if (each.IsStepReady(k, s)) {
          AddWaitingTasks(each, k, s, ofJob, aNow, out);
        }
      }
    }
  }
  const bool mayLackRoom =
    !out.mCounts.empty() && out.mOldestReason == wait_reason::kCapacity;
  if (mayLackRoom) {
    const job& oldest = mJobs.at(out.mOldest.mJob);
    FindObstacles(ServiceOf(PolicyOf(oldest)), aNow, out);
  }
  return out;
}

} // namespace mangospan::jobs
