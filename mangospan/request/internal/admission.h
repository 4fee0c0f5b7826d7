// Decides on arrival whether a request may wait for a slot of its pool.
//
// A request is refused at once if the predicted wait leaves no time to meet
// its target. Under overload, callers and teams that already have their share
// of the slots are refused earlier, so that room is left for the others:
//
//   admission gate(0.5);
//   if (auto no = gate.Admit(load, team, caller, now)) { refuse with *no; }
//   gate.Withdraw(grant, now);  // if the request left without using a slot
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

// What awaits a request in its pool.
struct pool_load
{
  std::size_t mSlots = 0;                   // usable
  bool mFree = false;                       // a slot is free and none wait
  std::chrono::nanoseconds mWorkAhead{ 0 }; // slot time queued ahead of it
  std::chrono::nanoseconds mMean{ 0 };      // slot time of one like it
  std::chrono::nanoseconds mBudget{ 0 };    // it can wait so long at most
};

struct admission_refusal
{
  refusal_code mCode = refusal_code::kTargetOutOfReach;
  std::chrono::nanoseconds mRetryAfter{ 0 }; // until a place is expected
};

// How long the request would wait for a slot.
std::chrono::nanoseconds
PredictedWait(const pool_load& aLoad);

// What an admitted request took of its caller's share.
struct admission_grant
{
  team_name mTeam;
  caller_name mCaller;
  double mWork = 0; // seconds of slot time
  time_point mAt;
};

class admission
{
public:
  // `aThreshold`: shares count once the wait is over this part of the budget,
  // and for a while after a refusal.
  explicit admission(double aThreshold);

  // Empty if the request may wait; its work then counts as granted.
  std::optional<admission_refusal> Admit(const pool_load& aLoad,
                                         const team_name& aTeam,
                                         const caller_name& aCaller,
                                         time_point aNow);

  void Withdraw(const admission_grant& aGrant, time_point aNow);

private:
  bool Pressed(const pool_load& aLoad, time_point aNow) const;

  double mThreshold;
  fair_share mShares;
  time_point mPressedUntil;
};

// Keeps teams to the request rates of the configuration. A team may send the
// requests of one second at once.
class team_rates
{
public:
  // Each rate is for a zone and is divided by its `aEntries`, at least one.
  void Configure(const std::vector<config::team>& aTeams,
                 std::size_t aEntries,
                 time_point aNow);

  // Counts the request, unless it is over the team's rate.
  bool Allow(const team_name& aTeam, time_point aNow);

private:
  struct bucket
  {
    double mRate = 0; // requests a second
    double mTokens = 0;
    time_point mFilled;
  };

  std::unordered_map<team_name, bucket> mBuckets;
};

} // namespace mangospan::request

#endif // MANGOSPAN_REQUEST_INTERNAL_ADMISSION_H
