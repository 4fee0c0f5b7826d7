#include "mangospan/jobs/sizing.h"

#include <algorithm>
#include <cmath>

namespace mangospan::jobs {

namespace {

std::size_t
HostsFor(std::int64_t aWanted, std::int64_t aPerHost, double aHeadroom)
{
  if (aPerHost <= 0) {
    return 0;
  }
  return static_cast<std::size_t>(std::ceil(
    static_cast<double>(aWanted) * aHeadroom / static_cast<double>(aPerHost)));
}

} // namespace

pool_sizing::pool_sizing(sizing_settings aSettings)
  : mSettings(aSettings)
{
}

std::size_t
pool_sizing::Need(const pool_load& aLoad, const resources& aPerHost) const
{
  return std::max(
    { mSettings.mMinHosts,
      aLoad.mMinHosts,
      HostsFor(aLoad.mWanted.mCpu, aPerHost.mCpu, mSettings.mHeadroom),
      HostsFor(
        aLoad.mWanted.mMemoryMb, aPerHost.mMemoryMb, mSettings.mHeadroom) });
}

void
pool_sizing::NoteArrivals(const std::vector<host_view>& aHosts,
                          time_point aListedAt)
{
  for (const host_view& each : aHosts) {
    const auto found = mJourneys.find(each.mHost);
    if (found != mJourneys.end() && each.mIsUp &&
        aListedAt > found->second.mSince) {
      mJourneys.erase(found); // arrived, or never left
    }
  }
}

void
pool_sizing::NoteIdle(const std::vector<host_view>& aHosts, time_point aNow)
{
  for (const host_view& each : aHosts) {
    if (each.mRuns > 0 || !each.mIsUp || !each.mIsSettled) {
      mIdleSince.erase(each.mHost);
    } else {
      mIdleSince.emplace(each.mHost, aNow);
    }
  }
}

std::vector<move_order>
pool_sizing::Decide(const std::map<service_name, pool_load>& aLoads,
                    const service_name& aSparePool,
                    const std::vector<host_view>& aHosts,
                    const std::set<host_name>& aTaken,
                    time_point aListedAt,
                    time_point aNow)
{
  NoteArrivals(aHosts, aListedAt);
  NoteIdle(aHosts, aNow);
  std::map<service_name, pool> pools;
  std::vector<host_name> spare;
  for (const auto& [service, load] : aLoads) {
    pools[service];
  }
  for (const host_view& each : aHosts) {
    const auto journey = mJourneys.find(each.mHost);
    if (journey != mJourneys.end()) {
      const auto to = pools.find(journey->second.mTo);
      if (to != pools.end()) {
        ++to->second.mHave;
      }
      continue;
    }
    const auto at = pools.find(each.mPool);
    if (at != pools.end() && each.mCapacity.mCpu > 0) {
      at->second.mPerHost = each.mCapacity;
    }
    if (!each.mIsUp || each.mIsUnfit || aTaken.count(each.mHost) > 0) {
      continue;
    }
    if (each.mIsSpare) {
      spare.push_back(each.mHost);
    } else if (at != pools.end()) {
      ++at->second.mHave;
      if (mIdleSince.count(each.mHost) > 0) {
        at->second.mIdle.push_back(each.mHost);
      }
    }
  }
  resources anyHost;
  for (const auto& [service, each] : pools) {
    anyHost = each.mPerHost.mCpu > 0 ? each.mPerHost : anyHost;
  }
  for (auto& [service, each] : pools) {
    const resources perHost = each.mPerHost.mCpu > 0 ? each.mPerHost : anyHost;
    each.mNeed = Need(aLoads.at(service), perHost);
    std::sort(each.mIdle.begin(),
              each.mIdle.end(),
              [this](const host_name& aLeft, const host_name& aRight) {
                return mIdleSince.at(aLeft) < mIdleSince.at(aRight);
              });
  }

  std::vector<move_order> moves;
  const auto surplusHost = [&pools](const service_name& aExcept) {
    pool* best = nullptr;
    for (auto& [service, each] : pools) {
      const bool canGive =
        service != aExcept && each.mHave > each.mNeed && !each.mIdle.empty();
      if (canGive && (best == nullptr ||
                      each.mHave - each.mNeed > best->mHave - best->mNeed)) {
        best = &each;
      }
    }
    return best;
  };
  for (auto& [service, each] : pools) {
    while (each.mHave < each.mNeed &&
           mJourneys.size() + moves.size() < mSettings.mMaxMovesAtOnce) {
      host_name chosen;
      if (!spare.empty()) {
        chosen = spare.back();
        spare.pop_back();
      } else if (pool* const giver = surplusHost(service)) {
        chosen = giver->mIdle.front();
        giver->mIdle.erase(giver->mIdle.begin());
        --giver->mHave;
      } else {
        break;
      }
      ++each.mHave;
      moves.push_back({ chosen, service });
    }
  }
  if (aSparePool.Empty()) {
    return moves;
  }
  for (auto& [service, each] : pools) {
    for (const host_name& host : each.mIdle) {
      if (each.mHave <= each.mNeed ||
          mJourneys.size() + moves.size() >= mSettings.mMaxMovesAtOnce) {
        break;
      }
      if (aNow - mIdleSince.at(host) >= mSettings.mIdleTime) {
        --each.mHave;
        moves.push_back({ host, aSparePool });
      }
    }
  }
  return moves;
}

void
pool_sizing::OnMoving(const move_order& aOrder, time_point aNow)
{
  mJourneys[aOrder.mHost] = { aOrder.mPool, aNow };
  mIdleSince.erase(aOrder.mHost);
}

void
pool_sizing::OnNotMoved(const host_name& aHost)
{
  mJourneys.erase(aHost);
}

std::set<host_name>
pool_sizing::Leaving() const
{
  std::set<host_name> hosts;
  for (const auto& [host, each] : mJourneys) {
    hosts.insert(host);
  }
  return hosts;
}

} // namespace mangospan::jobs
