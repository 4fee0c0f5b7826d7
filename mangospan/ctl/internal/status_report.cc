#include "mangospan/ctl/internal/status_report.h"

#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "mangospan/ctl/internal/host_names.h"
#include "mangospan/fleet/records.h"

namespace mangospan::ctl {

namespace {

void
AppendList(const char* aTitle,
           const std::vector<host_name>& aHosts,
           std::string& aLine)
{
  if (!aHosts.empty()) {
    aLine.append("; ").append(aTitle).append(": ").append(Joined(aHosts));
  }
}

std::string
WaitingReason(const zone_overview& aZone, const host_name& aHost)
{
  for (const fleet::waiting_host& each : aZone.mStatus.mWaiting) {
    if (each.mHost == aHost) {
      return each.mReason;
    }
  }
  return "";
}

std::string
HostLine(const host_name& aHost, const fleet::host_record& aRecord)
{
  std::string line = aHost.Str() + " of pool " + aRecord.mPool.Str() + ": " +
                     fleet::Name(aRecord.mPhase);
  if (aRecord.mPurpose != fleet::host_purpose::kNone) {
    line += std::string(" for ") + fleet::Name(aRecord.mPurpose);
  }
  if (!aRecord.mTarget.Empty()) {
    line += " to pool " + aRecord.mTarget.Str();
  }
  return aRecord.mFailed ? line + ", failed" : line;
}

bool
IsOrdinary(const fleet::host_record& aRecord)
{
  return aRecord.mPhase == fleet::host_phase::kServing &&
         aRecord.mPurpose == fleet::host_purpose::kNone && !aRecord.mFailed;
}

std::string
WaveTitle(const std::string& aWave)
{
  return aWave.empty() ? "periodic wave" : "wave " + aWave;
}

} // namespace

std::vector<wave_sum>
SumWaves(const overview& aZones)
{
  std::map<std::string, wave_sum> sums;
  for (const auto& [zone, seen] : aZones) {
    for (const fleet::wave_progress& each : seen.mStatus.mWaves) {
      wave_sum& sum = sums[each.mWave];
      sum.mWave = each.mWave;
      sum.mHosts += each.mHostCount;
      sum.mDone += each.mDoneCount;
      sum.mActive += each.mActiveCount;
      sum.mFailed += each.mFailedCount;
    }
  }
  std::vector<wave_sum> list;
  list.reserve(sums.size());
  for (const auto& [id, sum] : sums) {
    list.push_back(sum);
  }
  return list;
}

void
PrintZones(const overview& aZones,
           platform::revision aRevision,
           printer& aPrinter)
{
  for (const auto& [zone, seen] : aZones) {
    const zone_force force = ForceIn(seen, aRevision);
    std::string line = "zone " + zone.Str() + ": revision " +
                       std::to_string(seen.mStatus.mConfigRevision) + " " +
                       Name(force.mProgress);
    line += seen.mLeader ? ", " + seen.mLeader->mHost.Str() + " acts, term " +
                             std::to_string(seen.mStatus.mTerm)
                         : ", no fleet process acts for it";
    line += ", " + std::to_string(seen.mEntries.mEntries.size()) + " entries";
    AppendList("not acknowledged by", force.mMissing, line);
    AppendList("silent", seen.mStatus.mUnresponsiveEntries, line);
    AppendList("not registered", seen.mStatus.mUnregisteredEntries, line);
    if (!seen.mStatus.mConfigError.empty()) {
      line += "; refused a newer one: " + seen.mStatus.mConfigError;
    }
    aPrinter.Line(line);
  }
}

nlohmann::json
ZonesJson(const overview& aZones, platform::revision aRevision)
{
  nlohmann::json zones = nlohmann::json::object();
  for (const auto& [zone, seen] : aZones) {
    const zone_force force = ForceIn(seen, aRevision);
    zones[zone.Str()] = {
      { "progress", Name(force.mProgress) },
      { "acting_host", seen.mLeader ? seen.mLeader->mHost.Str() : "" },
      { "term", seen.mStatus.mTerm },
      { "config_revision", seen.mStatus.mConfigRevision },
      { "config_error", seen.mStatus.mConfigError },
      { "entries", seen.mEntries.mEntries.size() },
      { "missing", ToJson(force.mMissing) },
      { "silent", ToJson(seen.mStatus.mUnresponsiveEntries) },
      { "unregistered", ToJson(seen.mStatus.mUnregisteredEntries) },
    };
  }
  return zones;
}

void
PrintPools(const overview& aZones, printer& aPrinter)
{
  using phase_counts = std::map<std::string, std::size_t>;
  std::map<pool_name, std::map<zone_name, phase_counts>> pools;
  for (const auto& [zone, seen] : aZones) {
    for (const auto& [host, record] : seen.mHosts.mHosts) {
      ++pools[record.mPool][zone][fleet::Name(record.mPhase)];
    }
  }
  for (const auto& [pool, zones] : pools) {
    std::string line = "pool " + pool.Str() + ":";
    for (const auto& [zone, phases] : zones) {
      line.append(" ").append(zone.Str()).append(" (");
      bool first = true;
      for (const auto& [phase, count] : phases) {
        line.append(first ? "" : ", ").append(std::to_string(count));
        line.append(" ").append(phase);
        first = false;
      }
      line.append(")");
    }
    aPrinter.Line(line);
  }
}

void
PrintHosts(const overview& aZones, printer& aPrinter)
{
  for (const auto& [zone, seen] : aZones) {
    for (const auto& [host, record] : seen.mHosts.mHosts) {
      const std::string reason = WaitingReason(seen, host);
      if (!IsOrdinary(record) || !reason.empty()) {
        aPrinter.Line("host " + HostLine(host, record) +
                      (reason.empty() ? "" : "; " + reason));
      }
    }
  }
}

nlohmann::json
HostsJson(const overview& aZones)
{
  nlohmann::json hosts = nlohmann::json::object();
  for (const auto& [zone, seen] : aZones) {
    for (const auto& [host, record] : seen.mHosts.mHosts) {
      hosts[host.Str()] = { { "zone", zone.Str() },
                            { "pool", record.mPool.Str() },
                            { "phase", fleet::Name(record.mPhase) },
                            { "purpose", fleet::Name(record.mPurpose) },
                            { "target", record.mTarget.Str() },
                            { "failed", record.mFailed },
                            { "waits_for", WaitingReason(seen, host) } };
    }
  }
  return hosts;
}

void
PrintWaves(const overview& aZones, printer& aPrinter)
{
  for (const auto& [zone, seen] : aZones) {
    for (const fleet::wave_progress& each : seen.mStatus.mWaves) {
      aPrinter.Line(WaveTitle(each.mWave) + ", zone " + zone.Str() + ", pool " +
                    each.mPool.Str() + ": " + std::to_string(each.mDoneCount) +
                    " of " + std::to_string(each.mHostCount) + " done, " +
                    std::to_string(each.mActiveCount) + " active, " +
                    std::to_string(each.mFailedCount) + " failed" +
                    (each.mState.empty() ? "" : "; " + each.mState));
    }
  }
}

nlohmann::json
WavesJson(const overview& aZones)
{
  nlohmann::json zones = nlohmann::json::object();
  for (const auto& [zone, seen] : aZones) {
    nlohmann::json& waves = zones[zone.Str()];
    waves = nlohmann::json::array();
    for (const fleet::wave_progress& each : seen.mStatus.mWaves) {
      waves.push_back({ { "wave", each.mWave },
                        { "pool", each.mPool.Str() },
                        { "state", each.mState },
                        { "hosts", each.mHostCount },
                        { "done", each.mDoneCount },
                        { "active", each.mActiveCount },
                        { "failed", each.mFailedCount } });
    }
  }
  return zones;
}

} // namespace mangospan::ctl
