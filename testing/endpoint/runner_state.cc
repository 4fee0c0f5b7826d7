#include "testing/endpoint/runner_state.h"

#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <utility>

#include "mangospan/base/identity.h"
#include "mangospan/platform/hosts.h"
#include "testing/endpoint/journal.h"

namespace mangospan::standin {

std::optional<fault_kind>
ParseFaultKind(std::string_view aName)
{
  static const std::map<std::string_view, fault_kind> kKinds{
    { "none", fault_kind::kNone },
    { "late", fault_kind::kLate },
    { "cut-answer", fault_kind::kCutAnswer },
    { "refuse", fault_kind::kRefuse },
    { "freeze", fault_kind::kFreeze },
    { "hang", fault_kind::kHang },
    { "fail", fault_kind::kFail },
    { "crossed", fault_kind::kCrossed },
    { "kill", fault_kind::kKill },
  };
  const auto found = kKinds.find(aName);
  if (found == kKinds.end()) {
    return std::nullopt;
  }
  return found->second;
}

runner_state::runner_state(const platform::host_info& aHost)
  : mHost(aHost.mHost)
  , mService(aHost.mService)
  , mSlots(aHost.mSlots)
{
}

std::set<run_index>
runner_state::Stop()
{
  mService = service_name();
  return std::exchange(mInFlight, {});
}

admission
runner_state::Admit(const service_name& aService)
{
  if (aService != mService) {
    ++mViolations.mWrongService;
    return admission::kWrongService;
  }
  if (mInFlight.size() >= mSlots) {
    ++mViolations.mOverSlots;
    return admission::kOverSlots;
  }
  return admission::kRun;
}

} // namespace mangospan::standin
