#include "mangospan/fleet/drain_acknowledgements.h"

#include <iterator>

namespace mangospan::fleet {

namespace {

bool
IsDraining(const hosts_record& aRecord,
           const host_name& aHost,
           std::uint64_t aEpoch)
{
  const auto found = aRecord.mHosts.find(aHost);
  return found != aRecord.mHosts.end() &&
         found->second.mPhase == host_phase::kDraining &&
         found->second.mEpoch == aEpoch;
}

} // namespace

void
drain_acknowledgements::OnDrained(const view::entry_id& aEntry,
                                  const wire::emptied_host& aHost,
                                  const hosts_record& aRecord)
{
  if (!IsDraining(aRecord, aHost.mHost, aHost.mEpoch)) {
    return;
  }
  drain& each = mDrains[aHost.mHost];
  if (each.mEpoch != aHost.mEpoch) {
    each = { aHost.mEpoch, {} };
  }
  each.mAcknowledgedBy.insert(aEntry);
}

std::vector<view::entry_id>
drain_acknowledgements::MissingEntries(
  const host_name& aHost,
  std::uint64_t aEpoch,
  const std::vector<view::entry_member>& aMembers) const
{
  const auto found = mDrains.find(aHost);
  const bool known = found != mDrains.end() && found->second.mEpoch == aEpoch;
  std::vector<view::entry_id> missing;
  for (const view::entry_member& member : aMembers) {
    if (!known || found->second.mAcknowledgedBy.count(member.mId) == 0) {
      missing.push_back(member.mId);
    }
  }
  return missing;
}

void
drain_acknowledgements::Prune(const hosts_record& aRecord)
{
  for (auto each = mDrains.begin(); each != mDrains.end();) {
    each = IsDraining(aRecord, each->first, each->second.mEpoch)
             ? std::next(each)
             : mDrains.erase(each);
  }
}

} // namespace mangospan::fleet
