#include "mangospan/fleet/records.h"

#include <array>
#include <utility>

#include <nlohmann/json.hpp>

namespace mangospan {

using nlohmann::json;

template<typename Tag>
void
to_json(json& aJson, const name<Tag>& aName)
{
  aJson = aName.mValue;
}

template<typename Tag>
void
from_json(const json& aJson, name<Tag>& aName)
{
  aName.mValue = aJson.get<std::string>();
}

static void
to_json(json& aJson, const write_id& aId)
{
  aJson = json::array({ aId.mBoot.mValue, aId.mSequence });
}

static void
from_json(const json& aJson, write_id& aId)
{
  aId.mBoot.mValue = aJson.at(0).get<std::uint64_t>();
  aId.mSequence = aJson.at(1).get<std::uint64_t>();
}

} // namespace mangospan

namespace mangospan::fleet {

namespace {

constexpr std::array<const char*, 6> kPhaseNames{ "serving",  "draining",
                                                  "stopping", "rebooting",
                                                  "drained",  "starting" };
constexpr std::array<const char*, 4> kPurposeNames{ "none",
                                                    "move",
                                                    "maintenance",
                                                    "operator-drain" };

// Returns the enumerator whose index in `aNames` is that of the JSON string.
// Throws std::invalid_argument if the string is not in `aNames`.
template<typename Enum, std::size_t N>
Enum
ParseName(const json& aJson, const std::array<const char*, N>& aNames)
{
  const auto text = aJson.get<std::string>();
  for (std::size_t i = 0; i < N; ++i) {
    if (text == aNames.at(i)) {
      return static_cast<Enum>(i);
    }
  }
  throw std::invalid_argument("unknown host phase or purpose: " + text);
}

// Returns the member `aName` of the object, or a value-initialized T if the
// member is absent.
template<typename T>
T
GetOrDefault(const json& aJson, const char* aName)
{
  const auto found = aJson.find(aName);
  return found == aJson.end() ? T{} : found->template get<T>();
}

// Parses `aText` and fills a record from it with `aReader`. Any exception
// becomes a kInvalidArgument error with `aKey` as its peer.
template<typename Record, typename Reader>
result<Record>
ParseRecord(std::string_view aText, std::string_view aKey, Reader aReader)
{
  try {
    Record record;
    aReader(json::parse(aText, nullptr, true, true), record);
    return record;
  } catch (const std::exception& failure) {
    return error{ error_code::kInvalidArgument,
                  "record.parse",
                  std::string(aKey),
                  failure.what() };
  }
}

} // namespace

static void
to_json(json& aJson, const host_record& aHost)
{
  aJson = json{ { "pool", aHost.mPool },
                { "phase", Name(aHost.mPhase) },
                { "epoch", aHost.mEpoch } };
  if (aHost.mPurpose != host_purpose::kNone) {
    aJson["purpose"] = Name(aHost.mPurpose);
  }
  if (!aHost.mTarget.Empty()) {
    aJson["target"] = aHost.mTarget;
  }
  if (!(aHost.mHostActionId == write_id{})) {
    aJson["action"] = aHost.mHostActionId;
  }
  if (aHost.mMaintainedAt != 0) {
    aJson["maintained"] = aHost.mMaintainedAt;
  }
  if (!aHost.mLastWave.empty()) {
    aJson["wave"] = aHost.mLastWave;
  }
  if (aHost.mFailed) {
    aJson["failed"] = true;
  }
}

static void
from_json(const json& aJson, host_record& aHost)
{
  aHost.mPool = aJson.at("pool").get<pool_name>();
  aHost.mPhase = ParseName<host_phase>(aJson.at("phase"), kPhaseNames);
  aHost.mEpoch = aJson.at("epoch").get<std::uint64_t>();
  if (aJson.contains("purpose")) {
    aHost.mPurpose = ParseName<host_purpose>(aJson["purpose"], kPurposeNames);
  }
  aHost.mTarget = GetOrDefault<pool_name>(aJson, "target");
  aHost.mHostActionId = GetOrDefault<write_id>(aJson, "action");
  aHost.mMaintainedAt = GetOrDefault<std::int64_t>(aJson, "maintained");
  aHost.mLastWave = GetOrDefault<std::string>(aJson, "wave");
  aHost.mFailed = GetOrDefault<bool>(aJson, "failed");
}

static void
to_json(json& aJson, const permit& aPermit)
{
  aJson = json{ { "host", aPermit.mHost },
                { "reason", Name(aPermit.mPurpose) },
                { "since", aPermit.mRecordedAt } };
  if (aPermit.mFailed) {
    aJson["failed"] = true;
  }
}

static void
from_json(const json& aJson, permit& aPermit)
{
  aPermit.mHost = aJson.at("host").get<host_name>();
  aPermit.mPurpose = ParseName<host_purpose>(aJson.at("reason"), kPurposeNames);
  aPermit.mRecordedAt = aJson.at("since").get<std::int64_t>();
  aPermit.mFailed = GetOrDefault<bool>(aJson, "failed");
}

static void
to_json(json& aJson, const wave_progress& aWave)
{
  aJson =
    json{ { "pool", aWave.mPool },         { "wave", aWave.mWave },
          { "state", aWave.mState },       { "hosts", aWave.mHostCount },
          { "done", aWave.mDoneCount },    { "active", aWave.mActiveCount },
          { "failed", aWave.mFailedCount } };
}

static void
from_json(const json& aJson, wave_progress& aWave)
{
  aWave.mPool = aJson.at("pool").get<pool_name>();
  aWave.mWave = GetOrDefault<std::string>(aJson, "wave");
  aWave.mState = GetOrDefault<std::string>(aJson, "state");
  aWave.mHostCount = GetOrDefault<std::size_t>(aJson, "hosts");
  aWave.mDoneCount = GetOrDefault<std::size_t>(aJson, "done");
  aWave.mActiveCount = GetOrDefault<std::size_t>(aJson, "active");
  aWave.mFailedCount = GetOrDefault<std::size_t>(aJson, "failed");
}

static void
to_json(json& aJson, const waiting_host& aHost)
{
  aJson = json{ { "host", aHost.mHost },
                { "purpose", Name(aHost.mPurpose) },
                { "reason", aHost.mReason } };
}

static void
from_json(const json& aJson, waiting_host& aHost)
{
  aHost.mHost = aJson.at("host").get<host_name>();
  aHost.mPurpose = ParseName<host_purpose>(aJson.at("purpose"), kPurposeNames);
  aHost.mReason = GetOrDefault<std::string>(aJson, "reason");
}

const char*
Name(host_phase aPhase)
{
  return kPhaseNames.at(static_cast<std::size_t>(aPhase));
}

const char*
Name(host_purpose aPurpose)
{
  return kPurposeNames.at(static_cast<std::size_t>(aPurpose));
}

std::string
ToText(const leader_record& aRecord)
{
  return json{
    { "host", aRecord.mHost },
    { "peer", aRecord.mPeerAddress },
    { "write", aRecord.mWrite }
  }.dump();
}

std::string
ToText(const hosts_record& aRecord)
{
  json hosts = json::object();
  for (const auto& [host, record] : aRecord.mHosts) {
    hosts[host.Str()] = record;
  }
  json failures = json::object();
  for (const auto& [host, since] : aRecord.mFailedAt) {
    failures[host.Str()] = since;
  }
  return json{
    { "term", aRecord.mTerm },
    { "write", aRecord.mWrite },
    { "failures", std::move(failures) },
    { "failures_wave", aRecord.mFailuresWave },
    { "hosts", std::move(hosts) }
  }.dump();
}

std::string
ToText(const entries_record& aRecord)
{
  json entries = json::array();
  for (const view::entry_member& each : aRecord.mEntries) {
    entries.push_back({ { "host", each.mId.mHost },
                        { "boot", each.mId.mBoot.mValue },
                        { "peer", each.mPeerAddress } });
  }
  return json{
    { "term", aRecord.mTerm },
    { "write", aRecord.mWrite },
    { "entries", std::move(entries) }
  }.dump();
}

std::string
ToText(const budget_record& aRecord)
{
  json zones = json::object();
  for (const auto& [zone, part] : aRecord.mZones) {
    zones[zone.Str()] = { { "term", part.mTerm },
                          { "hosts", part.mHostCount },
                          { "down", part.mDownHosts },
                          { "permits", part.mPermits } };
  }
  return json{
    { "write", aRecord.mWrite }, { "zones", std::move(zones) }
  }.dump();
}

std::string
ToText(const status_record& aRecord)
{
  return json{
    { "term", aRecord.mTerm },
    { "write", aRecord.mWrite },
    { "config_revision", aRecord.mConfigRevision },
    { "config_error", aRecord.mConfigError },
    { "acknowledged", aRecord.mConfiguredEntries },
    { "silent", aRecord.mUnresponsiveEntries },
    { "unregistered", aRecord.mUnregisteredEntries },
    { "waves", aRecord.mWaves },
    { "waiting", aRecord.mWaiting }
  }.dump();
}

result<leader_record>
ParseLeader(std::string_view aText, std::string_view aKey)
{
  return ParseRecord<leader_record>(
    aText, aKey, [](const json& aJson, leader_record& aRecord) {
      aRecord.mHost = aJson.at("host").get<host_name>();
      aRecord.mPeerAddress = GetOrDefault<std::string>(aJson, "peer");
      aRecord.mWrite = aJson.at("write").get<write_id>();
    });
}

result<hosts_record>
ParseHosts(std::string_view aText, std::string_view aKey)
{
  return ParseRecord<hosts_record>(
    aText, aKey, [](const json& aJson, hosts_record& aRecord) {
      aRecord.mTerm = aJson.at("term").get<std::uint64_t>();
      aRecord.mWrite = aJson.at("write").get<write_id>();
      for (const auto& [host, value] : aJson.at("hosts").items()) {
        aRecord.mHosts[host_name(host)] = value.get<host_record>();
      }
      aRecord.mFailuresWave = GetOrDefault<std::string>(aJson, "failures_wave");
      if (aJson.contains("failures")) {
        for (const auto& [host, since] : aJson["failures"].items()) {
          aRecord.mFailedAt[host_name(host)] = since.get<std::int64_t>();
        }
      }
    });
}

result<entries_record>
ParseEntries(std::string_view aText, std::string_view aKey)
{
  return ParseRecord<entries_record>(
    aText, aKey, [](const json& aJson, entries_record& aRecord) {
      aRecord.mTerm = aJson.at("term").get<std::uint64_t>();
      aRecord.mWrite = aJson.at("write").get<write_id>();
      for (const json& each : aJson.at("entries")) {
        view::entry_member member;
        member.mId.mHost = each.at("host").get<host_name>();
        member.mId.mBoot.mValue = each.at("boot").get<std::uint64_t>();
        member.mPeerAddress = GetOrDefault<std::string>(each, "peer");
        aRecord.mEntries.push_back(std::move(member));
      }
    });
}

result<budget_record>
ParseBudget(std::string_view aText, std::string_view aKey)
{
  return ParseRecord<budget_record>(
    aText, aKey, [](const json& aJson, budget_record& aRecord) {
      aRecord.mWrite = aJson.at("write").get<write_id>();
      for (const auto& [zone, value] : aJson.at("zones").items()) {
        zone_budget_part& part = aRecord.mZones[zone_name(zone)];
        part.mTerm = value.at("term").get<std::uint64_t>();
        part.mHostCount = value.at("hosts").get<std::size_t>();
        part.mDownHosts = GetOrDefault<std::vector<host_name>>(value, "down");
        part.mPermits = GetOrDefault<std::vector<permit>>(value, "permits");
      }
    });
}

result<status_record>
ParseStatus(std::string_view aText, std::string_view aKey)
{
  return ParseRecord<status_record>(
    aText, aKey, [](const json& aJson, status_record& aRecord) {
      aRecord.mTerm = aJson.at("term").get<std::uint64_t>();
      aRecord.mWrite = aJson.at("write").get<write_id>();
      aRecord.mConfigRevision =
        GetOrDefault<std::uint64_t>(aJson, "config_revision");
      aRecord.mConfigError = GetOrDefault<std::string>(aJson, "config_error");
      aRecord.mConfiguredEntries =
        GetOrDefault<std::vector<host_name>>(aJson, "acknowledged");
      aRecord.mUnresponsiveEntries =
        GetOrDefault<std::vector<host_name>>(aJson, "silent");
      aRecord.mUnregisteredEntries =
        GetOrDefault<std::vector<host_name>>(aJson, "unregistered");
      aRecord.mWaves = GetOrDefault<std::vector<wave_progress>>(aJson, "waves");
      aRecord.mWaiting =
        GetOrDefault<std::vector<waiting_host>>(aJson, "waiting");
    });
}

result<config_record>
ParseConfigRecord(std::string_view aText, std::string_view aKey)
{
  return ParseRecord<config_record>(
    aText, aKey, [](const json& aJson, config_record& aRecord) {
      aRecord.mChangeId = GetOrDefault<std::string>(aJson, "change_id");
      aRecord.mAuthor = GetOrDefault<std::string>(aJson, "author");
      const json& document = aJson.at("document");
      aRecord.mDocument =
        document.is_string() ? document.get<std::string>() : document.dump();
    });
}

result<drains_record>
ParseDrains(std::string_view aText, std::string_view aKey)
{
  return ParseRecord<drains_record>(
    aText, aKey, [](const json& aJson, drains_record& aRecord) {
      aRecord.mHosts = GetOrDefault<std::vector<host_name>>(aJson, "hosts");
    });
}

result<wave_request>
ParseWave(std::string_view aText, std::string_view aKey)
{
  return ParseRecord<wave_request>(
    aText, aKey, [](const json& aJson, wave_request& aRecord) {
      aRecord.mId = aJson.at("id").get<std::string>();
      aRecord.mPool = GetOrDefault<pool_name>(aJson, "pool");
      aRecord.mPaused = GetOrDefault<std::string>(aJson, "state") != "running";
    });
}

} // namespace mangospan::fleet
