#include "mangospan/jobs/codec.h"

#include <algorithm>
#include <limits>
#include <stdexcept>
#include <utility>

#include <nlohmann/json.hpp>

#include "mangospan/base/log.h"

namespace mangospan::jobs {

using nlohmann::json;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

// The tasks that are done: of a job that runs once, of all occurrences.
constexpr const char* kDoneKey = "done";
// Of a job that repeats: the ranges of occurrences that are done, and the tasks
// that are done of the others that have begun.
constexpr const char* kDoneRangesKey = "done_ranges";
constexpr const char* kBegunKey = "begun";
// What the job's queue allowed when the job was accepted.
constexpr const char* kPolicyKey = "policy";
constexpr const char* kCheckpointsKey = "checkpoints";
constexpr const char* kRunsEndWithinKey = "dead_in_ms";
// A roster is an array of runners or, with learned run times, an object with
// both.
constexpr const char* kRunnersKey = "runners";
constexpr const char* kRunTimesKey = "run_times";
// Rosters of earlier versions hold a time of day, which is not used.
constexpr const char* kRunsEndByKey = "dead_by_ms";
// Longer than every lease, so that the longest lease counts.
constexpr milliseconds kUnknownRunsEnd{ std::chrono::hours(1) };

error
Malformed(const char* aStep, const std::string& aMessage)
{
  return error{ error_code::kInvalidArgument, aStep, "", aMessage };
}

std::int64_t
ToMilliseconds(wall_time aTime)
{
  return duration_cast<milliseconds>(aTime.time_since_epoch()).count();
}

wall_time
FromMilliseconds(std::int64_t aValue)
{
  return wall_time(milliseconds(aValue));
}

json
RunTimesToJson(const std::vector<run_time_summary>& aRunTimes)
{
  json out = json::array();
  for (const run_time_summary& each : aRunTimes) {
    out.push_back({ { "queue", each.mQueue.Str() },
                    { "step", each.mStep },
                    { "runs", each.mRuns },
                    { "parts", each.mParts } });
  }
  return out;
}

// Reads a count. One that does not fit becomes the largest one; another type is
// an error.
std::uint32_t
CountFromJson(const json& aValue)
{
  if (!aValue.is_number_unsigned()) {
    throw std::invalid_argument("not a count: " + aValue.dump());
  }
  constexpr std::uint64_t kLargest = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(
    std::min(aValue.get<std::uint64_t>(), kLargest));
}

json
StepToJson(const step_spec& aStep)
{
  json out{ { "tasks", aStep.mTaskCount },
            { "cpu", aStep.mTaskResources.mCpu },
            { "memory_mb", aStep.mTaskResources.mMemoryMb },
            { "estimate_ms", aStep.mEstimate.count() } };
  const auto put = [&out](const char* aKey, const auto& aValue) {
    if (aValue != std::decay_t<decltype(aValue)>{}) {
      out[aKey] = aValue;
    }
  };
  put("gpus", aStep.mTaskResources.mGpus);
  put("after", aStep.mAfter);
  put("checkpoints", aStep.mSavesCheckpoints);
  put("gang", aStep.mGang);
  put("colocate", aStep.mColocate);
  put("label", aStep.mLabel);
  put("data_rack", aStep.mDataRack.Str());
  put("max_per_runner", aStep.mMaxPerRunner);
  put("speculative", aStep.mSpeculative);
  put("lasting", aStep.mLongRunning);
  put("image", aStep.mImage);
  put("target_latency_ms", aStep.mTargetLatency.count());
  put("filler", aStep.mBestEffort);
  put("max_away", aStep.mMaxUnavailable);
  return out;
}

step_spec
StepFromJson(const json& aValue)
{
  step_spec out;
  out.mTaskCount = aValue.at("tasks").get<std::size_t>();
  out.mTaskResources.mCpu = aValue.at("cpu").get<std::int64_t>();
  out.mTaskResources.mMemoryMb = aValue.at("memory_mb").get<std::int64_t>();
  out.mTaskResources.mGpus = aValue.value("gpus", std::int64_t{ 0 });
  out.mEstimate = milliseconds(aValue.value("estimate_ms", std::int64_t{ 0 }));
  out.mAfter = aValue.value("after", std::vector<std::size_t>{});
  out.mSavesCheckpoints = aValue.value("checkpoints", false);
  out.mGang = aValue.value("gang", false);
  out.mColocate = aValue.value("colocate", false);
  out.mLabel = aValue.value("label", std::string());
  out.mDataRack = rack_name{ aValue.value("data_rack", std::string()) };
  out.mMaxPerRunner = aValue.value("max_per_runner", std::size_t{ 0 });
  out.mSpeculative = aValue.value("speculative", false);
  out.mLongRunning = aValue.value("lasting", false);
  out.mImage = aValue.value("image", std::string());
  out.mTargetLatency =
    milliseconds(aValue.value("target_latency_ms", std::int64_t{ 0 }));
  out.mBestEffort = aValue.value("filler", false);
  out.mMaxUnavailable = aValue.value("max_away", std::size_t{ 0 });
  return out;
}

json
SpecToJson(const job_spec& aSpec)
{
  json steps = json::array();
  for (const step_spec& each : aSpec.mSteps) {
    steps.push_back(StepToJson(each));
  }
  json out{ { "queue", aSpec.mQueue.Str() },
            { "payload", aSpec.mPayload },
            { "elapsed_ms", aSpec.mElapsed.count() },
            { "steps", std::move(steps) } };
  if (!aSpec.mCustomer.Empty()) {
    out["customer"] = aSpec.mCustomer.Str();
  }
  if (aSpec.mRepetitions > 0) {
    out["repetitions"] = aSpec.mRepetitions;
    out["first_due_ms"] = ToMilliseconds(aSpec.mFirstDue);
    out["interval_ms"] = aSpec.mInterval.count();
  }
  return out;
}

job_spec
SpecFromJson(const json& aValue)
{
  job_spec out;
  out.mQueue = queue_name{ aValue.at("queue").get<std::string>() };
  out.mCustomer = customer_name{ aValue.value("customer", std::string()) };
  out.mPayload = aValue.value("payload", std::string());
  out.mElapsed =
    std::chrono::milliseconds(aValue.value("elapsed_ms", std::int64_t{ 0 }));
  for (const json& each : aValue.at("steps")) {
    out.mSteps.push_back(StepFromJson(each));
  }
  out.mRepetitions = aValue.value("repetitions", std::size_t{ 0 });
  out.mFirstDue =
    FromMilliseconds(aValue.value("first_due_ms", std::int64_t{ 0 }));
  out.mInterval = milliseconds(aValue.value("interval_ms", std::int64_t{ 0 }));
  return out;
}

bool
HasDoneTask(const occurrence& aOccurrence)
{
  return std::any_of(aOccurrence.mSteps.begin(),
                     aOccurrence.mSteps.end(),
                     [](const step& aEach) { return aEach.mDoneCount > 0; });
}

// Returns an array of the steps; a step is a string of one character for each
// task: '1' if it is done, otherwise '0'.
json
DoneTasksToJson(const occurrence& aOccurrence)
{
  json steps = json::array();
  for (const step& one : aOccurrence.mSteps) {
    std::string done;
    for (const task& oneTask : one.mTasks) {
      done += oneTask.mDone ? '1' : '0';
    }
    steps.push_back(std::move(done));
  }
  return steps;
}

// Adds which tasks are done. The size does not depend on the number of
// occurrences that a job may ever have: those that have not begun add nothing.
void
AddDone(const job& aJob, json& aInto)
{
  if (aJob.mSpec.mRepetitions == 0) {
    aInto[kDoneKey] = json::array();
    for (const auto& [number, each] : aJob.mOccurrences) {
      aInto[kDoneKey].push_back(DoneTasksToJson(each));
    }
    return;
  }
  json open = json::object();
  for (const auto& [number, each] : aJob.mOccurrences) {
    if (HasDoneTask(each)) {
      open[std::to_string(number)] = DoneTasksToJson(each);
    }
  }
  aInto[kDoneRangesKey] = json::array();
  for (const auto& [first, end] : aJob.mDoneOccurrences.Ranges()) {
    aInto[kDoneRangesKey].push_back({ first, end });
  }
  aInto[kBegunKey] = std::move(open);
}

// Calls `aVisit` with the id, the step and the state of every task. `Job` is
// `job` or `const job`.
template<typename Job, typename Visit>
void
ForEachTask(Job& aJob, Visit aVisit)
{
  for (auto& [k, each] : aJob.mOccurrences) {
    auto& steps = each.mSteps;
    for (std::size_t s = 0; s < steps.size(); ++s) {
      for (std::size_t i = 0; i < steps[s].mTasks.size(); ++i) {
        aVisit(task_id{ aJob.mName, k, s, i }, steps[s], steps[s].mTasks[i]);
      }
    }
  }
}

// Reads what `DoneTasksToJson` writes.
void
DoneTasksFromJson(const json& aSteps, std::size_t aOccurrence, job& aJob)
{
  for (std::size_t s = 0; s < aSteps.size(); ++s) {
    const auto& text = aSteps[s].get_ref<const std::string&>();
    for (std::size_t i = 0; i < text.size(); ++i) {
      task* const found =
        text[i] == '1' ? aJob.Find({ aJob.mName, aOccurrence, s, i }) : nullptr;
      if (found != nullptr && !found->mDone) {
        found->mDone = true;
        ++aJob.mOccurrences.at(aOccurrence).mSteps[s].mDoneCount;
      }
    }
  }
  aJob.CloseIfDone(aOccurrence);
}

// Reads what `AddDone` writes, and a list of all occurrences, as earlier
// versions wrote it.
void
ReadDone(const json& aRecord, job& aJob)
{
  if (aRecord.contains(kDoneKey)) {
    const json& done = aRecord.at(kDoneKey);
    for (std::size_t k = 0; k < done.size(); ++k) {
      DoneTasksFromJson(done[k], k, aJob);
    }
    return;
  }
  std::size_t before = 0;
  for (const json& each : aRecord.at(kDoneRangesKey)) {
    const auto first = each.at(0).get<std::size_t>();
    const auto end = each.at(1).get<std::size_t>();
    if (first < before || end <= first || end > aJob.mSpec.Occurrences()) {
      throw std::invalid_argument("malformed range of occurrences");
    }
    aJob.mDoneOccurrences.AddRange(first, end);
    before = end;
  }
  for (const auto& [number, steps] : aRecord.at(kBegunKey).items()) {
    DoneTasksFromJson(steps, std::stoul(number), aJob);
  }
}

json
CrashesToJson(const crash_history& aCrashes)
{
  return { { "count", aCrashes.mCount },
           { "fuse_ms", aCrashes.mLongestFuse.count() },
           { "latest_fuse_ms", aCrashes.mLatestFuse.count() },
           { "suspicion", aCrashes.mSuspicion },
           { "suspect", aCrashes.mIsSuspect },
           { "chance", aCrashes.mChance },
           { "address", aCrashes.mLatestAddress },
           { "several_addresses", aCrashes.mAtSeveralAddresses } };
}

crash_history
CrashesFromJson(const json& aValue)
{
  crash_history out;
  out.mCount = aValue.at("count").get<std::uint32_t>();
  out.mLongestFuse = milliseconds(aValue.at("fuse_ms").get<std::int64_t>());
  out.mLatestFuse =
    milliseconds(aValue.value("latest_fuse_ms", std::int64_t{ 0 }));
  out.mSuspicion = aValue.at("suspicion").get<std::uint32_t>();
  out.mIsSuspect = aValue.at("suspect").get<bool>();
  out.mChance = aValue.value("chance", 1.0);
  out.mLatestAddress = aValue.value("address", std::string());
  out.mAtSeveralAddresses = aValue.value("several_addresses", false);
  return out;
}

// Returns the failed runs, the checkpoints and the crashes of the tasks that
// are not done.
json
DetailsToJson(const job& aJob)
{
  json failures = json::object();
  json checkpoints = json::object();
  json crashes = json::object();
  ForEachTask(
    aJob, [&](const task_id& aId, const step& /*aStep*/, const task& aTask) {
      if (!aTask.mFailedRuns.empty() && !aTask.mDone) {
        failures[aId.Text()] = aTask.mFailedRuns;
      }
      if (!aTask.mCheckpoint.empty() && !aTask.mDone) {
        checkpoints[aId.Text()] = aTask.mCheckpoint;
      }
      if (aTask.mCrashes.mCount > 0 && !aTask.mDone) {
        crashes[aId.Text()] = CrashesToJson(aTask.mCrashes);
      }
    });
  json out{ { "failures", std::move(failures) },
            { kCheckpointsKey, std::move(checkpoints) } };
  if (!crashes.empty()) {
    out["crashes"] = std::move(crashes);
  }
  return out;
}

// Reads what `DetailsToJson` writes. Skips tasks that the job does not have.
void
DetailsFromJson(const json& aValue, job& aJob)
{
  for (const auto& [text, failures] : aValue.at("failures").items()) {
    const auto id = ParseTaskId(text);
    task* const found = id ? aJob.Find(*id) : nullptr;
    if (found != nullptr) {
      found->mFailedRuns = failures.get<std::vector<std::uint32_t>>();
    }
  }
  for (const auto& [text, checkpoint] : aValue.at(kCheckpointsKey).items()) {
    const auto id = ParseTaskId(text);
    task* const found = id ? aJob.Find(*id) : nullptr;
    if (found != nullptr) {
      found->mCheckpoint = checkpoint.get<std::string>();
    }
  }
  const json allCrashes = aValue.value("crashes", json::object());
  for (const auto& [text, crashes] : allCrashes.items()) {
    const auto id = ParseTaskId(text);
    task* const found = id ? aJob.Find(*id) : nullptr;
    if (found != nullptr) {
      found->mCrashes = CrashesFromJson(crashes);
    }
  }
}

json
PolicyToJson(const queue_policy& aPolicy)
{
  return { { "service", aPolicy.mService.Str() },
           { "priority", aPolicy.mPriority },
           { "max_attempts", aPolicy.mMaxAttempts },
           { "objective_factor", aPolicy.mObjectiveFactor },
           { "target_latency_ms", aPolicy.mTargetLatency.count() } };
}

// A record of an earlier version has no policy. It is not known then how many
// attempts its queue allowed, so none is the last one.
queue_policy
PolicyFromJson(const json& aRecord, const queue_name& aQueue)
{
  queue_policy out;
  out.mName = aQueue;
  out.mMaxAttempts = std::numeric_limits<std::size_t>::max();
  const auto found = aRecord.find(kPolicyKey);
  if (found == aRecord.end()) {
    return out;
  }
  out.mService = service_name{ found->at("service").get<std::string>() };
  out.mPriority = found->at("priority").get<int>();
  out.mMaxAttempts = found->at("max_attempts").get<std::size_t>();
  out.mObjectiveFactor = found->at("objective_factor").get<double>();
  out.mTargetLatency =
    milliseconds(found->at("target_latency_ms").get<std::int64_t>());
  return out;
}

job
RecordFromJson(const job_name& aName, const json& aValue)
{
  const auto state = ParseJobState(aValue.at("state").get<std::string>());
  if (!state) {
    throw std::invalid_argument("unknown job state");
  }
  if (IsFinal(*state)) {
    job out;
    out.mName = aName;
    out.mSpec.mQueue = queue_name{ aValue.at("queue").get<std::string>() };
    out.mState = *state;
    out.mEndedWallTime =
      FromMilliseconds(aValue.at("ended_ms").get<std::int64_t>());
    return out;
  }
  job out = MakeJob(aName, SpecFromJson(aValue.at("spec")));
  out.mState = *state;
  out.mPolicy = PolicyFromJson(aValue, out.mSpec.mQueue);
  out.mAcceptedWallTime =
    FromMilliseconds(aValue.at("accepted_ms").get<std::int64_t>());
  ReadDone(aValue, out);
  DetailsFromJson(aValue, out);
  return out;
}

json
ResourcesToJson(const resources& aValue)
{
  return json{ { "cpu", aValue.mCpu },
               { "memory_mb", aValue.mMemoryMb },
               { "gpus", aValue.mGpus } };
}

json
RunnerToJson(const runner_info& aInfo)
{
  return json{ { "runner", aInfo.mName.Str() },
               { "service", aInfo.mService.Str() },
               { "address", aInfo.mAddress },
               { "zone", aInfo.mZone.Str() },
               { "rack", aInfo.mRack.Str() },
               { "labels", aInfo.mLabels },
               { "capacity", ResourcesToJson(aInfo.mCapacity) },
               { "boot", aInfo.mBoot } };
}

runner_info
RunnerFromJson(const json& aValue)
{
  runner_info out;
  out.mName = runner_name{ aValue.at("runner").get<std::string>() };
  out.mService = service_name{ aValue.at("service").get<std::string>() };
  out.mAddress = aValue.at("address").get<std::string>();
  out.mZone = zone_name{ aValue.at("zone").get<std::string>() };
  out.mRack = rack_name{ aValue.at("rack").get<std::string>() };
  out.mLabels = aValue.at("labels").get<std::vector<std::string>>();
  const json& capacity = aValue.at("capacity");
  out.mCapacity.mCpu = capacity.at("cpu").get<std::int64_t>();
  out.mCapacity.mMemoryMb = capacity.at("memory_mb").get<std::int64_t>();
  out.mCapacity.mGpus = capacity.at("gpus").get<std::int64_t>();
  out.mBoot = aValue.at("boot").get<std::int64_t>();
  return out;
}

} // namespace

