// Decisions about clients that hold memory or connections of a server, apart
// from I/O.
//
//   connection_ledger ledger(limits);
//   ledger.Open(id, "10.1.0.2");
//   if (ledger.Check(id, bytes) == limit_reason::kNone) ...
#ifndef MANGOSPAN_HTTP_CONNECTION_LIMITS_H
#define MANGOSPAN_HTTP_CONNECTION_LIMITS_H

#include <chrono>
#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

#include "mangospan/base/time.h"

namespace mangospan::http {

// Limits of one server on what its clients hold. Bytes are those of unread
// input, requests and responses.
struct connection_limits
{
  std::size_t mMaxHeldBytes = std::size_t{ 64 } * 1024 * 1024;
  // For one client address; 0 for no limit, since a load balancer has all
  // clients behind one address.
  std::size_t mMaxHeldBytesPerAddress = 0;
  std::size_t mMaxConnectionsPerAddress = 0;
  std::size_t mMaxHeaderFields = 256;
  // Rate of a body that has not ended, over each period of this length.
  std::size_t mMinBodyBytesPerSecond = 256;
  std::chrono::milliseconds mBodyRatePeriod{ 5'000 };
};

// Why a client was refused or its connection closed.
enum class limit_reason
{
  kNone,
  kTotalMemory,   // refused: the server's bytes are held by others
  kAddressMemory, // refused: the address holds its bytes
  kEvicted,       // closed in favor of another connection
  kConnections,
  kAddressConnections,
  kHeaderSize,
  kHeaderFields,
  kBodySize,
  kJsonSize, // of a body, by its decoder
  kSlowHeader,
  kSlowBody,
  kSlowReader,
};

// Returns the value of the label `reason` of the counter.
const char*
Name(limit_reason aReason);

// Returns whether a body of which `aReceived` bytes came in the last period of
// the length `aElapsed` is slower than the limit.
bool
IsBodyTooSlow(const connection_limits& aLimits,
              std::size_t aReceived,
              std::chrono::milliseconds aElapsed);

// What one connection holds.
struct holding
{
  std::size_t mBytes = 0;
  time_point mSince{};       // begin of the request or the response
  std::size_t mProgress = 0; // bytes transferred since then
  bool mIsEvictable = false; // may be closed in favor of others
};

// Counts what the connections of one server hold, and decides about more.
class connection_ledger
{
public:
  using connection = const void*; // identifies a connection

  explicit connection_ledger(const connection_limits& aLimits);

  // Returns kNone, or why the address may not have another connection.
  limit_reason CheckConnection(const std::string& aAddress) const;
  void Open(connection aConnection, const std::string& aAddress);
  void Close(connection aConnection);

  // Returns kNone if the connection may hold `aBytes` in all.
  limit_reason Check(connection aConnection, std::size_t aBytes) const;
  void SetHeld(connection aConnection, const holding& aHolding);

  // Returns which connections to close, so that `aBytes` more fit and an eighth
  // of the limit is free: those that hold most for longest with least progress
  // first. Never returns `aFor`.
  std::vector<connection> ChooseEvicted(connection aFor,
                                        std::size_t aBytes,
                                        time_point aNow) const;

  std::size_t HeldBytes() const { return mHeldBytes; }

private:
  struct usage
  {
    std::string mAddress;
    holding mHolding;
  };
  struct address_usage
  {
    std::size_t mConnections = 0;
    std::size_t mHeld = 0;
  };

  static double Burden(const holding& aHolding, time_point aNow);

  const connection_limits mLimits;
  std::unordered_map<connection, usage> mConnections;
  std::unordered_map<std::string, address_usage> mAddresses;
  std::size_t mHeldBytes = 0;
};

} // namespace mangospan::http

#endif // MANGOSPAN_HTTP_CONNECTION_LIMITS_H
