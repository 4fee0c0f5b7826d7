#include "mangospan/fleet/pool_sizing.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "mangospan/fleet/budget_demand.h"

namespace mangospan::fleet {

namespace {

// Slots beyond the mean, in standard deviations of a Poisson number of jobs.
constexpr double kDeviations = 1.5;

} // namespace

std::size_t
HostsFor(double aLevel, std::size_t aSlotsPerHost)
{
  if (aLevel <= 0 || aSlotsPerHost == 0) {
    return 0;
  }
  const double slots = aLevel + kDeviations * std::sqrt(aLevel);
  return static_cast<std::size_t>(
    std::ceil(slots / static_cast<double>(aSlotsPerHost)));
}

pool_sizing::pool_sizing(const settings& aSettings)
  : mSettings(aSettings)
{
}

void
pool_sizing::Reset()
{
  mStarted = false;
  mSizes.clear();
  mShortages.clear();
  mHomes.clear();
  mSurplusSince.clear();
  mMovedAt.clear();
  mMoves.clear();
}

void
pool_sizing::OnTick(const zone_hosts& aHosts,
                    const config::document& aDocument,
                    const demand_history& aDemand,
                    time_point aNow)
{
  if (mStarted && aNow < mNext) {
    return;
  }
  mStarted = true;
  mNext = aNow + mSettings.mSizingEvery;
  Measure(aHosts, aDocument, aDemand, aNow);
  mMoves.clear();
  FillShortages(aHosts, aDocument, aNow);
  ReturnSurplus(aHosts, aDocument, aNow);
}

void
pool_sizing::Measure(const zone_hosts& aHosts,
                     const config::document& aDocument,
                     const demand_history& aDemand,
                     time_point aNow)
{
  mSizes.clear();
  std::size_t slots = 0;
  for (const auto& [host, record] : aHosts.Record().mHosts) {
    const platform::host_info* info = aHosts.Find(host);
    const bool live =
      info != nullptr && info->mState == platform::host_state::kLive;
    pool_size& size = mSizes[record.mPool];
    if (record.mPurpose == host_purpose::kMove) {
      pool_size& target = mSizes[record.mTarget];
      ++target.mServing;
      target.mBorrowed += mHomes[host] == record.mTarget ? 0 : 1;
      // The interval counts from the move's end.
      mMovedAt[record.mPool] = aNow;
      mMovedAt[record.mTarget] = aNow;
    } else if (record.mPhase == host_phase::kServing && live) {
      ++size.mServing;
      size.mHosts.push_back(host);
      const pool_name& home =
        mHomes.try_emplace(host, record.mPool).first->second;
      size.mBorrowed += home == record.mPool ? 0 : 1;
      slots = std::max(slots, info->mSlots);
    }
  }
  for (const config::pool& pool : aDocument.mPools) {
    const auto found = mSizes.find(pool.mName);
    if (found == mSizes.end()) {
      continue;
    }
    pool_size& size = found->second;
    size.mSpare = pool.mSpare;
    size.mKnown = aDemand.Observed(pool.mName) >= mSettings.mSizingLearn;
    size.mLeast = std::max<std::size_t>(pool.mMinHosts, pool.mSpare ? 0 : 1);
    const double level = aDemand.Level(pool.mName);
    size.mNeeded = std::max(size.mLeast, HostsFor(level, slots));
    if (size.mServing <= size.mNeeded) {
      mSurplusSince.erase(pool.mName);
    } else {
      mSurplusSince.try_emplace(pool.mName, aNow);
    }
  }
}

void
pool_sizing::FillShortages(const zone_hosts& aHosts,
                           const config::document& aDocument,
                           time_point aNow)
{
  for (const config::pool& pool : aDocument.mPools) {
    const auto found = mSizes.find(pool.mName);
    if (found == mSizes.end()) {
      continue;
    }
    const pool_size& size = found->second;
    const std::size_t wanted = Wanted(pool.mName, size, aNow);
    while (size.mServing < wanted) {
      const pool_name* donor = Donor(pool.mName, aNow);
      if (donor == nullptr || !Move(aHosts, *donor, pool)) {
        break;
      }
    }
  }
}

// The operators' minimum holds at once; what demand asks for beyond it, once
// the demand is known and the shortage is worth a move.
std::size_t
pool_sizing::Wanted(const pool_name& aPool,
                    const pool_size& aSize,
                    time_point aNow)
{
  if (!aSize.mKnown) {
    return aSize.mLeast;
  }
  // What was borrowed does not end the shortage of the pool's own hosts.
  const std::size_t own = aSize.mServing - aSize.mBorrowed;
  return WorthMoving(aPool, own < aSize.mNeeded, aNow) ? aSize.mNeeded
                                                       : aSize.mLeast;
}

// A shortage that has lasted for some time is expected to last as long again,
// or as long as the pool's shortages usually do, if that is more.
bool
pool_sizing::WorthMoving(const pool_name& aPool, bool aShort, time_point aNow)
{
  shortage& state = mShortages[aPool];
  const double lasted =
    std::chrono::duration<double>(aNow - state.mSince).count();
  if (aShort != state.mShort) {
    if (!aShort) {
      state.mUsualSeconds =
        state.mUsualSeconds == 0 ? lasted : (state.mUsualSeconds + lasted) / 2;
    }
    state.mShort = aShort;
    state.mSince = aNow;
    return false;
  }
  const double left = std::max(lasted, state.mUsualSeconds - lasted);
  return aShort &&
         left >= std::chrono::duration<double>(mSettings.mMoveWorth).count();
}

const pool_name*
pool_sizing::Donor(const pool_name& aTo, time_point aNow) const
{
  const pool_name* best = nullptr;
  std::size_t most = 0;
  for (const auto& [name, size] : mSizes) {
    if (name == aTo || size.mServing <= size.mNeeded || size.mHosts.empty()) {
      continue;
    }
    if (size.mSpare) {
      return &name;
    }
    const bool owes = mSizes.at(aTo).mSpare && size.mBorrowed > 0;
    const std::size_t surplus = size.mServing - size.mNeeded;
    if ((owes || MayGive(name, aNow)) && surplus > most) {
      most = surplus;
      best = &name;
    }
  }
  return best;
}

// Borrowed hosts go back soon, a pool's own only after a long time; then one
// more than needed stays, so that sizes do not swing.
bool
pool_sizing::MayGive(const pool_name& aPool, time_point aNow) const
{
  const pool_size& size = mSizes.at(aPool);
  const auto since = mSurplusSince.find(aPool);
  if (!size.mKnown || since == mSurplusSince.end() || !Rested(aPool, aNow)) {
    return false;
  }
  const auto lasted = aNow - since->second;
  if (size.mBorrowed > 0) {
    return lasted >= mSettings.mMoveInterval;
  }
  return lasted >= mSettings.mSurplusFor && size.mServing > size.mNeeded + 1;
}

void
pool_sizing::ReturnSurplus(const zone_hosts& aHosts,
                           const config::document& aDocument,
                           time_point aNow)
{
  const config::pool* spare = SparePool(aDocument);
  if (spare == nullptr) {
    return;
  }
  const bool keepOwn = aDocument.mPrefer == config::preference::kFastRollOut;
  for (auto& [name, size] : mSizes) {
    const bool keep = keepOwn && size.mBorrowed == 0;
    if (!size.mSpare && !keep && size.mServing > size.mNeeded &&
        MayGive(name, aNow)) {
      Move(aHosts, name, *spare);
    }
  }
}

bool
pool_sizing::Move(const zone_hosts& aHosts,
                  const pool_name& aFrom,
                  const config::pool& aTo)
{
  pool_size& from = mSizes[aFrom];
  const auto admitted = [&](const host_name& aHost) {
    return Admits(aTo, *aHosts.Find(aHost));
  };
  // Hosts that go home come first.
  const auto home = std::stable_partition(
    from.mHosts.begin(), from.mHosts.end(), [&](const host_name& aHost) {
      return mHomes[aHost] == aTo.mName;
    });
  const auto host =
    std::find_if(from.mHosts.begin(), from.mHosts.end(), admitted);
  if (host == from.mHosts.end()) {
    return false;
  }
  if (aTo.mSpare && host >= home) {
    mHomes[*host] = aTo.mName;
  }
  if (mHomes[*host] != aFrom && from.mBorrowed > 0) {
    --from.mBorrowed;
  }
  mSizes[aTo.mName].mBorrowed += mHomes[*host] == aTo.mName ? 0 : 1;
  mMoves[*host] = { host_purpose::kMove, aTo.mName, {} };
  --from.mServing;
  ++mSizes[aTo.mName].mServing;
  from.mHosts.erase(host);
  return true;
}

bool
pool_sizing::Rested(const pool_name& aPool, time_point aNow) const
{
  const auto moved = mMovedAt.find(aPool);
  return moved == mMovedAt.end() ||
         aNow - moved->second >= mSettings.mMoveInterval;
}

std::size_t
pool_sizing::Needed(const pool_name& aPool) const
{
  const auto found = mSizes.find(aPool);
  return found == mSizes.end() ? 0 : found->second.mNeeded;
}

} // namespace mangospan::fleet
