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
  for (const auto& [name, value] : aVerdict.mValues) {
    aOut << "  " << std::left << std::setw(kNameWidth) << name << std::fixed
         << std::setprecision(0) << value << '\n';
  }
  constexpr std::size_t kMostFindings = 20;
  for (std::size_t i = 0;
       i < std::min(kMostFindings, aVerdict.mFindings.size());
       ++i) {
    aOut << "  ! " << aVerdict.mFindings[i] << '\n';
  }
  if (aVerdict.mFindings.size() > kMostFindings) {
    aOut << "  ! and " << aVerdict.mFindings.size() - kMostFindings
         << " more\n";
  }
}

} // namespace mangospan::scenario
