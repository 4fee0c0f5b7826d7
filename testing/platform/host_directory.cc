#include "testing/platform/host_directory.h"

#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "mangospan/base/error.h"
#include "mangospan/base/identity.h"
#include "mangospan/base/time.h"
#include "mangospan/platform/hosts.h"

namespace mangospan::standin {

using platform::host_info;

host_directory::host_directory(const std::vector<host_info>& aHosts,
                               std::chrono::milliseconds aLag)
  : mLag(aLag)
{
  for (const host_info& host : aHosts) {
    mTrue[host.mHost] = host;
  }
  mShown = mTrue;
}

const host_info*
host_directory::Find(const host_name& aHost) const
{
  const auto found = mTrue.find(aHost);
  return found == mTrue.end() ? nullptr : &found->second;
}

template<typename Change>
status
host_directory::Apply(const host_name& aHost, time_point aNow, Change aChange)
{
  const auto found = mTrue.find(aHost);
  if (found == mTrue.end()) {
    return error{
      error_code::kNotFound, "host.change", aHost.Str(), "no such host"
    };
  }
  aChange(found->second);
  mPending.push_back({ aNow + mLag, found->second });
  return boost::outcome_v2::success();
}

status
host_directory::SetState(const host_name& aHost,
                         platform::host_state aState,
                         time_point aNow)
{
  return Apply(aHost, aNow, [&](host_info& aInfo) { aInfo.mState = aState; });
}

status
host_directory::SetService(const host_name& aHost,
                           const service_name& aService,
                           time_point aNow)
{
  return Apply(
    aHost, aNow, [&](host_info& aInfo) { aInfo.mService = aService; });
}

status
host_directory::CountBoot(const host_name& aHost, time_point aNow)
{
  return Apply(aHost, aNow, [](host_info& aInfo) { ++aInfo.mBootCount; });
}

platform::host_list
host_directory::List(platform::revision aKnown, time_point aNow)
{
  while (!mPending.empty() && mPending.front().mShows <= aNow) {
    mShown[mPending.front().mHost.mHost] = mPending.front().mHost;
    mPending.pop_front();
    ++mRevision;
  }
  platform::host_list list;
  list.mRevision = mRevision;
  if (aKnown == mRevision) {
    return list;
  }
  for (const auto& [name, host] : mShown) {
    list.mHosts.push_back(host);
  }
  return list;
}

bool
action_ledger::Begin(const std::string& aId)
{
  return mStatuses
    .emplace(aId,
             platform::action_status{ platform::action_state::kPending, "" })
    .second;
}

void
action_ledger::Finish(const std::string& aId, platform::action_status aStatus)
{
  mStatuses[aId] = std::move(aStatus);
}

platform::action_status
action_ledger::Status(const std::string& aId) const
{
  const auto found = mStatuses.find(aId);
  return found == mStatuses.end()
           ? platform::action_status{ platform::action_state::kFailed,
                                      "no such action" }
           : found->second;
}

} // namespace mangospan::standin
