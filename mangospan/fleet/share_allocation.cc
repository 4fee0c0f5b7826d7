#include "mangospan/fleet/share_allocation.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <set>
#include <utility>

namespace mangospan::fleet {

void
share_allocation::Reset()
{
  mEndpoints.clear();
  mMembers.clear();
  mAcknowledged.clear();
}

void
share_allocation::SetMembers(const std::vector<view::entry_member>& aMembers,
                             bool aInherited)
{
  std::map<view::entry_id, bool> members;
  for (const view::entry_member& each : aMembers) {
    const auto previous = mMembers.find(each.mId);
    members[each.mId] =
      previous != mMembers.end() ? previous->second : !aInherited;
  }
  mMembers = std::move(members);
  for (auto& [host, endpoint] : mEndpoints) {
    for (auto each = endpoint.mShares.begin();
         each != endpoint.mShares.end();) {
      each = mMembers.count(each->first) == 0 ? endpoint.mShares.erase(each)
                                              : std::next(each);
    }
  }
}

void
share_allocation::SetHeldShares(const view::entry_id& aEntry,
                                const std::vector<wire::held_share>& aShares)
{
  const auto member = mMembers.find(aEntry);
  if (member == mMembers.end() || member->second) {
    return;
  }
  member->second = true;
  for (const wire::held_share& share : aShares) {
    entry_share& current = mEndpoints[share.mHost].mShares[aEntry];
    current.mListed = share.mSlots;
    current.mMaxHeld = std::max(current.mMaxHeld, share.mSlots);
  }
}

bool
share_allocation::IsHoldingKnown(const view::entry_id& aEntry) const
{
  const auto member = mMembers.find(aEntry);
  return member != mMembers.end() && member->second;
}

bool
share_allocation::AreAllHoldingsKnown() const
{
  return std::all_of(mMembers.begin(), mMembers.end(), [](const auto& aEach) {
    return aEach.second;
  });
}

std::size_t
share_allocation::TargetSlots(const shared_endpoint& aEndpoint,
                              std::size_t aIndex,
                              std::size_t aMembers)
{
  if (!aEndpoint.mServing) {
    return 0;
  }
  // The offset depends on the host, so that the remainders of different
  // endpoints go to different entries.
  const std::size_t offset = std::hash<host_name>()(aEndpoint.mHost);
  const std::size_t position = (aIndex + offset) % aMembers;
  return aEndpoint.mSlots / aMembers +
         (position < aEndpoint.mSlots % aMembers ? 1 : 0);
}

std::map<host_name, std::vector<view::slot_share>>
share_allocation::Allocate(const std::vector<shared_endpoint>& aEndpoints,
                           std::uint64_t aSequence)
{
  WithdrawAbsentEndpoints(aEndpoints, aSequence);
  std::map<host_name, std::vector<view::slot_share>> shares;
  for (const shared_endpoint& endpoint : aEndpoints) {
    shares[endpoint.mHost] = AllocateEndpoint(endpoint, aSequence);
  }
  return shares;
}

void
share_allocation::WithdrawAbsentEndpoints(
  const std::vector<shared_endpoint>& aEndpoints,
  std::uint64_t aSequence)
{
  std::set<host_name> present;
  for (const shared_endpoint& endpoint : aEndpoints) {
    present.insert(endpoint.mHost);
  }
  for (auto each = mEndpoints.begin(); each != mEndpoints.end();) {
    if (present.count(each->first) != 0) {
      ++each;
      continue;
    }
    SetEndpointUse(each->second, endpoint_use::kAbsent);
    bool isHeld = false;
    for (auto& [entry, share] : each->second.mShares) {
      if (share.mListed != 0) {
        share.mListed = 0;
        share.mListedSince = aSequence;
      }
      isHeld = isHeld || share.mMaxHeld != 0;
    }
    each = isHeld ? std::next(each) : mEndpoints.erase(each);
  }
}

void
share_allocation::SetEndpointUse(endpoint_shares& aEndpoint, endpoint_use aUse)
{
  if (aEndpoint.mUse == aUse) {
    return;
  }
  aEndpoint.mUse = aUse;
  for (auto& [entry, share] : aEndpoint.mShares) {
    share.mDrained = false;
  }
}

std::vector<view::slot_share>
share_allocation::AllocateEndpoint(const shared_endpoint& aEndpoint,
                                   std::uint64_t aSequence)
{
  endpoint_shares& endpoint = mEndpoints[aEndpoint.mHost];
  SetEndpointUse(endpoint,
                 aEndpoint.mServing ? endpoint_use::kServing
                                    : endpoint_use::kDraining);
  std::size_t reserved = 0;
  for (const auto& [entry, isKnown] : mMembers) {
    const entry_share& share = endpoint.mShares[entry];
    reserved += std::max(share.mMaxHeld, share.mListed);
  }
  const bool mayGrow = AreAllHoldingsKnown();
  std::vector<view::slot_share> shares;
  std::size_t index = 0;
  for (const auto& [entry, isKnown] : mMembers) {
    entry_share& share = endpoint.mShares[entry];
    const std::size_t target = TargetSlots(aEndpoint, index++, mMembers.size());
    const std::size_t maxHeld = std::max(share.mMaxHeld, share.mListed);
    const std::size_t freeSlots =
      aEndpoint.mSlots > reserved ? aEndpoint.mSlots - reserved : 0;
    const std::size_t maxListed = mayGrow ? maxHeld + freeSlots : share.mListed;
    const std::size_t listed = std::min(target, maxListed);
    if (listed != share.mListed) {
      share.mListed = listed;
      share.mListedSince = aSequence;
    }
    share.mMaxHeld = std::max(maxHeld, listed);
    reserved += share.mMaxHeld - maxHeld;
    if (listed > 0) {
      shares.push_back({ entry, listed });
    }
  }
  return shares;
}

void
share_allocation::ReleaseWithdrawnSlots(const endpoint_shares& aEndpoint,
                                        entry_share& aShare)
{
  if (aEndpoint.mUse != endpoint_use::kDraining || aShare.mDrained) {
    aShare.mMaxHeld = aShare.mListed;
  }
}

void
share_allocation::OnAcknowledged(const view::entry_id& aEntry,
                                 std::uint64_t aSequence)
{
  const auto member = mMembers.find(aEntry);
  if (member == mMembers.end()) {
    return;
  }
  member->second = true;
  std::uint64_t& acknowledged = mAcknowledged[aEntry];
  acknowledged = std::max(acknowledged, aSequence);
  for (auto& [host, endpoint] : mEndpoints) {
    const auto found = endpoint.mShares.find(aEntry);
    if (found != endpoint.mShares.end() &&
        found->second.mListedSince <= acknowledged) {
      ReleaseWithdrawnSlots(endpoint, found->second);
    }
  }
}

void
share_allocation::OnDrained(const view::entry_id& aEntry,
                            const host_name& aHost)
{
  const auto endpoint = mEndpoints.find(aHost);
  if (endpoint == mEndpoints.end()) {
    return;
  }
  const auto found = endpoint->second.mShares.find(aEntry);
  if (found == endpoint->second.mShares.end()) {
    return;
  }
  found->second.mDrained = true;
  const auto acknowledged = mAcknowledged.find(aEntry);
  if (acknowledged != mAcknowledged.end() &&
      found->second.mListedSince <= acknowledged->second) {
    ReleaseWithdrawnSlots(endpoint->second, found->second);
  }
}

} // namespace mangospan::fleet
