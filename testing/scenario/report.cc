#include "testing/scenario/report.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <iomanip>
#include <ostream>
#include <string>
#include <utility>

#include <nlohmann/json.hpp>

#include "mangospan/base/error.h"
#include "testing/endpoint/journal.h"
#include "testing/scenario/load_client.h"
#include "testing/scenario/store_records.h"
#include "testing/scenario/verdict.h"
#include "testing/scenario/world.h"

namespace mangospan::scenario {

namespace {

using nlohmann::json;

// A leaving host gets no new work from this long after the list shows it.
constexpr std::chrono::seconds kLeavingLimit{ 3 };

struct report_row
{
  const char* mName;
  const char* mMeaning;
};

constexpr report_row kRows[] = {
  { "sent", "requests of callers" },
  { "answered", "whole answers to their own request" },
  { "refused", "refused with not-run, for good" },
  { "unknown", "answered with unknown" },
  { "not-connected", "no connection, for good" },
  { "no-answer", "connection ended without an answer" },
  { "lost",
    "neither answered nor refused, without their entry being killed "
    "or frozen" },
  { "doubled", "non-idempotent and run more than once" },
  { "cut", "cut short by a planned stop of their runner" },
  { "crossed", "given another request's answer" },
  { "untrue-not-run", "refused with not-run, but had run" },
  { "ran", "runs at the endpoints, of every attempt" },
  { "killed", "runs ended by the test's kill of their runner" },
  { "over-slots", "requests beyond the slots of a runner" },
  { "over-connections", "connections beyond the limit of a runner" },
  { "wrong-service", "requests to a runner of another service" },
  { "late-work", "runs begun at a leaving host after 3 s" },
  { "moves", "hosts that changed pools" },
  { "two-pools", "hosts found in two pools at once" },
  { "in-force-ms", "for a configuration to be in force in every process" },
  { "store-calls", "calls of the platform" },
  { "p50-ms", "median time to answer" },
  { "p99-ms", "99th percentile of the time to answer" },
};

void
AddEndpointCounts(const json& aSummary, verdict& aVerdict)
{
  const std::pair<const char*, const char*> names[] = {
    { "over_slots", "over-slots" },
    { "over_connections", "over-connections" },
    { "wrong_service", "wrong-service" },
    { "killed", "killed" },
  };
  for (const auto& [from, to] : names) {
    aVerdict.mValues[to] = aSummary.at(from).get<double>();
  }
}

void
AddHistory(const pool_history& aHistory, verdict& aVerdict)
{
  aVerdict.mValues["moves"] = static_cast<double>(aHistory.mMoves);
  aVerdict.mValues["two-pools"] =
    static_cast<double>(aHistory.mInTwoPools.size());
  aVerdict.mFindings.insert(aVerdict.mFindings.end(),
                            aHistory.mInTwoPools.begin(),
                            aHistory.mInTwoPools.end());
}

void
AddStoreCalls(const json& aCalls, verdict& aVerdict)
{
  double total = 0;
  for (const auto& [kind, count] : aCalls.items()) {
    total += count.at("total").get<double>();
  }
  aVerdict.mValues["store-calls"] = total;
}

void
AddLateWork(world& aWorld, const evidence& aEvidence, verdict& aVerdict)
{
  aVerdict.mValues["late-work"] = 0;
  for (const standin::run& each : aEvidence.mRuns) {
    const auto left = aWorld.Leaving().find(each.mRunner.Str());
    if (left != aWorld.Leaving().end() &&
        each.mStart > left->second + kLeavingLimit) {
      ++aVerdict.mValues["late-work"];
      aVerdict.mFindings.push_back("late-work: " + each.mRequest + " on " +
                                   each.mRunner.Str());
    }
  }
}

} // namespace

result<verdict>
MakeReport(world& aWorld)
{
  BOOST_OUTCOME_TRY(journal, aWorld.Ask("endpoints", "/journal"));
  BOOST_OUTCOME_TRY(summary, aWorld.Ask("endpoints", "/summary"));
  BOOST_OUTCOME_TRY(history,
                    aWorld.Ask("platform", "/control/history?prefix=zones/"));
  BOOST_OUTCOME_TRY(calls, aWorld.Ask("platform", "/control/calls"));
  evidence evidence;
  evidence.mAttempts.assign(aWorld.Load().Attempts().begin(),
                            aWorld.Load().Attempts().end());
  evidence.mRuns = standin::ParseJournal(journal);
  evidence.mInterrupted = aWorld.Interrupted();
  evidence.mStopped = aWorld.Stopped();
  verdict found = Judge(evidence);
  AddEndpointCounts(json::parse(summary), found);
  AddHistory(JudgeHistory(ReadHistory(history)), found);
  AddStoreCalls(json::parse(calls), found);
  AddLateWork(aWorld, evidence, found);
  if (aWorld.InForce()) {
    found.mValues["in-force-ms"] =
      static_cast<double>(aWorld.InForce()->count());
  }
  return found;
}

void
PrintReport(const verdict& aVerdict, std::ostream& aOut)
{
  constexpr int kNameWidth = 18;
  constexpr int kValueWidth = 8;
  for (const report_row& row : kRows) {
    const auto found = aVerdict.mValues.find(row.mName);
    if (found != aVerdict.mValues.end()) {
      aOut << "  " << std::left << std::setw(kNameWidth) << row.mName
           << std::right << std::fixed << std::setprecision(0)
           << std::setw(kValueWidth) << found->second << "  " << row.mMeaning
           << '\n';
    }
  }
  for (const auto& [reason, count] : aVerdict.mReasons) {
    aOut << "  " << std::setw(kNameWidth + kValueWidth) << count << "  "
         << reason << '\n';
  }
  constexpr std::size_t kMostFindings = 20;
  const std::size_t shown = std::min(kMostFindings, aVerdict.mFindings.size());
  for (std::size_t i = 0; i < shown; ++i) {
    aOut << "  ! " << aVerdict.mFindings[i] << '\n';
  }
  if (shown < aVerdict.mFindings.size()) {
    aOut << "  ! and " << aVerdict.mFindings.size() - shown << " more\n";
  }
}

} // namespace mangospan::scenario
