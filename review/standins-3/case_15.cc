// A runner that is cut off from the store, but not from the nodes, crashes
// behind the cut and starts again as one of another kind.
#include <iostream>

#include "platform.h"

namespace {

using namespace standins;

constexpr std::size_t kNodes = 3;
constexpr milliseconds kCallTime{ 3'000 };
constexpr milliseconds kCutAt{ 5'000 };
constexpr milliseconds kDown{ 700 };
constexpr milliseconds kCut{
  4'000
}; // its entry lives for 4.5 s without reports
constexpr milliseconds kTraffic{ 16'000 };
constexpr milliseconds kRest{ 5'000 };
constexpr milliseconds kInterval{ 60 };

std::string
IdOf(int aNumber)
{
  const std::string digits = std::to_string(aNumber);
  return std::string(16 - digits.size(), '0') + digits;
}

job_truth
Job(int aNumber)
{
  job_truth out;
  out.mId = IdOf(aNumber);
  out.mService = "survey";
  out.mSpecification = "check " + out.mId;
  step_truth step;
  step.mLabel = "a";
  step.mMilliseconds = 400;
  step.mCpu = 2'000;
  out.mSteps = { step };
  return out;
}

// Returns whether the job was accepted.
bool
Submit(fleet& aFleet, const nodes& aNodes, int aNumber, record& aRecord)
{
  const job_truth job = Job(aNumber);
  const auto node = static_cast<std::size_t>(aNumber) % kNodes;
  aFleet.AddJob(job);
  const answer got = Call(aNodes.Callers(node),
                          CallOf("POST", "survey", job.mId, job.Body().dump()),
                          kCallTime);
  aRecord.Add(Join({ "POST",
                     job.mId,
                     "at",
                     aNodes.Name(node),
                     "->",
                     std::to_string(got.mStatus) }));
  if (got.mStatus != 200) {
    return false;
  }
  const std::lock_guard lock(aFleet.mMutex);
  aFleet.Job(job.mId)->mIsAccepted = true;
  return true;
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
  for (int i = 0; i < 4; ++i) {
    workers.AddMachine("machine-" + std::to_string(i),
                       "survey",
                       "zone-" + std::to_string(i % 2),
                       { i < 3 ? "a" : "b", "rack-" + std::to_string(i / 2) },
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
  const time_point begin = Now();
  std::thread disruption([&] {
    std::this_thread::sleep_for(kCutAt);
    if (HasTrouble()) {
      workers.CrashBehindCut("machine-0", kDown, kCut, { "b", "rack-0" });
    }
  });
  for (int i = 1; Now() < begin + kTraffic; ++i) {
    Submit(workers, fronts, i, written);
    std::this_thread::sleep_for(kInterval);
  }
  disruption.join();
  std::this_thread::sleep_for(kRest);
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
