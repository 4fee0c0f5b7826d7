#include "mangospan/config/random_document_for_test.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <random>
#include <string>
#include <vector>

#include "mangospan/config/document.h"

namespace mangospan::config {

namespace {

std::size_t
Draw(std::mt19937_64& aRandom, std::size_t aFrom, std::size_t aTo)
{
  return std::uniform_int_distribution<std::size_t>(aFrom, aTo)(aRandom);
}

bool
DrawBool(std::mt19937_64& aRandom)
{
  return Draw(aRandom, 0, 1) == 1;
}

double
DrawShare(std::mt19937_64& aRandom)
{
  constexpr std::size_t kUnits = 1'000'000;
  return static_cast<double>(Draw(aRandom, 1, kUnits)) / kUnits;
}

std::string
Numbered(const char* aPrefix, std::size_t aNumber)
{
  return aPrefix + std::to_string(aNumber);
}

pool
DrawPool(std::mt19937_64& aRandom, std::size_t aIndex)
{
  pool drawn;
  drawn.mName = pool_name(Numbered("pool-", aIndex));
  drawn.mService = service_name(Numbered("service_", aIndex));
  if (DrawBool(aRandom)) {
    drawn.mMaxUnavailable.mCount = Draw(aRandom, 0, 50);
  } else {
    drawn.mMaxUnavailable.mShare = DrawShare(aRandom);
  }
  drawn.mMinHosts = Draw(aRandom, 0, 3);
  for (std::size_t i = Draw(aRandom, 0, 3); i > 0; --i) {
    drawn.mZones.emplace_back(Numbered("zone.", i));
    drawn.mRacks.emplace_back(Numbered("rack", i));
  }
  return drawn;
}

work_class
DrawClass(std::mt19937_64& aRandom, std::size_t aIndex, std::size_t aPools)
{
  work_class drawn;
  drawn.mName = class_name(Numbered("class", aIndex));
  drawn.mMatch.mService =
    service_name(Numbered("service_", Draw(aRandom, 0, aPools - 1)));
  if (DrawBool(aRandom)) {
    drawn.mMatch.mPathPrefix = "/a~b/" + std::to_string(aIndex);
    drawn.mMatch.mMethods = { "POST", "PUT" };
    drawn.mIdempotent = DrawBool(aRandom);
  }
  drawn.mTarget.mShare = DrawShare(aRandom);
  drawn.mTarget.mWithin = std::chrono::milliseconds(Draw(aRandom, 1, 100'000));
  drawn.mUrgent = DrawBool(aRandom);
  return drawn;
}

maintenance
DrawMaintenance(std::mt19937_64& aRandom)
{
  maintenance drawn;
  drawn.mPeriod = std::chrono::hours(Draw(aRandom, 24, 1'000));
  drawn.mRebootLimit = std::chrono::seconds(Draw(aRandom, 1, 3'600));
  drawn.mStopAfterFailures = Draw(aRandom, 1, 9);
  for (std::size_t i = Draw(aRandom, 0, 2); i > 0; --i) {
    const std::size_t from = Draw(aRandom, 0, 1'439);
    const std::size_t until = Draw(aRandom, 0, 1'440);
    if (from != until) {
      drawn.mAllowed.push_back(
        { std::chrono::minutes(from), std::chrono::minutes(until) });
    }
  }
  return drawn;
}

} // namespace

document
DrawDocument(std::mt19937_64& aRandom)
{
  document drawn;
  const std::size_t pools = Draw(aRandom, 1, 6);
  for (std::size_t i = 0; i < pools; ++i) {
    drawn.mPools.push_back(DrawPool(aRandom, i));
  }
  drawn.mPools[Draw(aRandom, 0, pools - 1)].mSpare = DrawBool(aRandom);
  for (std::size_t i = Draw(aRandom, 0, 8); i > 0; --i) {
    drawn.mClasses.push_back(DrawClass(aRandom, i, pools));
  }
  drawn.mMaintenance = DrawMaintenance(aRandom);
  for (std::size_t i = Draw(aRandom, 0, 4); i > 0; --i) {
    drawn.mTeams.push_back({ team_name(Numbered("team", i)),
                             static_cast<double>(Draw(aRandom, 0, 999)) / 7,
                             Draw(aRandom, 0, 64) });
  }
  drawn.mPrefer =
    DrawBool(aRandom) ? preference::kLowBuffer : preference::kFastRollOut;
  return drawn;
}

document
DrawChanged(const document& aDocument, std::mt19937_64& aRandom)
{
  document changed = aDocument;
  document other = DrawDocument(aRandom);
  switch (Draw(aRandom, 0, 4)) {
    case 0:
      changed.mMaintenance = other.mMaintenance;
      break;
    case 1:
      changed.mTeams = other.mTeams;
      break;
    case 2:
      std::shuffle(changed.mClasses.begin(), changed.mClasses.end(), aRandom);
      break;
    case 3:
      changed.mPools.back().mMaxUnavailable =
        other.mPools.front().mMaxUnavailable;
      break;
    default:
      return other;
  }
  return changed;
}

} // namespace mangospan::config
