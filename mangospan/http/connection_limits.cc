#include "mangospan/http/connection_limits.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace mangospan::http {

namespace {

// Part of the limit that an eviction leaves free, so that the next requests
// need none: it looks at every connection.
constexpr std::size_t kFreedShare = 8;

} // namespace

const char*
Name(limit_reason aReason)
{
  switch (aReason) {
    case limit_reason::kNone:
      return "none";
    case limit_reason::kTotalMemory:
      return "total_memory";
    case limit_reason::kAddressMemory:
      return "address_memory";
    case limit_reason::kEvicted:
      return "evicted";
    case limit_reason::kConnections:
      return "connections";
    case limit_reason::kAddressConnections:
      return "address_connections";
    case limit_reason::kHeaderSize:
      return "header_size";
    case limit_reason::kHeaderFields:
      return "header_fields";
    case limit_reason::kBodySize:
      return "body_size";
    case limit_reason::kJsonSize:
      return "json_size";
    case limit_reason::kSlowHeader:
      return "slow_header";
    case limit_reason::kSlowBody:
      return "slow_body";
    case limit_reason::kSlowReader:
      return "slow_reader";
  }
  return "";
}

bool
IsBodyTooSlow(const connection_limits& aLimits,
              std::size_t aReceived,
              std::chrono::milliseconds aElapsed)
{
  return aElapsed >= aLimits.mBodyRatePeriod &&
         static_cast<double>(aReceived) * 1'000 <
           static_cast<double>(aLimits.mMinBodyBytesPerSecond) *
             static_cast<double>(aElapsed.count());
}

connection_ledger::connection_ledger(const connection_limits& aLimits)
  : mLimits(aLimits)
{
}

limit_reason
connection_ledger::CheckConnection(const std::string& aAddress) const
{
  const auto found = mAddresses.find(aAddress);
  const bool isFull =
    mLimits.mMaxConnectionsPerAddress > 0 && found != mAddresses.end() &&
    found->second.mConnections >= mLimits.mMaxConnectionsPerAddress;
  return isFull ? limit_reason::kAddressConnections : limit_reason::kNone;
}

void
connection_ledger::Open(connection aConnection, const std::string& aAddress)
{
  if (mConnections.try_emplace(aConnection, usage{ aAddress, {} }).second) {
    ++mAddresses[aAddress].mConnections;
  }
}

void
connection_ledger::Close(connection aConnection)
{
  const auto found = mConnections.find(aConnection);
  if (found == mConnections.end()) {
    return;
  }
  SetHeld(aConnection, {});
  const auto address = mAddresses.find(found->second.mAddress);
  if (--address->second.mConnections == 0) {
    mAddresses.erase(address);
  }
  mConnections.erase(found);
}

limit_reason
connection_ledger::Check(connection aConnection, std::size_t aBytes) const
{
  const auto found = mConnections.find(aConnection);
  if (found == mConnections.end()) {
    return limit_reason::kNone;
  }
  const usage& own = found->second;
  if (mHeldBytes - own.mHolding.mBytes + aBytes > mLimits.mMaxHeldBytes) {
    return limit_reason::kTotalMemory;
  }
  const std::size_t ofAddress = mAddresses.at(own.mAddress).mHeld;
  const bool isAddressFull =
    mLimits.mMaxHeldBytesPerAddress > 0 &&
    ofAddress - own.mHolding.mBytes + aBytes > mLimits.mMaxHeldBytesPerAddress;
  return isAddressFull ? limit_reason::kAddressMemory : limit_reason::kNone;
}

void
connection_ledger::SetHeld(connection aConnection, const holding& aHolding)
{
  const auto found = mConnections.find(aConnection);
  if (found == mConnections.end()) {
    return;
  }
  const std::size_t before = found->second.mHolding.mBytes;
  found->second.mHolding = aHolding;
  if (before != aHolding.mBytes) {
    address_usage& address = mAddresses.at(found->second.mAddress);
    address.mHeld = address.mHeld - before + aHolding.mBytes;
    mHeldBytes = mHeldBytes - before + aHolding.mBytes;
  }
}

// Grows with the square of what is held: closing many small connections would
// free little.
double
connection_ledger::Burden(const holding& aHolding, time_point aNow)
{
  const double seconds =
    std::chrono::duration<double>(aNow - aHolding.mSince).count();
  const auto held = static_cast<double>(aHolding.mBytes);
  return held * held * seconds / (static_cast<double>(aHolding.mProgress) + 1);
}

std::vector<connection_ledger::connection>
connection_ledger::ChooseEvicted(connection aFor,
                                 std::size_t aBytes,
                                 time_point aNow) const
{
  std::vector<std::pair<double, connection>> candidates;
  for (const auto& [key, each] : mConnections) {
    if (each.mHolding.mIsEvictable && each.mHolding.mBytes > 0 && key != aFor) {
      candidates.emplace_back(Burden(each.mHolding, aNow), key);
    }
  }
  std::sort(candidates.begin(), candidates.end(), std::greater<>());
  const std::size_t goal =
    mLimits.mMaxHeldBytes - mLimits.mMaxHeldBytes / kFreedShare;
  std::size_t left = mHeldBytes + aBytes;
  std::vector<connection> out;
  for (const auto& [burden, key] : candidates) {
    if (left <= goal) {
      break;
    }
    left -= mConnections.at(key).mHolding.mBytes;
    out.push_back(key);
  }
  return out;
}

} // namespace mangospan::http
