// The invariants of the fake fleet, checked after every change of the store.
#include "mangospan/fleet/testing/fake_fleet.h"

#include <algorithm>

namespace mangospan::fleet::testing {

namespace {

// Permits may be granted from a replaced budget for up to this time.
constexpr milliseconds kMaxBudgetAge{ 4000 };
// A process may base its decisions on a host list of up to this age.
constexpr milliseconds kMaxHostListAge{ 2000 };

// Returns true if the host is out of service for a planned purpose. A host that
// has already moved to its target pool no longer counts.
bool
IsPlannedUnavailable(const host_record& aRecord)
{
  return aRecord.mPhase != host_phase::kServing &&
         aRecord.mPurpose != host_purpose::kNone &&
         !(aRecord.mPurpose == host_purpose::kMove &&
           aRecord.mPool == aRecord.mTarget);
}

bool
HasPermit(const budget_record& aBudget,
          const zone_name& aZone,
          const host_name& aHost)
{
  const auto share = aBudget.mZones.find(aZone);
  return share != aBudget.mZones.end() &&
         std::any_of(
           share->second.mPermits.begin(),
           share->second.mPermits.end(),
           [&](const permit& aPermit) { return aPermit.mHost == aHost; });
}

// Returns true if a host may change from one record to the other. A change of
// phase may change the pool only from stopping to starting, and increments the
// epoch only when the host returns to service.
bool
IsValidTransition(const host_record& aOld, const host_record& aNew)
{
  using phase = host_phase;
  static const std::map<phase, std::set<phase>> kNextPhases{
    { phase::kServing, { phase::kDraining, phase::kStarting } },
    { phase::kDraining,
      { phase::kServing, phase::kStopping, phase::kRebooting } },
    { phase::kStopping, { phase::kDrained, phase::kStarting } },
    { phase::kRebooting, { phase::kStarting } },
    { phase::kDrained, { phase::kStarting } },
    { phase::kStarting, { phase::kServing } },
  };
  if (aOld.mPhase == aNew.mPhase) {
    return aOld.mPool == aNew.mPool && aOld.mEpoch == aNew.mEpoch;
  }
  const bool reassigned =
    aOld.mPhase == phase::kStopping && aNew.mPhase == phase::kStarting;
  const bool returned = aNew.mPhase == phase::kServing;
  return kNextPhases.at(aOld.mPhase).count(aNew.mPhase) != 0 &&
         (reassigned || aOld.mPool == aNew.mPool) &&
         aNew.mEpoch == aOld.mEpoch + (returned ? 1 : 0);
}

} // namespace

void
fake_fleet::OnStoreChange(const platform::change& aChange)
{
  for (std::size_t i = 0; i < mOptions.mZones; ++i) {
    if (aChange.mRecord.mKey == HostsKey(Zone(i))) {
      CheckHosts(Zone(i),
                 ParseHosts(aChange.mRecord.mValue, "hosts").assume_value());
      CheckPermits();
    }
  }
  if (aChange.mRecord.mKey.rfind(kPoolsPrefix, 0) == 0) {
    CheckPermits();
  }
}

void
fake_fleet::CheckPermits()
{
  std::map<pool_name, budget_record> budgets;
  for (const auto& [zone, record] : mLastHosts) {
    for (const auto& [host, each] : record.mHosts) {
      if (!IsPlannedUnavailable(each)) {
        continue;
      }
      const auto budget =
        budgets.try_emplace(each.mPool, Budget(each.mPool)).first;
      if (!HasPermit(budget->second, zone, host)) {
        AddViolation("host " + host.Str() +
                     " is out of service without a permit");
      }
    }
  }
}

void
fake_fleet::CheckHosts(const zone_name& aZone, const hosts_record& aNext)
{
  const hosts_record old = std::exchange(mLastHosts[aZone], aNext);
  if (aNext.mTerm < old.mTerm) {
    AddViolation("the hosts record was written under an older term");
  }
  for (const auto& [host, record] : old.mHosts) {
    const auto found = aNext.mHosts.find(host);
    if (found == aNext.mHosts.end()) {
      if (mEverKilled.count(host) == 0) {
        AddViolation("host " + host.Str() +
                     " was removed from the hosts record");
      }
      continue;
    }
    if (!IsValidTransition(record, found->second)) {
      AddViolation("host " + host.Str() + " made an invalid change from " +
                   Name(record.mPhase) + " to " + Name(found->second.mPhase));
    }
    mMoveCount += record.mPool == found->second.mPool ? 0 : 1;
    if (record.mPhase == host_phase::kServing &&
        found->second.mPhase == host_phase::kDraining) {
      ++mDrainCount;
      CheckBudget(aZone, host, found->second);
    }
  }
}

void
fake_fleet::CheckActionRecorded(const platform::action_request& aRequest)
{
  for (const auto& [zone, record] : mLastHosts) {
    const auto host = record.mHosts.find(aRequest.mHost);
    if (host != record.mHosts.end() &&
        host->second.mHostActionId == aRequest.mId) {
      return;
    }
  }
  AddViolation("an action on host " + aRequest.mHost.Str() +
               " was started before it was recorded");
}

void
fake_fleet::CheckBudget(const zone_name& aZone,
                        const host_name& aHost,
                        const host_record& aRecord)
{
  if (!HasPermit(Budget(aRecord.mPool), aZone, aHost)) {
    AddViolation("host " + aHost.Str() + " drains without a permit");
  }
  // A host that is down is unavailable already, so its drain does not add to
  // the unavailable hosts.
  if (WasRecentlyDown(aHost)) {
    mDrainedWhileDown.insert(aHost);
    return;
  }
  mDrainedWhileDown.erase(aHost);
  std::size_t unavailable = 0;
  std::size_t hosts = 0;
  for (const auto& [zone, record] : mLastHosts) {
    for (const auto& [host, each] : record.mHosts) {
      if (each.mPool == aRecord.mPool) {
        ++hosts;
        unavailable +=
          IsPlannedUnavailable(each) && mDrainedWhileDown.count(host) == 0 ? 1
                                                                           : 0;
      }
    }
  }
  if (unavailable > MaxUnavailable(hosts)) {
    AddViolation(
      "pool " + aRecord.mPool.Str() +
      " exceeds its budget, unavailable hosts: " + std::to_string(unavailable) +
      ", allowed: " + std::to_string(MaxUnavailable(hosts)));
  }
}

bool
fake_fleet::WasRecentlyDown(const host_name& aHost) const
{
  const auto restored = mRestoredAt.find(aHost);
  return mHosts.At(aHost).mState != platform::host_state::kLive ||
         (restored != mRestoredAt.end() &&
          mEvents.Now() - restored->second <= kMaxHostListAge);
}

std::size_t
fake_fleet::MaxUnavailable(std::size_t aHosts) const
{
  std::size_t maxAllowed = 0;
  for (auto each = mBudgetsApplied.rbegin(); each != mBudgetsApplied.rend();
       ++each) {
    config::availability_budget budget;
    budget.mCount = each->second;
    maxAllowed = std::max(maxAllowed, budget.Allowed(aHosts));
    if (mEvents.Now() - each->first > kMaxBudgetAge) {
      break;
    }
  }
  return maxAllowed;
}

void
fake_fleet::AddViolation(const std::string& aWhat)
{
  mViolations.push_back(
    aWhat + " at " +
    std::to_string(std::chrono::duration_cast<milliseconds>(
                     mEvents.Now().time_since_epoch() - std::chrono::hours(1))
                     .count()) +
    " ms");
}

} // namespace mangospan::fleet::testing
