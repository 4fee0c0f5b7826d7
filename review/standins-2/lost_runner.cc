// A runner is lost for good, and the owner of its service is killed soon after.
#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "review/standins-2/deployment.h"
#include "review/standins-2/scenarios.h"

namespace mangospan::review {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr const char* kQueue = "ledger";
constexpr const char* kService = "alpha";
constexpr const char* kJob = "5c0e7a21d94b36f8";
constexpr std::size_t kTasks = 3;
constexpr std::size_t kRunners = 8;
constexpr std::size_t kNodes = 3;
constexpr milliseconds kLasting{ 3'600'000 };
constexpr milliseconds kCalm{ 3'000 };
constexpr milliseconds kKillAfterLoss{ 600 };
constexpr milliseconds kDown{ 500 };
constexpr milliseconds kObserved{ 20'000 };
// Bounds of the platform's pages: a disturbance counts until so long after its
// end; then the 4 s before and the 3 s without a run have to be calm.
constexpr milliseconds kContact{ 3'000 };
constexpr milliseconds kWithoutRun{ 7'000 };

std::string
JobBody()
{
  return json{
    { "specification", std::to_string(kLasting.count()) },
    { "steps",
      json::array({ { { "count", kTasks },
                      { "cpu", 1'300 },
                      { "task-memory-mb", 256 },
                      { "estimated-ms", 700 },
                      { "anti-affinity", 1 },
                      { "long-running", true } } }) }
  }.dump();
}

} // namespace

int
LostRunner(const std::string& aRecordFile, bool aIsTroubled)
{
  deployment all(aRecordFile);
  const runner_spec each{ kService, "standard", 16'000 };
  const std::vector<runner_spec> runners(kRunners, each);
  const bool isStarted =
    all.Start({ { kQueue, kService } }, { kService }, runners, kNodes);
  if (!isStarted || all.AskNow(0, "POST", kQueue, kJob, JobBody()) / 100 != 2) {
    all.Note("the case could not run");
    return kCouldNotRun;
  }
  all.RunFor(kCalm);
  const std::size_t owner = all.HolderOf(kService);
  if (all.RunEvents().size() < kTasks || owner == kNodes) {
    all.Note("the job has not begun");
    return kCouldNotRun;
  }
  const run_event lost = all.RunEvents().front();
  const auto found = std::find_if(
    all.Runners().begin(), all.Runners().end(), [&](const auto& aEach) {
      return aEach->Name() == lost.mRunner;
    });
  all.Lose(**found);
  all.RunFor(kKillAfterLoss);
  if (aIsTroubled) {
    all.KillFor(owner, kDown);
  }
  const time_point calmSince = all.Now() + kDown + kContact;
  all.RunFor(kObserved);
  all.StateOf(0, kQueue, kJob);
  const bool isBackInTime =
    std::any_of(all.RunEvents().begin(),
                all.RunEvents().end(),
                [&](const run_event& aEach) {
                  return aEach.mTask == lost.mTask && aEach.mRun != lost.mRun &&
                         aEach.mEnd.empty() &&
                         aEach.mAt <= calmSince + kWithoutRun;
                });
  all.Note(isBackInTime
             ? "LOST held"
             : "LOST is broken: a work unit that lasts has had no run for 3 s "
               "after 4 s of calm, with six runners free");
  return isBackInTime ? kHeld : kBroken;
}

} // namespace mangospan::review
