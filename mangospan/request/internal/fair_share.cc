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

constexpr seconds_double kMemory{ 2 };
constexpr std::chrono::milliseconds kLevelEvery{ 100 };
constexpr std::chrono::seconds kSweepEvery{ 5 };
// Callers beyond it share one record.
constexpr std::size_t kMaxHolders = 4096;
constexpr double kForgotten = 1e-4; // seconds of slot time
// More is divided than the slots can serve at once, since much of what waits
// is served after a peak; whether a request can still meet its target is
// decided elsewhere. Dividing just the slots left queues short and refused
// requests that could have been served in time.
constexpr double kDivided = 1.5;
constexpr double kNoLevel = std::numeric_limits<double>::infinity();

// The level up to which each of `aOffered` is served if `aCapacity` is divided
// fairly; infinite if there is enough for all.
double
FairLevel(std::vector<double>& aOffered, double aCapacity)
{
  std::sort(aOffered.begin(), aOffered.end());
  std::size_t left = aOffered.size();
  for (const double offered : aOffered) {
    const double equal = aCapacity / static_cast<double>(left);
    if (offered > equal) {
      return equal;
    }
    aCapacity -= offered;
    --left;
  }
  return kNoLevel;
}

} // namespace

double
recent_amount::Left(double aAmount, time_point aThen, time_point aNow)
{
  return aAmount * std::exp(-seconds_double(aNow - aThen) / kMemory);
}

void
recent_amount::Add(double aAmount, time_point aNow)
{
  mValue = std::max(0.0, Value(aNow) + aAmount);
  mAt = aNow;
}

double
recent_amount::Value(time_point aNow) const
{
  return mValue == 0 ? 0 : Left(mValue, mAt, aNow);
}

fair_share::holder&
fair_share::Offer(const team_name& aTeam,
                  const caller_name& aCaller,
                  double aWork,
                  time_point aNow)
{
  if (aNow >= mSwept + kSweepEvery) {
    Sweep(aNow);
  }
  auto team = mTeams.find(aTeam);
  const bool known =
    team != mTeams.end() && team->second.mCallers.count(aCaller) != 0;
  const bool shared = aTeam.Empty() && aCaller.Empty();
  if (!known && !shared && mSize >= kMaxHolders) {
    return Offer(team_name(), caller_name(), aWork, aNow);
  }
  if (team == mTeams.end()) {
    team = mTeams.try_emplace(aTeam).first;
    team->second.mLevel = kNoLevel;
  }
  const auto [at, made] = team->second.mCallers.try_emplace(aCaller);
  if (made) {
    at->second.mTeam = &team->second;
    ++mSize;
  }
  at->second.mOffered.Add(aWork, aNow);
  return at->second;
}

bool
fair_share::Over(const holder& aHolder, std::size_t aSlots, time_point aNow)
{
  if (aNow >= mLevelled + kLevelEvery) {
    Level(aSlots, aNow);
  }
  return aHolder.mGranted.Value(aNow) >= aHolder.mTeam->mLevel;
}

void
fair_share::Grant(holder& aHolder, double aWork, time_point aNow)
{
  aHolder.mGranted.Add(aWork, aNow);
}

void
fair_share::Return(const team_name& aTeam,
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
    caller->second.mGranted.Add(-recent_amount::Left(aWork, aThen, aNow), aNow);
  }
}

void
fair_share::Level(std::size_t aSlots, time_point aNow)
{
  mLevelled = aNow;
  std::vector<std::pair<team*, std::vector<double>>> offered;
  std::vector<double> totals;
  for (auto& [name, each] : mTeams) {
    std::vector<double> ofCallers;
    double total = 0;
    for (const auto& [caller, held] : each.mCallers) {
      ofCallers.push_back(held.mOffered.Value(aNow));
      total += ofCallers.back();
    }
    offered.emplace_back(&each, std::move(ofCallers));
    totals.push_back(total);
  }
  const double capacity =
    static_cast<double>(aSlots) * kMemory.count() * kDivided;
  const double ofTeams = FairLevel(totals, capacity);
  for (auto& [each, ofCallers] : offered) {
    each->mLevel = FairLevel(ofCallers, ofTeams);
  }
}

void
fair_share::Sweep(time_point aNow)
{
  mSwept = aNow;
  for (auto team = mTeams.begin(); team != mTeams.end();) {
    auto& callers = team->second.mCallers;
    for (auto at = callers.begin(); at != callers.end();) {
      const bool forgotten = at->second.mOffered.Value(aNow) < kForgotten;
      at = forgotten ? callers.erase(at) : std::next(at);
      mSize -= forgotten ? 1 : 0;
    }
    team = callers.empty() ? mTeams.erase(team) : std::next(team);
  }
}

} // namespace mangospan::request
