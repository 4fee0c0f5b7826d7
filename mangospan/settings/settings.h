// A daemon's settings: JSON with comments, every key checked.
//
// A process learns its addresses and its availability zone from here, and
// nothing else about the fleet:
//
//   BOOST_OUTCOME_TRY(settings, settings::Load("entry.json"));
#ifndef MANGOSPAN_SETTINGS_SETTINGS_H
#define MANGOSPAN_SETTINGS_SETTINGS_H

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "mangospan/base/error.h"
#include "mangospan/base/identity.h"
#include "mangospan/base/log.h"

namespace mangospan::settings {

// The settings of one `mangospan-entry` or `mangospan-fleet` process. Addresses
// are "ip:port".
struct process_settings
{
  host_name mHost;
  zone_name mZone;
  std::string mCallerAddress; // entry only: where callers' HTTP arrives
  std::string mOperatorAddress;
  std::string mPeerAddress; // link listener
  std::string mPlatformAddress;
  std::vector<std::string> mPeers; // link addresses of the zone's fleet
                                   // processes and of neighbouring zones'
  log_level mLogLevel = log_level::kInfo;
  bool mTestSwitches = false; // enables POST /test/... on the operator address

  std::chrono::milliseconds mLeaseTtl{ 6'000 };       // fleet only
  std::chrono::milliseconds mHeartbeat{ 500 };        // fleet only
  std::chrono::milliseconds mHostListPeriod{ 1'000 }; // fleet only
  std::chrono::milliseconds mStopTimeout{ 30'000 };   // graceful shutdown
  std::size_t mMaxBodyBytes = std::size_t{ 8 } * 1024 * 1024; // entry only
  std::size_t mMaxConnections = 4096;                         // entry only
  std::size_t mMaxQueuedPerPool = 2048;                       // entry only
};

enum class program
{
  kEntry,
  kFleet,
};

// Reads and checks the file. Errors: kNotFound, or kInvalidArgument with the
// file as peer and the line or JSON pointer in the message.
result<process_settings>
Load(const std::string& aFile, program aProgram);

// The same for text already read.
result<process_settings>
Parse(std::string_view aText, std::string_view aSource, program aProgram);

// Checks the form "ip:port" with a port from 1 to 65535 (0 too where allowed).
bool
IsAddress(std::string_view aText, bool aAllowAnyPort);

} // namespace mangospan::settings

#endif // MANGOSPAN_SETTINGS_SETTINGS_H
