// A job is cancelled at a node that is cut off from the store and does not know
// yet that another node has taken its service over.
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
constexpr const char* kService = "alpha";
constexpr const char* kJob = "5c0e7a21d94b36f8";
constexpr const char* kOtherJob = "77aa01c3e2f45b60";
constexpr milliseconds kWork{ 12'000 }; // of each work unit
constexpr milliseconds kCalm{ 2'000 };
constexpr milliseconds kCut{ 5'500 };
constexpr milliseconds kSubmitAfterCut{ 3'000 };
constexpr milliseconds kCancelAfterAcceptance{ 500 };
constexpr milliseconds kCancel{ 3'000 };    // bound of the platform's pages
constexpr milliseconds kObserved{ 16'000 }; // after the cancelling
constexpr int kMaxTries = 10;
constexpr milliseconds kRetry{ 300 };
constexpr std::size_t kNodes = 3;

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

// Sends the request until it has an answer that is final for a caller. Returns
// the status.
int
Insist(deployment& aAll, std::size_t aNode, const std::string& aMethod)
{
  const std::string body = aMethod == "POST" ? JobBody() : std::string();
  int status = 0;
  for (int i = 0; i < kMaxTries && status / 100 != 2 && status != 410; ++i) {
    if (i > 0) {
      aAll.RunFor(kRetry);
    }
    status = aAll.AskNow(aNode, aMethod, kQueue, kJob, body);
  }
  return status;
}

} // namespace

int
CancelledAtStaleOwner(const std::string& aRecordFile, bool aIsTroubled)
{
  deployment all(aRecordFile);
  const bool isStarted =
    all.Start({ { kQueue, kService }, { "checks", "beta" } },
              { kService, "beta" },
              { { kService, "standard", 16'000 },
                { kService, "standard", 16'000 },
                { "beta", "standard", 16'000 },
                { "beta", "standard", 16'000 } },
              kNodes);
  if (!isStarted) {
    all.Note("the case could not run");
    return kCouldNotRun;
  }
  all.RunFor(kCalm);
  const std::size_t cut = all.HolderOf(kService);
  if (cut == kNodes) {
    all.Note("no node holds the service");
    return kCouldNotRun;
  }
  // The caller's channel to the node stays open from here on.
  all.AskNow(cut, "GET", kQueue, kOtherJob);
  if (aIsTroubled) {
    all.CutFromStoreFor(cut, kCut);
  }
  all.RunFor(kSubmitAfterCut);
  if (Insist(all, (cut + 1) % kNodes, "POST") / 100 != 2) {
    all.Note("the job was not accepted");
    return kCouldNotRun;
  }
  all.RunFor(kCancelAfterAcceptance);
  all.StateOf(cut, kQueue, kJob); // for the record
  const int cancelled = Insist(all, cut, "DELETE");
  if (cancelled / 100 != 2 && cancelled != 410) {
    all.Note("the cancelling was not acknowledged");
    return kCouldNotRun;
  }
  const time_point confirmedAt = all.Now();
  all.RunFor(kObserved);
  all.StateOf((cut + 1) % kNodes, kQueue, kJob);
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
