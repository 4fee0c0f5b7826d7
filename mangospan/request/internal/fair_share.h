// Divides a pool's slot time fairly among teams, and within each team among
// its callers, while they ask for more than there is.
//
//   fair_share shares;
//   auto& holder = shares.Offer(team, caller, work, now);
//   if (!shares.Over(holder, slots, now)) { shares.Grant(holder, work, now); }
//
// Work is slot time in seconds. Whoever asks for less than an equal share gets
// all of it, and what is left is divided among the others (max-min fairness).
#ifndef MANGOSPAN_REQUEST_INTERNAL_FAIR_SHARE_H
#define MANGOSPAN_REQUEST_INTERNAL_FAIR_SHARE_H

#include <cstddef>
#include <unordered_map>

#include "mangospan/base/identity.h"
#include "mangospan/base/time.h"

namespace mangospan::request {

// An amount of which only the last seconds count: it decays exponentially.
class recent_amount
{
public:
  void Add(double aAmount, time_point aNow);
  double Value(time_point aNow) const;

  // What `aAmount`, added at `aThen`, still counts for.
  static double Left(double aAmount, time_point aThen, time_point aNow);

private:
  double mValue = 0;
  time_point mAt;
};

class fair_share
{
public:
  struct team;

  // One caller of one team. References hold until the next `Offer`.
  struct holder
  {
    recent_amount mOffered;
    recent_amount mGranted;
    const team* mTeam = nullptr;
  };

  struct team
  {
    std::unordered_map<caller_name, holder> mCallers;
    double mLevel = 0; // of granted work, above which a caller is over
  };

  // Counts work that is asked for.
  holder& Offer(const team_name& aTeam,
                const caller_name& aCaller,
                double aWork,
                time_point aNow);

  // Whether the caller already has its share of `aSlots` slots.
  bool Over(const holder& aHolder, std::size_t aSlots, time_point aNow);

  void Grant(holder& aHolder, double aWork, time_point aNow);

  // Takes back a grant of `aThen` that used no slot.
  void Return(const team_name& aTeam,
              const caller_name& aCaller,
              double aWork,
              time_point aThen,
              time_point aNow);

  // Callers that are remembered; bounded.
  std::size_t Size() const { return mSize; }

private:
  void Level(std::size_t aSlots, time_point aNow);
  void Sweep(time_point aNow);

  std::unordered_map<team_name, team> mTeams;
  std::size_t mSize = 0;
  time_point mLevelled; // when the levels were worked out
  time_point mSwept;
};

} // namespace mangospan::request

#endif // MANGOSPAN_REQUEST_INTERNAL_FAIR_SHARE_H
