#include "mangospan/fleet/membership.h"

#include <algorithm>

namespace mangospan::fleet {

namespace {

bool
SameMembers(const std::vector<view::entry_member>& aLeft,
            const std::vector<view::entry_member>& aRight)
{
  return std::equal(aLeft.begin(),
                    aLeft.end(),
                    aRight.begin(),
                    aRight.end(),
                    [](const auto& aOne, const auto& aOther) {
                      return aOne.mId == aOther.mId &&
                             aOne.mPeerAddress == aOther.mPeerAddress;
                    });
}

} // namespace

membership::membership(const zone_name& aZone, const settings& aSettings)
  : mSettings(aSettings)
  , mRecord(EntriesKey(aZone),
            store_purpose::kEntries,
            aSettings.mStoreRetry,
            aSettings.mStoreRetryMax)
{
}

void
membership::Start(action_queue& aQueue)
{
  Stop();
  mRecord.Load(aQueue);
}

void
membership::Stop()
{
  mRecord.Reset();
  mConfirmed = {};
  // A hello of an earlier term may come from a run of the entry that has been
  // replaced since. Entries say hello again to each new holder of the lease. A
  // shutdown notice stays valid because a run that has stopped never returns.
  mPending.clear();
  mGoneSince.clear();
}

void
membership::OnHello(const view::entry_member& aMember)
{
  mPending[aMember.mId.mHost] = aMember;
  mGoneSince.erase(aMember.mId.mHost);
}

void
membership::OnShutdown(const view::entry_id& aEntry)
{
  const auto pending = mPending.find(aEntry.mHost);
  if (pending != mPending.end() && pending->second.mId == aEntry) {
    mPending.erase(pending);
  }
  mDeparted.insert(aEntry);
}

void
membership::OnMessage(const view::entry_id& aEntry)
{
  if (IsRegistered(aEntry)) {
    mGoneSince.erase(aEntry.mHost);
  }
}

void
membership::OnHostList(const std::vector<platform::host_info>& aHosts,
                       time_point aNow)
{
  std::set<host_name> present;
  for (const platform::host_info& host : aHosts) {
    if (host.mState != platform::host_state::kGone) {
      present.insert(host.mHost);
    }
  }
  for (const view::entry_member& member : mConfirmed.mEntries) {
    const host_name& host = member.mId.mHost;
    if (present.count(host) != 0) {
      mGoneSince.erase(host);
    } else {
      mGoneSince.try_emplace(host, aNow);
    }
  }
}

record_event
membership::OnResult(call_id aCall,
                     const store_result& aResult,
                     time_point aNow,
                     action_queue& aQueue)
{
  const record_event event = mRecord.OnResult(aCall, aResult, aNow, aQueue);
  if (event != record_event::kNone) {
    auto parsed = ParseEntries(mRecord.Value(), EntriesKey({}));
    mConfirmed =
      parsed.has_value() ? std::move(parsed).assume_value() : entries_record{};
    std::sort(mConfirmed.mEntries.begin(),
              mConfirmed.mEntries.end(),
              [](const auto& aLeft, const auto& aRight) {
                return aLeft.mId < aRight.mId;
              });
  }
  return event;
}

std::vector<view::entry_member>
membership::DesiredEntries(time_point aNow) const
{
  std::map<host_name, view::entry_member> desired;
  for (const view::entry_member& member : mConfirmed.mEntries) {
    const auto gone = mGoneSince.find(member.mId.mHost);
    const bool expired =
      gone != mGoneSince.end() && aNow - gone->second >= mSettings.mEntryFence;
    if (!expired && mDeparted.count(member.mId) == 0) {
      desired[member.mId.mHost] = member;
    }
  }
  for (const auto& [host, member] : mPending) {
    if (mDeparted.count(member.mId) == 0) {
      desired[host] = member;
    }
  }
  std::vector<view::entry_member> list;
  list.reserve(desired.size());
  for (auto& [host, member] : desired) {
    list.push_back(std::move(member));
  }
  return list;
}

void
membership::Step(std::uint64_t aTerm,
                 write_ids& aIds,
                 time_point aNow,
                 action_queue& aQueue)
{
  mRecord.OnTick(aNow, aQueue);
  if (!mRecord.Idle()) {
    return;
  }
  std::vector<view::entry_member> desired = DesiredEntries(aNow);
  if (mConfirmed.mTerm == aTerm && SameMembers(desired, mConfirmed.mEntries)) {
    mPending.clear();
    mDeparted.clear();
    return;
  }
  mRecord.Write(
    ToText(entries_record{ aTerm, aIds.Next(), std::move(desired) }), aQueue);
}

bool
membership::IsTermStored(std::uint64_t aTerm) const
{
  return mRecord.Known() && mConfirmed.mTerm == aTerm;
}

bool
membership::IsRegistered(const view::entry_id& aEntry) const
{
  return std::any_of(
    mConfirmed.mEntries.begin(),
    mConfirmed.mEntries.end(),
    [&](const view::entry_member& aMember) { return aMember.mId == aEntry; });
}

std::vector<host_name>
membership::Unregistered() const
{
  std::vector<host_name> hosts;
  for (const auto& [host, member] : mPending) {
    if (!IsRegistered(member.mId)) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

} // namespace mangospan::fleet
