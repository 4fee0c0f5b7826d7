// The checks of the fake fleet: what must hold after every change.
#include "mangospan/fleet/testing/fake_fleet.h"

#include <algorithm>

namespace mangospan::fleet::testing {

namespace {

// Budgets that were in force this recently may still be granted from.
constexpr milliseconds kBudgetLag{ 4000 };
// A process may decide by a host list of this age.
constexpr milliseconds kListAge{ 2000 };

bool
PlannedOut(const host_record& aRecord)
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

bool
MayFollow(const host_record& aOld, const host_record& aNew)
{
  using phase = host_phase;
  static const std::map<phase, std::set<phase>> kNext{
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
  return kNext.at(aOld.mPhase).count(aNew.mPhase) != 0 &&
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
      CheckCounted();
    }
  }
  if (aChange.mRecord.mKey.rfind(kPoolsPrefix, 0) == 0) {
    CheckCounted();
  }
}

// Every host that is out as planned holds a permit in its pool's budget.
void
fake_fleet::CheckCounted()
{
  std::map<pool_name, budget_record> budgets;
  for (const auto& [zone, record] : mLastHosts) {
    for (const auto& [host, each] : record.mHosts) {
      if (!PlannedOut(each)) {
        continue;
      }
      const auto budget =
        budgets.try_emplace(each.mPool, Budget(each.mPool)).first;
      if (!HasPermit(budget->second, zone, host)) {
        Violate("host " + host.Str() + " is out without a permit");
      }
    }
  }
}

void
fake_fleet::CheckHosts(const zone_name& aZone, const hosts_record& aNext)
{
  const hosts_record old = std::exchange(mLastHosts[aZone], aNext);
  if (aNext.mTerm < old.mTerm) {
    Violate("the hosts' record was written under an old term");
  }
  for (const auto& [host, record] : old.mHosts) {
    const auto found = aNext.mHosts.find(host);
    if (found == aNext.mHosts.end()) {
      if (mEverKilled.count(host) == 0) {
        Violate("host " + host.Str() + " was dropped");
      }
      continue;
    }
    if (!MayFollow(record, found->second)) {
      Violate("host " + host.Str() + " went from " + Name(record.mPhase) +
              " to " + Name(found->second.mPhase));
    }
    mMoves += record.mPool == found->second.mPool ? 0 : 1;
    if (record.mPhase == host_phase::kServing &&
        found->second.mPhase == host_phase::kDraining) {
      ++mDrains;
      CheckBudget(aZone, host, found->second);
    }
  }
}

// Each step is recorded before it is carried out.
void
fake_fleet::CheckRecorded(const platform::action_request& aRequest)
{
  for (const auto& [zone, record] : mLastHosts) {
    const auto host = record.mHosts.find(aRequest.mHost);
    if (host != record.mHosts.end() && host->second.mAction == aRequest.mId) {
      return;
    }
  }
  Violate("an action at " + aRequest.mHost.Str() + " is not recorded");
}

void
fake_fleet::CheckBudget(const zone_name& aZone,
                        const host_name& aHost,
                        const host_record& aRecord)
{
  if (!HasPermit(Budget(aRecord.mPool), aZone, aHost)) {
    Violate("host " + aHost.Str() + " drains without a permit");
  }
  // A host that is down is unavailable already: its drain adds nothing.
  if (WasDownLately(aHost)) {
    mDrainedDown.insert(aHost);
    return;
  }
  mDrainedDown.erase(aHost);
  std::size_t out = 0;
  std::size_t hosts = 0;
  for (const auto& [zone, record] : mLastHosts) {
    for (const auto& [host, each] : record.mHosts) {
      if (each.mPool == aRecord.mPool) {
        ++hosts;
        out += PlannedOut(each) && mDrainedDown.count(host) == 0 ? 1 : 0;
      }
    }
  }
  if (out > MostAllowed(hosts)) {
    Violate("pool " + aRecord.mPool.Str() + " is over its budget: " +
            std::to_string(out) + " of " + std::to_string(MostAllowed(hosts)));
  }
}

bool
fake_fleet::WasDownLately(const host_name& aHost) const
{
  const auto live = mLiveAgain.find(aHost);
  return mHosts.At(aHost).mState != platform::host_state::kLive ||
         (live != mLiveAgain.end() && mEvents.Now() - live->second <= kListAge);
}

std::size_t
fake_fleet::MostAllowed(std::size_t aHosts) const
{
  std::size_t most = 0;
  for (auto each = mBudgetsApplied.rbegin(); each != mBudgetsApplied.rend();
       ++each) {
    config::availability_budget budget;
    budget.mCount = each->second;
    most = std::max(most, budget.Allowed(aHosts));
    if (mEvents.Now() - each->first > kBudgetLag) {
      break;
    }
  }
  return most;
}

void
fake_fleet::Violate(const std::string& aWhat)
{
  mViolations.push_back(
    aWhat + " at " +
    std::to_string(std::chrono::duration_cast<milliseconds>(
                     mEvents.Now().time_since_epoch() - std::chrono::hours(1))
                     .count()) +
    " ms");
}

} // namespace mangospan::fleet::testing
