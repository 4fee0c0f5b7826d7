#include "mangospan/request/internal/admission.h"

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

namespace mangospan::request {

namespace {

using std::chrono::nanoseconds;

constexpr nanoseconds kRetryWithoutSlots = std::chrono::seconds(1);
// Small rates are not rounded down to nothing.
constexpr double kSmallestBurst = 1;

template<typename Name>
std::size_t
Count(const std::unordered_map<Name, std::size_t>& aCounts, const Name& aName)
{
  const auto found = aCounts.find(aName);
  return found == aCounts.end() ? 0 : found->second;
}

// One share more than there are holders is kept free, for whoever comes next:
// a caller that is alone may fill half of the queue.
template<typename Name>
bool
OverShare(const std::unordered_map<Name, std::size_t>& aCounts,
          const Name& aName,
          double aPlaces)
{
  const std::size_t held = Count(aCounts, aName);
  const std::size_t holders = aCounts.size() + (held == 0 ? 1 : 0);
  const double share = aPlaces / static_cast<double>(holders + 1);
  return static_cast<double>(held) >= std::max(1.0, share);
}

template<typename Name>
void
Leave(std::unordered_map<Name, std::size_t>& aCounts, const Name& aName)
{
  const auto found = aCounts.find(aName);
  if (found != aCounts.end() && --found->second == 0) {
    aCounts.erase(found);
  }
}

} // namespace

nanoseconds
PredictedWait(const pool_load& aLoad)
{
  if (aLoad.mFree || aLoad.mSlots == 0) {
    return nanoseconds(0);
  }
  return (aLoad.mWorkAhead + aLoad.mMean) /
         static_cast<std::int64_t>(aLoad.mSlots);
}

admission::admission(double aThreshold)
  : mThreshold(aThreshold)
{
}

std::optional<admission_refusal>
admission::Check(const pool_load& aLoad,
                 const caller_name& aCaller,
                 const team_name& aTeam) const
{
  if (aLoad.mSlots == 0) {
    return admission_refusal{ refusal_code::kNoEndpoint, kRetryWithoutSlots };
  }
  if (aLoad.mFree) {
    return std::nullopt;
  }
  const nanoseconds wait = PredictedWait(aLoad);
  if (wait > aLoad.mBudget) {
    return admission_refusal{ refusal_code::kTargetOutOfReach,
                              wait - aLoad.mBudget + aLoad.mMean };
  }
  const auto budget = static_cast<double>(aLoad.mBudget.count());
  if (static_cast<double>(wait.count()) <= mThreshold * budget) {
    return std::nullopt;
  }
  const double places =
    budget * static_cast<double>(aLoad.mSlots) /
    static_cast<double>(std::max<std::int64_t>(1, aLoad.mMean.count()));
  if (OverShare(mCallers, aCaller, places) ||
      OverShare(mTeams, aTeam, places)) {
    return admission_refusal{ refusal_code::kOverShare, wait };
  }
  return std::nullopt;
}

void
admission::Entered(const caller_name& aCaller, const team_name& aTeam)
{
  ++mCallers[aCaller];
  ++mTeams[aTeam];
}

void
admission::Left(const caller_name& aCaller, const team_name& aTeam)
{
  Leave(mCallers, aCaller);
  Leave(mTeams, aTeam);
}

void
team_rates::Configure(const std::vector<config::team>& aTeams,
                      std::size_t aEntries,
                      time_point aNow)
{
  const auto entries = static_cast<double>(std::max<std::size_t>(1, aEntries));
  std::unordered_map<team_name, bucket> buckets;
  for (const config::team& team : aTeams) {
    if (team.mRequestsPerSecond <= 0) {
      continue;
    }
    bucket next;
    next.mRate = team.mRequestsPerSecond / entries;
    next.mTokens = std::max(kSmallestBurst, next.mRate);
    next.mFilled = aNow;
    const auto held = mBuckets.find(team.mName);
    if (held != mBuckets.end()) {
      next.mTokens = std::min(next.mTokens, held->second.mTokens);
      next.mFilled = held->second.mFilled;
    }
    buckets.emplace(team.mName, next);
  }
  mBuckets = std::move(buckets);
}

bool
team_rates::Allow(const team_name& aTeam, time_point aNow)
{
  const auto found = mBuckets.find(aTeam);
  if (found == mBuckets.end()) {
    return true;
  }
  bucket& held = found->second;
  const std::chrono::duration<double> passed = aNow - held.mFilled;
  held.mTokens = std::min(std::max(kSmallestBurst, held.mRate),
                          held.mTokens + passed.count() * held.mRate);
  held.mFilled = aNow;
  if (held.mTokens < 1) {
    return false;
  }
  held.mTokens -= 1;
  return true;
}

} // namespace mangospan::request
