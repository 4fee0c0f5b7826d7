// A crowd of requests that are legal in size, each for a job of many work
// units. The platform kills a process that exceeds its memory, and starts it
// again.
#include <atomic>
#include <csignal>
#include <iostream>

#include "platform.h"

namespace {

using namespace standins;

constexpr std::size_t kNodes = 3;
constexpr std::size_t kMemoryKilobytes = std::size_t{ 260 } * 1024;
constexpr milliseconds kRestartDelay{ 500 };
constexpr milliseconds kCallTime{ 3'000 };
constexpr int kCrowd = 240;
constexpr milliseconds kCrowdInterval{ 40 };
constexpr int kSteps = 100; // of a job of the crowd
constexpr int kUnits = 100; // of a step
constexpr milliseconds kTraffic{ 30'000 };
constexpr milliseconds kFinish{ 14'000 }; // finish_s
constexpr milliseconds kIdle{ 3'000 };

// Kills nodes that are over their memory and starts them again.
class memory_guard
{
public:
  memory_guard(nodes& aNodes, record& aRecord)
    : mNodes(aNodes)
    , mRecord(aRecord)
    , mEnds(kNodes, 0)
    , mThread([this] { Run(); })
  {
  }
  ~memory_guard()
  {
    mIsOver = true;
    mThread.join();
  }
  memory_guard(const memory_guard&) = delete;
  memory_guard& operator=(const memory_guard&) = delete;

private:
  void Run()
  {
    std::vector<std::optional<time_point>> back(kNodes);
    while (!mIsOver) {
      for (std::size_t i = 0; i < kNodes; ++i) {
        if (back[i] && Now() >= *back[i]) {
          back[i].reset();
          mNodes.Start(i);
          mRecord.Add(mNodes.Name(i) + " starts again");
        }
        const std::size_t used = back[i] ? 0 : mNodes.Kilobytes(i);
        if (used > kMemoryKilobytes) {
          mNodes.Signal(i, SIGKILL);
          mNodes.Await(i);
          ++mEnds[i];
          mRecord.Add(mNodes.Name(i) + " is killed at " + std::to_string(used) +
                      " kB, time " + std::to_string(mEnds[i]));
          back[i] = Now() + kRestartDelay;
        }
      }
      std::this_thread::sleep_for(milliseconds(10));
    }
  }

  nodes& mNodes;
  record& mRecord;
  std::vector<int> mEnds;
  std::atomic<bool> mIsOver{ false };
  std::thread mThread;
};

std::string
IdOf(int aNumber)
{
  std::string digits = std::to_string(aNumber);
  return std::string(16 - digits.size(), '0') + digits;
}

job_truth
Ordinary(int aNumber, int aMilliseconds)
{
  job_truth out;
  out.mId = IdOf(aNumber);
  out.mService = "survey";
  out.mSpecification = "check " + out.mId;
  step_truth step;
  step.mCount = 2;
  step.mMilliseconds = aMilliseconds;
  out.mSteps = { step };
  return out;
}

job_truth
OfCrowd(int aNumber)
{
  job_truth out = Ordinary(aNumber, 100);
  out.mSpecification = "of the crowd";
  step_truth step;
  step.mCount = kUnits;
  step.mMilliseconds = 100;
  for (int i = 0; i < kSteps; ++i) {
    step.mAfter = i == 0 ? std::vector<int>{} : std::vector<int>{ i - 1 };
    out.mSteps.push_back(step);
  }
  out.mSteps.erase(out.mSteps.begin());
  return out;
}

int
Submit(const nodes& aNodes,
       std::size_t aNode,
       const job_truth& aJob,
       record& aRecord)
{
  const std::string body = aJob.Body().dump();
  const answer got = Call(
    aNodes.Callers(aNode), CallOf("POST", "survey", aJob.mId, body), kCallTime);
  aRecord.Add("POST " + aJob.mId + " of " + std::to_string(body.size()) +
              " bytes at " + aNodes.Name(aNode) + " -> " +
              std::to_string(got.mStatus));
  return got.mStatus;
}

// Asks every node; returns the best answer.
std::string
StateOf(const nodes& aNodes, const std::string& aId)
{
  for (std::size_t i = 0; i < aNodes.Size(); ++i) {
    const answer got = Call(
      aNodes.Callers(i), CallOf("GET", "survey", aId), milliseconds(1'000));
    if (got.mStatus == 200) {
      return json::parse(got.mBody).value("state", std::string());
    }
  }
  return "no answer";
}

// Accepted jobs of the ordinary requesters that have not ended, and of which
// nothing runs.
void
CheckJobs(fleet& aFleet,
          const nodes& aNodes,
          const std::vector<std::string>& aJobs,
          record& aRecord)
{
  for (const std::string& each : aJobs) {
    const std::string state = StateOf(aNodes, each);
    aRecord.Add(Join({ "GET", each, "->", state }));
    if (state == "completed") {
      continue;
    }
    int starts = 0;
    bool isRunning = false;
    {
      const std::lock_guard lock(aFleet.mMutex);
      for (int i = 0; i < 2; ++i) {
        const work_unit& unit = aFleet.mUnits[TaskText({ each, 0, 0, i })];
        starts += unit.mStarts;
        isRunning = isRunning || !unit.mLiveOn.empty();
      }
    }
    if (state == "no answer" || !isRunning) {
      aRecord.Break(Join({ "LOST job",
                           each,
                           "was accepted, state:",
                           state + ",",
                           std::to_string(starts),
                           "starts, nothing runs" }));
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
  for (std::size_t i = 0; i < kNodes; ++i) {
    fronts.Add(
      "zone-" + std::to_string(i % 2), kept.Address(), workers.Address());
    fronts.Start(i);
  }
  if (!fronts.AwaitReady(milliseconds(10'000))) {
    std::cout << "the nodes are not ready" << std::endl;
    return 2;
  }
  workers.SetCrowd(OfCrowd(0), "0000000001");
  const memory_guard guard(fronts, written);
  std::vector<std::string> accepted;
  const time_point begin = Now();
  const auto submit = [&](int aNumber, int aMilliseconds) {
    const job_truth job = Ordinary(aNumber, aMilliseconds);
    workers.AddJob(job);
    const auto node = static_cast<std::size_t>(aNumber) % kNodes;
    if (Submit(fronts, node, job, written) == 200) {
      accepted.push_back(job.mId);
    }
  };
  for (int i = 1; i <= 3; ++i) {
    submit(i, 20'000); // these run while the crowd comes
  }
  std::thread crowd([&] {
    std::this_thread::sleep_for(milliseconds(3'000));
    for (int i = 0; i < kCrowd && HasTrouble(); ++i) {
      Submit(fronts,
             static_cast<std::size_t>(i) % kNodes,
             OfCrowd(1'000'000 + i),
             written);
      std::this_thread::sleep_for(kCrowdInterval);
    }
  });
  for (int i = 100; Now() < begin + kTraffic; ++i) {
    submit(i, 300);
    std::this_thread::sleep_for(milliseconds(300));
  }
  crowd.join();
  std::this_thread::sleep_for(kFinish + kIdle);
  CheckJobs(workers, fronts, accepted, written);
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
