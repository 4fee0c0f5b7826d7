#include "testing/fleet/fleet_file.h"

#include <chrono>
#include <cstdint>
#include <fstream>
#include <iterator>
#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "mangospan/base/error.h"
#include "mangospan/platform/hosts.h"

namespace mangospan::standin {

namespace {

using nlohmann::json;
using platform::host_info;
using platform::host_role;
using platform::host_state;

host_info
ToHost(const json& aValue)
{
  host_info host;
  host.mHost = host_name(aValue.at("host").get<std::string>());
  host.mZone = zone_name(aValue.at("zone").get<std::string>());
  host.mRack = rack_name(aValue.value("rack", ""));
  const std::string role = aValue.value("role", "worker");
  host.mRole = role == "entry" ? host_role::kEntry : host_role::kWorker;
  const std::string state = aValue.value("state", "live");
  host.mState = ParseHostState(state).value_or(host_state::kLive);
  host.mAddress = aValue.value("address", "");
  host.mService = service_name(aValue.value("service", ""));
  constexpr std::size_t kSlots = 8;
  constexpr std::size_t kConnections = 64;
  constexpr std::size_t kProcessors = 16;
  constexpr std::uint64_t kMemoryBytes = 64'000'000'000;
  host.mSlots = aValue.value("slots", kSlots);
  host.mConnections = aValue.value("connections", kConnections);
  host.mBootCount = aValue.value("boot_count", std::uint64_t{ 1 });
  host.mProcessors = aValue.value("processors", kProcessors);
  host.mMemoryBytes = aValue.value("memory_bytes", kMemoryBytes);
  return host;
}

json
ToJson(const host_info& aHost)
{
  return { { "host", aHost.mHost.Str() },
           { "zone", aHost.mZone.Str() },
           { "rack", aHost.mRack.Str() },
           { "role", aHost.mRole == host_role::kEntry ? "entry" : "worker" },
           { "state", Name(aHost.mState) },
           { "address", aHost.mAddress },
           { "service", aHost.mService.Str() },
           { "slots", aHost.mSlots },
           { "connections", aHost.mConnections },
           { "boot_count", aHost.mBootCount },
           { "processors", aHost.mProcessors },
           { "memory_bytes", aHost.mMemoryBytes } };
}

json
ToJson(const std::vector<host_info>& aHosts)
{
  json hosts = json::array();
  for (const host_info& host : aHosts) {
    hosts.push_back(ToJson(host));
  }
  return hosts;
}

} // namespace

const host_info*
fleet_file::Find(std::string_view aHost) const
{
  for (const host_info& host : mHosts) {
    if (host.mHost.Str() == aHost) {
      return &host;
    }
  }
  return nullptr;
}

result<fleet_file>
LoadFleet(const std::string& aFile)
{
  std::ifstream in(aFile);
  if (!in) {
    return error{
      error_code::kNotFound, "fleet.load", aFile, "can not be read"
    };
  }
  const std::string text{ std::istreambuf_iterator<char>(in), {} };
  return ParseFleet(text, aFile);
}

result<fleet_file>
ParseFleet(std::string_view aText, std::string_view aSource)
{
  try {
    const json document = json::parse(aText, nullptr, true, true);
    fleet_file fleet;
    fleet.mListLag = std::chrono::milliseconds(
      document.value("list_lag_ms", fleet.mListLag.count()));
    fleet.mRebootTime = std::chrono::milliseconds(
      document.value("reboot_ms", fleet.mRebootTime.count()));
    fleet.mEndpointControl = document.value("endpoint_control", "");
    for (const json& host : document.at("hosts")) {
      fleet.mHosts.push_back(ToHost(host));
    }
    return fleet;
  } catch (const json::exception& failure) {
    return error{ error_code::kInvalidArgument,
                  "fleet.parse",
                  std::string(aSource),
                  failure.what() };
  }
}

std::string
FormatFleet(const fleet_file& aFleet)
{
  constexpr int kIndent = 1;
  return json{
    { "list_lag_ms", aFleet.mListLag.count() },
    { "reboot_ms", aFleet.mRebootTime.count() },
    { "endpoint_control", aFleet.mEndpointControl },
    { "hosts", ToJson(aFleet.mHosts) }
  }.dump(kIndent);
}

std::string
FormatHosts(const platform::host_list& aList)
{
  return json{
    { "revision", aList.mRevision }, { "hosts", ToJson(aList.mHosts) }
  }.dump();
}

const char*
Name(host_state aState)
{
  switch (aState) {
    case host_state::kLive:
      return "live";
    case host_state::kLeaving:
      return "leaving";
    case host_state::kGone:
      return "gone";
  }
  return "gone";
}

std::optional<host_state>
ParseHostState(std::string_view aName)
{
  for (const host_state state :
       { host_state::kLive, host_state::kLeaving, host_state::kGone }) {
    if (aName == Name(state)) {
      return state;
    }
  }
  return std::nullopt;
}

} // namespace mangospan::standin
