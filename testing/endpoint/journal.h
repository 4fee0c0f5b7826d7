// Every request that the stand-in's runners have run, in order.
//
//   journal journal;
//   const run_index index = journal.Begin({ "r-1", host, service, "POST" },
//   now); journal.End(index, run_outcome::kCompleted, later);
#ifndef TESTING_ENDPOINT_JOURNAL_H
#define TESTING_ENDPOINT_JOURNAL_H

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "mangospan/base/identity.h"
#include "mangospan/base/time.h"

namespace mangospan::standin {

enum class run_outcome
{
  kRunning,
  kCompleted,
  kCutByStop, // the runner was stopped under it
  kKilled,    // the runner was killed under it, as the test asked
};

const char*
Name(run_outcome aOutcome);
std::optional<run_outcome>
ParseRunOutcome(const std::string& aName);

struct run
{
  std::string mRequest;
  host_name mRunner;
  service_name mService;
  std::string mMethod;
  std::size_t mBodyHash = 0;
  time_point mStart;
  time_point mEnd;
  run_outcome mOutcome = run_outcome::kRunning;
};

using run_index = std::size_t;

class journal
{
public:
  run_index Begin(run aRun, time_point aNow);
  void End(run_index aIndex, run_outcome aOutcome, time_point aNow);

  const std::vector<run>& Runs() const { return mRuns; }
  std::size_t Count(run_outcome aOutcome) const;

private:
  std::vector<run> mRuns;
};

// The journal as JSON, and back.
std::string
FormatJournal(const std::vector<run>& aRuns);
std::vector<run>
ParseJournal(const std::string& aText);

} // namespace mangospan::standin

#endif // TESTING_ENDPOINT_JOURNAL_H
