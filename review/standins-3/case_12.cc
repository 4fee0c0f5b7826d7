// The processes that take the nodes' standard output stand still for a while,
// as a log collector does that waits for its own disk or server.
#include <csignal>
#include <iostream>

#include "platform.h"

namespace {

using namespace standins;

constexpr std::size_t kNodes = 3;
constexpr milliseconds kCallTime{ 3'000 };
constexpr milliseconds kBefore{ 4'000 }; // traffic before the stall
constexpr milliseconds kTraffic{ 36'000 };
constexpr milliseconds kFinish{ 14'000 }; // finish_s
constexpr std::size_t kRequesters = 6;
constexpr milliseconds kInterval{ 100 }; // of the jobs of one requester

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
  step.mMilliseconds = 100;
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

// Asks for each of the accepted jobs, at all nodes if need be.
void
AskForJobs(const nodes& aNodes,
           const std::vector<std::string>& aJobs,
           record& aRecord)
{
  for (const std::string& job : aJobs) {
    bool isAnswered = false;
    for (std::size_t i = 0; i < aNodes.Size() && !isAnswered; ++i) {
      const answer got =
        Call(aNodes.Callers(i), CallOf("GET", "survey", job), kCallTime);
      aRecord.Add(Join({ "GET",
                         job,
                         "at",
                         aNodes.Name(i),
                         "->",
                         std::to_string(got.mStatus),
                         got.mBody }));
      isAnswered = got.mStatus == 200;
    }
    if (!isAnswered) {
      aRecord.Break(
        Join({ "LOST job", job, "was accepted, and no node answers" }));
    }
  }
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
                       { "a", "rack-" + std::to_string(i / 2) },
                       16'000);
  }
  nodes fronts(aProgram, aFolder);
  fronts.PipeLogs();
  for (std::size_t i = 0; i < kNodes; ++i) {
    fronts.Add(
      "zone-" + std::to_string(i % 2), kept.Address(), workers.Address());
    fronts.Start(i);
  }
  if (!fronts.AwaitReady(milliseconds(10'000))) {
    std::cout << "the nodes are not ready" << std::endl;
    return 2;
  }
  std::vector<std::vector<std::string>> accepted(kRequesters);
  const time_point begin = Now();
  std::vector<std::thread> requesters;
  for (std::size_t r = 0; r < kRequesters; ++r) {
    requesters.emplace_back([&, r] {
      for (int i = 1; Now() < begin + kTraffic; ++i) {
        const int number =
          i * static_cast<int>(kRequesters) + static_cast<int>(r);
        if (Submit(workers, fronts, number, written)) {
          accepted[r].push_back(IdOf(number));
        }
        std::this_thread::sleep_for(kInterval);
      }
    });
  }
  std::this_thread::sleep_until(begin + kBefore);
  if (HasTrouble()) {
    written.Add("the readers of the logs stand still");
    fronts.SignalLogs(SIGSTOP);
  }
  for (std::thread& each : requesters) {
    each.join();
  }
  std::this_thread::sleep_for(kFinish);
  std::vector<std::string> asked; // the last one that each node has accepted
  for (std::size_t i = 0; i < kNodes; ++i) {
    if (!accepted[i].empty()) {
      asked.push_back(accepted[i].back());
    }
  }
  AskForJobs(fronts, asked, written);
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
