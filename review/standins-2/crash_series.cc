// Two runners crash again and again by a fault of their own, whatever they run,
// while a sound job needs their kind.
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

constexpr const char* kQueue = "drafts";
constexpr const char* kService = "alpha";
constexpr const char* kSecondJob = "77aa01c3e2f45b60";
constexpr const char* kJob = "5c0e7a21d94b36f8";
constexpr const char* kKind = "wide";
constexpr milliseconds kWork{ 3'000 };
constexpr milliseconds kCrashAfter{ 1'450 }; // the begin of any work unit
constexpr milliseconds kDown{ 2'000 };
constexpr milliseconds kRepairedAfter{ 25'000 }; // the submission
constexpr std::size_t kRunners = 14;
constexpr milliseconds kCalm{ 2'000 };
constexpr std::size_t kFaultyRunners = 2;
// Bounds of the platform's pages.
constexpr milliseconds kFinish{ 14'000 };
constexpr milliseconds kPollInterval{ 500 };

std::string
JobBody()
{
  return json{
    { "specification", std::to_string(kWork.count()) },
    { "steps",
      json::array({ { { "count", 1 },
                      { "cpu", 500 },
                      { "task-memory-mb", 256 },
                      { "estimated-ms", kWork.count() },
                      { "requirements", kKind } } }) }
  }.dump();
}

// Returns the final state that callers are shown, or the last one before
// `aEnd`.
std::string
AwaitEnd(deployment& aAll, const std::string& aJob, time_point aEnd)
{
  std::string state;
  while (aAll.Now() < aEnd && state != "completed" && state != "failed") {
    aAll.RunFor(kPollInterval);
    state = aAll.StateOf(1, kQueue, aJob);
  }
  return state;
}

} // namespace

int
CrashSeries(const std::string& aRecordFile, bool aIsTroubled)
{
  deployment all(aRecordFile);
  std::vector<runner_spec> runners(kRunners, { kService, "standard", 16'000 });
  for (std::size_t i = 0; i < kFaultyRunners; ++i) {
    runners[i].mKind = kKind;
  }
  if (!all.Start({ { kQueue, kService } }, { kService }, runners, 3)) {
    all.Note("the case could not run");
    return kCouldNotRun;
  }
  all.RunFor(kCalm);
  const time_point repairedAt = all.Now() + kRepairedAfter;
  all.OnRunBegins([&](const run_event& aBegun) {
    for (std::size_t i = 0; i < kFaultyRunners; ++i) {
      runner& faulty = *all.Runners()[i];
      if (aIsTroubled && all.Now() < repairedAt &&
          aBegun.mRunner == faulty.Name()) {
        all.After(kCrashAfter, [&all, &faulty] {
          if (faulty.IsUp()) {
            all.CrashFor(faulty, kDown);
          }
        });
      }
    }
  });
  if (all.AskNow(0, "POST", kQueue, kJob, JobBody()) / 100 != 2) {
    all.Note("the job was not accepted");
    return kCouldNotRun;
  }
  const std::string state = AwaitEnd(all, kJob, repairedAt + kFinish);
  const auto failures = std::count_if(
    all.RunEvents().begin(), all.RunEvents().end(), [](const run_event& aEach) {
      return aEach.mEnd == "failed";
    });
  all.Note("the job is shown as '" + state + "', with " +
           std::to_string(failures) + " runs that ended 'failed'");
  if (aIsTroubled && all.Now() < repairedAt) {
    all.RunUntil(
      [] { return false; },
      std::chrono::duration_cast<milliseconds>(repairedAt - all.Now()) + kDown);
  }
  all.Note("the same job under another name, with the runners repaired");
  all.AskNow(0, "POST", kQueue, kSecondJob, JobBody());
  const std::string second = AwaitEnd(all, kSecondJob, all.Now() + kFinish);
  all.Note("that one is shown as '" + second + "'");
  if (second != "completed") {
    return kCouldNotRun;
  }
  const bool isBroken = state != "completed";
  all.Note(isBroken ? "LOST is broken: an accepted job is shown as failed "
                      "without cause"
                    : "LOST held");
  return isBroken ? kBroken : kHeld;
}

} // namespace mangospan::review
