#include "mangospan/jobs/upkeep.h"

#include <algorithm>

namespace mangospan::jobs {

namespace {

// Hosts with few runs go first; moving a lasting run costs as much as waiting
// for this many others.
constexpr std::size_t kLastingCost = 4;

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
    census now = Count(number, each, byName, aNow, decision);
    TakeDown(number, each, aNow, now, decision);
    BeginEmptying(each, aNow, now, decision);
  }
  return decision;
}

upkeep_plan::census
upkeep_plan::Count(std::uint64_t aNumber,
                   wave& aWave,
                   const std::map<host_name, host_view>& aHosts,
                   time_point aNow,
                   upkeep_decision& aInto) const
{
  census now;
  for (auto& [host, each] : aWave.mMembers) {
    const auto seen = aHosts.find(host);
    const bool isCounted =
      each.mPhase == phase::kDown || each.mPhase == phase::kOrdered;
    if (isCounted) {
      ++now.mDown;
      aInto.mClosed.insert(host);
    }
    if (seen == aHosts.end()) {
      continue;
    }
    if (seen->second.mIsUp) {
      CountUp(seen->second, aNumber, aNow, each, now, aInto);
    } else if (seen->second.mIsInUpkeep && !isCounted) {
      ++now.mDown; // an earlier owner has sent it down
    }
  }
  return now;
}

void
upkeep_plan::CountUp(const host_view& aHost,
                     std::uint64_t aNumber,
                     time_point aNow,
                     member& aMember,
                     census& aCensus,
                     upkeep_decision& aInto) const
{
  if (aMember.mPhase == phase::kOrdered && aNow >= aMember.mNotBefore) {
    aInto.mOrders.push_back({ aHost.mHost, aNumber }); // settles its result
    aMember.mNotBefore = aNow + mSettings.mRetry;
  } else if (aMember.mPhase == phase::kPending) {
    aCensus.mPending.emplace_back(aHost.mRuns + kLastingCost * aHost.mLasting,
                                  aHost.mHost);
  } else if (aMember.mPhase == phase::kEmptying) {
    ++aCensus.mEmptying;
    aInto.mClosed.insert(aHost.mHost);
    if (aHost.mLasting > 0) {
      aInto.mEvict.push_back(aHost.mHost);
    }
    const bool isOverdue =
      aHost.mLasting == 0 && aNow - aMember.mSince > mSettings.mPatience;
    const bool mayGo = aHost.mIsKnown && (aHost.mRuns == 0 || isOverdue);
    if (mayGo && aNow >= aMember.mNotBefore) {
      aCensus.mReady.emplace_back(aHost.mRuns, aHost.mHost);
    }
  }
}

void
upkeep_plan::TakeDown(std::uint64_t aNumber,
                      wave& aWave,
                      time_point aNow,
                      census& aCensus,
                      upkeep_decision& aInto) const
{
  std::sort(aCensus.mReady.begin(), aCensus.mReady.end());
  for (const auto& [runs, host] : aCensus.mReady) {
    if (aCensus.mDown >= aWave.mMaxDown) {
      return;
    }
    aWave.mMembers.at(
      host) = { phase::kOrdered, aNow, aNow + mSettings.mRetry };
    aInto.mOrders.push_back({ host, aNumber });
    ++aCensus.mDown;
    --aCensus.mEmptying;
  }
}

void
upkeep_plan::BeginEmptying(wave& aWave,
                           time_point aNow,
                           census& aCensus,
                           upkeep_decision& aInto) const
{
  std::sort(aCensus.mPending.begin(), aCensus.mPending.end());
  for (const auto& [cost, host] : aCensus.mPending) {
    if (aCensus.mDown + aCensus.mEmptying >=
        aWave.mMaxDown + mSettings.mEmptyAhead) {
      return;
    }
    aWave.mMembers.at(host) = { phase::kEmptying, aNow, time_point{} };
    aInto.mClosed.insert(host);
    ++aCensus.mEmptying;
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

} // namespace mangospan::jobs
