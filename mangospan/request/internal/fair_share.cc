#include "mangospan/request/internal/fair_share.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iterator>
#include <limits>
#include <utility>
#include <vector>

namespace mangospan::request {

namespace {

using seconds_double = std::chrono::duration<double>;

constexpr seconds_double kDecayTime{ 2 };
constexpr std::chrono::milliseconds kLevelUpdateInterval{ 100 };
constexpr std::chrono::seconds kEvictionInterval{ 5 };
// Callers beyond this number share one record, to bound memory.
constexpr std::size_t kMaxCallers = 4096;
constexpr double kMinTrackedWork = 1e-4; // seconds of slot time
// The capacity that is divided, as a multiple of what the slots can serve at
// once, since much of the queued work is served after a peak. Whether a request
// can still meet its target is decided separately, in `admission`. A factor of
// one leaves queues short and refuses requests that could be served in time.
constexpr double kOvercommitFactor = 1.5;
constexpr double kUnlimited = std::numeric_limits<double>::infinity();

// Returns the level up to which each of `aOffered` is served if `aCapacity` is
// divided by max-min fairness; infinite if the capacity covers them all. Sorts
// `aOffered`.
double
FairLevel(std::vector<double>& aOffered, double aCapacity)
{
  std::sort(aOffered.begin(), aOffered.end());
  std::size_t remaining = aOffered.size();
  for (const double offered : aOffered) {
    const double equal = aCapacity / static_cast<double>(remaining);
    if (offered > equal) {
      return equal;
    }
    aCapacity -= offered;
    --remaining;
  }
  return kUnlimited;
}

} // namespace

double
decaying_sum::Decayed(double aAmount, time_point aThen, time_point aNow)
{
  return aAmount * std::exp(-seconds_double(aNow - aThen) / kDecayTime);
}

void
decaying_sum::Add(double aAmount, time_point aNow)
{
  mValue = std::max(0.0, Value(aNow) + aAmount);
  mUpdatedAt = aNow;
}

double
decaying_sum::Value(time_point aNow) const
{
  return mValue == 0 ? 0 : Decayed(mValue, mUpdatedAt, aNow);
}

fair_share::caller_usage&
fair_share::Offer(const team_name& aTeam,
                  const caller_name& aCaller,
                  double aWork,
                  time_point aNow)
{
  if (aNow >= mLastEviction + kEvictionInterval) {
    EvictIdleCallers(aNow);
  }
  auto team = mTeams.find(aTeam);
  const bool known =
    team != mTeams.end() && team->second.mCallers.count(aCaller) != 0;
  const bool shared = aTeam.Empty() && aCaller.Empty();
  if (!known && !shared && mSize >= kMaxCallers) {
    return Offer(team_name(), caller_name(), aWork, aNow);
  }
  if (team == mTeams.end()) {
    team = mTeams.try_emplace(aTeam).first;
    team->second.mFairLevel = kUnlimited;
  }
  const auto [at, inserted] = team->second.mCallers.try_emplace(aCaller);
  if (inserted) {
    at->second.mTeam = &team->second;
    ++mSize;
  }
  at->second.mOffered.Add(aWork, aNow);
  return at->second;
}

bool
fair_share::IsOverShare(const caller_usage& aUsage,
                        std::size_t aSlots,
                        time_point aNow)
{
  if (aNow >= mLevelsUpdatedAt + kLevelUpdateInterval) {
    UpdateFairLevels(aSlots, aNow);
  }
  return aUsage.mGranted.Value(aNow) >= aUsage.mTeam->mFairLevel;
}

void
fair_share::Grant(caller_usage& aUsage, double aWork, time_point aNow)
{
  aUsage.mGranted.Add(aWork, aNow);
}

void
fair_share::Refund(const team_name& aTeam,
                   const caller_name& aCaller,
                   double aWork,
                   time_point aThen,
                   time_point aNow)
{
  const auto team = mTeams.find(aTeam);
  if (team == mTeams.end()) {
    return;
  }
  const auto caller = team->second.mCallers.find(aCaller);
  if (caller != team->second.mCallers.end()) {
    caller->second.mGranted.Add(-decaying_sum::Decayed(aWork, aThen, aNow),
                                aNow);
  }
}

void
fair_share::UpdateFairLevels(std::size_t aSlots, time_point aNow)
{
  mLevelsUpdatedAt = aNow;
  std::vector<std::pair<team*, std::vector<double>>> offered;
  std::vector<double> totals;
  for (auto& [name, each] : mTeams) {
    std::vector<double> callerOffers;
    double total = 0;
    for (const auto& [caller, held] : each.mCallers) {
      callerOffers.push_back(held.mOffered.Value(aNow));
      total += callerOffers.back();
    }
    offered.emplace_back(&each, std::move(callerOffers));
    totals.push_back(total);
  }
  const double capacity =
    static_cast<double>(aSlots) * kDecayTime.count() * kOvercommitFactor;
  const double teamLevel = FairLevel(totals, capacity);
  for (auto& [each, callerOffers] : offered) {
    each->mFairLevel = FairLevel(callerOffers, teamLevel);
  }
}

void
fair_share::EvictIdleCallers(time_point aNow)
{
  mLastEviction = aNow;
  for (auto team = mTeams.begin(); team != mTeams.end();) {
    auto& callers = team->second.mCallers;
    for (auto at = callers.begin(); at != callers.end();) {
      const bool idle = at->second.mOffered.Value(aNow) < kMinTrackedWork;
      at = idle ? callers.erase(at) : std::next(at);
      mSize -= idle ? 1 : 0;
    }
    team = callers.empty() ? mTeams.erase(team) : std::next(team);
  }
}

} // namespace mangospan::request
