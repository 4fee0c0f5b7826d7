// Judges a run from the stand-ins' own records, not from the entries' word.
//
//   const verdict found = Judge(evidence);
//   found.mValues.at("lost");
#ifndef TESTING_SCENARIO_VERDICT_H
#define TESTING_SCENARIO_VERDICT_H

#include <map>
#include <set>
#include <string>
#include <vector>

#include "testing/endpoint/journal.h"
#include "testing/scenario/attempt.h"

namespace mangospan::scenario {

struct evidence
{
  std::vector<attempt> mAttempts;
  std::vector<standin::run> mRuns;
  std::set<std::string> mInterrupted; // processes that were killed or frozen
  std::set<std::string> mStopped;     // processes that were stopped gracefully
};

struct verdict
{
  // Counts by name: sent, answered, refused, unknown, not-connected, no-answer,
  // lost, doubled, cut, untrue-not-run, crossed, ran, and latencies in
  // milliseconds p50-ms, p99-ms.
  std::map<std::string, double> mValues;
  // One line for each lost, doubled, crossed or untruly refused request.
  std::vector<std::string> mFindings;
  // How many attempts ended without an answer, by entry and reason.
  std::map<std::string, int> mReasons;
};

verdict
Judge(const evidence& aEvidence);

} // namespace mangospan::scenario

#endif // TESTING_SCENARIO_VERDICT_H
