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
      mSizes[record.mTarget].mMoving = true;
      mSizes[record.mTarget].mServing += 1;
      size.mMoving = true;
      // The interval counts from the move's end.
      mMovedAt[record.mPool] = aNow;
      mMovedAt[record.mTarget] = aNow;
    } else if (record.mPhase == host_phase::kServing && live) {
      ++size.mServing;
      size.mHosts.push_back(host);
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
    const double level = aDemand.Level(pool.mName, aDocument.mPrefer);
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
  std::vector<std::pair<std::size_t, const config::pool*>> shortages;
  for (const config::pool& pool : aDocument.mPools) {
    const auto found = mSizes.find(pool.mName);
    if (found != mSizes.end() && !pool.mSpare && found->second.mKnown &&
        found->second.mServing < found->second.mNeeded) {
      shortages.emplace_back(found->second.mNeeded - found->second.mServing,
                             &pool);
    }
  }
  std::stable_sort(
    shortages.begin(), shortages.end(), [](const auto& aOne, const auto& aTwo) {
      return aOne.first > aTwo.first;
    });
  for (const auto& [count, pool] : shortages) {
    const pool_name* donor = Donor(pool->mName, aNow);
    if (donor != nullptr && Rested(pool->mName, aNow)) {
      Move(aHosts, *donor, *pool);
    }
  }
}

const pool_name*
pool_sizing::Donor(const pool_name& aTo, time_point aNow) const
{
  const pool_name* best = nullptr;
  std::size_t most = 0;
  for (const auto& [name, size] : mSizes) {
    if (name == aTo || size.mServing <= size.mNeeded || size.mMoving ||
        size.mHosts.empty()) {
      continue;
    }
    if (size.mSpare) {
      return &name;
    }
    const std::size_t surplus = size.mServing - size.mNeeded;
    if (size.mKnown && Rested(name, aNow) && surplus > most) {
      most = surplus;
      best = &name;
    }
  }
  return best;
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
  for (auto& [name, size] : mSizes) {
    const auto since = mSurplusSince.find(name);
    // One host more than needed stays, so that sizes do not swing.
    const bool lasting = since != mSurplusSince.end() &&
                         aNow - since->second >= mSettings.mSurplusFor;
    if (size.mSpare || !size.mKnown || size.mMoving || !lasting ||
        size.mServing <= size.mNeeded + 1 || !Rested(name, aNow)) {
      continue;
    }
    Move(aHosts, name, *spare);
  }
}

bool
pool_sizing::Move(const zone_hosts& aHosts,
                  const pool_name& aFrom,
                  const config::pool& aTo)
{
  pool_size& from = mSizes[aFrom];
  for (auto host = from.mHosts.rbegin(); host != from.mHosts.rend(); ++host) {
    if (!Admits(aTo, *aHosts.Find(*host))) {
      continue;
    }
    mMoves[*host] = { host_purpose::kMove, aTo.mName, {} };
    --from.mServing;
    from.mMoving = true;
    from.mHosts.erase(std::next(host).base());
    mSizes[aTo.mName].mMoving = true;
    return true;
  }
  return false;
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
