// Crowds of requests that are legal in size and made of very many short fields,
// all at once. The platform kills a process that exceeds its memory, and starts
// it again.
#include <array>
#include <atomic>
#include <csignal>
#include <cstring>
#include <iostream>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "platform.h"

namespace {

using namespace standins;

constexpr std::size_t kNodes = 3;
constexpr std::size_t kMemoryKilobytes = std::size_t{ 160 } * 1024;
constexpr milliseconds kRestartDelay{ 500 };
constexpr int kCrowd = 1'450; // requests at once, at one node
constexpr int kSteps = 1'000; // of a job of the crowd
constexpr int kMaxCrowds = 8;
constexpr milliseconds kCrowdTime{ 3'500 };
constexpr int kEndsOfFault = 3;
constexpr std::size_t kMachinesOfFault = 2;

std::string
IdOf(int aNumber)
{
  const std::string digits = std::to_string(aNumber);
  return std::string(16 - digits.size(), '0') + digits;
}

// Sends the same request from many connections, and closes them after a while.
class crowd
{
public:
  crowd(const std::string& aAddress, const std::string& aBody, int aFirst)
  {
    sockaddr_in target{};
    target.sin_family = AF_INET;
    ::inet_pton(AF_INET,
                aAddress.substr(0, aAddress.find(':')).c_str(),
                &target.sin_addr);
    target.sin_port = htons(static_cast<std::uint16_t>(
      std::stoul(aAddress.substr(aAddress.find(':') + 1))));
    for (int i = 0; i < kCrowd; ++i) {
      const int one = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      mConnections.push_back(one);
      if (::connect(one, reinterpret_cast<sockaddr*>(&target), sizeof target) !=
          0) {
        continue;
      }
      std::string text = "POST /survey/" + IdOf(aFirst + i) + " HTTP/1.1\r\n";
      text += "Host: survey.example\r\nX-Request-Deadline: 3000\r\n";
      text += "Content-Type: application/json\r\nContent-Length: ";
      text += std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
      mSent += ::send(one, text.data(), text.size(), MSG_NOSIGNAL) ==
                   static_cast<ssize_t>(text.size())
                 ? 1
                 : 0;
    }
  }
  ~crowd()
  {
    for (const int each : mConnections) {
      ::close(each);
    }
  }
  crowd(const crowd&) = delete;
  crowd& operator=(const crowd&) = delete;

  int Sent() const { return mSent; }
  // Returns how often each status came.
  std::map<std::string, int> Answers() const
  {
    constexpr std::size_t kStatusAt = 9;
    std::map<std::string, int> out;
    for (const int each : mConnections) {
      std::array<char, 13> begin{};
      const auto read = ::recv(each, begin.data(), 12, MSG_DONTWAIT);
      ++out[read == 12 ? std::string(begin.data() + kStatusAt) : "none"];
    }
    return out;
  }

private:
  std::vector<int> mConnections;
  int mSent = 0;
};

// Kills nodes that are over their memory and starts them again.
class memory_guard
{
public:
  memory_guard(nodes& aNodes, record& aRecord)
    : mNodes(aNodes)
    , mRecord(aRecord)
    , mEnds(kNodes)
    , mPeaks(kNodes)
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

  int EndsOf(std::size_t aNode) const { return mEnds[aNode]; }
  std::size_t PeakOf(std::size_t aNode) const { return mPeaks[aNode]; }

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
        mPeaks[i] = std::max<std::size_t>(mPeaks[i], used);
        if (used > kMemoryKilobytes) {
          mNodes.Signal(i, SIGKILL);
          mNodes.Await(i);
          ++mEnds[i];
          mRecord.Add(mNodes.Name(i) + " is killed at " + std::to_string(used) +
                      " kB, time " + std::to_string(mEnds[i]));
          back[i] = Now() + kRestartDelay;
        }
      }
      std::this_thread::sleep_for(milliseconds(5));
    }
  }

  nodes& mNodes;
  record& mRecord;
  std::vector<std::atomic<int>> mEnds;
  std::vector<std::atomic<std::size_t>> mPeaks;
  std::atomic<bool> mIsOver{ false };
  std::thread mThread;
};

// A job of many small steps.
job_truth
OfCrowd(int aNumber)
{
  job_truth out;
  out.mId = IdOf(aNumber);
  out.mService = "survey";
  out.mSpecification = "s";
  step_truth step;
  step.mCpu = 0;
  step.mMemory = 0;
  out.mSteps.assign(kSteps, step);
  return out;
}

