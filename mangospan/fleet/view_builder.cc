#include "mangospan/fleet/view_builder.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace mangospan::fleet {

namespace {

bool
IsListed(const host_record& aRecord, const platform::host_info* aHost)
{
  const bool inService = aRecord.mPhase == host_phase::kServing ||
                         aRecord.mPhase == host_phase::kDraining;
  return inService && aHost != nullptr &&
         aHost->mState != platform::host_state::kGone;
}

bool
SameShares(const std::vector<view::slot_share>& aLeft,
           const std::vector<view::slot_share>& aRight)
{
  return std::equal(aLeft.begin(),
                    aLeft.end(),
                    aRight.begin(),
                    aRight.end(),
                    [](const auto& aOne, const auto& aOther) {
                      return aOne.mEntry == aOther.mEntry &&
                             aOne.mSlots == aOther.mSlots;
                    });
}

bool
SameEndpoint(const view::endpoint& aLeft, const view::endpoint& aRight)
{
  return std::tie(aLeft.mHost,
                  aLeft.mAddress,
                  aLeft.mPool,
                  aLeft.mService,
                  aLeft.mState,
                  aLeft.mEpoch) == std::tie(aRight.mHost,
                                            aRight.mAddress,
                                            aRight.mPool,
                                            aRight.mService,
                                            aRight.mState,
                                            aRight.mEpoch) &&
         SameShares(aLeft.mShares, aRight.mShares);
}

bool
SameMember(const view::entry_member& aLeft, const view::entry_member& aRight)
{
  return aLeft.mId == aRight.mId && aLeft.mPeerAddress == aRight.mPeerAddress;
}

} // namespace

view::zone_view
BuildView(const zone_name& aZone,
          const view::version& aVersion,
          const zone_hosts& aHosts,
          const config::document& aDocument,
          const std::vector<view::entry_member>& aMembers,
          share_allocation& aAllocation)
{
  view::zone_view view;
  view.mVersion = aVersion;
  view.mZone = aZone;
  view.mEntries = aMembers;
  std::vector<shared_endpoint> shared;
  for (const auto& [host, record] : aHosts.Record().mHosts) {
    const platform::host_info* info = aHosts.Find(host);
    const config::pool* pool = FindPool(aDocument, record.mPool);
    if (pool == nullptr || !IsListed(record, info)) {
      continue;
    }
    const bool serving = record.mPhase == host_phase::kServing &&
                         info->mState == platform::host_state::kLive;
    shared.push_back({ host, info->mSlots, serving });
    view.mEndpoints.push_back({ host,
                                info->mAddress,
                                record.mPool,
                                pool->mService,
                                serving ? view::endpoint_state::kServing
                                        : view::endpoint_state::kDraining,
                                record.mEpoch,
                                {} });
  }
  auto shares = aAllocation.Allocate(shared, aVersion.mSequence);
  for (view::endpoint& endpoint : view.mEndpoints) {
    endpoint.mShares = std::move(shares[endpoint.mHost]);
  }
  return view;
}

bool
SameContent(const view::zone_view& aLeft, const view::zone_view& aRight)
{
  return std::equal(aLeft.mEndpoints.begin(),
                    aLeft.mEndpoints.end(),
                    aRight.mEndpoints.begin(),
                    aRight.mEndpoints.end(),
                    SameEndpoint) &&
         std::equal(aLeft.mEntries.begin(),
                    aLeft.mEntries.end(),
                    aRight.mEntries.begin(),
                    aRight.mEntries.end(),
                    SameMember);
}

} // namespace mangospan::fleet
