// Divides a pool's slot time fairly among teams, and within each team among
// its callers, while demand exceeds capacity.
//
//   fair_share shares;
//   auto& usage = shares.Offer(team, caller, work, now);
//   if (!shares.IsOverShare(usage, slots, now)) {
//     shares.Grant(usage, work, now);
//   }
//
// Work is slot time in seconds. A team or caller that asks for less than an
// equal share gets all it asks for, and the remaining capacity is divided among
// the others (max-min fairness).
#ifndef MANGOSPAN_REQUEST_INTERNAL_FAIR_SHARE_H
#define MANGOSPAN_REQUEST_INTERNAL_FAIR_SHARE_H

#include <cstddef>
#include <unordered_map>

#include "mangospan/base/identity.h"
#include "mangospan/base/time.h"

namespace mangospan::request {

// A sum of amounts, each of which decays exponentially with its age, so that
// only the last few seconds count.
class decaying_sum
{
public:
  void Add(double aAmount, time_point aNow);
  double Value(time_point aNow) const;

  // Returns what remains at `aNow` of `aAmount` that was added at `aThen`.
  static double Decayed(double aAmount, time_point aThen, time_point aNow);

private:
  double mValue = 0;
  time_point mUpdatedAt;
};

// The fair shares of one pool.
class fair_share
{
public:
  struct team;

  // The recent work of one caller of one team. References are valid until the
  // next call of `Offer`.
  struct caller_usage
  {
    decaying_sum mOffered;
    decaying_sum mGranted;
    const team* mTeam = nullptr;
  };

  // The callers of one team.
  struct team
  {
    std::unordered_map<caller_name, caller_usage> mCallers;
    double mFairLevel = 0; // granted work from which a caller is over share
  };

  // Counts requested work. Returns the record of the caller, or a record that
  // further callers have in common if there are too many callers.
  caller_usage& Offer(const team_name& aTeam,
                      const caller_name& aCaller,
                      double aWork,
                      time_point aNow);

  // Returns whether the caller already has its share of `aSlots` slots.
  bool IsOverShare(const caller_usage& aUsage,
                   std::size_t aSlots,
                   time_point aNow);

  // Counts work that was granted to the caller.
  void Grant(caller_usage& aUsage, double aWork, time_point aNow);

  // Takes back a grant made at `aThen` that used no slot.
  void Refund(const team_name& aTeam,
              const caller_name& aCaller,
              double aWork,
              time_point aThen,
              time_point aNow);

  // Returns the number of callers on record, which is bounded.
  std::size_t Size() const { return mSize; }

private:
  void UpdateFairLevels(std::size_t aSlots, time_point aNow);
  void EvictIdleCallers(time_point aNow);

  std::unordered_map<team_name, team> mTeams;
  std::size_t mSize = 0;
  time_point mLevelsUpdatedAt;
  time_point mLastEviction;
};

} // namespace mangospan::request

#endif // MANGOSPAN_REQUEST_INTERNAL_FAIR_SHARE_H
