#include "mangospan/fleet/actions.h"

#include <array>

namespace mangospan::fleet {

namespace {

constexpr std::array<const char*, 7> kPurposeNames{
  "leadership",   "hosts",         "entries", "budget",
  "silent-zones", "configuration", "status"
};

} // namespace

const char*
Name(store_purpose aPurpose)
{
  return kPurposeNames.at(static_cast<std::size_t>(aPurpose));
}

call_id
action_queue::AddStoreCall(store_purpose aPurpose, store_operation aOperation)
{
  ++mLastCallId;
  mActions.emplace_back(
    store_call{ mLastCallId, aPurpose, std::move(aOperation) });
  return mLastCallId;
}

call_id
action_queue::AddHostCall(platform::action_request aRequest)
{
  ++mLastCallId;
  mActions.emplace_back(host_call{ mLastCallId, std::move(aRequest) });
  return mLastCallId;
}

call_id
action_queue::AddListHostsCall(platform::revision aKnown)
{
  ++mLastCallId;
  mActions.emplace_back(list_hosts_call{ mLastCallId, aKnown });
  return mLastCallId;
}

void
action_queue::Push(action aAction)
{
  mActions.push_back(std::move(aAction));
}

actions
action_queue::Take()
{
  return std::exchange(mActions, {});
}

} // namespace mangospan::fleet
