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
    const auto old = mMembers.find(each.mId);
    members[each.mId] = old != mMembers.end() ? old->second : !aInherited;
  }
  mMembers = std::move(members);
  for (auto& [host, endpoint] : mEndpoints) {
    for (auto each = endpoint.mCells.begin(); each != endpoint.mCells.end();) {
      each = mMembers.count(each->first) == 0 ? endpoint.mCells.erase(each)
                                              : std::next(each);
    }
  }
}

void
share_allocation::SetHeld(const view::entry_id& aEntry,
                          const std::vector<wire::held_share>& aShares)
{
  const auto member = mMembers.find(aEntry);
  if (member == mMembers.end() || member->second) {
    return;
  }
  member->second = true;
  for (const wire::held_share& share : aShares) {
    cell& each = mEndpoints[share.mHost].mCells[aEntry];
    each.mListed = share.mSlots;
    each.mMost = std::max(each.mMost, share.mSlots);
  }
}

bool
share_allocation::Known(const view::entry_id& aEntry) const
{
  const auto member = mMembers.find(aEntry);
  return member != mMembers.end() && member->second;
}

bool
share_allocation::AllKnown() const
{
  return std::all_of(mMembers.begin(), mMembers.end(), [](const auto& aEach) {
    return aEach.second;
  });
}

std::size_t
share_allocation::Target(const shared_endpoint& aEndpoint,
                         std::size_t aIndex,
                         std::size_t aMembers)
{
  if (!aEndpoint.mServing) {
    return 0;
  }
  // The remainder goes to other entries at each endpoint.
  const std::size_t turn = std::hash<host_name>()(aEndpoint.mHost);
  const std::size_t place = (aIndex + turn) % aMembers;
  return aEndpoint.mSlots / aMembers +
         (place < aEndpoint.mSlots % aMembers ? 1 : 0);
}

std::map<host_name, std::vector<view::slot_share>>
share_allocation::Allocate(const std::vector<shared_endpoint>& aEndpoints,
                           std::uint64_t aSequence)
{
  WithdrawAbsent(aEndpoints, aSequence);
  std::map<host_name, std::vector<view::slot_share>> shares;
  for (const shared_endpoint& endpoint : aEndpoints) {
    shares[endpoint.mHost] = AllocateOne(endpoint, aSequence);
  }
  return shares;
}

void
share_allocation::WithdrawAbsent(const std::vector<shared_endpoint>& aEndpoints,
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
    SetUse(each->second, endpoint_use::kAbsent);
    bool held = false;
    for (auto& [entry, cell] : each->second.mCells) {
      if (cell.mListed != 0) {
        cell.mListed = 0;
        cell.mSince = aSequence;
      }
      held = held || cell.mMost != 0;
    }
    each = held ? std::next(each) : mEndpoints.erase(each);
  }
}

void
share_allocation::SetUse(endpoint_cells& aEndpoint, endpoint_use aUse)
{
  if (aEndpoint.mUse == aUse) {
    return;
  }
  aEndpoint.mUse = aUse;
  for (auto& [entry, each] : aEndpoint.mCells) {
    each.mEmptied = false;
  }
}

std::vector<view::slot_share>
share_allocation::AllocateOne(const shared_endpoint& aEndpoint,
                              std::uint64_t aSequence)
{
  endpoint_cells& endpoint = mEndpoints[aEndpoint.mHost];
  SetUse(endpoint,
         aEndpoint.mServing ? endpoint_use::kServing : endpoint_use::kDraining);
  std::size_t taken = 0;
  for (const auto& [entry, known] : mMembers) {
    const cell& each = endpoint.mCells[entry];
    taken += std::max(each.mMost, each.mListed);
  }
  const bool mayGrow = AllKnown();
  std::vector<view::slot_share> shares;
  std::size_t index = 0;
  for (const auto& [entry, known] : mMembers) {
    cell& each = endpoint.mCells[entry];
    const std::size_t target = Target(aEndpoint, index++, mMembers.size());
    const std::size_t most = std::max(each.mMost, each.mListed);
    const std::size_t room =
      aEndpoint.mSlots > taken ? aEndpoint.mSlots - taken : 0;
    const std::size_t ceiling = mayGrow ? most + room : each.mListed;
    const std::size_t listed = std::min(target, ceiling);
    if (listed != each.mListed) {
      each.mListed = listed;
      each.mSince = aSequence;
    }
    each.mMost = std::max(most, listed);
    taken += each.mMost - most;
    if (listed > 0) {
      shares.push_back({ entry, listed });
    }
  }
  return shares;
}

void
share_allocation::Settle(const endpoint_cells& aEndpoint, cell& aCell)
{
  if (aEndpoint.mUse != endpoint_use::kDraining || aCell.mEmptied) {
    aCell.mMost = aCell.mListed;
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
    const auto found = endpoint.mCells.find(aEntry);
    if (found != endpoint.mCells.end() &&
        found->second.mSince <= acknowledged) {
      Settle(endpoint, found->second);
    }
  }
}

void
share_allocation::OnEmptied(const view::entry_id& aEntry,
                            const host_name& aHost)
{
  const auto endpoint = mEndpoints.find(aHost);
  if (endpoint == mEndpoints.end()) {
    return;
  }
  const auto found = endpoint->second.mCells.find(aEntry);
  if (found == endpoint->second.mCells.end()) {
    return;
  }
  found->second.mEmptied = true;
  const auto acknowledged = mAcknowledged.find(aEntry);
  if (acknowledged != mAcknowledged.end() &&
      found->second.mSince <= acknowledged->second) {
    Settle(endpoint->second, found->second);
  }
}

} // namespace mangospan::fleet
