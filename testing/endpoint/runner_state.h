// One runner's rules, without any I/O: what it serves, its slots, its faults
// and the violations that it has seen.
//
//   runner_state runner(host);
//   if (runner.Admit(service) == admission::kRun) {
//     runner.Begin(index);
//   }
#ifndef TESTING_ENDPOINT_RUNNER_STATE_H
#define TESTING_ENDPOINT_RUNNER_STATE_H

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string_view>

#include "mangospan/base/identity.h"
#include "mangospan/platform/hosts.h"
#include "testing/endpoint/journal.h"

namespace mangospan::standin {

enum class admission
{
  kRun,
  kOverSlots,    // a violation: more requests than slots
  kWrongService, // a violation: another service's request
};

enum class fault_kind
{
  kNone,
  kLate,      // answers after an additional delay
  kCutAnswer, // runs, answers half
  kRefuse,    // neither accepts connections nor runs anything
  kFreeze,    // takes requests, runs none until the fault is cleared
  kHang,      // runs requests, answers none until the fault is cleared
  kFail,      // runs, answers 500
  kCrossed,   // an unsolicited copy follows each answer
  kKill,      // ends what runs, then as kRefuse
};

std::optional<fault_kind>
ParseFaultKind(std::string_view aName);

struct runner_fault
{
  fault_kind mKind = fault_kind::kNone;
  std::chrono::milliseconds mDelay{ 0 }; // of kLate
};

struct violation_counts
{
  std::uint64_t mOverSlots = 0;
  std::uint64_t mWrongService = 0;
};

class runner_state
{
public:
  explicit runner_state(const platform::host_info& aHost);

  const host_name& Host() const { return mHost; }
  const service_name& Service() const { return mService; }
  bool Running() const { return !mService.Empty(); }

  // Serves `aService` from now on; no effect on requests in flight.
  void Start(const service_name& aService) { mService = aService; }
  // Serves nothing; returns what was in flight and forgets it.
  std::set<run_index> Stop();

  // Whether a request for `aService` may run now; counts violations.
  admission Admit(const service_name& aService);
  void Begin(run_index aIndex) { mInFlight.insert(aIndex); }
  // False if the request had been ended by Stop.
  bool End(run_index aIndex) { return mInFlight.erase(aIndex) > 0; }

  const runner_fault& Fault() const { return mFault; }
  void SetFault(runner_fault aFault) { mFault = aFault; }
  const violation_counts& Violations() const { return mViolations; }

private:
  host_name mHost;
  service_name mService;
  std::size_t mSlots;
  std::set<run_index> mInFlight;
  runner_fault mFault;
  violation_counts mViolations;
};

} // namespace mangospan::standin

#endif // TESTING_ENDPOINT_RUNNER_STATE_H
