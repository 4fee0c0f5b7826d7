#include "testing/scenario/store_records.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "mangospan/platform/store.h"

namespace mangospan::scenario {

namespace {

using nlohmann::json;

constexpr const char* kConfigKey = "config/current";

// The zone of a key "zones/ZONE/RECORD", or an empty text.
std::string
ZoneOf(const std::string& aKey, const std::string& aRecord)
{
  const std::string prefix = "zones/";
  const std::string suffix = "/" + aRecord;
  if (aKey.size() <= prefix.size() + suffix.size() ||
      aKey.compare(0, prefix.size(), prefix) != 0 ||
      aKey.compare(aKey.size() - suffix.size(), suffix.size(), suffix) != 0) {
    return "";
  }
  return aKey.substr(prefix.size(),
                     aKey.size() - prefix.size() - suffix.size());
}

std::map<std::string, host_placement>
ReadHosts(const std::string& aText)
{
  std::map<std::string, host_placement> hosts;
  const json document = json::parse(aText, nullptr, false);
  if (!document.is_object()) {
    return hosts;
  }
  for (const auto& [host, record] : document.at("hosts").items()) {
    hosts[host] = { record.at("pool").get<std::string>(),
                    record.value("phase", ""),
                    record.value("wave", "") };
  }
  return hosts;
}

platform::change
ReadChange(const json& aValue)
{
  return { { aValue.at("key").get<std::string>(),
             aValue.at("value").get<std::string>(),
             aValue.at("revision").get<std::uint64_t>() },
           aValue.at("deleted").get<bool>() };
}

} // namespace

store_state
ReadRecords(const std::string& aText)
{
  store_state state;
  const json document = json::parse(aText);
  for (const json& each : document.at("records")) {
    const std::string key = each.at("key").get<std::string>();
    const std::string value = each.at("value").get<std::string>();
    if (key == kConfigKey) {
      state.mConfigRevision = each.at("revision").get<std::uint64_t>();
    }
    const std::string led = ZoneOf(key, "leader");
    if (!led.empty()) {
      state.mLeaders[led] = json::parse(value).value("host", "");
    }
    if (!ZoneOf(key, "hosts").empty()) {
      for (const auto& [host, placement] : ReadHosts(value)) {
        state.mHosts[host] = placement;
      }
    }
  }
  return state;
}

std::vector<platform::change>
ReadHistory(const std::string& aText)
{
  std::vector<platform::change> changes;
  const json document = json::parse(aText);
  for (const json& each : document.at("changes")) {
    changes.push_back(ReadChange(each));
  }
  return changes;
}

pool_history
JudgeHistory(const std::vector<platform::change>& aChanges)
{
  pool_history found;
  std::map<std::string, std::map<std::string, host_placement>> zones;
  for (const platform::change& each : aChanges) {
    const std::string zone = ZoneOf(each.mRecord.mKey, "hosts");
    if (zone.empty()) {
      continue;
    }
    const auto next = ReadHosts(each.mDeleted ? "" : each.mRecord.mValue);
    for (const auto& [host, placement] : next) {
      const auto before = zones[zone].find(host);
      if (before != zones[zone].end() &&
          before->second.mPool != placement.mPool) {
        ++found.mMoves;
      }
      for (const auto& [other, hosts] : zones) {
        if (other != zone && hosts.count(host) > 0) {
          std::string line = "two-pools: " + host;
          line.append(" in zones ").append(other).append(" and ").append(zone);
          line.append(" at revision ")
            .append(std::to_string(each.mRecord.mRevision));
          found.mInTwoPools.push_back(std::move(line));
        }
      }
    }
    zones[zone] = next;
  }
  return found;
}

} // namespace mangospan::scenario
