// A job is cancelled while a late copy of its submission waits for the store at
// the service that its queue has moved to.
#include <algorithm>
#include <chrono>
#include <string>

#include <nlohmann/json.hpp>

#include "review/standins-2/deployment.h"
#include "review/standins-2/scenarios.h"

namespace mangospan::review {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr const char* kQueue = "drafts";
constexpr const char* kJob = "5c0e7a21d94b36f8";
constexpr milliseconds kWork{ 12'000 }; // of each work unit
// Bounds of the platform's pages.
constexpr milliseconds kConfigApply{ 2'000 };
constexpr milliseconds kCancel{ 3'000 };
constexpr milliseconds kOutage{ 2'000 };
constexpr milliseconds kCopyAfterOutage{ 100 };
constexpr milliseconds kCancelAfterOutage{ 700 };
constexpr milliseconds kObserved{ 16'000 }; // after the cancelling
constexpr int kMaxCancels = 8;
constexpr milliseconds kCancelRetry{ 300 };

std::string
JobBody()
{
  const json step{ { "count", 1 },
                   { "cpu", 500 },
                   { "task-memory-mb", 256 },
                   { "estimated-ms", kWork.count() } };
  json second = step;
  second["after"] = json::array({ 0 });
  return json{
    { "specification", std::to_string(kWork.count()) },
    { "steps", json::array({ step, second }) }
  }.dump();
}

bool
IsSuccess(int aStatus)
{
  return aStatus / 100 == 2;
}

} // namespace

int
CancelledAfterMove(const std::string& aRecordFile, bool aIsTroubled)
{
  deployment all(aRecordFile);
  const bool isStarted =
    all.Start({ { kQueue, "alpha" }, { "checks", "beta" } },
              { "alpha", "beta" },
              { { "alpha", "standard", 16'000 },
                { "alpha", "standard", 16'000 },
                { "beta", "standard", 16'000 },
                { "beta", "standard", 16'000 } },
              3);
  if (!isStarted ||
      !IsSuccess(all.AskNow(0, "POST", kQueue, kJob, JobBody()))) {
    all.Note("the case could not run");
    return kCouldNotRun;
  }
  all.RunFor(milliseconds(500));
  all.Configure({ { kQueue, "beta" }, { "checks", "beta" } });
  all.RunFor(kConfigApply + milliseconds(500));
  if (aIsTroubled) {
    all.SetStoreSilent(true);
    all.After(kOutage, [&all] { all.SetStoreSilent(false); });
  }
  all.After(kCopyAfterOutage, [&all] {
    all.Ask(1, "POST", kQueue, kJob, JobBody(), [](int, const std::string&) {});
  });
  all.RunFor(kCancelAfterOutage);
  int cancelled = 0;
  for (int i = 0; i < kMaxCancels && !IsSuccess(cancelled); ++i) {
    cancelled = all.AskNow(2, "DELETE", kQueue, kJob);
    if (!IsSuccess(cancelled)) {
      all.RunFor(kCancelRetry);
    }
  }
  if (!IsSuccess(cancelled)) {
    all.Note("the job was not cancelled");
    return kCouldNotRun;
  }
  const time_point confirmedAt = all.Now();
  all.RunFor(kObserved);
  all.StateOf(0, kQueue, kJob);
  const bool isBroken = std::any_of(all.RunEvents().begin(),
                                    all.RunEvents().end(),
                                    [&](const run_event& aEach) {
                                      return aEach.mEnd.empty() &&
                                             aEach.mAt > confirmedAt + kCancel;
                                    });
  all.Note(isBroken
             ? "UNASKED is broken: a work unit has started later than 3 s "
               "after the cancelling was acknowledged"
             : "UNASKED held");
  return isBroken ? kBroken : kHeld;
}

} // namespace mangospan::review