std::string
EncodeRoster(const std::vector<roster_entry>& aRunners,
             const std::vector<run_time_summary>& aRunTimes)
{
  json runners = json::array();
  for (const roster_entry& each : aRunners) {
    json entry = RunnerToJson(each.mInfo);
    if (each.mRunsEndWithin) {
      entry[kRunsEndWithinKey] = each.mRunsEndWithin->count();
    }
    runners.push_back(std::move(entry));
  }
  json out = std::move(runners);
  if (!aRunTimes.empty()) {
    out = json{ { kRunnersKey, std::move(out) },
                { kRunTimesKey, RunTimesToJson(aRunTimes) } };
  }
  return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<std::vector<run_time_summary>>
DecodeRunTimes(std::string_view aRoster)
{
  try {
    const json roster = json::parse(aRoster);
    std::vector<run_time_summary> out;
    if (!roster.is_object() || !roster.contains(kRunTimesKey)) {
      return out;
    }
    for (const json& each : roster.at(kRunTimesKey)) {
      run_time_summary entry;
      entry.mQueue = queue_name{ each.at("queue").get<std::string>() };
      entry.mStep = CountFromJson(each.at("step"));
      entry.mRuns = CountFromJson(each.at("runs"));
      for (const json& part : each.at("parts")) {
        entry.mParts.emplace_back(CountFromJson(part.at(0)),
                                  CountFromJson(part.at(1)));
      }
      out.push_back(std::move(entry));
    }
    return out;
  } catch (const std::exception& failure) {
    return Malformed("run_time.summary", failure.what());
  }
}

result<std::vector<roster_entry>>
DecodeRoster(std::string_view aText)
{
  try {
    std::vector<roster_entry> out;
    const json roster = json::parse(aText);
    for (const json& each :
         roster.is_object() ? roster.at(kRunnersKey) : roster) {
      roster_entry entry{ RunnerFromJson(each), std::nullopt };
      if (each.contains(kRunsEndWithinKey)) {
        entry.mRunsEndWithin =
          milliseconds(each.at(kRunsEndWithinKey).get<std::int64_t>());
      } else if (each.contains(kRunsEndByKey)) {
        entry.mRunsEndWithin = kUnknownRunsEnd;
      }
      out.push_back(std::move(entry));
    }
    return out;
  } catch (const std::exception& failure) {
    return Malformed("runner.roster", failure.what());
  }
}

std::string
EncodeSpec(const job_spec& aSpec)
{
  return SpecToJson(aSpec).dump(-1, ' ', false, json::error_handler_t::replace);
}

result<job_spec>
DecodeSpec(std::string_view aText)
{
  try {
    job_spec spec = SpecFromJson(json::parse(aText));
    const std::string validationError = ValidateSpec(spec);
    if (!validationError.empty()) {
      return Malformed("job.spec", validationError);
    }
    return spec;
  } catch (const std::exception& failure) {
    return Malformed("job.spec", failure.what());
  }
}

std::string
EncodeRecord(const job& aJob)
{
  json out{ { "state", Name(aJob.mState) } };
  if (IsFinal(aJob.mState)) {
    out["queue"] = aJob.mSpec.mQueue.Str();
    out["ended_ms"] = ToMilliseconds(aJob.mEndedWallTime);
  } else {
    out["spec"] = SpecToJson(aJob.mSpec);
    out["accepted_ms"] = ToMilliseconds(aJob.mAcceptedWallTime);
    out[kPolicyKey] = PolicyToJson(aJob.mPolicy);
    AddDone(aJob, out);
    out.update(DetailsToJson(aJob));
  }
  std::string text = out.dump(-1, ' ', false, json::error_handler_t::replace);
  if (text.size() > kMaxRecordBytes) {
    // Saved progress only spares work; what is done must be stored.
    LogEvent(log_level::kWarning,
             "job.progress_not_stored",
             { { "job", aJob.mName.Str() },
               { "bytes", static_cast<std::uint64_t>(text.size()) } });
    out[kCheckpointsKey] = json::object();
    text = out.dump(-1, ' ', false, json::error_handler_t::replace);
  }
  return text;
}

result<job>
DecodeRecord(const job_name& aName, std::string_view aText)
{
  try {
    return RecordFromJson(aName, json::parse(aText));
  } catch (const std::exception& failure) {
    return error{
      error_code::kInvalidArgument, "job.record", aName.Str(), failure.what()
    };
  }
}

} // namespace mangospan::jobs
