// The upkeep of a machine is ordered, not answered and carried out late. The
// store does the announcements of the next orders and does not answer them.
#include <atomic>
#include <iostream>

#include "platform.h"

namespace {

using namespace standins;

constexpr std::size_t kNodes = 3;
constexpr milliseconds kCallTime{ 3'000 };
constexpr milliseconds kWarmUp{ 50 };
constexpr int kRunTime = 4'000; // of the work unit on the other machine, in ms
constexpr milliseconds kWaveAfter{ 200 };
constexpr int kLateMs = 5'000;
constexpr milliseconds kTraffic{ 24'000 };
constexpr milliseconds kInterval{ 100 };
constexpr const char* kLateMachine = "machine-3";
constexpr const char* kBusyMachine = "machine-0";

job_truth
Job(int aNumber, int aMilliseconds, const std::string& aLabel)
{
  const std::string digits = std::to_string(aNumber);
  job_truth out;
  out.mId = std::string(16 - digits.size(), '0') + digits;
  out.mService = "survey";
  out.mSpecification = "check " + out.mId;
  step_truth step;
  step.mMilliseconds = aMilliseconds;
  step.mLabel = aLabel;
  out.mSteps = { step };
  return out;
}

void
Submit(fleet& aFleet,
       const nodes& aNodes,
       const job_truth& aJob,
       record& aRecord)
{
  aFleet.AddJob(aJob);
  const answer got =
    Call(aNodes.Callers(0),
         CallOf("POST", "survey", aJob.mId, aJob.Body().dump()),
         kCallTime);
  aRecord.Add(Join({ "POST", aJob.mId, "->", std::to_string(got.mStatus) }));
}

// Waits until the only work unit of the job is done.
void
AwaitEnd(fleet& aFleet, int aJob)
{
  const std::string task = TaskText({ Job(aJob, 0, "").mId, 0, 0, 0 });
  bool isDone = false;
  for (int i = 0; i < 2'000 && !isDone; ++i) {
    std::this_thread::sleep_for(milliseconds(5));
    const std::lock_guard lock(aFleet.mMutex);
    isDone = aFleet.mUnits[task].mIsDone;
  }
}

// Returns whether the transaction writes the key.
bool
Writes(const json& aTransaction, const std::string& aKey)
{
  const json& puts = aTransaction.at("puts");
  return std::any_of(puts.begin(), puts.end(), [&aKey](const json& aEach) {
    return aEach.at("key") == aKey;
  });
}

// The first upkeep order of that machine is late, and from it on the answers to
// announcements of orders are lost until `aIsOver`: a small part of all writes.
void
Disturb(store& aStore,
        fleet& aFleet,
        const std::atomic<bool>& aIsOver,
        record& aRecord)
{
  const auto lateSince = std::make_shared<std::atomic<std::int64_t>>(-1);
  const std::lock_guard lock(aFleet.mMutex);
  aFleet.mMachineFate = [&aRecord, lateSince](const std::string& aPath,
                                              const json& aBody) {
    const bool isFirst = aPath == "/machine-upkeep" &&
                         aBody.at("machine") == kLateMachine && *lateSince < 0;
    if (isFirst) {
      *lateSince = aRecord.Elapsed();
    }
    return isFirst ? kLateMs : 0;
  };
  aStore.SetFate([&aRecord, &aIsOver, lateSince](const json& aTransaction) {
    const bool isLost =
      *lateSince >= 0 && !aIsOver && Writes(aTransaction, "mangospan/orders");
    if (isLost) {
      aRecord.Add("the store does an announcement and does not answer it");
    }
    return isLost ? -1 : 0;
  });
}

int
Run(const std::string& aProgram,
    const std::string& aFolder,
    const std::string& aRecord)
{
  record written(aRecord);
  store kept;
  kept.Start();
  kept.Put("op/config", Configuration(1, { "survey" }));
  fleet workers(kept, written);
  workers.StartMachines();
  for (int i = 0; i < 5; ++i) {
    workers.AddMachine("machine-" + std::to_string(i),
                       "survey",
                       "zone-" + std::to_string(i % 2),
                       { i == 0 ? "b" : "a", "rack-" + std::to_string(i / 2) },
                       16'000);
  }
  nodes fronts(aProgram, aFolder);
  for (std::size_t i = 0; i < kNodes; ++i) {
    fronts.Add(
      "zone-" + std::to_string(i % 2), kept.Address(), workers.Address());
    fronts.Start(i);
  }
  if (!fronts.AwaitReady(milliseconds(10'000))) {
    std::cout << "the nodes are not ready" << std::endl;
    return 2;
  }
  std::atomic<bool> isOver{ false };
  const time_point begin = Now();
  if (HasTrouble()) {
    Disturb(kept, workers, isOver, written);
  }
  std::thread wave([&] {
    std::this_thread::sleep_until(begin + kWarmUp);
    Submit(workers, fronts, Job(1, kRunTime, "b"), written);
    std::this_thread::sleep_for(kWaveAfter);
    workers.OnWave(1, { kBusyMachine, kLateMachine }, 1);
    kept.Put("op/wave/1",
             json{ { "wave", 1 },
                   { "machines", { kBusyMachine, kLateMachine } },
                   { "complete-by-s", 20 },
                   { "cap", 1 } }
               .dump());
    written.Add("wave 1, at most one machine at once");
    AwaitEnd(workers, 1);
    isOver = true;
    written.Add("the store answers again");
  });
  for (int i = 100; Now() < begin + kTraffic; ++i) {
    Submit(workers, fronts, Job(i, 300, "a"), written);
    std::this_thread::sleep_for(kInterval);
  }
  wave.join();
  written.Add("status: " + kept.Value("status/wave/1"));
  return Verdict(written);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount != 4) {
    std::cout << "usage: PROGRAM FOLDER RECORD" << std::endl;
    return 2;
  }
  return Run(aArguments[1], aArguments[2], aArguments[3]);
}
