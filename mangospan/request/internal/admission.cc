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

// For how long after a refusal a pool counts as overloaded.
constexpr std::chrono::seconds kPressedFor{ 1 };

double
Seconds(nanoseconds aTime)
{
  return std::chrono::duration<double>(aTime).count();
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

bool
admission::Pressed(const pool_load& aLoad, time_point aNow) const
{
  return aNow < mPressedUntil ||
         Seconds(PredictedWait(aLoad)) > mThreshold * Seconds(aLoad.mBudget);
}

// A class with a near deadline overtakes the others, so its own wait says
// little about the pool; that others are refused does.
std::optional<admission_refusal>
admission::Admit(const pool_load& aLoad,
                 const team_name& aTeam,
                 const caller_name& aCaller,
                 time_point aNow)
{
  if (aLoad.mSlots == 0) {
    return admission_refusal{ refusal_code::kNoEndpoint, kRetryWithoutSlots };
  }
  const double work = Seconds(aLoad.mMean);
  fair_share::holder& holder = mShares.Offer(aTeam, aCaller, work, aNow);
  if (!aLoad.mFree) {
    const nanoseconds wait = PredictedWait(aLoad);
    if (wait > aLoad.mBudget) {
      mPressedUntil = aNow + kPressedFor;
      return admission_refusal{ refusal_code::kTargetOutOfReach,
                                wait - aLoad.mBudget + aLoad.mMean };
    }
    if (Pressed(aLoad, aNow) && mShares.Over(holder, aLoad.mSlots, aNow)) {
      mPressedUntil = aNow + kPressedFor;
      return admission_refusal{ refusal_code::kOverShare,
                                std::max<nanoseconds>(wait, kPressedFor) };
    }
  }
  mShares.Grant(holder, work, aNow);
  return std::nullopt;
}

void
admission::Withdraw(const admission_grant& aGrant, time_point aNow)
{
  mShares.Return(aGrant.mTeam, aGrant.mCaller, aGrant.mWork, aGrant.mAt, aNow);
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
