#include "mangospan/fleet/pool_budgets.h"

#include <algorithm>
#include <utility>

namespace mangospan::fleet {

namespace {

const permit*
FindPermit(const std::vector<permit>& aPermits, const host_name& aHost)
{
  const auto found =
    std::find_if(aPermits.begin(), aPermits.end(), [&](const permit& aPermit) {
      return aPermit.mHost == aHost;
    });
  return found == aPermits.end() ? nullptr : &*found;
}

// Returns `aPermit` with the date of the host's permit in `aRecorded`, if there
// is one, so that a permit keeps its date when the record is rewritten.
permit
WithRecordedDate(permit aPermit, const zone_budget_part& aRecorded)
{
  if (const permit* old = FindPermit(aRecorded.mPermits, aPermit.mHost)) {
    aPermit.mRecordedAt = old->mRecordedAt;
  }
  return aPermit;
}

std::size_t
CountUnavailable(const zone_budget_part& aPart)
{
  return aPart.mPermits.size() + aPart.mDownHosts.size();
}

} // namespace

pool_budgets::pool_budgets(zone_name aZone,
                           const settings& aSettings,
                           std::uint64_t aSeed)
  : mZone(std::move(aZone))
  , mSettings(aSettings)
  , mRandom(static_cast<std::minstd_rand::result_type>(aSeed))
  , mLiveness(aSettings)
{
}

void
pool_budgets::Reset()
{
  mPools.clear();
  mWatchCall = 0;
  mWatchRevision = 0;
  mLiveness.Reset();
}

pool_budgets::pool_state&
pool_budgets::StateOf(const pool_name& aPool)
{
  return mPools
    .try_emplace(aPool,
                 pool_state{ { BudgetKey(aPool),
                               store_purpose::kBudget,
                               mSettings.mStoreRetry,
                               mSettings.mStoreRetryMax },
                             {},
                             {},
                             {} })
    .first->second;
}

bool
pool_budgets::OnResult(call_id aCall,
                       const store_result& aResult,
                       time_point aNow,
                       action_queue& aQueue)
{
  if (mLiveness.OnResult(aCall, aResult, aNow)) {
    return true;
  }
  if (mWatchCall != 0 && aCall == mWatchCall) {
    mWatchCall = 0;
    OnWatched(std::get<result<platform::change_batch>>(aResult), aNow);
    return true;
  }
  for (auto& [pool, state] : mPools) {
    if (state.mRecord.OnResult(aCall, aResult, aNow, aQueue) ==
        record_event::kNone) {
      continue;
    }
    Parse(pool, state);
    state.mNextLoadAt = aNow + RandomLoadDelay();
    return true;
  }
  return false;
}

void
pool_budgets::OnTick(time_point aNow, action_queue& aQueue)
{
  for (auto& [pool, state] : mPools) {
    state.mRecord.OnTick(aNow, aQueue);
  }
}

void
pool_budgets::Step(const permit_demands& aDemands,
                   std::uint64_t aTerm,
                   write_ids& aIds,
                   time_point aNow,
                   action_queue& aQueue)
{
  for (const auto& [pool, demand] : aDemands) {
    if (mPools.count(pool) != 0 || demand.mHostCount != 0) {
      StepPool(pool, demand, aTerm, aIds, aNow, aQueue);
    }
  }
  WatchWhileWaiting(aNow, aQueue);
}

void
pool_budgets::WatchWhileWaiting(time_point aNow, action_queue& aQueue)
{
  platform::revision oldest = 0;
  for (const auto& [pool, state] : mPools) {
    const platform::revision revision = state.mRecord.Revision();
    if (!state.mWaitReason.empty() && revision != 0) {
      oldest = oldest == 0 ? revision : std::min(oldest, revision);
    }
  }
  if (oldest == 0) {
    mWatchRevision = 0;
    return;
  }
  if (mWatchCall == 0 && aNow >= mNextWatchAt) {
    mWatchRevision = mWatchRevision == 0 ? oldest : mWatchRevision;
    mWatchCall = aQueue.AddStoreCall(
      store_purpose::kBudget,
      watch_call{ kPoolsPrefix, mWatchRevision, mSettings.mWatchWait });
  }
}

void
pool_budgets::OnWatched(const result<platform::change_batch>& aResult,
                        time_point aNow)
{
  if (aResult.has_error()) {
    mWatchRevision = 0;
    mNextWatchAt = aNow + mSettings.mBudgetRetryInterval;
    return;
  }
  const platform::change_batch& batch = aResult.assume_value();
  for (const platform::change& change : batch.mChanges) {
    for (auto& [pool, state] : mPools) {
      if (change.mRecord.mKey == BudgetKey(pool) && !change.mDeleted &&
          state.mRecord.Observe(change.mRecord)) {
        Parse(pool, state);
      }
    }
  }
  mWatchRevision =
    mWatchRevision == 0 ? 0 : std::max(mWatchRevision, batch.mRevision);
}

void
pool_budgets::Parse(const pool_name& aPool, pool_state& aState)
{
  auto parsed = ParseBudget(aState.mRecord.Value(), BudgetKey(aPool));
  aState.mConfirmed =
    parsed.has_value() ? std::move(parsed).assume_value() : budget_record{};
}

void
pool_budgets::StepPool(const pool_name& aPool,
                       const permit_demand& aDemand,
                       std::uint64_t aTerm,
                       write_ids& aIds,
                       time_point aNow,
                       action_queue& aQueue)
{
  pool_state& state = StateOf(aPool);
  if (!state.mRecord.Known()) {
    state.mRecord.Load(aQueue);
    return;
  }
  if (!state.mRecord.Idle()) {
    return;
  }
  const zone_budget_part& current = state.mConfirmed.mZones[mZone];
  zone_budget_part next = ComputePart(state, aDemand, aTerm, aNow, aQueue);
  // A permit counts only if it was written under the current term: that write
  // makes any write that a former holder still has under way fail. Without
  // permits there is nothing to fence, so the record is not rewritten for a new
  // term alone.
  if (next.mPermits.empty() && current.mPermits.empty()) {
    next.mTerm = current.mTerm;
  }
  if (!(next == current)) {
    budget_record record = state.mConfirmed;
    record.mWrite = aIds.Next();
    record.mZones[mZone] = std::move(next);
    state.mRecord.Write(ToText(record), aQueue);
  } else if (!state.mWaitReason.empty() && aNow >= state.mNextLoadAt) {
    state.mRecord.Load(aQueue);
  }
}

zone_budget_part
pool_budgets::ComputePart(pool_state& aState,
                          const permit_demand& aDemand,
                          std::uint64_t aTerm,
                          time_point aNow,
                          action_queue& aQueue)
{
  const budget_record& record = aState.mConfirmed;
  const zone_budget_part& current = aState.mConfirmed.mZones[mZone];
  zone_budget_part next{ aTerm, aDemand.mHostCount, aDemand.mDownHosts, {} };
  for (const permit& held : aDemand.mHeldPermits) {
    next.mPermits.push_back(WithRecordedDate(held, current));
  }
  std::size_t hosts = aDemand.mHostCount;
  for (const zone_name& zone : OtherZones(record)) {
    hosts += record.mZones.at(zone).mHostCount;
  }
  const std::size_t allowed = aDemand.mBudget.Allowed(hosts);
  aState.mWaitReason.clear();
  for (const permit& requested : aDemand.mRequestedPermits) {
    const bool granted =
      FindPermit(current.mPermits, requested.mHost) != nullptr;
    const std::size_t known =
      CountUnavailableElsewhere(record, false) + CountUnavailable(next);
    if (known + 1 > allowed) {
      aState.mWaitReason =
        "waits for the availability budget: " + std::to_string(known) + " of " +
        std::to_string(allowed) + " hosts unavailable";
      continue;
    }
    if (!granted && !mLiveness.Check(OtherZones(record), aNow, aQueue)) {
      aState.mWaitReason = "waits until it is known which zones are silent";
      continue;
    }
    const std::size_t unavailable =
      CountUnavailableElsewhere(record, true) + CountUnavailable(next);
    if (!granted && unavailable + 1 > allowed) {
      aState.mWaitReason =
        "waits for the availability budget: " + std::to_string(unavailable) +
        " of " + std::to_string(allowed) +
        " hosts unavailable, silent zones included";
      continue;
    }
    next.mPermits.push_back(WithRecordedDate(requested, current));
  }
  std::sort(next.mPermits.begin(),
            next.mPermits.end(),
            [](const permit& aLeft, const permit& aRight) {
              return aLeft.mHost < aRight.mHost;
            });
  return next;
}

std::vector<zone_name>
pool_budgets::OtherZones(const budget_record& aRecord) const
{
  std::vector<zone_name> zones;
  for (const auto& [zone, part] : aRecord.mZones) {
    if (zone != mZone && part.mHostCount != 0) {
      zones.push_back(zone);
    }
  }
  return zones;
}

std::size_t
pool_budgets::CountUnavailableElsewhere(const budget_record& aRecord,
                                        bool aCountUnresponsive) const
{
  std::size_t count = 0;
  for (const zone_name& zone : OtherZones(aRecord)) {
    const zone_budget_part& part = aRecord.mZones.at(zone);
    count += aCountUnresponsive && mLiveness.IsUnresponsive(zone)
               ? part.mHostCount
               : CountUnavailable(part);
  }
  return count;
}

bool
pool_budgets::HasPermit(const pool_name& aPool,
                        const host_name& aHost,
                        std::uint64_t aTerm) const
{
  const auto found = mPools.find(aPool);
  if (found == mPools.end() || !found->second.mRecord.Idle()) {
    return false;
  }
  const auto part = found->second.mConfirmed.mZones.find(mZone);
  return part != found->second.mConfirmed.mZones.end() &&
         part->second.mTerm == aTerm &&
         FindPermit(part->second.mPermits, aHost) != nullptr;
}

std::string
pool_budgets::WaitReason(const pool_name& aPool) const
{
  const auto found = mPools.find(aPool);
  return found == mPools.end() ? std::string() : found->second.mWaitReason;
}

std::size_t
pool_budgets::CountFailedHosts(const pool_name& aPool) const
{
  const auto found = mPools.find(aPool);
  if (found == mPools.end()) {
    return 0;
  }
  std::size_t failures = 0;
  for (const auto& [zone, part] : found->second.mConfirmed.mZones) {
    for (const permit& each : part.mPermits) {
      failures += each.mFailed && each.mPurpose == host_purpose::kMaintenance;
    }
  }
  return failures;
}

std::chrono::milliseconds
pool_budgets::RandomLoadDelay()
{
  const std::int64_t span = mSettings.mBudgetRetryInterval.count();
  return std::chrono::milliseconds(
    std::uniform_int_distribution<std::int64_t>(span / 2, span)(mRandom));
}

} // namespace mangospan::fleet
