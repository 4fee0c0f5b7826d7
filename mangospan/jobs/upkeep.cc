#include "mangospan/jobs/upkeep.h"

#include <algorithm>

namespace mangospan::jobs {

namespace {

// Hosts with few runs are drained first. Moving a long-running run costs as
// much as waiting for this many other runs to end.
constexpr std::size_t kLongRunningWeight = 4;

} // namespace

upkeep_plan::upkeep_plan(upkeep_settings aSettings)
  : mSettings(aSettings)
{
}

void
upkeep_plan::AddWave(std::uint64_t aWave,
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
upkeep_plan::AddMaintained(std::uint64_t aWave,
                           const std::vector<host_name>& aHosts)
{
  const auto found = mWaves.find(aWave);
  if (found == mWaves.end()) {
    return;
  }
  for (const host_name& each : aHosts) {
    const auto entry = found->second.mMembers.find(each);
    if (entry != found->second.mMembers.end() &&
        entry->second.mPhase < phase::kDown) {
      // The host may still be down. UpdateReturnedHosts() finds out from the
      // next listing.
      entry->second.mPhase = phase::kDown;
    }
  }
}

upkeep_plan::member*
upkeep_plan::Find(const upkeep_order& aOrder)
{
  const auto found = mWaves.find(aOrder.mWave);
  if (found == mWaves.end()) {
    return nullptr;
  }
  const auto entry = found->second.mMembers.find(aOrder.mHost);
  return entry == found->second.mMembers.end() ? nullptr : &entry->second;
}

void
upkeep_plan::UpdateReturnedHosts(wave& aWave,
                                 const std::map<host_name, host_view>& aHosts,
                                 time_point aListedAt)
{
  for (auto& [host, each] : aWave.mMembers) {
    const auto view = aHosts.find(host);
    const bool isUp = view != aHosts.end() && view->second.mIsUp;
    if (each.mPhase == phase::kDown && isUp && aListedAt > each.mPhaseSince) {
      each.mPhase = phase::kFinished;
    }
  }
}

upkeep_decision
upkeep_plan::Decide(const std::vector<host_view>& aHosts,
                    time_point aListedAt,
                    time_point aNow)
{
  std::map<host_name, host_view> byName;
  for (const host_view& each : aHosts) {
    byName.emplace(each.mHost, each);
  }
  upkeep_decision decision;
  for (auto& [number, each] : mWaves) {
    UpdateReturnedHosts(each, byName, aListedAt);
    wave_counts counts = CountHosts(number, each, byName, aNow, decision);
    OrderMaintenance(number, each, aNow, counts, decision);
    BeginDraining(each, aNow, counts, decision);
  }
  return decision;
}

upkeep_plan::wave_counts
upkeep_plan::CountHosts(std::uint64_t aNumber,
                        wave& aWave,
                        const std::map<host_name, host_view>& aHosts,
                        time_point aNow,
                        upkeep_decision& aDecision) const
{
  wave_counts counts;
  for (auto& [host, each] : aWave.mMembers) {
    const auto view = aHosts.find(host);
    const bool isDownOrOrdered =
      each.mPhase == phase::kDown || each.mPhase == phase::kOrdered;
    if (isDownOrOrdered) {
      ++counts.mDown;
      aDecision.mClosed.insert(host);
    }
    if (view == aHosts.end()) {
      continue;
    }
    if (view->second.mIsUp) {
      AssessUpHost(view->second, aNumber, aNow, each, counts, aDecision);
    } else if (view->second.mIsInUpkeep && !isDownOrOrdered) {
      ++counts.mDown; // an earlier owner has taken it down
    }
  }
  return counts;
}

void
upkeep_plan::AssessUpHost(const host_view& aHost,
                          std::uint64_t aNumber,
                          time_point aNow,
                          member& aMember,
                          wave_counts& aCounts,
                          upkeep_decision& aDecision) const
{
  if (aMember.mPhase == phase::kOrdered && aNow >= aMember.mNotBefore) {
    aDecision.mOrders.push_back(
      { aHost.mHost, aNumber }); // resolves the unknown result
    aMember.mNotBefore = aNow + mSettings.mRetryDelay;
  } else if (aMember.mPhase == phase::kPending) {
    aCounts.mPending.emplace_back(
      aHost.mRuns + kLongRunningWeight * aHost.mLasting, aHost.mHost);
  } else if (aMember.mPhase == phase::kDraining) {
    ++aCounts.mDraining;
    aDecision.mClosed.insert(aHost.mHost);
    if (aHost.mLasting > 0) {
      aDecision.mEvict.push_back(aHost.mHost);
    }
    const bool isOverdue = aHost.mLasting == 0 &&
                           aNow - aMember.mPhaseSince > mSettings.mDrainTimeout;
    const bool isReady = aHost.mIsKnown && (aHost.mRuns == 0 || isOverdue);
    if (isReady && aNow >= aMember.mNotBefore) {
      aCounts.mReady.emplace_back(aHost.mRuns, aHost.mHost);
    }
  }
}

void
upkeep_plan::OrderMaintenance(std::uint64_t aNumber,
                              wave& aWave,
                              time_point aNow,
                              wave_counts& aCounts,
                              upkeep_decision& aDecision) const
{
  std::sort(aCounts.mReady.begin(), aCounts.mReady.end());
  for (const auto& [runs, host] : aCounts.mReady) {
    if (aCounts.mDown >= aWave.mMaxDown) {
      return;
    }
    aWave.mMembers.at(
      host) = { phase::kOrdered, aNow, aNow + mSettings.mRetryDelay };
    aDecision.mOrders.push_back({ host, aNumber });
    ++aCounts.mDown;
    --aCounts.mDraining;
  }
}

void
upkeep_plan::BeginDraining(wave& aWave,
                           time_point aNow,
                           wave_counts& aCounts,
                           upkeep_decision& aDecision) const
{
  std::sort(aCounts.mPending.begin(), aCounts.mPending.end());
  for (const auto& [cost, host] : aCounts.mPending) {
    if (aCounts.mDown + aCounts.mDraining >=
        aWave.mMaxDown + mSettings.mDrainAhead) {
      return;
    }
    aWave.mMembers.at(host) = { phase::kDraining, aNow, time_point{} };
    aDecision.mClosed.insert(host);
    ++aCounts.mDraining;
  }
}

void
upkeep_plan::OnBegun(const upkeep_order& aOrder, time_point aNow)
{
  if (member* const found = Find(aOrder)) {
    found->mPhase = phase::kDown;
    found->mPhaseSince = aNow;
  }
}

void
upkeep_plan::OnUnknown(const upkeep_order& aOrder, time_point aNow)
{
  if (member* const found = Find(aOrder)) {
    found->mNotBefore = aNow;
  }
}

void
upkeep_plan::OnNotDone(const upkeep_order& aOrder, time_point aNow)
{
  if (member* const found = Find(aOrder)) {
    found->mPhase = phase::kDraining;
    found->mNotBefore = aNow + mSettings.mRetryDelay;
  }
}

void
upkeep_plan::OnRefused(const upkeep_order& aOrder)
{
  if (member* const found = Find(aOrder)) {
    found->mPhase = phase::kFinished;
  }
}

bool
upkeep_plan::IsCompleted(std::uint64_t aWave) const
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
upkeep_plan::Waves() const
{
  std::vector<std::uint64_t> numbers;
  for (const auto& [number, each] : mWaves) {
    numbers.push_back(number);
  }
  return numbers;
}

std::vector<host_name>
upkeep_plan::Maintained(std::uint64_t aWave) const
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
