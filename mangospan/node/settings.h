// A node's settings: JSON with comments, every key checked.
#ifndef MANGOSPAN_NODE_SETTINGS_H
#define MANGOSPAN_NODE_SETTINGS_H

#include <chrono>
#include <string>
#include <string_view>

#include "mangospan/base/error.h"
#include "mangospan/base/identity.h"
#include "mangospan/base/log.h"

namespace mangospan::node {

// Addresses are "ip:port".
struct node_settings
{
  std::string mNode;
  zone_name mZone;
  std::string mCallerAddress;    // where callers' requests arrive
  std::string mReadinessAddress; // where the balancer asks
  std::string mNodeAddress;      // the own interface, for other nodes
  std::string mOperatorAddress;  // metrics and state; empty: none
  std::string mStoreAddress;
  std::string mHostServiceAddress; // lists and moves hosts; empty: none
  double mProcessorShare = 1.0;    // of a core that this host has
  std::size_t mMaxBodyBytes = std::size_t{ 256 } * 1024;
  std::size_t mMaxConnections = 1'500;
  std::chrono::milliseconds mStopTimeout{ 6'000 };
  // Of the host service: two holders' orders must be this far apart.
  std::chrono::milliseconds mHostLease{ 3'000 };
  double mLinkMbps = 1'000;         // of this host's network link
  double mHostOrdersPerSecond = 60; // that the host service takes in all
  log_level mLogLevel = log_level::kInfo;
};

// Errors: kInvalidArgument that names the file and the key.
result<node_settings>
ParseSettings(std::string_view aText, std::string_view aSource);

// Reads and checks the file. Errors also: kNotFound.
result<node_settings>
LoadSettings(const std::string& aFile);

} // namespace mangospan::node

#endif // MANGOSPAN_NODE_SETTINGS_H
