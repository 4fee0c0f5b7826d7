#include "mangospan/ctl/internal/wait.h"

#include <chrono>
#include <cstdio>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "mangospan/base/error.h"
#include "mangospan/ctl/internal/host_names.h"
#include "mangospan/ctl/internal/overview.h"

namespace mangospan::ctl {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kPollPeriod{ 500 };

std::string
Seconds(milliseconds aTime)
{
  char text[32];
  std::snprintf(
    text, sizeof(text), "%.1f s", static_cast<double>(aTime.count()) / 1000);
  return text;
}

class waiter
{
public:
  waiter(session& aSession, platform::revision aRevision, printer& aPrinter)
    : mSession(aSession)
    , mRevision(aRevision)
    , mPrinter(aPrinter)
    , mStart(aSession.Now())
  {
  }

  // True once every zone has it.
  bool Look(const overview& aZones)
  {
    mLast = aZones;
    bool everywhere = !aZones.empty();
    for (const auto& [zone, seen] : aZones) {
      const bool inForce =
        ForceIn(seen, mRevision).mProgress == zone_progress::kInForce;
      everywhere = everywhere && inForce;
      if (inForce && mInForceAfter.count(zone) == 0) {
        mInForceAfter[zone] = Elapsed();
        mPrinter.Line("zone " + zone.Str() + ": in force after " +
                      Seconds(Elapsed()));
      }
    }
    return everywhere;
  }

  void ReportMissing() const
  {
    if (mLast.empty()) {
      mPrinter.Line("no zone is known to the platform yet");
    }
    for (const auto& [zone, seen] : mLast) {
      const zone_force force = ForceIn(seen, mRevision);
      if (force.mProgress == zone_progress::kInForce) {
        continue;
      }
      std::string line = "zone " + zone.Str() + ": " + Name(force.mProgress);
      if (force.mProgress == zone_progress::kSilent) {
        line += ": no fleet process acts for it";
      } else if (force.mProgress == zone_progress::kRefused) {
        line += ": " + seen.mStatus.mConfigError;
      }
      if (!force.mMissing.empty()) {
        line += "; not acknowledged by " + Joined(force.mMissing);
      }
      if (!seen.mStatus.mUnresponsiveEntries.empty()) {
        line += "; silent: " + Joined(seen.mStatus.mUnresponsiveEntries);
      }
      mPrinter.Line(line);
    }
  }

  nlohmann::json Report() const
  {
    nlohmann::json zones = nlohmann::json::object();
    for (const auto& [zone, seen] : mLast) {
      const zone_force force = ForceIn(seen, mRevision);
      nlohmann::json& entry = zones[zone.Str()];
      entry = { { "progress", Name(force.mProgress) },
                { "missing", ToJson(force.mMissing) },
                { "silent", ToJson(seen.mStatus.mUnresponsiveEntries) } };
      const auto after = mInForceAfter.find(zone);
      if (after != mInForceAfter.end()) {
        entry["in_force_after_ms"] = after->second.count();
      }
    }
    return { { "elapsed_ms", Elapsed().count() }, { "zones", zones } };
  }

private:
  milliseconds Elapsed() const
  {
    return std::chrono::duration_cast<milliseconds>(mSession.Now() - mStart);
  }

  session& mSession;
  platform::revision mRevision;
  printer& mPrinter;
  time_point mStart;
  overview mLast;
  std::map<zone_name, milliseconds> mInForceAfter;
};

} // namespace

result<bool>
WaitUntilInForce(session& aSession,
                 platform::revision aRevision,
                 printer& aPrinter,
                 nlohmann::json& aReport)
{
  waiter state(aSession, aRevision, aPrinter);
  while (true) {
    const auto zones = ReadOverview(aSession);
    if (zones.has_value() && state.Look(zones.assume_value())) {
      aReport = state.Report();
      return true;
    }
    if (aSession.Remaining() <= kPollPeriod) {
      state.ReportMissing();
      aReport = state.Report();
      if (zones.has_error()) {
        return zones.assume_error();
      }
      return false;
    }
    aSession.Sleep(kPollPeriod);
  }
}

} // namespace mangospan::ctl
