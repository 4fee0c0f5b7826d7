#include "mangospan/jobs/maintenance_planner.h"

#include <algorithm>

namespace mangospan::jobs {

namespace {

// Hosts with few runs are drained first. Moving a long-running run costs as
// much as waiting for this many other runs to end.
constexpr std::size_t kLongRunningWeight = 4;

} // namespace

maintenance_planner::maintenance_planner(maintenance_settings aSettings)
  : mSettings(aSettings)
{
}

void
maintenance_planner::AddWave(std::uint64_t aWave,
                             const std::vector<host_name>& aHosts,
                             time_point aCompleteBy,
                             std::size_t aMaxDown)
{
  wave& added = mWaves[aWave];
  added.mCompleteBy = aCompleteBy;
  added.mMaxDown = std::max<std::size_t>(aMaxDown, 1);
  for (const host_name& each : aHosts) {
    added.mMembers.emplace(each, member{});
  }
}

void
maintenance_planner::AddMaintainedHosts(std::uint64_t aWave,
                                        const std::vector<host_name>& aHosts)
{
  const auto found = mWaves.find(aWave);
  if (found == mWaves.end()) {
    return;
  }
  for (const host_name& each : aHosts) {
    mUnsettledOrders.erase({ aWave, each });
    const auto entry = found->second.mMembers.find(each);
    if (entry != found->second.mMembers.end() &&
        entry->second.mPhase < phase::kDown) {
      // The host may still be down. UpdateReturnedHosts() finds out from the
      // next listing.
      entry->second.mPhase = phase::kDown;
    }
  }
}

void
maintenance_planner::AddUnsettledOrder(const maintenance_order& aOrder)
{
  const member* const found = Find(aOrder);
  if (found == nullptr || found->mPhase < phase::kDown) {
    mUnsettledOrders.emplace(aOrder.mWave, aOrder.mHost);
  }
}

bool
maintenance_planner::IsUnsettled(const host_name& aHost) const
{
  return std::any_of(
    mUnsettledOrders.begin(), mUnsettledOrders.end(), [&](const auto& aEntry) {
      return aEntry.second == aHost;
    });
}

maintenance_planner::member*
maintenance_planner::Find(const maintenance_order& aOrder)
{
  const auto found = mWaves.find(aOrder.mWave);
  if (found == mWaves.end()) {
    return nullptr;
  }
  const auto entry = found->second.mMembers.find(aOrder.mHost);
  return entry == found->second.mMembers.end() ? nullptr : &entry->second;
}

// Returns whether a host that was ordered down is no longer down for its
// maintenance. An order with no result yet may be executed late, but only on a
// host that is up.
bool
maintenance_planner::IsLost(const member& aMember, time_point aListedAt) const
{
  const time_point since =
    std::max({ aMember.mPresentAt, aMember.mPhaseSince, aMember.mNotBefore });
  return aListedAt - since >= mSettings.mLostAfter;
}

void
maintenance_planner::UpdateReturnedHosts(
  std::uint64_t aNumber,
  wave& aWave,
  const std::map<host_name, host_view>& aHosts,
  time_point aListedAt)
{
  for (auto& [host, each] : aWave.mMembers) {
    const auto view = aHosts.find(host);
    const bool isUp = view != aHosts.end() && view->second.mIsUp;
    const bool isInMaintenance =
      view != aHosts.end() && view->second.mIsInMaintenance;
    if (isUp || isInMaintenance || each.mPresentAt == time_point{}) {
      each.mPresentAt = aListedAt;
    }
    if (isInMaintenance || IsLost(each, aListedAt)) {
      mUnsettledOrders.erase({ aNumber, host });
    }
    if (each.mPhase == phase::kDown &&
        ((isUp && aListedAt > each.mPhaseSince) || IsLost(each, aListedAt))) {
      each.mPhase = phase::kFinished;
    } else if (each.mPhase == phase::kOrdered && IsLost(each, aListedAt)) {
      // It may not have been down, and has to be if it comes back.
      each.mPhase = phase::kPending;
    }
  }
}

maintenance_decision
maintenance_planner::Decide(const std::vector<host_view>& aHosts,
                            time_point aListedAt,
                            time_point aNow)
{
  std::map<host_name, host_view> byName;
  for (const host_view& each : aHosts) {
    byName.emplace(each.mHost, each);
  }
  maintenance_decision decision;
  for (auto& [number, each] : mWaves) {
    UpdateReturnedHosts(number, each, byName, aListedAt);
    wave_counts counts = CountHosts(number, each, byName, aNow, decision);
    OrderMaintenance(number, each, aNow, counts, decision);
    BeginDraining(number, each, aNow, counts, decision);
  }
  return decision;
}

maintenance_planner::wave_counts
maintenance_planner::CountHosts(std::uint64_t aNumber,
                                wave& aWave,
                                const std::map<host_name, host_view>& aHosts,
                                time_point aNow,
                                maintenance_decision& aDecision) const
{
  wave_counts counts;
  for (auto& [host, each] : aWave.mMembers) {
    const auto view = aHosts.find(host);
    const bool isDownOrOrdered =
      each.mPhase == phase::kDown || each.mPhase == phase::kOrdered;
    if (isDownOrOrdered) {
      ++counts.mDown;
      aDecision.mCordoned.insert(host);
    } else if (IsUnsettled(aNumber, host)) {
      ++counts.mDown; // it may go down at any time
    }
    if (view == aHosts.end()) {
      continue;
    }
    if (view->second.mIsUp) {
      AssessUpHost(view->second, aNumber, aNow, each, counts, aDecision);
    } else if (view->second.mIsInMaintenance && !isDownOrOrdered) {
      ++counts.mDown; // an earlier owner has taken it down
    }
  }
  return counts;
}

void
maintenance_planner::NoteLongRunningRuns(const host_view& aHost,
                                         time_point aNow,
                                         member& aMember)
{
  if (aHost.mLongRunningCount != aMember.mLongRunningLeft) {
    aMember.mLongRunningLeft = aHost.mLongRunningCount;
    aMember.mLongRunningSince = aNow;
  }
}

// Returns whether no long-running run has left the host for the drain timeout.
bool
maintenance_planner::IsStuck(const member& aMember, time_point aNow) const
{
  const time_point since =
    std::max(aMember.mPhaseSince, aMember.mLongRunningSince);
  return aMember.mLongRunningLeft > 0 && aNow - since > mSettings.mDrainTimeout;
}

void
maintenance_planner::AssessUpHost(const host_view& aHost,
                                  std::uint64_t aNumber,
                                  time_point aNow,
                                  member& aMember,
                                  wave_counts& aCounts,
                                  maintenance_decision& aDecision) const
{
  NoteLongRunningRuns(aHost, aNow, aMember);
  if (aMember.mPhase == phase::kOrdered && aNow >= aMember.mNotBefore) {
    aDecision.mOrders.push_back(
      { aHost.mHost, aNumber }); // resolves the unknown result
    aMember.mNotBefore = aNow + mSettings.mRetryDelay;
  } else if (aMember.mPhase == phase::kDraining && IsStuck(aMember, aNow)) {
    aMember.mPhase = phase::kPending;
    aMember.mNotBefore = aNow + mSettings.mGiveBackTime;
  } else if (aMember.mPhase == phase::kPending && aNow >= aMember.mNotBefore) {
    aCounts.mPending.emplace_back(aHost.mRunCount + kLongRunningWeight *
                                                      aHost.mLongRunningCount,
                                  aHost.mHost);
  } else if (aMember.mPhase == phase::kDraining) {
    ++aCounts.mDraining;
    aDecision.mCordoned.insert(aHost.mHost);
    if (aHost.mLongRunningCount > 0) {
      aDecision.mEvictFrom.push_back(aHost.mHost);
    }
    const bool isOverdue = aHost.mLongRunningCount == 0 &&
                           aNow - aMember.mPhaseSince > mSettings.mDrainTimeout;
    const bool isReady =
      aHost.mAreRunsKnown && (aHost.mRunCount == 0 || isOverdue);
    if (isReady && aNow >= aMember.mNotBefore) {
      aCounts.mReady.emplace_back(aHost.mRunCount, aHost.mHost);
    }
  }
}

void
maintenance_planner::OrderMaintenance(std::uint64_t aNumber,
                                      wave& aWave,
                                      time_point aNow,
                                      wave_counts& aCounts,
                                      maintenance_decision& aDecision) const
{
  std::sort(aCounts.mReady.begin(), aCounts.mReady.end());
  for (const auto& [runs, host] : aCounts.mReady) {
    const bool isCountedAsDown = IsUnsettled(aNumber, host);
    if (aCounts.mDown >= aWave.mMaxDown && !isCountedAsDown) {
      continue;
    }
    aWave.mMembers.at(
      host) = { phase::kOrdered, aNow, aNow + mSettings.mRetryDelay };
    aDecision.mOrders.push_back({ host, aNumber });
    aCounts.mDown += isCountedAsDown ? 0 : 1;
    --aCounts.mDraining;
  }
}

void
maintenance_planner::BeginDraining(std::uint64_t aNumber,
                                   wave& aWave,
                                   time_point aNow,
                                   wave_counts& aCounts,
                                   maintenance_decision& aDecision) const
{
  std::sort(aCounts.mPending.begin(), aCounts.mPending.end());
  for (const auto& [cost, host] : aCounts.mPending) {
    const bool isAtLimit = aCounts.mDown + aCounts.mDraining >=
                           aWave.mMaxDown + mSettings.mDrainAhead;
    if (isAtLimit && !IsUnsettled(aNumber, host)) {
      continue;
    }
    aWave.mMembers.at(host) = { phase::kDraining, aNow, time_point{} };
    aDecision.mCordoned.insert(host);
    ++aCounts.mDraining;
  }
}

void
maintenance_planner::StopDraining()
{
  for (auto& [number, each] : mWaves) {
    for (auto& [host, hostMember] : each.mMembers) {
      if (hostMember.mPhase == phase::kDraining) {
        hostMember.mPhase = phase::kPending;
      }
    }
  }
}

std::set<host_name>
maintenance_planner::OrderedHosts() const
{
  std::set<host_name> out;
  for (const auto& [number, each] : mWaves) {
    for (const auto& [host, hostMember] : each.mMembers) {
      if (hostMember.mPhase == phase::kOrdered ||
          hostMember.mPhase == phase::kDown) {
        out.insert(host);
      }
    }
  }
  return out;
}

void
maintenance_planner::OnExecuted(const maintenance_order& aOrder,
                                time_point aNow)
{
  if (member* const found = Find(aOrder)) {
    found->mPhase = phase::kDown;
    found->mPhaseSince = aNow;
    mUnsettledOrders.erase({ aOrder.mWave, aOrder.mHost });
  }
}

void
maintenance_planner::OnResultUnknown(const maintenance_order& aOrder,
                                     time_point aNow)
{
  if (member* const found = Find(aOrder)) {
    found->mNotBefore = aNow;
  }
}

void
maintenance_planner::OnNotExecuted(const maintenance_order& aOrder,
                                   time_point aNow)
{
  if (member* const found = Find(aOrder)) {
    found->mPhase = phase::kDraining;
    found->mNotBefore = aNow + mSettings.mRetryDelay;
  }
}

void
maintenance_planner::OnRefused(const maintenance_order& aOrder)
{
  if (member* const found = Find(aOrder)) {
    found->mPhase = phase::kFinished;
    mUnsettledOrders.erase({ aOrder.mWave, aOrder.mHost });
  }
}

bool
maintenance_planner::IsCompleted(std::uint64_t aWave) const
{
  const auto found = mWaves.find(aWave);
  return found != mWaves.end() &&
         std::all_of(found->second.mMembers.begin(),
                     found->second.mMembers.end(),
                     [](const auto& aEntry) {
                       return aEntry.second.mPhase == phase::kFinished;
                     });
}

std::vector<std::uint64_t>
maintenance_planner::Waves() const
{
  std::vector<std::uint64_t> numbers;
  for (const auto& [number, each] : mWaves) {
    numbers.push_back(number);
  }
  return numbers;
}

std::vector<host_name>
maintenance_planner::MaintainedHosts(std::uint64_t aWave) const
{
  std::vector<host_name> hosts;
  const auto found = mWaves.find(aWave);
  if (found == mWaves.end()) {
    return hosts;
  }
  for (const auto& [host, each] : found->second.mMembers) {
    if (each.mPhase >= phase::kDown) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

} // namespace mangospan::jobs
