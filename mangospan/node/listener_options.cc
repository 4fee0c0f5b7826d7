#include "mangospan/node/listener_options.h"

namespace mangospan::node {

namespace {

// A check has no body; a few bytes of one are read and ignored.
constexpr std::size_t kMaxReadinessBodyBytes = 4'096;

http::connection_limits
Limits(const node_settings& aSettings, std::size_t aMemoryBytes)
{
  http::connection_limits out;
  out.mMaxHeldBytes = aMemoryBytes;
  out.mMaxHeaderFields = aSettings.mMaxHeaderFields;
  out.mMinBodyBytesPerSecond = aSettings.mMinBodyBytesPerSecond;
  out.mBodyRatePeriod = aSettings.mBodyRatePeriod;
  return out;
}

http::server_options
Listener(const node_settings& aSettings, std::size_t aMemoryBytes)
{
  http::server_options out;
  out.mHeaderTimeout = aSettings.mHeaderTimeout;
  out.mWriteTimeout = aSettings.mWriteTimeout;
  out.mLimits = Limits(aSettings, aMemoryBytes);
  return out;
}

} // namespace

http::server_options
CallerListener(const node_settings& aSettings)
{
  http::server_options out = Listener(aSettings, aSettings.mCallerMemoryBytes);
  out.mMaxBodyBytes = aSettings.mMaxBodyBytes;
  out.mMaxConnections = aSettings.mMaxConnections;
  out.mIdleTimeout = aSettings.mIdleTimeout;
  out.mLimits.mMaxHeldBytesPerAddress = aSettings.mCallerMemoryBytesPerAddress;
  out.mLimits.mMaxConnectionsPerAddress = aSettings.mMaxConnectionsPerAddress;
  return out;
}

http::server_options
ReadinessListener(const node_settings& aSettings)
{
  http::server_options out =
    Listener(aSettings, aSettings.mReadinessMemoryBytes);
  out.mMaxBodyBytes = kMaxReadinessBodyBytes;
  out.mMaxConnections = aSettings.mMaxReadinessConnections;
  out.mIdleTimeout = aSettings.mIdleTimeout;
  return out;
}

http::server_options
NodeListener(const node_settings& aSettings)
{
  http::server_options out = Listener(aSettings, aSettings.mNodeMemoryBytes);
  out.mMaxConnections = aSettings.mMaxNodeConnections;
  return out;
}

http::connection_limits
OperatorLimits(const node_settings& aSettings)
{
  return Limits(aSettings, aSettings.mOperatorMemoryBytes);
}

} // namespace mangospan::node
