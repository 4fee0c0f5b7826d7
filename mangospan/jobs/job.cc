#include "mangospan/jobs/job.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <iterator>
#include <utility>

namespace mangospan::jobs {

namespace {

// More than the attempts that queues usually allow.
constexpr std::size_t kMaxRememberedFailures = 4;

} // namespace

void
task::OnFailedOn(const runner_name& aRunner, time_point aNow)
{
  mFailedOn.push_back(aRunner);
  if (mFailedOn.size() > kMaxRememberedFailures) {
    mFailedOn.erase(mFailedOn.begin());
  }
  mFailedAt = aNow;
}

namespace {

constexpr std::array<std::pair<job_state, const char*>, 5> kStateNames{ {
  { job_state::kQueued, "queued" },
  { job_state::kRunning, "running" },
  { job_state::kCompleted, "completed" },
  { job_state::kFailed, "failed" },
  { job_state::kCancelled, "cancelled" },
} };

// Removes the last dot and the number after it from the text and returns the
// number. Returns nothing, and leaves the text as it is, if there is none.
std::optional<std::size_t>
RemoveLastNumber(std::string_view& aText)
{
  const std::size_t dot = aText.rfind('.');
  if (dot == std::string_view::npos || dot + 1 == aText.size()) {
    return std::nullopt;
  }
  std::size_t number = 0;
  const char* const end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data() + dot + 1, end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  aText = aText.substr(0, dot);
  return number;
}

bool
IsDone(const step& aStep)
{
  return aStep.mDoneCount == aStep.mTasks.size();
}

} // namespace

std::string
task_id::Text() const
{
  return mJob.Str() + "." + std::to_string(mOccurrence) + "." +
         std::to_string(mStep) + "." + std::to_string(mIndex);
}

std::optional<task_id>
ParseTaskId(std::string_view aText)
{
  const auto index = RemoveLastNumber(aText);
  const auto stepNumber = index ? RemoveLastNumber(aText) : std::nullopt;
  const auto number = stepNumber ? RemoveLastNumber(aText) : std::nullopt;
  if (!number || aText.empty()) {
    return std::nullopt;
  }
  return task_id{
    job_name{ std::string(aText) }, *number, *stepNumber, *index
  };
}

const char*
Name(job_state aState)
{
  for (const auto& [state, text] : kStateNames) {
    if (state == aState) {
      return text;
    }
  }
  return "";
}

std::optional<job_state>
ParseJobState(std::string_view aText)
{
  for (const auto& [state, text] : kStateNames) {
    if (aText == text) {
      return state;
    }
  }
  return std::nullopt;
}

bool
IsFinal(job_state aState)
{
  return aState != job_state::kQueued && aState != job_state::kRunning;
}

void
done_occurrences::AddRange(std::size_t aFirst, std::size_t aEnd)
{
  mCount += aEnd - aFirst;
  const auto next = mRanges.find(aEnd);
  if (next != mRanges.end()) {
    aEnd = next->second;
    mRanges.erase(next);
  }
  const auto after = mRanges.lower_bound(aFirst);
  if (after != mRanges.begin() && std::prev(after)->second == aFirst) {
    std::prev(after)->second = aEnd;
  } else {
    mRanges.emplace(aFirst, aEnd);
  }
}

bool
done_occurrences::Contains(std::size_t aNumber) const
{
  const auto after = mRanges.upper_bound(aNumber);
  return after != mRanges.begin() && aNumber < std::prev(after)->second;
}

bool
job::HasTask(const task_id& aTask) const
{
  return aTask.mOccurrence < mSpec.Occurrences() &&
         aTask.mStep < mSpec.mSteps.size() &&
         aTask.mIndex < mSpec.mSteps[aTask.mStep].mTaskCount;
}

// Returns the occurrence, which exists and is not done.
occurrence&
job::Open(std::size_t aOccurrence)
{
  const auto [found, isNew] = mOccurrences.try_emplace(aOccurrence);
  if (isNew) {
    auto& steps = found->second.mSteps;
    steps.resize(mSpec.mSteps.size());
    for (std::size_t i = 0; i < steps.size(); ++i) {
      steps[i].mTasks.resize(mSpec.mSteps[i].mTaskCount);
    }
  }
  return found->second;
}

task*
job::Find(const task_id& aTask)
{
  if (!HasTask(aTask) || mDoneOccurrences.Contains(aTask.mOccurrence)) {
    return nullptr;
  }
  step& found = Open(aTask.mOccurrence).mSteps[aTask.mStep];
  return &found.mTasks[aTask.mIndex];
}

void
job::OpenDueOccurrences(wall_time aWall)
{
  const std::size_t due = DueOccurrences(aWall);
  const std::size_t maxOpen = mSpec.MaxOpenOccurrences();
  for (; mOpenedBelow < due && mOccurrences.size() < maxOpen; ++mOpenedBelow) {
    if (!mDoneOccurrences.Contains(mOpenedBelow)) {
      Open(mOpenedBelow);
    }
  }
}

void
job::CloseIfDone(std::size_t aOccurrence)
{
  const auto found = mOccurrences.find(aOccurrence);
  if (found != mOccurrences.end() && std::all_of(found->second.mSteps.begin(),
                                                 found->second.mSteps.end(),
                                                 &IsDone)) {
    mDoneOccurrences.Add(aOccurrence);
    mOccurrences.erase(found);
  }
}

bool
job::IsStepReady(std::size_t aOccurrence, std::size_t aStep) const
{
  const auto& steps = mOccurrences.at(aOccurrence).mSteps;
  const auto& after = mSpec.mSteps[aStep].mAfter;
  return std::all_of(
    after.begin(), after.end(), [&steps](std::size_t aDependency) {
      return IsDone(steps[aDependency]);
    });
}

std::size_t
job::DueOccurrences(wall_time aWall) const
{
  if (mSpec.mRepetitions == 0) {
    return 1;
  }
  if (aWall < mSpec.mFirstDue) {
    return 0;
  }
  if (mSpec.mInterval.count() <= 0) {
    return mSpec.mRepetitions;
  }
  const auto later =
    static_cast<std::size_t>((aWall - mSpec.mFirstDue) / mSpec.mInterval);
  return std::min(mSpec.mRepetitions, later + 1);
}

bool
job::IsDueOrBegun(std::size_t aOccurrence, std::size_t aDue) const
{
  const auto hasBegun = [](const task& aTask) {
    return aTask.mDone || aTask.mLastRun > 0;
  };
  const auto& steps = mOccurrences.at(aOccurrence).mSteps;
  return aOccurrence < aDue ||
         std::any_of(steps.begin(), steps.end(), [&](const step& aStep) {
           return std::any_of(
             aStep.mTasks.begin(), aStep.mTasks.end(), hasBegun);
         });
}

bool
job::AllDone() const
{
  return mDoneOccurrences.Count() == mSpec.Occurrences();
}

job
MakeJob(job_name aName, job_spec aSpec)
{
  job newJob;
  newJob.mName = std::move(aName);
  newJob.mSpec = std::move(aSpec);
  if (newJob.mSpec.mRepetitions == 0) {
    newJob.OpenDueOccurrences(wall_time());
  }
  return newJob;
}

} // namespace mangospan::jobs
