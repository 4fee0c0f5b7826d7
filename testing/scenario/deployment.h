// Where each process of a scenario listens, and the files it is started with.
//
//   deployment deployment(folder, kFirstPort);
//   BOOST_OUTCOME_TRYV(deployment.LoadFleet("fleet.json"));
//   deployment.Declare(daemon_kind::kEntry, "a-e1");
//   BOOST_OUTCOME_TRY(command, deployment.CommandOf("entry/a-e1"));
#ifndef TESTING_SCENARIO_DEPLOYMENT_H
#define TESTING_SCENARIO_DEPLOYMENT_H

#include <map>
#include <string>
#include <vector>

#include "mangospan/base/error.h"
#include "testing/fleet/fleet_file.h"
#include "testing/scenario/free_ports.h"

namespace mangospan::scenario {

enum class daemon_kind
{
  kEntry,
  kFleet,
};

// One mangospan daemon; its name is "entry/HOST" or "fleet/HOST".
struct daemon_process
{
  std::string mName;
  daemon_kind mKind = daemon_kind::kEntry;
  std::string mHost;
  std::string mZone;
  std::string mCallerAddress; // of entries
  std::string mOperatorAddress;
  std::string mPeerAddress;
};

struct command
{
  std::string mProgram;
  std::vector<std::string> mArguments;
};

class deployment
{
public:
  // Programs are taken from `aBinFolder`, files go to `aFolder`.
  deployment(std::string aBinFolder, std::string aFolder);

  // Reads the hosts and gives each a free address on loopback.
  status LoadFleet(const std::string& aFile);

  // Errors: kNotFound for a host that is no entry host of the fleet.
  status Declare(daemon_kind aKind, const std::string& aHost);

  // How to start a process: "platform", "endpoints" or a declared daemon, whose
  // settings file is written now.
  result<command> CommandOf(const std::string& aName) const;
  command CtlCommand(const std::vector<std::string>& aArguments) const;

  // What answers HTTP once the process is up.
  result<std::string> ControlAddressOf(const std::string& aName) const;

  const std::string& PlatformAddress() const { return mPlatformAddress; }
  const standin::fleet_file& Fleet() const { return mFleet; }
  const std::map<std::string, daemon_process>& Daemons() const
  {
    return mDaemons;
  }

private:
  std::vector<std::string> PeersOf(const daemon_process& aDaemon) const;
  status WriteSettings(const daemon_process& aDaemon,
                       const std::string& aFile) const;

  std::string mBinFolder;
  std::string mFolder;
  free_ports mPorts;
  std::string mPlatformAddress;
  standin::fleet_file mFleet;
  std::map<std::string, std::string> mEntryPeerAddresses; // by host
  std::map<std::string, daemon_process> mDaemons;
};

} // namespace mangospan::scenario

#endif // TESTING_SCENARIO_DEPLOYMENT_H
