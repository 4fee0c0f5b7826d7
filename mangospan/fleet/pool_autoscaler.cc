#include "mangospan/fleet/pool_autoscaler.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "mangospan/fleet/permit_demand.h"

namespace mangospan::fleet {

namespace {

// Headroom above the mean number of busy slots, in standard deviations of a
// Poisson distribution.
constexpr double kHeadroomDeviations = 1.5;

} // namespace

std::size_t
HostsForLoad(double aBusySlots, std::size_t aSlotsPerHost)
{
  if (aBusySlots <= 0 || aSlotsPerHost == 0) {
    return 0;
  }
  const double slots = aBusySlots + kHeadroomDeviations * std::sqrt(aBusySlots);
  return static_cast<std::size_t>(
    std::ceil(slots / static_cast<double>(aSlotsPerHost)));
}

pool_autoscaler::pool_autoscaler(const settings& aSettings)
  : mSettings(aSettings)
{
}

void
pool_autoscaler::Reset()
{
  mStarted = false;
  mPoolStates.clear();
  mShortages.clear();
  mHomePools.clear();
  mSurplusSince.clear();
  mLastMoves.clear();
  mMoves.clear();
}

void
pool_autoscaler::OnTick(const zone_hosts& aHosts,
                        const config::document& aDocument,
                        const demand_history& aDemand,
                        time_point aNow)
{
  if (mStarted && aNow < mNextDecision) {
    return;
  }
  mStarted = true;
  mNextDecision = aNow + mSettings.mAutoscalerInterval;
  UpdatePoolStates(aHosts, aDocument, aDemand, aNow);
  mMoves.clear();
  FillShortages(aHosts, aDocument, aNow);
  ReturnSurplus(aHosts, aDocument, aNow);
}

void
pool_autoscaler::UpdatePoolStates(const zone_hosts& aHosts,
                                  const config::document& aDocument,
                                  const demand_history& aDemand,
                                  time_point aNow)
{
  mPoolStates.clear();
  std::size_t slotsPerHost = 0;
  for (const auto& [host, record] : aHosts.Record().mHosts) {
    const platform::host_info* info = aHosts.Find(host);
    const bool isLive =
      info != nullptr && info->mState == platform::host_state::kLive;
    pool_state& state = mPoolStates[record.mPool];
    if (record.mPurpose == host_purpose::kMove) {
      pool_state& target = mPoolStates[record.mTarget];
      ++target.mServingHosts;
      target.mBorrowedHosts += mHomePools[host] == record.mTarget ? 0 : 1;
      // Refreshed on every pass, so that the interval counts from the move's
      // end.
      mLastMoves[record.mPool] = aNow;
      mLastMoves[record.mTarget] = aNow;
    } else if (record.mPhase == host_phase::kServing && isLive) {
      ++state.mServingHosts;
      state.mMovableHosts.push_back(host);
      const pool_name& homePool =
        mHomePools.try_emplace(host, record.mPool).first->second;
      state.mBorrowedHosts += homePool == record.mPool ? 0 : 1;
      slotsPerHost = std::max(slotsPerHost, info->mSlots);
    }
  }
  for (const config::pool& pool : aDocument.mPools) {
    const auto found = mPoolStates.find(pool.mName);
    if (found == mPoolStates.end()) {
      continue;
    }
    pool_state& state = found->second;
    state.mIsSpare = pool.mSpare;
    state.mDemandKnown =
      aDemand.ObservedFor(pool.mName) >= mSettings.mAutoscalerWarmUp;
    state.mMinServingHosts =
      std::max<std::size_t>(pool.mMinHosts, pool.mSpare ? 0 : 1);
    const double busySlots = aDemand.SlotDemand(pool.mName);
    state.mNeededHosts =
      std::max(state.mMinServingHosts, HostsForLoad(busySlots, slotsPerHost));
    if (state.mServingHosts <= state.mNeededHosts) {
      mSurplusSince.erase(pool.mName);
    } else {
      mSurplusSince.try_emplace(pool.mName, aNow);
    }
  }
}

void
pool_autoscaler::FillShortages(const zone_hosts& aHosts,
                               const config::document& aDocument,
                               time_point aNow)
{
  for (const config::pool& pool : aDocument.mPools) {
    const auto found = mPoolStates.find(pool.mName);
    if (found == mPoolStates.end()) {
      continue;
    }
    const pool_state& state = found->second;
    const std::size_t targetHosts = TargetHosts(pool.mName, state, aNow);
    while (state.mServingHosts < targetHosts) {
      const pool_name* donor = FindDonor(pool.mName, aNow);
      if (donor == nullptr || !PlanMove(aHosts, *donor, pool)) {
        break;
      }
    }
  }
}

// Returns the number of hosts up to which the pool is filled now. The
// configured minimum applies at once. Hosts beyond it are requested only once
// the demand is known and the shortage justifies a move.
std::size_t
pool_autoscaler::TargetHosts(const pool_name& aPool,
                             const pool_state& aState,
                             time_point aNow)
{
  if (!aState.mDemandKnown) {
    return aState.mMinServingHosts;
  }
  // Borrowed hosts do not end a shortage of the pool's own hosts.
  const std::size_t ownHosts = aState.mServingHosts - aState.mBorrowedHosts;
  return IsMoveWorthwhile(aPool, ownHosts < aState.mNeededHosts, aNow)
           ? aState.mNeededHosts
           : aState.mMinServingHosts;
}

// Records whether the pool has a shortage and returns true if that shortage is
// expected to continue for at least `mMinRemainingShortage`. The expected
// remaining time is the time for which the shortage has lasted, or the rest of
// the typical duration of the pool's shortages, whichever is longer.
bool
pool_autoscaler::IsMoveWorthwhile(const pool_name& aPool,
                                  bool aIsShort,
                                  time_point aNow)
{
  shortage& current = mShortages[aPool];
  const double elapsed =
    std::chrono::duration<double>(aNow - current.mSince).count();
  if (aIsShort != current.mOngoing) {
    if (!aIsShort) {
      current.mTypicalSeconds = current.mTypicalSeconds == 0
                                  ? elapsed
                                  : (current.mTypicalSeconds + elapsed) / 2;
    }
    current.mOngoing = aIsShort;
    current.mSince = aNow;
    return false;
  }
  const double remaining = std::max(elapsed, current.mTypicalSeconds - elapsed);
  return aIsShort && remaining >= std::chrono::duration<double>(
                                    mSettings.mMinRemainingShortage)
                                    .count();
}

const pool_name*
pool_autoscaler::FindDonor(const pool_name& aTo, time_point aNow) const
{
  const pool_name* best = nullptr;
  std::size_t maxSurplus = 0;
  for (const auto& [name, state] : mPoolStates) {
    if (name == aTo || state.mServingHosts <= state.mNeededHosts ||
        state.mMovableHosts.empty()) {
      continue;
    }
    if (state.mIsSpare) {
      return &name;
    }
    const bool returnsBorrowed =
      mPoolStates.at(aTo).mIsSpare && state.mBorrowedHosts > 0;
    const std::size_t surplus = state.mServingHosts - state.mNeededHosts;
    if ((returnsBorrowed || MayGiveHost(name, aNow)) && surplus > maxSurplus) {
      maxSurplus = surplus;
      best = &name;
    }
  }
  return best;
}

// Returns true if the pool may give a host away now. A pool returns borrowed
// hosts after a surplus of `mMoveInterval`. It gives up its own hosts only
// after `mMinSurplusDuration` and keeps one host more than it needs, so that
// pool sizes do not oscillate.
bool
pool_autoscaler::MayGiveHost(const pool_name& aPool, time_point aNow) const
{
  const pool_state& state = mPoolStates.at(aPool);
  const auto since = mSurplusSince.find(aPool);
  if (!state.mDemandKnown || since == mSurplusSince.end() ||
      !HasMoveIntervalElapsed(aPool, aNow)) {
    return false;
  }
  const auto elapsed = aNow - since->second;
  if (state.mBorrowedHosts > 0) {
    return elapsed >= mSettings.mMoveInterval;
  }
  return elapsed >= mSettings.mMinSurplusDuration &&
         state.mServingHosts > state.mNeededHosts + 1;
}

void
pool_autoscaler::ReturnSurplus(const zone_hosts& aHosts,
                               const config::document& aDocument,
                               time_point aNow)
{
  const config::pool* spare = FindSparePool(aDocument);
  if (spare == nullptr) {
    return;
  }
  const bool keepsOwnHosts =
    aDocument.mPrefer == config::preference::kFastRollOut;
  for (auto& [name, state] : mPoolStates) {
    const bool keepsHosts = keepsOwnHosts && state.mBorrowedHosts == 0;
    if (!state.mIsSpare && !keepsHosts &&
        state.mServingHosts > state.mNeededHosts && MayGiveHost(name, aNow)) {
      PlanMove(aHosts, name, *spare);
    }
  }
}

bool
pool_autoscaler::PlanMove(const zone_hosts& aHosts,
                          const pool_name& aFrom,
                          const config::pool& aTo)
{
  pool_state& from = mPoolStates[aFrom];
  const auto isAdmitted = [&](const host_name& aHost) {
    return Admits(aTo, *aHosts.Find(aHost));
  };
  // Prefer hosts whose home pool is the target.
  const auto firstAway = std::stable_partition(
    from.mMovableHosts.begin(),
    from.mMovableHosts.end(),
    [&](const host_name& aHost) { return mHomePools[aHost] == aTo.mName; });
  const auto host = std::find_if(
    from.mMovableHosts.begin(), from.mMovableHosts.end(), isAdmitted);
  if (host == from.mMovableHosts.end()) {
    return false;
  }
  if (aTo.mSpare && host >= firstAway) {
    mHomePools[*host] = aTo.mName;
  }
  if (mHomePools[*host] != aFrom && from.mBorrowedHosts > 0) {
    --from.mBorrowedHosts;
  }
  mPoolStates[aTo.mName].mBorrowedHosts +=
    mHomePools[*host] == aTo.mName ? 0 : 1;
  mMoves[*host] = { host_purpose::kMove, aTo.mName, {} };
  --from.mServingHosts;
  ++mPoolStates[aTo.mName].mServingHosts;
  from.mMovableHosts.erase(host);
  return true;
}

bool
pool_autoscaler::HasMoveIntervalElapsed(const pool_name& aPool,
                                        time_point aNow) const
{
  const auto moved = mLastMoves.find(aPool);
  return moved == mLastMoves.end() ||
         aNow - moved->second >= mSettings.mMoveInterval;
}

std::size_t
pool_autoscaler::NeededHosts(const pool_name& aPool) const
{
  const auto found = mPoolStates.find(aPool);
  return found == mPoolStates.end() ? 0 : found->second.mNeededHosts;
}

} // namespace mangospan::fleet
