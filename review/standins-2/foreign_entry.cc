// Another writer replaces the entry of a sound runner in the store by one with
// fields of another type, until the runner writes its own again.
#include <chrono>
#include <map>
#include <string>

#include <nlohmann/json.hpp>

#include "review/standins-2/deployment.h"
#include "review/standins-2/scenarios.h"

namespace mangospan::review {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr const char* kQueue = "drafts";
constexpr const char* kService = "alpha";
constexpr const char* kJob = "5c0e7a21d94b36f8";
constexpr milliseconds kWork{ 8'000 };
constexpr milliseconds kCalm{ 2'000 };
constexpr milliseconds kAtWork{ 1'500 };
constexpr milliseconds kStatusReportInterval{ 1'500 };
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
                      { "estimated-ms", kWork.count() } } }) }
  }.dump();
}

// Returns whether two runs of one work unit were under way at the same time.
// The runners of this case are up all the time.
bool
HasTwoRunsAtOnce(const deployment& aAll)
{
  std::map<std::string, int> live;
  for (const run_event& each : aAll.RunEvents()) {
    int& count = live[each.mTask];
    count += each.mEnd.empty() ? 1 : -1;
    if (count > 1) {
      return true;
    }
  }
  return false;
}

} // namespace

int
ForeignEntry(const std::string& aRecordFile, bool aIsTroubled)
{
  deployment all(aRecordFile);
  const bool isStarted = all.Start({ { kQueue, kService } },
                                   { kService },
                                   { { kService, "standard", 15'000 },
                                     { kService, "standard", 16'000 },
                                     { kService, "standard", 16'000 } },
                                   3);
  all.RunFor(kCalm);
  if (!isStarted || all.AskNow(0, "POST", kQueue, kJob, JobBody()) / 100 != 2) {
    all.Note("the case could not run");
    return kCouldNotRun;
  }
  all.RunFor(kAtWork);
  if (all.RunEvents().empty()) {
    all.Note("the job has not begun");
    return kCouldNotRun;
  }
  if (aIsTroubled) {
    all.WriteForeignEntry(all.RunEvents().front().mRunner,
                          kStatusReportInterval);
  }
  const time_point end = all.Now() + kWork + kFinish;
  std::string state;
  while (all.Now() < end && state != "completed") {
    all.RunFor(kPollInterval);
    state = all.StateOf(1, kQueue, kJob);
  }
  all.RunFor(kWork);
  const bool isBroken = HasTwoRunsAtOnce(all);
  all.Note(isBroken ? "TWICE is broken: two runs of one work unit at the same "
                      "time, on runners that are up"
                    : "TWICE held");
  return isBroken ? kBroken : kHeld;
}

} // namespace mangospan::review
