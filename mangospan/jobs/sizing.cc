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
      HostsFor(aLoad.mArriving.mCpu, aPerHost.mCpu, 1.0),
      HostsFor(aLoad.mArriving.mMemoryMb, aPerHost.mMemoryMb, 1.0),
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
  situation now = Assess(aLoads, aHosts, aTaken);
  SetNeeds(aLoads, now);
  FillDeficits(now);
  if (!aSparePool.Empty()) {
    GiveUpIdle(aSparePool, aNow, now);
  }
  return now.mMoves;
}

pool_sizing::situation
pool_sizing::Assess(const std::map<service_name, pool_load>& aLoads,
                    const std::vector<host_view>& aHosts,
                    const std::set<host_name>& aTaken) const
{
  situation now;
  for (const auto& [service, load] : aLoads) {
    now.mPools[service];
  }
  for (const host_view& each : aHosts) {
    const auto journey = mJourneys.find(each.mHost);
    const auto at = now.mPools.find(
      journey == mJourneys.end() ? each.mPool : journey->second.mTo);
    const bool isPooled = at != now.mPools.end();
    if (journey != mJourneys.end()) {
      if (isPooled) {
        ++at->second.mHave;
      }
      continue;
    }
    if (isPooled && each.mCapacity.mCpu > 0) {
      at->second.mPerHost = each.mCapacity;
    }
    if (!each.mIsUp || each.mIsUnfit || aTaken.count(each.mHost) > 0) {
      continue;
    }
    if (each.mIsSpare) {
      now.mSpare.push_back(each.mHost);
    } else if (isPooled) {
      ++at->second.mHave;
      if (mIdleSince.count(each.mHost) > 0) {
        at->second.mIdle.push_back(each.mHost);
      }
    }
  }
  return now;
}

void
pool_sizing::SetNeeds(const std::map<service_name, pool_load>& aLoads,
                      situation& aInto) const
{
  resources anyHost; // for a pool that has none at present
  for (const auto& [service, each] : aInto.mPools) {
    anyHost = each.mPerHost.mCpu > 0 ? each.mPerHost : anyHost;
  }
  for (auto& [service, each] : aInto.mPools) {
    const resources perHost = each.mPerHost.mCpu > 0 ? each.mPerHost : anyHost;
    each.mNeed = Need(aLoads.at(service), perHost);
    std::sort(each.mIdle.begin(),
              each.mIdle.end(),
              [this](const host_name& aLeft, const host_name& aRight) {
                return mIdleSince.at(aLeft) < mIdleSince.at(aRight);
              });
  }
}

bool
pool_sizing::IsFull(const situation& aSituation) const
{
  return mJourneys.size() + aSituation.mMoves.size() >=
         mSettings.mMaxMovesAtOnce;
}

// Spare hosts first, then idle ones of the pool that has the most too many.
void
pool_sizing::FillDeficits(situation& aInto) const
{
  const auto giver = [&aInto](const service_name& aExcept) {
    pool* best = nullptr;
    for (auto& [service, each] : aInto.mPools) {
      const bool canGive =
        service != aExcept && each.mHave > each.mNeed && !each.mIdle.empty();
      if (canGive && (best == nullptr ||
                      each.mHave - each.mNeed > best->mHave - best->mNeed)) {
        best = &each;
      }
    }
    return best;
  };
  for (auto& [service, each] : aInto.mPools) {
    while (each.mHave < each.mNeed && !IsFull(aInto)) {
      host_name chosen;
      if (!aInto.mSpare.empty()) {
        chosen = aInto.mSpare.back();
        aInto.mSpare.pop_back();
      } else if (pool* const from = giver(service)) {
        chosen = from->mIdle.front();
        from->mIdle.erase(from->mIdle.begin());
        --from->mHave;
      } else {
        break;
      }
      ++each.mHave;
      aInto.mMoves.push_back({ chosen, service });
    }
  }
}

void
pool_sizing::GiveUpIdle(const service_name& aSparePool,
                        time_point aNow,
                        situation& aInto) const
{
  for (auto& [service, each] : aInto.mPools) {
    for (const host_name& host : each.mIdle) {
      if (each.mHave <= each.mNeed || IsFull(aInto)) {
        break;
      }
      if (aNow - mIdleSince.at(host) >= mSettings.mIdleTime) {
        --each.mHave;
        aInto.mMoves.push_back({ host, aSparePool });
      }
    }
  }
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
