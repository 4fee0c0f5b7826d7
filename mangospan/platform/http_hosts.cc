#include <algorithm>
#include <iterator>
#include <string>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

#include "mangospan/platform/http_platform.h"
#include "mangospan/platform/internal/call.h"

namespace mangospan::platform {

using internal::call_kind;
using internal::PostError;
using internal::SendAndParse;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

// An enumerator and its name in the protocol.
template<typename Enum>
struct named_value
{
  std::string_view mName;
  Enum mValue;
};

constexpr named_value<host_role> kRoles[] = { { "worker", host_role::kWorker },
                                              { "entry", host_role::kEntry } };
constexpr named_value<host_state> kStates[] = {
  { "live", host_state::kLive },
  { "leaving", host_state::kLeaving },
  { "gone", host_state::kGone },
};
constexpr named_value<host_action> kActions[] = {
  { "stop_runner", host_action::kStopRunner },
  { "start_runner", host_action::kStartRunner },
  { "reboot", host_action::kReboot },
};
constexpr named_value<action_state> kActionStates[] = {
  { "pending", action_state::kPending },
  { "done", action_state::kDone },
  { "failed", action_state::kFailed },
};

template<typename Enum, std::size_t Size>
Enum
ValueOf(const named_value<Enum> (&aTable)[Size], const json& aName)
{
  const auto& name = aName.get_ref<const std::string&>();
  const auto* const found =
    std::find_if(std::begin(aTable),
                 std::end(aTable),
                 [&name](const auto& aEach) { return aEach.mName == name; });
  if (found == std::end(aTable)) {
    throw json::out_of_range::create(403, "unknown value " + name, &aName);
  }
  return found->mValue;
}

template<typename Enum, std::size_t Size>
std::string
NameOf(const named_value<Enum> (&aTable)[Size], Enum aValue)
{
  const auto* const found = std::find_if(
    std::begin(aTable), std::end(aTable), [aValue](const auto& aEach) {
      return aEach.mValue == aValue;
    });
  return std::string(found == std::end(aTable) ? "" : found->mName);
}

host_info
ParseHost(const json& aFields)
{
  host_info info;
  info.mHost = host_name(aFields.at("host").get<std::string>());
  info.mZone = zone_name(aFields.at("zone").get<std::string>());
  info.mRack = rack_name(aFields.at("rack").get<std::string>());
  info.mRole = ValueOf(kRoles, aFields.at("role"));
  info.mState = ValueOf(kStates, aFields.at("state"));
  info.mAddress = aFields.at("address").get<std::string>();
  info.mService = service_name(aFields.at("service").get<std::string>());
  info.mSlots = aFields.at("slots").get<std::size_t>();
  info.mConnections = aFields.at("connections").get<std::size_t>();
  info.mBootCount = aFields.at("boot_count").get<std::uint64_t>();
  info.mProcessors = aFields.at("processors").get<std::size_t>();
  info.mMemoryBytes = aFields.at("memory_bytes").get<std::uint64_t>();
  return info;
}

host_list
ParseHosts(const json& aFields)
{
  host_list list;
  list.mRevision = aFields.at("revision").get<revision>();
  for (const json& each : aFields.at("hosts")) {
    list.mHosts.push_back(ParseHost(each));
  }
  return list;
}

action_status
ParseAction(const json& aFields)
{
  return { ValueOf(kActionStates, aFields.at("state")),
           aFields.value("message", std::string()) };
}

} // namespace

http_hosts::http_hosts(boost::asio::io_context& aIo,
                       http::client& aClient,
                       std::string aAddress,
                       zone_name aZone)
  : mPlatform{ aIo, aClient, std::move(aAddress), std::move(aZone) }
{
}

void
http_hosts::List(revision aKnownRevision,
                 milliseconds aTimeout,
                 handler<host_list> aHandler)
{
  SendAndParse<host_list>(mPlatform,
                          { call_kind::kRead,
                            "hosts.list",
                            "GET",
                            "/v1/hosts?known=" + std::to_string(aKnownRevision),
                            {},
                            aTimeout },
                          ParseHosts,
                          std::move(aHandler));
}

void
http_hosts::StartAction(action_request aRequest,
                        milliseconds aTimeout,
                        handler<action_status> aHandler)
{
  const std::string& host = aRequest.mHost.Str();
  if (host.empty() || !internal::IsUrlSafe(host)) {
    PostError(mPlatform, internal::InvalidKey("hosts.act", host), aHandler);
    return;
  }
  const std::string id = std::to_string(aRequest.mId.mBoot.mValue) + "-" +
                         std::to_string(aRequest.mId.mSequence);
  SendAndParse<action_status>(
    mPlatform,
    { call_kind::kWrite,
      "hosts.act",
      "POST",
      "/v1/hosts/" + host + "/actions",
      { { "action", NameOf(kActions, aRequest.mAction) },
        { "service", aRequest.mService.Str() },
        { "id", id } },
      aTimeout },
    ParseAction,
    std::move(aHandler));
}

} // namespace mangospan::platform
