#include "mangospan/fleet/permit_demand.h"

#include <algorithm>

namespace mangospan::fleet {

namespace {

// Returns the rank of a permit request: operators' drains have the lowest rank
// and are served first, then maintenance, then moves.
int
PermitRank(host_purpose aPurpose)
{
  switch (aPurpose) {
    case host_purpose::kOperatorDrain:
      return 0;
    case host_purpose::kMaintenance:
      return 1;
    default:
      return 2;
  }
}

bool
IsUp(const host_record& aRecord, const platform::host_info* aHost)
{
  return aRecord.mPhase == host_phase::kServing && aHost != nullptr &&
         aHost->mState == platform::host_state::kLive;
}

} // namespace

bool
IsJoining(const host_record& aRecord)
{
  return aRecord.mPurpose == host_purpose::kMove &&
         aRecord.mPool == aRecord.mTarget &&
         aRecord.mPhase != host_phase::kServing;
}

permit_demands
ComputePermitDemands(const zone_hosts& aHosts,
                     const config::document& aDocument,
                     const host_intents& aIntents,
                     std::int64_t aUtcSeconds)
{
  permit_demands demands;
  for (const config::pool& pool : aDocument.mPools) {
    demands[pool.mName].mBudget = pool.mMaxUnavailable;
  }
  for (const auto& [host, record] : aHosts.Record().mHosts) {
    if (IsJoining(record)) {
      continue;
    }
    permit_demand& demand = demands[record.mPool];
    ++demand.mHostCount;
    const auto intent = aIntents.find(host);
    const bool up = IsUp(record, aHosts.Find(host));
    if (record.mPhase != host_phase::kServing &&
        record.mPurpose != host_purpose::kNone) {
      demand.mHeldPermits.push_back(
        { host, record.mPurpose, aUtcSeconds, record.mFailed });
    } else if (!up && intent != aIntents.end() &&
               intent->second.mPurpose != host_purpose::kMove) {
      // The host already counts as down, so its permit uses no more of the
      // budget.
      demand.mHeldPermits.push_back(
        { host, intent->second.mPurpose, aUtcSeconds, false });
    } else if (!up) {
      demand.mDownHosts.push_back(host);
    } else if (intent != aIntents.end()) {
      demand.mRequestedPermits.push_back(
        { host, intent->second.mPurpose, aUtcSeconds, false });
    }
  }
  for (auto& [pool, demand] : demands) {
    std::stable_sort(demand.mRequestedPermits.begin(),
                     demand.mRequestedPermits.end(),
                     [](const permit& aLeft, const permit& aRight) {
                       return PermitRank(aLeft.mPurpose) <
                              PermitRank(aRight.mPurpose);
                     });
  }
  return demands;
}

} // namespace mangospan::fleet
