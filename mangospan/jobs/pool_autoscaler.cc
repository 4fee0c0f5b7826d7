#include "mangospan/jobs/pool_autoscaler.h"

#include <algorithm>
#include <cmath>

namespace mangospan::jobs {

namespace {

std::size_t
HostsFor(std::int64_t aDemand,
         std::int64_t aHostCapacity,
         double aHeadroomFactor)
{
  if (aHostCapacity <= 0) {
    return 0;
  }
  return static_cast<std::size_t>(
    std::ceil(static_cast<double>(aDemand) * aHeadroomFactor /
              static_cast<double>(aHostCapacity)));
}

} // namespace

pool_autoscaler::pool_autoscaler(autoscaler_settings aSettings)
  : mSettings(aSettings)
{
}

std::size_t
pool_autoscaler::RequiredHosts(const pool_load& aLoad,
                               const resources& aHostCapacity) const
{
  return std::max(
    { mSettings.mMinHosts,
      aLoad.mMinHosts,
      HostsFor(
        aLoad.mRequested.mCpu, aHostCapacity.mCpu, mSettings.mHeadroomFactor),
      HostsFor(aLoad.mForecast.mCpu, aHostCapacity.mCpu, 1.0),
      HostsFor(aLoad.mForecast.mMemoryMb, aHostCapacity.mMemoryMb, 1.0),
      HostsFor(aLoad.mRequested.mMemoryMb,
               aHostCapacity.mMemoryMb,
               mSettings.mHeadroomFactor) });
}

void
pool_autoscaler::EraseCompletedMoves(const std::vector<host_view>& aHosts,
                                     time_point aListedAt)
{
  for (const host_view& each : aHosts) {
    const auto found = mPendingMoves.find(each.mHost);
    if (found != mPendingMoves.end() && each.mIsUp &&
        aListedAt > found->second.mOrderedAt) {
      mPendingMoves.erase(found); // it has arrived, or it never left
    }
  }
}

void
pool_autoscaler::UpdateIdleTimes(
  const std::map<service_name, pool_load>& aLoads,
  const std::vector<host_view>& aHosts,
  time_point aNow)
{
  for (const host_view& each : aHosts) {
    if (each.mRunCount > 0 || !each.mIsUp || !each.mCanGetRuns) {
      mIdleSince.erase(each.mHost);
      continue;
    }
    const auto load = aLoads.find(each.mPool);
    const bool isDemandKnown =
      load == aLoads.end() || load->second.mIsAcceptingJobs;
    const auto [idle, isNew] = mIdleSince.emplace(each.mHost, aNow);
    if (!isDemandKnown) {
      idle->second = aNow;
    }
  }
}

std::vector<move_order>
pool_autoscaler::Decide(const std::map<service_name, pool_load>& aLoads,
                        const service_name& aSparePool,
                        const std::vector<host_view>& aHosts,
                        const std::set<host_name>& aReservedHosts,
                        time_point aListedAt,
                        time_point aNow)
{
  EraseCompletedMoves(aHosts, aListedAt);
  UpdateIdleTimes(aLoads, aHosts, aNow);
  autoscaling_state state = AssessPools(aLoads, aHosts, aReservedHosts);
  ComputeRequiredHosts(aLoads, state);
  FillDeficits(state);
  if (!aSparePool.Empty()) {
    ReleaseIdleHosts(aSparePool, aNow, state);
  }
  return state.mMoves;
}

pool_autoscaler::autoscaling_state
pool_autoscaler::AssessPools(const std::map<service_name, pool_load>& aLoads,
                             const std::vector<host_view>& aHosts,
                             const std::set<host_name>& aReservedHosts) const
{
  autoscaling_state state;
  for (const auto& [service, load] : aLoads) {
    state.mPools[service];
  }
  for (const host_view& each : aHosts) {
    const auto pendingMove = mPendingMoves.find(each.mHost);
    const auto poolEntry = state.mPools.find(
      pendingMove == mPendingMoves.end() ? each.mPool
                                         : pendingMove->second.mDestination);
    const bool isPooled = poolEntry != state.mPools.end();
    if (pendingMove != mPendingMoves.end()) {
      if (isPooled) {
        ++poolEntry->second.mHostCount;
      }
      continue;
    }
    if (isPooled && each.mCapacity.mCpu > 0) {
      poolEntry->second.mHostCapacity = each.mCapacity;
    }
    if (!each.mIsUp || each.mIsUnschedulable ||
        aReservedHosts.count(each.mHost) > 0) {
      continue;
    }
    if (each.mIsSpare) {
      state.mSpareHosts.push_back(each.mHost);
    } else if (isPooled) {
      ++poolEntry->second.mHostCount;
      if (mIdleSince.count(each.mHost) > 0) {
        poolEntry->second.mIdleHosts.push_back(each.mHost);
      }
    }
  }
  return state;
}

void
pool_autoscaler::ComputeRequiredHosts(
  const std::map<service_name, pool_load>& aLoads,
  autoscaling_state& aState) const
{
  resources fallbackCapacity; // for a pool that has no hosts at present
  for (const auto& [service, each] : aState.mPools) {
    fallbackCapacity =
      each.mHostCapacity.mCpu > 0 ? each.mHostCapacity : fallbackCapacity;
  }
  for (auto& [service, each] : aState.mPools) {
    const resources hostCapacity =
      each.mHostCapacity.mCpu > 0 ? each.mHostCapacity : fallbackCapacity;
    each.mRequiredHosts = RequiredHosts(aLoads.at(service), hostCapacity);
    std::sort(each.mIdleHosts.begin(),
              each.mIdleHosts.end(),
              [this](const host_name& aLeft, const host_name& aRight) {
                return mIdleSince.at(aLeft) < mIdleSince.at(aRight);
              });
  }
}

bool
pool_autoscaler::HasReachedMoveLimit(
  const autoscaling_state& aCurrentState) const
{
  return mPendingMoves.size() + aCurrentState.mMoves.size() >=
         mSettings.mMaxConcurrentMoves;
}

// Takes spare hosts first, then idle hosts of the pool with the largest
// surplus.
void
pool_autoscaler::FillDeficits(autoscaling_state& aState) const
{
  const auto findDonor = [&aState](const service_name& aReceiver) {
    pool* bestDonor = nullptr;
    for (auto& [service, each] : aState.mPools) {
      const bool canGive = service != aReceiver &&
                           each.mHostCount > each.mRequiredHosts &&
                           !each.mIdleHosts.empty();
      if (canGive && (bestDonor == nullptr ||
                      each.mHostCount - each.mRequiredHosts >
                        bestDonor->mHostCount - bestDonor->mRequiredHosts)) {
        bestDonor = &each;
      }
    }
    return bestDonor;
  };
  for (auto& [service, each] : aState.mPools) {
    while (each.mHostCount < each.mRequiredHosts &&
           !HasReachedMoveLimit(aState)) {
      host_name chosen;
      if (!aState.mSpareHosts.empty()) {
        chosen = aState.mSpareHosts.back();
        aState.mSpareHosts.pop_back();
      } else if (pool* const donor = findDonor(service)) {
        chosen = donor->mIdleHosts.front();
        donor->mIdleHosts.erase(donor->mIdleHosts.begin());
        --donor->mHostCount;
      } else {
        break;
      }
      ++each.mHostCount;
      aState.mMoves.push_back({ chosen, service });
    }
  }
}

void
pool_autoscaler::ReleaseIdleHosts(const service_name& aSparePool,
                                  time_point aNow,
                                  autoscaling_state& aState) const
{
  for (auto& [service, each] : aState.mPools) {
    for (const host_name& host : each.mIdleHosts) {
      if (each.mHostCount <= each.mRequiredHosts ||
          HasReachedMoveLimit(aState)) {
        break;
      }
      if (aNow - mIdleSince.at(host) >= mSettings.mMinIdleTime) {
        --each.mHostCount;
        aState.mMoves.push_back({ host, aSparePool });
      }
    }
  }
}

void
pool_autoscaler::OnMovePending(const move_order& aOrder, time_point aNow)
{
  mPendingMoves[aOrder.mHost] = { aOrder.mPool, aNow };
  mIdleSince.erase(aOrder.mHost);
}

void
pool_autoscaler::OnMoveNotExecuted(const host_name& aHost)
{
  mPendingMoves.erase(aHost);
}

std::set<host_name>
pool_autoscaler::MovingHosts() const
{
  std::set<host_name> hosts;
  for (const auto& [host, each] : mPendingMoves) {
    hosts.insert(host);
  }
  return hosts;
}

} // namespace mangospan::jobs