std::string
BodyOfCrowd()
{
  json steps = json::array();
  for (int i = 0; i < kSteps; ++i) {
    steps.push_back({ { "count", 1 } });
  }
  return json{ { "specification", "s" }, { "steps", steps } }.dump();
}

// The requesters of the crowd cancel what may have been accepted, so that it
// is no load for the next crowd.
void
CancelAll(const nodes& aNodes, int aFirst, int aCount)
{
  constexpr int kThreads = 24;
  aNodes.AwaitReady(milliseconds(8'000));
  std::vector<std::thread> requesters;
  requesters.reserve(kThreads);
  for (int t = 0; t < kThreads; ++t) {
    requesters.emplace_back([&aNodes, aFirst, aCount, t] {
      for (int i = t; i < aCount; i += kThreads) {
        const auto node = static_cast<std::size_t>(i) % kNodes;
        Call(aNodes.Callers(node),
             CallOf("DELETE", "survey", IdOf(aFirst + i)),
             milliseconds(300));
      }
    });
  }
  for (std::thread& each : requesters) {
    each.join();
  }
}

std::size_t
CountFaulty(const memory_guard& aGuard)
{
  std::size_t out = 0;
  for (std::size_t i = 0; i < kNodes; ++i) {
    out += aGuard.EndsOf(i) >= kEndsOfFault ? 1 : 0;
  }
  return out;
}

void
SendCrowds(const store& aStore,
           const nodes& aNodes,
           const memory_guard& aGuard,
           record& aRecord)
{
  const std::string body = BodyOfCrowd();
  const int crowds = HasTrouble() ? kMaxCrowds : 0;
  for (int c = 0; c < crowds && CountFaulty(aGuard) < kMachinesOfFault; ++c) {
    const int first = (c + 1) * 10'000;
    // Not at the owner: it keeps the jobs, which is another matter.
    const std::size_t owner = aNodes.OwnerOf(aStore, "jobs/survey");
    std::vector<std::unique_ptr<crowd>> sent;
    for (std::size_t i = 1; i < kNodes; ++i) {
      const std::size_t node = (owner + i) % kNodes;
      const int number = first + static_cast<int>(i) * kCrowd;
      sent.push_back(
        std::make_unique<crowd>(aNodes.Callers(node), body, number));
      aRecord.Add("crowd of " + std::to_string(sent.back()->Sent()) +
                  " requests of " + std::to_string(body.size()) + " bytes at " +
                  aNodes.Name(node));
    }
    std::this_thread::sleep_for(kCrowdTime);
    std::string answers;
    for (const auto& one : sent) {
      answers += ";";
      for (const auto& [status, count] : one->Answers()) {
        answers += " " + status + ": " + std::to_string(count);
      }
    }
    aRecord.Add("answers" + answers);
    sent.clear();
    CancelAll(aNodes, first + kCrowd, static_cast<int>(kNodes - 1) * kCrowd);
    aRecord.Add("all of them are cancelled");
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
  for (int i = 0; i < 2; ++i) {
    workers.AddMachine("machine-" + std::to_string(i),
                       "survey",
                       "zone-" + std::to_string(i % 2),
                       { "a", "rack-" + std::to_string(i) },
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
  workers.SetCrowd(OfCrowd(0), "0000000");
  const memory_guard guard(fronts, written);
  SendCrowds(kept, fronts, guard, written);
  std::this_thread::sleep_for(milliseconds(HasTrouble() ? 0 : 10'000));
  for (std::size_t i = 0; i < kNodes; ++i) {
    written.Add(fronts.Name(i) + " had at most " +
                std::to_string(guard.PeakOf(i)) + " kB, and was killed " +
                std::to_string(guard.EndsOf(i)) + " times");
  }
  if (CountFaulty(guard) >= kMachinesOfFault) {
    written.Break("Fault: processes of two machines ended three times by "
                  "their memory");
  }
  return Verdict(written);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  constexpr rlim_t kDescriptors = 4'000;
  if (aCount != 4) {
    std::cout << "usage: PROGRAM FOLDER RECORD" << std::endl;
    return 2;
  }
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = std::min(limit.rlim_max, kDescriptors);
  ::setrlimit(RLIMIT_NOFILE, &limit);
  return Run(aArguments[1], aArguments[2], aArguments[3]);
}
