// Admission control: decides on arrival whether a request may wait for a slot
// of its pool.
//
// A request is refused at once if the predicted wait leaves no time to meet
// its target. Under overload, callers and teams that already have their fair
// share of the slots are refused earlier, which leaves capacity for the others:
//
//   admission gate(0.5);
//   if (auto refusal = gate.Admit(load, team, caller, now)) {
//     ... refuse the request with refusal->mCode ...
//   }
//   gate.Withdraw(grant, now);  // if the request ended without using a slot
#ifndef MANGOSPAN_REQUEST_INTERNAL_ADMISSION_H
#define MANGOSPAN_REQUEST_INTERNAL_ADMISSION_H

#include <chrono>
#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

#include "mangospan/base/identity.h"
#include "mangospan/base/time.h"
#include "mangospan/config/document.h"
#include "mangospan/request/internal/fair_share.h"
#include "mangospan/request/pipeline.h"

namespace mangospan::request {

// The load of a pool as a newly arrived request finds it. Slot time is the time
// for which requests occupy slots.
struct queue_load
{
  std::size_t mSlots = 0;    // usable slots of the pool
  bool mHasFreeSlot = false; // a slot is free and no request waits
  // Expected slot time of the requests that are queued ahead of this one.
  std::chrono::nanoseconds mWorkAhead{ 0 };
  std::chrono::nanoseconds mMeanSlotTime{ 0 }; // slot time of its class
  std::chrono::nanoseconds mWaitBudget{ 0 };   // longest acceptable wait
};

// The reason for refusing a request and the time after which to retry.
struct admission_refusal
{
  refusal_code mCode = refusal_code::kTargetOutOfReach;
  std::chrono::nanoseconds mRetryAfter{ 0 }; // when capacity is expected
};

// Returns how long a newly arrived request is expected to wait for a slot: zero
// if the pool has a free slot, or no slot at all.
std::chrono::nanoseconds
PredictedWait(const queue_load& aLoad);

// The slot time that an admitted request used up of its caller's share.
struct admission_grant
{
  team_name mTeam;
  caller_name mCaller;
  double mWork = 0; // seconds of slot time
  time_point mAt;   // when the request was admitted
};

// Admission control of one pool.
class admission
{
public:
  // `aFairnessThreshold`: fair shares are enforced once the predicted wait
  // exceeds this fraction of the wait budget, and for a while after a refusal.
  explicit admission(double aFairnessThreshold);

  // Returns std::nullopt if the request is admitted, and then counts its
  // expected slot time as granted to the caller; else returns the refusal.
  std::optional<admission_refusal> Admit(const queue_load& aLoad,
                                         const team_name& aTeam,
                                         const caller_name& aCaller,
                                         time_point aNow);

  // Takes back the grant of a request that ended without using a slot.
  void Withdraw(const admission_grant& aGrant, time_point aNow);

private:
  // Returns whether fair shares are enforced now.
  bool IsOverloaded(const queue_load& aLoad, time_point aNow) const;

  double mFairnessThreshold;
  fair_share mShares;
  time_point mOverloadedUntil;
};

// Enforces the configured request rate of each team with a token bucket, whose
// burst is the requests of one second. Teams without a rate are not limited.
class team_rates
{
public:
  // Adopts the teams' rates. A configured rate holds for the whole zone and is
  // divided evenly among its `aEntries` entries (zero counts as one). Buckets
  // of known teams keep their tokens.
  void Configure(const std::vector<config::team>& aTeams,
                 std::size_t aEntries,
                 time_point aNow);

  // Returns whether the team may send a request now, and if so, takes a token.
  bool Allow(const team_name& aTeam, time_point aNow);

private:
  struct bucket
  {
    double mRate = 0; // requests a second
    double mTokens = 0;
    time_point mRefilledAt;
  };

  std::unordered_map<team_name, bucket> mBuckets;
};

} // namespace mangospan::request

#endif // MANGOSPAN_REQUEST_INTERNAL_ADMISSION_H
