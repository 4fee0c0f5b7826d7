// review-case: plays the script of one case of the review. Exits with 1 if the
// rule was broken, 0 if it held, and 2 if the case could not run.
#include <chrono>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include "mangospan/base/log.h"
#include "world.h"

namespace {

using namespace mangospan;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

struct case_options
{
  review::world_options mWorld;
  bool mHasTrouble = true;
};

int
NotRun(review::world& aWorld, const std::string& aReason)
{
  aWorld.Record("not run: " + aReason);
  return kNotRun;
}

int
Verdict(review::world& aWorld, bool aIsBroken, const std::string& aRule)
{
  aWorld.Record(aRule + (aIsBroken ? ": broken" : ": held"));
  return aIsBroken ? kBroken : kHeld;
}

// A job that lasts has a step with one work unit, which only one runner may
// run, and a step with three, of which one at a time may be unavailable. The
// runner of the first step crashes up to four times and starts again.
int
PlayCrashes(const case_options& aOptions)
{
  constexpr int kCrashes = 4;
  constexpr std::size_t kMaxUnavailable = 1;
  constexpr milliseconds kAtWork{ 1'500 };
  constexpr milliseconds kDown{ 500 };
  constexpr milliseconds kRestartWithin{ 10'000 };
  constexpr milliseconds kEnd{ 6'000 };
  const std::string jobName = "00000000000000a1";
  const std::string task = jobName + ".0.0.0";
  review::world_options options = aOptions.mWorld;
  options.mLastLabel = "b";
  review::world world(options);
  if (!world.Start().has_value()) {
    return NotRun(world, "the nodes are not ready");
  }
  json only{ { "count", 1 },
             { "cpu", 1'300 },
             { "task-memory-mb", 512 },
             { "estimated-ms", 700 },
             { "long-running", true },
             { "requirements", "b" } };
  json others = only;
  others["count"] = 3;
  others["anti-affinity"] = 1;
  others["max-unavailable"] = kMaxUnavailable;
  others["requirements"] = "a";
  const json body{ { "specification", "a ledger that is kept all season" },
                   { "steps", json::array({ only, others }) } };
  if (world.Submit(jobName, body) != 200) {
    return NotRun(world, "the job was not accepted");
  }
  review::runner& flaky = *world.Runners().back();
  std::string shown;
  for (int i = 0; i < kCrashes && shown != "failed"; ++i) {
    const bool isAtWork = world.RunUntil(
      [&] { return flaky.AgeOf(task) >= kAtWork; }, kRestartWithin);
    if (!isAtWork && i == 0) {
      return NotRun(world, "the work unit did not start");
    }
    if (aOptions.mHasTrouble) {
      flaky.Crash();
      world.RunFor(kDown);
      world.Restart(flaky);
    }
    world.RunFor(milliseconds(1'000));
    shown = world.StateOf(jobName);
  }
  world.RunFor(kEnd);
  static_cast<void>(world.StateOf(jobName));
  // Nobody has cancelled the job, no runner of the second step was disturbed,
  // and what was stopped there has not started again.
  const std::size_t stopped = world.CountStops(jobName + ".0.1.");
  return Verdict(world,
                 stopped > kMaxUnavailable,
                 "AVAIL: " + std::to_string(stopped) +
                   " work units at work were stopped, of which " +
                   std::to_string(kMaxUnavailable) + " may be unavailable");
}

// The operator removes a queue while the first step of one of its jobs runs.
int
PlayRemovedQueue(const case_options& aOptions)
{
  constexpr milliseconds kWork{ 2'000 };
  constexpr milliseconds kStartWithin{ 5'000 };
  constexpr milliseconds kFinish{ 14'000 }; // `finish_s`
  constexpr milliseconds kIdle{ 3'000 };
  const std::string jobName = "00000000000000b1";
  const std::string first = jobName + ".0.0.0";
  const std::string second = jobName + ".0.1.0";
  review::world world(aOptions.mWorld);
  if (!world.Start().has_value()) {
    return NotRun(world, "the nodes are not ready");
  }
  world.SetWork(jobName, kWork);
  json step{ { "count", 1 },
             { "cpu", 500 },
             { "task-memory-mb", 512 },
             { "estimated-ms", kWork.count() } };
  json next = step;
  next["after"] = json::array({ 0 });
  const json body{ { "specification", "a filing in two steps" },
                   { "steps", json::array({ step, next }) } };
  if (world.Submit(jobName, body) != 200) {
    return NotRun(world, "the job was not accepted");
  }
  if (!world.RunUntil([&] { return world.CountRuns(first) > 0; },
                      kStartWithin)) {
    return NotRun(world, "the first step did not start");
  }
  if (aOptions.mHasTrouble) {
    world.Configure(false);
  }
  world.RunUntil([&] { return world.CountRuns(first) == 0; }, 2 * kWork);
  world.Record("the turn of " + second + " has come");
  const bool hasBegun = world.RunUntil(
    [&] { return world.CountRuns(second) > 0; }, kFinish + kIdle);
  static_cast<void>(world.StateOf(jobName));
  if (aOptions.mHasTrouble) {
    world.Configure(true); // for the record: what the caller is shown then
    world.RunFor(kIdle);
    static_cast<void>(world.StateOf(jobName));
  }
  return Verdict(world,
                 !hasBegun,
                 "LOST: nothing of an accepted job runs, with all room free");
}

// Cancels the jobs, again and again, for as long as one is not confirmed.
// Returns how many were not.
std::size_t
CancelAll(review::world& aWorld, const std::vector<std::string>& aJobs)
{
  constexpr int kTries = 4;
  constexpr milliseconds kDeadline{ 3'000 };
  std::map<std::string, bool> isConfirmed;
  for (int i = 0; i < kTries; ++i) {
    for (const std::string& each : aJobs) {
      if (!isConfirmed[each]) {
        const int status =
          aWorld.Call("DELETE", review::world::kPrefix + each, "", kDeadline);
        isConfirmed[each] = status / 100 == 2 || status == 410;
      }
    }
  }
  std::size_t out = 0;
  for (const auto& [name, each] : isConfirmed) {
    out += each ? 0 : 1;
  }
  return out;
}

// A caller submits a job with so many occurrences that its record is larger
// than a value of the store may be.
int
PlayLargeRecord(const case_options& aOptions)
{
  constexpr int kRepetitions = 200'000;
  constexpr std::int64_t kIntervalMs = 60'000;
  constexpr std::int64_t kDelayMs = 3'600'000;
  const std::vector<std::string> names{ "00000000000000c1",
                                        "00000000000000c2",
                                        "00000000000000c3",
                                        "00000000000000c4" };
  review::world world(aOptions.mWorld);
  if (!world.Start().has_value()) {
    return NotRun(world, "the nodes are not ready");
  }
  json step{ { "count", 1 },
             { "cpu", 500 },
             { "task-memory-mb", 512 },
             { "estimated-ms", 700 },
             { "long-running", true } };
  for (const std::string& each : names) {
    const json body{ { "specification", "a watch of one bar" },
                     { "steps", json::array({ step }) } };
    if (world.Submit(each, body) != 200) {
      return NotRun(world, "a job was not accepted");
    }
  }
  world.RunFor(milliseconds(2'000));
  if (aOptions.mHasTrouble) {
    const auto now = std::chrono::duration_cast<milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
    json minute = step;
    minute.erase("long-running");
    const json body{ { "specification", "a check of each minute" },
                     { "steps", json::array({ minute }) },
                     { "repetitions", kRepetitions },
                     { "start-at-ms", now.count() + kDelayMs },
                     { "interval-ms", kIntervalMs } };
    world.Submit("00000000000000d1", body);
  }
  const std::size_t unconfirmed = CancelAll(world, names);
  world.Submit(
    "00000000000000c5",
    { { "specification", "a later job" }, { "steps", json::array({ step }) } });
  return Verdict(world,
                 10 * unconfirmed > names.size(),
                 "Acks: " + std::to_string(unconfirmed) +
                   " cancels of accepted jobs have no confirmation");
}

// A gang of eight is submitted, which fits on one runner twice over; without
// the disruption it is a gang of six.
int
PlayGang(const case_options& aOptions)
{
  constexpr milliseconds kWork{ 2'000 };
  constexpr milliseconds kFinish{ 14'000 }; // `finish_s`
  constexpr milliseconds kIdle{ 3'000 };
  constexpr int kGang = 8;
  constexpr int kSmallGang = 6;
  const std::string jobName = "00000000000000e1";
  review::world_options options = aOptions.mWorld;
  options.mLastLabel = "b";
  review::world world(options);
  if (!world.Start().has_value()) {
    return NotRun(world, "the nodes are not ready");
  }
  world.SetWork(jobName, kWork);
  const json step{ { "count", aOptions.mHasTrouble ? kGang : kSmallGang },
                   { "cpu", 200 },
                   { "task-memory-mb", 256 },
                   { "estimated-ms", kWork.count() },
                   { "gang", true },
                   { "requirements", "b" } };
  const json body{ { "specification", "a reconciliation of all parts" },
                   { "steps", json::array({ step }) } };
  if (world.Submit(jobName, body) != 200) {
    return NotRun(world, "the job was not accepted");
  }
  const bool hasBegun = world.RunUntil(
    [&] { return world.CountRuns(jobName + ".0.0.0") > 0; }, kFinish + kIdle);
  world.RunFor(kWork + milliseconds(1'000));
  static_cast<void>(world.StateOf(jobName));
  return Verdict(world,
                 !hasBegun,
                 "LOST: nothing of an accepted job runs, with all room free");
}

} // namespace

int
main(int aCount, char** aArguments)
{
  case_options options;
  std::string name;
  int trouble = 1;
  CLI::App app{ "Plays the script of one case of the review." };
  app.add_option("--case", name, "crashes, queue, record or gang")->required();
  app.add_option("--program", options.mWorld.mProgram, "the node")->required();
  app.add_option("--folder", options.mWorld.mFolder, "for logs")->required();
  app.add_option("--record", options.mWorld.mRecord, "the file")->required();
  app.add_option("--trouble", trouble, "0: without the disruption");
  CLI11_PARSE(app, aCount, aArguments);
  options.mHasTrouble = trouble != 0;
  ConfigureLog("review", log_level::kError);
  const std::map<std::string, int (*)(const case_options&)> plays{
    { "crashes", PlayCrashes },
    { "queue", PlayRemovedQueue },
    { "record", PlayLargeRecord },
    { "gang", PlayGang },
  };
  const auto found = plays.find(name);
  if (found == plays.end()) {
    std::cerr << "no such case\n";
    return kNotRun;
  }
  return found->second(options);
}
