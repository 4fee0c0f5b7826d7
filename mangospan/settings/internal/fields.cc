#include "mangospan/settings/internal/fields.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "mangospan/base/error.h"
#include "mangospan/base/log.h"
#include "mangospan/json/checked_json.h"

namespace mangospan::settings::internal {

namespace {

using json::location;
using field = json::field<process_settings>;

constexpr std::size_t kMaxMilliseconds = 86'400'000; // one day

enum class used_by
{
  kBoth,
  kEntry,
  kFleet,
};

struct setting
{
  used_by mUsedBy;
  field mField;
};

status
ReadAddress(const nlohmann::json& aValue,
            const location& aWhere,
            std::string& aInto)
{
  std::string text;
  BOOST_OUTCOME_TRY(json::ReadValue(aValue, aWhere, text));
  if (!IsAddress(text, false)) {
    return json::Refuse(
      aWhere,
      "'" + text +
        "' is not an address: \"ip:port\" with a port from 1 to "
        "65535, for example \"10.0.1.5:8080\"");
  }
  aInto = std::move(text);
  return boost::outcome_v2::success();
}

// Other processes dial this address, so it has to name one interface.
status
ReadAnnouncedAddress(const nlohmann::json& aValue,
                     const location& aWhere,
                     std::string& aInto)
{
  BOOST_OUTCOME_TRY(ReadAddress(aValue, aWhere, aInto));
  if (aInto.rfind("0.0.0.0:", 0) == 0 || aInto.rfind("[::]:", 0) == 0) {
    return json::Refuse(aWhere,
                        "'" + aInto +
                          "' can not be dialled by other processes: name one "
                          "of the host's own addresses");
  }
  return boost::outcome_v2::success();
}

status
ReadPeers(const nlohmann::json& aValue,
          const location& aWhere,
          std::vector<std::string>& aInto)
{
  aInto.clear();
  return json::ReadItems(
    aValue,
    aWhere,
    [&aInto](const nlohmann::json& aItem, const location& aAt) -> status {
      std::string address;
      BOOST_OUTCOME_TRY(ReadAnnouncedAddress(aItem, aAt, address));
      if (std::find(aInto.begin(), aInto.end(), address) != aInto.end()) {
        return json::Refuse(aAt, "'" + address + "' is named twice");
      }
      aInto.push_back(std::move(address));
      return boost::outcome_v2::success();
    });
}

status
ReadLevel(const nlohmann::json& aValue,
          const location& aWhere,
          log_level& aInto)
{
  std::string text;
  BOOST_OUTCOME_TRY(json::ReadValue(aValue, aWhere, text));
  const auto level = ParseLogLevel(text);
  if (level.has_error()) {
    return json::Refuse(aWhere, level.assume_error().mMessage);
  }
  aInto = level.assume_value();
  return boost::outcome_v2::success();
}

status
ReadMilliseconds(const nlohmann::json& aValue,
                 const location& aWhere,
                 std::chrono::milliseconds& aInto)
{
  if (aValue.is_string()) {
    return json::Refuse(aWhere,
                        "a whole number of milliseconds is due here, without "
                        "quotes and unit");
  }
  std::size_t count = 0;
  BOOST_OUTCOME_TRY(json::ReadValue(aValue, aWhere, count));
  if (count == 0 || count > kMaxMilliseconds) {
    return json::Refuse(aWhere,
                        std::to_string(count) +
                          " is not from 1 to 86400000 milliseconds");
  }
  aInto = std::chrono::milliseconds(count);
  return boost::outcome_v2::success();
}

status
ReadPositive(const nlohmann::json& aValue,
             const location& aWhere,
             std::size_t& aInto)
{
  BOOST_OUTCOME_TRY(json::ReadValue(aValue, aWhere, aInto));
  if (aInto == 0) {
    return json::Refuse(aWhere, "0 would refuse everything");
  }
  return boost::outcome_v2::success();
}

const std::vector<setting>&
Settings()
{
  using s = process_settings;
  using json::Optional;
  using json::Required;
  using json::With;
  static const std::vector<setting> kSettings{
    { used_by::kBoth, Required("host", &s::mHost) },
    { used_by::kBoth, Required("zone", &s::mZone) },
    { used_by::kEntry,
      Required(With("caller_address", &s::mCallerAddress, ReadAddress)) },
    { used_by::kBoth,
      Required(With("operator_address", &s::mOperatorAddress, ReadAddress)) },
    { used_by::kBoth,
      Required(With("peer_address", &s::mPeerAddress, ReadAnnouncedAddress)) },
    { used_by::kBoth,
      Required(
        With("platform_address", &s::mPlatformAddress, ReadAnnouncedAddress)) },
    { used_by::kBoth, With("peers", &s::mPeers, ReadPeers) },
    { used_by::kBoth, With("log_level", &s::mLogLevel, ReadLevel) },
    { used_by::kBoth, Optional("test_switches", &s::mTestSwitches) },
    { used_by::kFleet, With("lease_ttl_ms", &s::mLeaseTtl, ReadMilliseconds) },
    { used_by::kFleet, With("heartbeat_ms", &s::mHeartbeat, ReadMilliseconds) },
    { used_by::kFleet,
      With("host_list_period_ms", &s::mHostListPeriod, ReadMilliseconds) },
    { used_by::kBoth,
      With("stop_timeout_ms", &s::mStopTimeout, ReadMilliseconds) },
    { used_by::kEntry,
      With("max_body_bytes", &s::mMaxBodyBytes, ReadPositive) },
    { used_by::kEntry,
      With("max_connections", &s::mMaxConnections, ReadPositive) },
    { used_by::kEntry,
      With("max_queued_per_pool", &s::mMaxQueuedPerPool, ReadPositive) },
  };
  return kSettings;
}

bool
IsUsedBy(used_by aUsedBy, program aProgram)
{
  return aUsedBy == used_by::kBoth ||
         (aUsedBy == used_by::kEntry) == (aProgram == program::kEntry);
}

// A key of the other program is known, so the nearest key would mislead.
status
RefuseForeignKeys(const nlohmann::json& aValue,
                  const location& aWhere,
                  program aProgram)
{
  if (!aValue.is_object()) {
    return boost::outcome_v2::success();
  }
  for (const setting& each : Settings()) {
    const bool foreign = !IsUsedBy(each.mUsedBy, aProgram);
    if (foreign && json::Find(aValue, each.mField.mKey) != nullptr) {
      return json::Refuse(aWhere.Child(each.mField.mKey),
                          std::string("this is a setting of mangospan-") +
                            (aProgram == program::kEntry
                               ? "fleet, not of mangospan-entry"
                               : "entry, not of mangospan-fleet"));
    }
  }
  return boost::outcome_v2::success();
}

status
CheckListeners(const process_settings& aSettings, const location& aWhere)
{
  const std::pair<const char*, const std::string*> listeners[] = {
    { "caller_address", &aSettings.mCallerAddress },
    { "operator_address", &aSettings.mOperatorAddress },
    { "peer_address", &aSettings.mPeerAddress },
  };
  std::set<std::string> seen;
  for (const auto& [key, address] : listeners) {
    if (!address->empty() && !seen.insert(*address).second) {
      return json::Refuse(aWhere.Child(key),
                          "'" + *address +
                            "' is already another listener's address");
    }
  }
  return boost::outcome_v2::success();
}

status
CheckTimes(const process_settings& aSettings, const location& aWhere)
{
  // A holder renews its lease and must hear of a loss between two heartbeats.
  if (aSettings.mLeaseTtl < 2 * aSettings.mHeartbeat) {
    return json::Refuse(aWhere.Child("lease_ttl_ms"),
                        std::to_string(aSettings.mLeaseTtl.count()) +
                          " is less than twice heartbeat_ms (" +
                          std::to_string(aSettings.mHeartbeat.count()) + ")");
  }
  return boost::outcome_v2::success();
}

} // namespace

result<process_settings>
ReadSettings(const nlohmann::json& aValue,
             const json::location& aWhere,
             program aProgram)
{
  BOOST_OUTCOME_TRY(RefuseForeignKeys(aValue, aWhere, aProgram));
  json::field_table<process_settings> fields;
  for (const setting& each : Settings()) {
    if (IsUsedBy(each.mUsedBy, aProgram)) {
      fields.push_back(each.mField);
    }
  }
  process_settings settings;
  BOOST_OUTCOME_TRY(json::ReadObject(aValue, aWhere, fields, settings));
  BOOST_OUTCOME_TRY(CheckListeners(settings, aWhere));
  BOOST_OUTCOME_TRY(CheckTimes(settings, aWhere));
  // One list can serve every process of a zone: a process skips itself.
  auto& peers = settings.mPeers;
  peers.erase(std::remove(peers.begin(), peers.end(), settings.mPeerAddress),
              peers.end());
  return settings;
}

} // namespace mangospan::settings::internal
