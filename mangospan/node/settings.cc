#include "mangospan/node/settings.h"

#include <nlohmann/json.hpp>

#include "mangospan/json/checked_json.h"
#include "mangospan/json/text_file.h"
#include "mangospan/settings/settings.h"

namespace mangospan::node {

namespace {

using std::chrono::milliseconds;

// What a request holds beside its body: the server's buffer and the header.
constexpr std::size_t kRequestOverheadBytes = std::size_t{ 64 } * 1024;

status
ReadAddress(const nlohmann::json& aValue,
            const json::location& aWhere,
            std::string& aInto)
{
  BOOST_OUTCOME_TRY(json::ReadValue(aValue, aWhere, aInto));
  if (!settings::IsAddress(aInto, false)) {
    return json::Refuse(aWhere, "'" + aInto + "' is not of the form ip:port");
  }
  return boost::outcome_v2::success();
}

status
ReadOptionalAddress(const nlohmann::json& aValue,
                    const json::location& aWhere,
                    std::string& aInto)
{
  if (aValue.is_string() && aValue.get_ref<const std::string&>().empty()) {
    aInto.clear();
    return boost::outcome_v2::success();
  }
  return ReadAddress(aValue, aWhere, aInto);
}

status
ReadMilliseconds(const nlohmann::json& aValue,
                 const json::location& aWhere,
                 milliseconds& aInto)
{
  double count = 0;
  BOOST_OUTCOME_TRY(json::ReadValue(aValue, aWhere, count));
  aInto = milliseconds(static_cast<std::int64_t>(count));
  return boost::outcome_v2::success();
}

status
ReadPositiveMilliseconds(const nlohmann::json& aValue,
                         const json::location& aWhere,
                         milliseconds& aInto)
{
  BOOST_OUTCOME_TRY(ReadMilliseconds(aValue, aWhere, aInto));
  if (aInto < milliseconds(1)) {
    return json::Refuse(aWhere, "must be 1 or more");
  }
  return boost::outcome_v2::success();
}

status
ReadPositiveCount(const nlohmann::json& aValue,
                  const json::location& aWhere,
                  std::size_t& aInto)
{
  BOOST_OUTCOME_TRY(json::ReadValue(aValue, aWhere, aInto));
  if (aInto == 0) {
    return json::Refuse(aWhere, "must be 1 or more");
  }
  return boost::outcome_v2::success();
}

const json::field_table<node_settings>&
Fields()
{
  using s = node_settings;
  using json::Optional;
  using json::Required;
  using json::With;
  static const json::field_table<node_settings> kFields{
    Required("node", &s::mNode),
    Required("zone", &s::mZone),
    Required(With("caller_address", &s::mCallerAddress, ReadAddress)),
    Required(With("readiness_address", &s::mReadinessAddress, ReadAddress)),
    Required(With("node_address", &s::mNodeAddress, ReadAddress)),
    With("operator_address", &s::mOperatorAddress, ReadOptionalAddress),
    Required(With("store_address", &s::mStoreAddress, ReadAddress)),
    With("host_service_address", &s::mHostServiceAddress, ReadOptionalAddress),
    Optional("link_mbps", &s::mLinkMbps),
    Optional("host_orders_per_s", &s::mHostOrdersPerSecond),
    Optional("processor_share", &s::mProcessorCores),
    Optional("max_body_bytes", &s::mMaxBodyBytes),
    Optional("max_connections", &s::mMaxConnections),
    With("caller_memory_bytes", &s::mCallerMemoryBytes, ReadPositiveCount),
    With(
      "readiness_memory_bytes", &s::mReadinessMemoryBytes, ReadPositiveCount),
    With("node_memory_bytes", &s::mNodeMemoryBytes, ReadPositiveCount),
    With("operator_memory_bytes", &s::mOperatorMemoryBytes, ReadPositiveCount),
    With("max_readiness_connections",
         &s::mMaxReadinessConnections,
         ReadPositiveCount),
    With("max_node_connections", &s::mMaxNodeConnections, ReadPositiveCount),
    Optional("caller_memory_bytes_per_address",
             &s::mCallerMemoryBytesPerAddress),
    Optional("max_connections_per_address", &s::mMaxConnectionsPerAddress),
    With("max_header_fields", &s::mMaxHeaderFields, ReadPositiveCount),
    Optional("min_body_bytes_per_s", &s::mMinBodyBytesPerSecond),
    With("body_rate_period_ms", &s::mBodyRatePeriod, ReadPositiveMilliseconds),
    With("header_timeout_ms", &s::mHeaderTimeout, ReadPositiveMilliseconds),
    With("write_timeout_ms", &s::mWriteTimeout, ReadPositiveMilliseconds),
    With("idle_timeout_ms", &s::mIdleTimeout, ReadPositiveMilliseconds),
    With("max_json_elements", &s::mMaxJsonElements, ReadPositiveCount),
    With("max_json_depth", &s::mMaxJsonDepth, ReadPositiveCount),
    With("stop_timeout_ms", &s::mStopTimeout, ReadPositiveMilliseconds),
    With(
      "key_revocation_ms", &s::mKeyRevocationBound, ReadPositiveMilliseconds),
    With("customer_rate_window_ms",
         &s::mCustomerRateWindow,
         ReadPositiveMilliseconds),
    Optional("customer_rate_slack", &s::mCustomerRateSlack),
    Optional("learn_run_times", &s::mLearnRunTimes),
    With("host_lease_ms", &s::mMinOrderGapBetweenOwners, ReadMilliseconds),
  };
  return kFields;
}

} // namespace

result<node_settings>
ParseSettings(std::string_view aText, std::string_view aSource)
{
  const json::location where{ "settings.parse", std::string(aSource), "" };
  BOOST_OUTCOME_TRY(value, json::ParseText(aText, where));
  node_settings settings;
  BOOST_OUTCOME_TRY(json::ReadObject(value, where, Fields(), settings));
  // A body in chunks may take twice its size while it is read.
  if (settings.mCallerMemoryBytes <
      2 * settings.mMaxBodyBytes + kRequestOverheadBytes) {
    return json::Refuse(where,
                        "caller_memory_bytes: has no room for a body of "
                        "max_body_bytes");
  }
  return settings;
}

result<node_settings>
LoadSettings(const std::string& aFile)
{
  BOOST_OUTCOME_TRY(text, json::ReadFile(aFile, "settings.read"));
  return ParseSettings(text, aFile);
}

} // namespace mangospan::node
