// The settings file of a node: JSON with comments. Unknown keys, missing
// required keys and values of the wrong type are errors.
#ifndef MANGOSPAN_NODE_SETTINGS_H
#define MANGOSPAN_NODE_SETTINGS_H

#include <chrono>
#include <string>
#include <string_view>

#include "mangospan/base/error.h"
#include "mangospan/base/identity.h"
#include "mangospan/base/log.h"

namespace mangospan::node {

// The settings of a node. Addresses have the form "ip:port".
struct node_settings
{
  std::string mNode; // unique name of this node
  zone_name mZone;
  std::string mCallerAddress;    // serves callers' requests
  std::string mReadinessAddress; // serves the load balancer's readiness checks
  std::string mNodeAddress;      // serves requests of other nodes
  std::string mOperatorAddress;  // serves metrics and state; disabled if empty
  std::string mStoreAddress;
  std::string mHostServiceAddress; // lists and moves hosts; disabled if empty
  double mProcessorCores = 1.0;    // processor time of this host, in cores
  // Limits of the server for callers: bytes of a request body, connections.
  std::size_t mMaxBodyBytes = std::size_t{ 256 } * 1024;
  std::size_t mMaxConnections = 1'500;
  // What the clients of each listener hold in memory. The sum is what a node
  // of 160 MB has left.
  std::size_t mCallerMemoryBytes = std::size_t{ 24 } * 1024 * 1024;
  std::size_t mReadinessMemoryBytes = std::size_t{ 2 } * 1024 * 1024;
  std::size_t mNodeMemoryBytes = std::size_t{ 32 } * 1024 * 1024;
  std::size_t mOperatorMemoryBytes = std::size_t{ 16 } * 1024 * 1024;
  std::size_t mMaxReadinessConnections = 1'000;
  std::size_t mMaxNodeConnections = 500;
  // For one address of callers; 0 for no limit.
  std::size_t mCallerMemoryBytesPerAddress = 0;
  std::size_t mMaxConnectionsPerAddress = 0;
  // Of requests at each listener.
  std::size_t mMaxHeaderFields = 256;
  std::size_t mMinBodyBytesPerSecond = 256;
  std::chrono::milliseconds mBodyRatePeriod{ 5'000 };
  std::chrono::milliseconds mHeaderTimeout{ 10'000 };
  std::chrono::milliseconds mWriteTimeout{ 10'000 };
  std::chrono::milliseconds mIdleTimeout{ 20'000 }; // not of other nodes
  // Of a job's JSON: 1,000 steps of all fields and some dependencies fit.
  std::size_t mMaxJsonElements = 30'000;
  std::size_t mMaxJsonDepth = 32;
  std::chrono::milliseconds mStopTimeout{ 6'000 };
  // Minimum time that the host service requires, for the same host, between the
  // orders of one fleet controller and those of the next.
  std::chrono::milliseconds mMinOrderGapBetweenOwners{ 3'000 };
  double mLinkMbps = 1'000; // bandwidth of this host's network link, in Mbit/s
  // A revoked API key is refused everywhere once its revocation is this old; 0
  // if the deployment states no bound.
  std::chrono::milliseconds mKeyRevocationBound{ 0 };
  // In any span of this length a customer is entitled to as many jobs as its
  // weight gives for the span, and the slack more.
  std::chrono::milliseconds mCustomerRateWindow{ 5'000 };
  std::size_t mCustomerRateSlack = 20;
  // Run times are learned from finished runs, and used in place of the callers'
  // estimates.
  bool mLearnRunTimes = false;
  // Orders per second that the host service accepts from all nodes together.
  double mHostOrdersPerSecond = 60;
  log_level mLogLevel = log_level::kInfo;
};

// Parses the text of a settings file. `aSource` names the file in errors.
// Errors: kInvalidArgument, which names the file and the key.
result<node_settings>
ParseSettings(std::string_view aText, std::string_view aSource);

// Reads and parses a settings file. Errors: those of `ParseSettings`, and
// kNotFound if the file does not exist.
result<node_settings>
LoadSettings(const std::string& aFile);

} // namespace mangospan::node

#endif // MANGOSPAN_NODE_SETTINGS_H
