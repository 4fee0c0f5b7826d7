#include "mangospan/jobs/job.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace mangospan::jobs {

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

task*
job::Find(const task_id& aTask)
{
  if (aTask.mOccurrence >= mOccurrences.size()) {
    return nullptr;
  }
  auto& steps = mOccurrences[aTask.mOccurrence].mSteps;
  if (aTask.mStep >= steps.size() ||
      aTask.mIndex >= steps[aTask.mStep].mTasks.size()) {
    return nullptr;
  }
  return &steps[aTask.mStep].mTasks[aTask.mIndex];
}

bool
job::IsStepReady(std::size_t aOccurrence, std::size_t aStep) const
{
  const auto& steps = mOccurrences[aOccurrence].mSteps;
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
    return mOccurrences.size();
  }
  std::size_t due = 0;
  while (due < mOccurrences.size() && aWall >= mSpec.DueAt(due)) {
    ++due;
  }
  return due;
}

bool
job::AllDone() const
{
  return std::all_of(mOccurrences.begin(),
                     mOccurrences.end(),
                     [](const occurrence& aOccurrence) {
                       return std::all_of(aOccurrence.mSteps.begin(),
                                          aOccurrence.mSteps.end(),
                                          &IsDone);
                     });
}

job
MakeJob(job_name aName, job_spec aSpec)
{
  job newJob;
  newJob.mName = std::move(aName);
  newJob.mSpec = std::move(aSpec);
  newJob.mOccurrences.resize(newJob.mSpec.Occurrences());
  for (occurrence& each : newJob.mOccurrences) {
    each.mSteps.resize(newJob.mSpec.mSteps.size());
    for (std::size_t i = 0; i < each.mSteps.size(); ++i) {
      each.mSteps[i].mTasks.resize(newJob.mSpec.mSteps[i].mTaskCount);
    }
  }
  return newJob;
}

} // namespace mangospan::jobs
