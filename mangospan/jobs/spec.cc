#include "mangospan/jobs/spec.h"

#include <algorithm>
#include <string_view>

namespace mangospan::jobs {

namespace {

constexpr std::size_t kMaxTasksPerStep = 10'000;
constexpr std::size_t kMaxSteps = 1'000;
// An owner works on at most this many tasks of one repeating job at a time, but
// on one occurrence at least.
constexpr std::size_t kMaxOpenTasks = 4'000;
// What a record takes at most: for each character of a text, which may have to
// be escaped, for a step without its texts, for each of its dependencies and
// for a task that has failed some times.
constexpr std::size_t kBytesPerCharacter = 6;
constexpr std::size_t kBytesPerStep = 500;
constexpr std::size_t kBytesPerDependency = 5;
constexpr std::size_t kBytesPerTask = 64;

std::size_t
LargestRecord(const job_spec& aSpec)
{
  const std::size_t tasks =
    aSpec.MaxOpenOccurrences() * aSpec.TasksPerOccurrence();
  std::size_t bytes = kBytesPerStep + tasks * kBytesPerTask;
  bytes +=
    kBytesPerCharacter * (aSpec.mPayload.size() + aSpec.mQueue.Str().size());
  for (const step_spec& each : aSpec.mSteps) {
    bytes += kBytesPerStep + each.mAfter.size() * kBytesPerDependency;
    bytes += kBytesPerCharacter * (each.mLabel.size() + each.mImage.size() +
                                   each.mDataRack.Str().size());
  }
  return bytes;
}

bool
StartsWith(std::string_view aText, std::string_view aPrefix)
{
  return aText.substr(0, aPrefix.size()) == aPrefix;
}

// Returns why the step is invalid, or an empty string if it is valid.
std::string
ValidateStep(const job_spec& aSpec, std::size_t aIndex)
{
  const step_spec& step = aSpec.mSteps[aIndex];
  const std::string prefix = "step " + std::to_string(aIndex) + ": ";
  if (step.mTaskCount == 0 || step.mTaskCount > kMaxTasksPerStep) {
    return prefix + "the number of tasks must be between 1 and " +
           std::to_string(kMaxTasksPerStep);
  }
  if (step.mTaskResources.mCpu < 0 || step.mTaskResources.mMemoryMb < 0 ||
      step.mTaskResources.mGpus < 0) {
    return prefix + "a requested amount of CPU, memory or GPUs is negative";
  }
  const bool isOrdered = std::all_of(
    step.mAfter.begin(), step.mAfter.end(), [aIndex](std::size_t aDependency) {
      return aDependency < aIndex;
    });
  return isOrdered ? std::string()
                   : prefix + "depends on itself or on a later step";
}

} // namespace

resources
step_spec::Reservation() const
{
  resources reservation = mTaskResources;
  if (mBestEffort) {
    reservation.mCpu = 0;
  }
  return reservation;
}

std::size_t
job_spec::Occurrences() const
{
  return std::max<std::size_t>(mRepetitions, 1);
}

std::size_t
job_spec::TasksPerOccurrence() const
{
  std::size_t tasks = 0;
  for (const step_spec& each : mSteps) {
    tasks += each.mTaskCount;
  }
  return tasks;
}

std::size_t
job_spec::MaxOpenOccurrences() const
{
  const std::size_t tasks = std::max<std::size_t>(1, TasksPerOccurrence());
  return std::clamp<std::size_t>(kMaxOpenTasks / tasks, 1, Occurrences());
}

wall_time
job_spec::DueAt(std::size_t aOccurrence) const
{
  return mFirstDue + mInterval * static_cast<std::int64_t>(aOccurrence);
}

bool
job_spec::HasLongRunningStep() const
{
  return std::any_of(mSteps.begin(), mSteps.end(), [](const step_spec& aStep) {
    return aStep.mLongRunning;
  });
}

std::string
ValidateSpec(const job_spec& aSpec)
{
  if (aSpec.mSteps.empty() || aSpec.mSteps.size() > kMaxSteps) {
    return "a job must have between 1 and " + std::to_string(kMaxSteps) +
           " steps";
  }
  for (std::size_t i = 0; i < aSpec.mSteps.size(); ++i) {
    std::string validationError = ValidateStep(aSpec, i);
    if (!validationError.empty()) {
      return validationError;
    }
  }
  const std::size_t bytes = LargestRecord(aSpec);
  if (bytes > kMaxRecordBytes) {
    return "the job's record could take " + std::to_string(bytes) +
           " bytes, over the limit of " + std::to_string(kMaxRecordBytes) +
           ": it has too many tasks or too long texts";
  }
  return {};
}

std::chrono::milliseconds
CriticalPath(const std::vector<step_spec>& aSteps)
{
  std::vector<std::chrono::milliseconds> ends(aSteps.size());
  std::chrono::milliseconds longest{ 0 };
  for (std::size_t i = 0; i < aSteps.size(); ++i) {
    std::chrono::milliseconds begin{ 0 };
    for (const std::size_t before : aSteps[i].mAfter) {
      begin = std::max(begin, ends[before]);
    }
    ends[i] = begin + aSteps[i].mEstimate;
    longest = std::max(longest, ends[i]);
  }
  return longest;
}

std::chrono::milliseconds
queue_policy::Objective(const job_spec& aSpec) const
{
  const auto criticalPath = CriticalPath(aSpec.mSteps).count();
  return mTargetLatency +
         std::chrono::milliseconds(static_cast<std::int64_t>(
           mObjectiveFactor * static_cast<double>(criticalPath)));
}

const queue_policy*
catalog::FindQueue(std::string_view aHost, std::string_view aPath) const
{
  const queue_policy* best = nullptr;
  for (const auto& [queueName, queue] : mQueues) {
    if (queue.mHostHeader != aHost || !StartsWith(aPath, queue.mPrefix)) {
      continue;
    }
    if (best == nullptr || queue.mPrefix.size() > best->mPrefix.size()) {
      best = &queue;
    }
  }
  return best;
}

const queue_policy*
catalog::FindQueue(const queue_name& aName) const
{
  const auto found = mQueues.find(aName);
  return found == mQueues.end() ? nullptr : &found->second;
}

std::size_t
catalog::CountPools() const
{
  return static_cast<std::size_t>(
    std::count_if(mServices.begin(), mServices.end(), [](const auto& aEntry) {
      return !aEntry.second.mSpare;
    }));
}

} // namespace mangospan::jobs
