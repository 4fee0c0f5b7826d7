#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "mangospan/base/error.h"
#include "mangospan/ctl/internal/context.h"
#include "mangospan/ctl/internal/host_names.h"
#include "mangospan/ctl/internal/overview.h"
#include "mangospan/ctl/internal/write.h"
#include "mangospan/fleet/records.h"

namespace mangospan::ctl {

namespace {

// The zone that has the host.
result<zone_name>
ZoneOf(const host_name& aHost, const overview& aZones)
{
  std::string zones;
  for (const auto& [zone, seen] : aZones) {
    if (seen.mHosts.mHosts.count(aHost) > 0) {
      return zone;
    }
    zones.append(zones.empty() ? "" : ", ").append(zone.Str());
  }
  return error{ error_code::kNotFound,
                "drain",
                "",
                "no zone has a worker host '" + aHost.Str() +
                  "' (zones: " + (zones.empty() ? "none known" : zones) + ")" };
}

result<fleet::drains_record>
ParseDrained(const std::optional<platform::record>& aHeld)
{
  if (!aHeld) {
    return fleet::drains_record{};
  }
  return fleet::ParseDrains(aHeld->mValue, aHeld->mKey);
}

std::string
MakeRecord(const std::vector<host_name>& aHosts, const std::string& aChangeId)
{
  return nlohmann::json{
    { "hosts", ToJson(aHosts) }, { "change_id", aChangeId }
  }.dump();
}

// Other operators' drains are kept: only this host is put in or taken out.
result<bool>
SetDrained(session& aSession,
           const host_name& aHost,
           bool aDrained,
           const std::string& aChangeId)
{
  return UpdateRecord(aSession,
                      fleet::kDrainsKey,
                      aChangeId,
                      [&](const std::optional<platform::record>& aHeld)
                        -> result<std::optional<std::string>> {
                        BOOST_OUTCOME_TRY(drained, ParseDrained(aHeld));
                        std::vector<host_name> hosts = drained.mHosts;
                        const auto found =
                          std::find(hosts.begin(), hosts.end(), aHost);
                        if ((found != hosts.end()) == aDrained) {
                          return std::optional<std::string>();
                        }
                        if (aDrained) {
                          hosts.push_back(aHost);
                          std::sort(hosts.begin(), hosts.end());
                        } else {
                          hosts.erase(found);
                        }
                        return std::optional(MakeRecord(hosts, aChangeId));
                      });
}

exit_code
Report(const result<bool>& aWritten,
       const host_name& aHost,
       const char* aDone,
       const char* aNothing,
       printer& aPrinter)
{
  if (aWritten.has_error()) {
    return aPrinter.Fail(aWritten.assume_error());
  }
  aPrinter.Line(aHost.Str() + ": " +
                (aWritten.assume_value() ? aDone : aNothing));
  aPrinter.Json(
    { { "host", aHost.Str() }, { "written", aWritten.assume_value() } });
  return exit_code::kOk;
}

} // namespace

exit_code
Execute(const drain_command& aCommand, context& aContext)
{
  session platform = aContext.Connect();
  const auto zones = ReadOverview(platform);
  if (zones.has_error()) {
    return aContext.mPrinter.Fail(zones.assume_error());
  }
  const auto zone = ZoneOf(aCommand.mHost, zones.assume_value());
  if (zone.has_error()) {
    return aContext.mPrinter.Fail(zone.assume_error());
  }
  return Report(
    SetDrained(platform, aCommand.mHost, true, aContext.mEnvironment.mDrawId()),
    aCommand.mHost,
    "to be drained; 'mangospanctl status' shows how far it is",
    "already to be drained",
    aContext.mPrinter);
}

// A host that has left the fleet can still be taken off the list.
exit_code
Execute(const undrain_command& aCommand, context& aContext)
{
  session platform = aContext.Connect();
  return Report(
    SetDrained(
      platform, aCommand.mHost, false, aContext.mEnvironment.mDrawId()),
    aCommand.mHost,
    "to be given back to service",
    "was not drained by an operator",
    aContext.mPrinter);
}

} // namespace mangospan::ctl
