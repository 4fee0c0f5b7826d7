#include "testing/scenario/deployment.h"

#include <fstream>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "mangospan/base/error.h"
#include "mangospan/platform/hosts.h"
#include "testing/fleet/fleet_file.h"

namespace mangospan::scenario {

namespace {

using nlohmann::json;

status
Write(const std::string& aFile, const std::string& aText)
{
  std::ofstream out(aFile);
  out << aText;
  if (!out) {
    return error{
      error_code::kInvalidArgument, "file.write", aFile, "can not be written"
    };
  }
  return boost::outcome_v2::success();
}

const char*
Prefix(daemon_kind aKind)
{
  return aKind == daemon_kind::kEntry ? "entry/" : "fleet/";
}

} // namespace

deployment::deployment(std::string aBinFolder, std::string aFolder)
  : mBinFolder(std::move(aBinFolder))
  , mFolder(std::move(aFolder))
{
}

status
deployment::LoadFleet(const std::string& aFile)
{
  BOOST_OUTCOME_TRY(fleet, standin::LoadFleet(aFile));
  mFleet = std::move(fleet);
  BOOST_OUTCOME_TRY(platformAddress, mPorts.NewAddress());
  mPlatformAddress = platformAddress;
  BOOST_OUTCOME_TRY(control, mPorts.NewAddress());
  mFleet.mEndpointControl = control;
  for (platform::host_info& host : mFleet.mHosts) {
    BOOST_OUTCOME_TRY(address, mPorts.NewAddress());
    host.mAddress = address;
  }
  return Write(mFolder + "/fleet.json", standin::FormatFleet(mFleet));
}

status
deployment::Declare(daemon_kind aKind, const std::string& aHost)
{
  const platform::host_info* host = mFleet.Find(aHost);
  if (host == nullptr || host->mRole != platform::host_role::kEntry) {
    return error{ error_code::kNotFound,
                  "deployment.declare",
                  aHost,
                  "is no entry host of the fleet" };
  }
  daemon_process made;
  made.mName = Prefix(aKind) + aHost;
  made.mKind = aKind;
  made.mHost = aHost;
  made.mZone = host->mZone.Str();
  BOOST_OUTCOME_TRY(operatorAddress, mPorts.NewAddress());
  made.mOperatorAddress = operatorAddress;
  if (aKind == daemon_kind::kEntry) {
    made.mPeerAddress = host->mAddress; // as the host list shows it
    BOOST_OUTCOME_TRY(callerAddress, mPorts.NewAddress());
    made.mCallerAddress = callerAddress;
  } else {
    BOOST_OUTCOME_TRY(peerAddress, mPorts.NewAddress());
    made.mPeerAddress = peerAddress;
  }
  mDaemons[made.mName] = made;
  return boost::outcome_v2::success();
}

// The fleet processes of the zone and of its neighbours on the ring of zones.
std::vector<std::string>
deployment::PeersOf(const daemon_process& aDaemon) const
{
  std::set<std::string> zones;
  for (const auto& [name, each] : mDaemons) {
    zones.insert(each.mZone);
  }
  const std::vector<std::string> ring(zones.begin(), zones.end());
  std::set<std::string> near{ aDaemon.mZone };
  for (std::size_t i = 0; i < ring.size(); ++i) {
    if (ring[i] == aDaemon.mZone && aDaemon.mKind == daemon_kind::kFleet) {
      near.insert(ring[(i + 1) % ring.size()]);
      near.insert(ring[(i + ring.size() - 1) % ring.size()]);
    }
  }
  std::vector<std::string> peers;
  for (const auto& [name, each] : mDaemons) {
    if (each.mKind == daemon_kind::kFleet && near.count(each.mZone) > 0 &&
        name != aDaemon.mName) {
      peers.push_back(each.mPeerAddress);
    }
  }
  return peers;
}

status
deployment::WriteSettings(const daemon_process& aDaemon,
                          const std::string& aFile) const
{
  json settings{ { "host", aDaemon.mHost },
                 { "zone", aDaemon.mZone },
                 { "operator_address", aDaemon.mOperatorAddress },
                 { "peer_address", aDaemon.mPeerAddress },
                 { "platform_address", mPlatformAddress },
                 { "peers", PeersOf(aDaemon) },
                 { "log_level", "info" },
                 { "test_switches", true } };
  if (aDaemon.mKind == daemon_kind::kEntry) {
    settings["caller_address"] = aDaemon.mCallerAddress;
  }
  constexpr int kIndent = 1;
  return Write(aFile, settings.dump(kIndent));
}

result<command>
deployment::CommandOf(const std::string& aName) const
{
  const std::string fleetFile = mFolder + "/fleet.json";
  if (aName == "platform") {
    return command{ mBinFolder + "/standin-platform",
                    { "--listen", mPlatformAddress, "--fleet", fleetFile } };
  }
  if (aName == "endpoints") {
    return command{ mBinFolder + "/standin-endpoint",
                    { "--fleet", fleetFile } };
  }
  const auto found = mDaemons.find(aName);
  if (found == mDaemons.end()) {
    return error{
      error_code::kNotFound, "process.find", aName, "was not declared"
    };
  }
  const daemon_process& daemon = found->second;
  const bool entry = daemon.mKind == daemon_kind::kEntry;
  const std::string file =
    mFolder + (entry ? "/entry-" : "/fleet-") + daemon.mHost + ".json";
  BOOST_OUTCOME_TRYV(WriteSettings(daemon, file));
  return command{ mBinFolder +
                    (entry ? "/mangospan-entry" : "/mangospan-fleet"),
                  { "--settings", file } };
}

command
deployment::CtlCommand(const std::vector<std::string>& aArguments) const
{
  return { mBinFolder + "/mangospanctl", aArguments };
}

result<std::string>
deployment::ControlAddressOf(const std::string& aName) const
{
  if (aName == "platform") {
    return mPlatformAddress;
  }
  if (aName == "endpoints") {
    return mFleet.mEndpointControl;
  }
  const auto found = mDaemons.find(aName);
  if (found == mDaemons.end()) {
    return error{
      error_code::kNotFound, "process.find", aName, "was not declared"
    };
  }
  return found->second.mOperatorAddress;
}

} // namespace mangospan::scenario
