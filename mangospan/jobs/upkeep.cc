#include "mangospan/jobs/upkeep.h"

#include <algorithm>

namespace mangospan::jobs {

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
    const auto one = found->second.mMembers.find(each);
    if (one != found->second.mMembers.end() &&
        one->second.mPhase < phase::kDown) {
      // It may still be down: a listing tells.
      one->second.mPhase = phase::kDown;
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
  const auto one = found->second.mMembers.find(aOrder.mHost);
  return one == found->second.mMembers.end() ? nullptr : &one->second;
}

void
upkeep_plan::NoteReturns(wave& aWave,
                         const std::map<host_name, host_view>& aHosts,
                         time_point aListedAt)
{
  for (auto& [host, each] : aWave.mMembers) {
    const auto seen = aHosts.find(host);
    const bool isUp = seen != aHosts.end() && seen->second.mIsUp;
    if (each.mPhase == phase::kDown && isUp && aListedAt > each.mSince) {
      each.mPhase = phase::kBack;
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
    NoteReturns(each, byName, aListedAt);
    DecideWave(number, each, byName, aNow, decision);
  }
  return decision;
}

void
upkeep_plan::DecideWave(std::uint64_t aNumber,
                        wave& aWave,
                        const std::map<host_name, host_view>& aHosts,
                        time_point aNow,
                        upkeep_decision& aInto) const
{
  std::size_t down = 0;
  std::size_t emptying = 0;
  std::vector<std::pair<std::size_t, host_name>> pending;
  std::vector<std::pair<std::size_t, host_name>> ready;
  for (auto& [host, each] : aWave.mMembers) {
    const auto seen = aHosts.find(host);
    if (each.mPhase == phase::kDown || each.mPhase == phase::kOrdered) {
      ++down;
      aInto.mClosed.insert(host);
    }
    if (seen == aHosts.end()) {
      continue;
    }
    if (!seen->second.mIsUp) {
      const bool isCounted =
        each.mPhase == phase::kDown || each.mPhase == phase::kOrdered;
      // An earlier owner has sent it down.
      down += seen->second.mIsInUpkeep && !isCounted ? 1 : 0;
      continue;
    }
    const host_view& view = seen->second;
    if (each.mPhase == phase::kOrdered && aNow >= each.mNotBefore) {
      aInto.mOrders.push_back({ host, aNumber }); // settles an unknown result
      each.mNotBefore = aNow + mSettings.mRetry;
    } else if (each.mPhase == phase::kPending) {
      pending.emplace_back(view.mRuns + 4 * view.mLasting, host);
    } else if (each.mPhase == phase::kEmptying) {
      ++emptying;
      aInto.mClosed.insert(host);
      if (view.mLasting > 0) {
        aInto.mEvict.push_back(host);
      }
      const bool isOverdue = view.mIsKnown && view.mLasting == 0 &&
                             aNow - each.mSince > mSettings.mPatience;
      const bool isEmpty = view.mIsKnown && view.mRuns == 0;
      if ((isEmpty || isOverdue) && aNow >= each.mNotBefore) {
        ready.emplace_back(view.mRuns, host);
      }
    }
  }
  std::sort(ready.begin(), ready.end());
  for (const auto& [runs, host] : ready) {
    if (down >= aWave.mMaxDown) {
      break;
    }
    member& chosen = aWave.mMembers.at(host);
    chosen.mPhase = phase::kOrdered;
    chosen.mSince = aNow;
    chosen.mNotBefore = aNow + mSettings.mRetry;
    aInto.mOrders.push_back({ host, aNumber });
    ++down;
    --emptying;
  }
  std::sort(pending.begin(), pending.end());
  for (const auto& [cost, host] : pending) {
    if (down + emptying >= aWave.mMaxDown + mSettings.mEmptyAhead) {
      break;
    }
    member& chosen = aWave.mMembers.at(host);
    chosen.mPhase = phase::kEmptying;
    chosen.mSince = aNow;
    aInto.mClosed.insert(host);
    ++emptying;
  }
}

void
upkeep_plan::OnBegun(const upkeep_order& aOrder, time_point aNow)
{
  if (member* const found = Find(aOrder)) {
    found->mPhase = phase::kDown;
    found->mSince = aNow;
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
    found->mPhase = phase::kEmptying;
    found->mNotBefore = aNow + mSettings.mRetry;
  }
}

void
upkeep_plan::OnRefused(const upkeep_order& aOrder)
{
  if (member* const found = Find(aOrder)) {
    found->mPhase = phase::kBack;
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
                       return aEntry.second.mPhase == phase::kBack;
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

bool
upkeep_plan::IsBusy() const
{
  return std::any_of(mWaves.begin(), mWaves.end(), [this](const auto& aEntry) {
    return !IsCompleted(aEntry.first);
  });
}

} // namespace mangospan::jobs
