#include "mangospan/request/internal/admission.h"

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

namespace mangospan::request {

namespace {

using std::chrono::nanoseconds;

constexpr nanoseconds kNoEndpointRetryAfter = std::chrono::seconds(1);
// In requests. Without it, a rate below one request a second would never fill
// a whole token.
constexpr double kMinBurst = 1;

// The time for which a pool counts as overloaded after a refusal.
constexpr std::chrono::seconds kOverloadDuration{ 1 };

double
Seconds(nanoseconds aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

} // namespace

nanoseconds
PredictedWait(const queue_load& aLoad)
{
  if (aLoad.mHasFreeSlot || aLoad.mSlots == 0) {
    return nanoseconds(0);
  }
  return (aLoad.mWorkAhead + aLoad.mMeanSlotTime) /
         static_cast<std::int64_t>(aLoad.mSlots);
}

admission::admission(double aFairnessThreshold)
  : mFairnessThreshold(aFairnessThreshold)
{
}

bool
admission::IsOverloaded(const queue_load& aLoad, time_point aNow) const
{
  return aNow < mOverloadedUntil ||
         Seconds(PredictedWait(aLoad)) >
           mFairnessThreshold * Seconds(aLoad.mWaitBudget);
}

// A class with a near deadline overtakes the others in the queue, so its own
// predicted wait says little about the load of the pool. Recent refusals of
// other classes therefore mark the pool as overloaded for every class.
std::optional<admission_refusal>
admission::Admit(const queue_load& aLoad,
                 const team_name& aTeam,
                 const caller_name& aCaller,
                 time_point aNow)
{
  if (aLoad.mSlots == 0) {
    return admission_refusal{ refusal_code::kNoEndpoint,
                              kNoEndpointRetryAfter };
  }
  const double work = Seconds(aLoad.mMeanSlotTime);
  fair_share::caller_usage& usage = mShares.Offer(aTeam, aCaller, work, aNow);
  if (!aLoad.mHasFreeSlot) {
    const nanoseconds wait = PredictedWait(aLoad);
    if (wait > aLoad.mWaitBudget) {
      mOverloadedUntil = aNow + kOverloadDuration;
      return admission_refusal{ refusal_code::kTargetOutOfReach,
                                wait - aLoad.mWaitBudget +
                                  aLoad.mMeanSlotTime };
    }
    if (IsOverloaded(aLoad, aNow) &&
        mShares.IsOverShare(usage, aLoad.mSlots, aNow)) {
      mOverloadedUntil = aNow + kOverloadDuration;
      return admission_refusal{
        refusal_code::kOverShare, std::max<nanoseconds>(wait, kOverloadDuration)
      };
    }
  }
  mShares.Grant(usage, work, aNow);
  return std::nullopt;
}

void
admission::Withdraw(const admission_grant& aGrant, time_point aNow)
{
  mShares.Refund(aGrant.mTeam, aGrant.mCaller, aGrant.mWork, aGrant.mAt, aNow);
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
    bucket updated;
    updated.mRate = team.mRequestsPerSecond / entries;
    updated.mTokens = std::max(kMinBurst, updated.mRate);
    updated.mRefilledAt = aNow;
    const auto held = mBuckets.find(team.mName);
    if (held != mBuckets.end()) {
      updated.mTokens = std::min(updated.mTokens, held->second.mTokens);
      updated.mRefilledAt = held->second.mRefilledAt;
    }
    buckets.emplace(team.mName, updated);
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
  const std::chrono::duration<double> elapsed = aNow - held.mRefilledAt;
  held.mTokens = std::min(std::max(kMinBurst, held.mRate),
                          held.mTokens + elapsed.count() * held.mRate);
  held.mRefilledAt = aNow;
  if (held.mTokens < 1) {
    return false;
  }
  held.mTokens -= 1;
  return true;
}

} // namespace mangospan::request
