// Connections between the system's own processes (websocket, CBOR).
//
// A process listens on one address and dials its peers; after that both sides
// are alike. All handlers run on the io_context's thread:
//
//   wire::link link(io, self, gate, { onOpen, onEnvelope, onClose });
//   BOOST_OUTCOME_TRY(link.Listen("127.0.0.1:7400"));
//   link.SetPeers({ "127.0.0.1:7401", "127.0.0.1:7402" });
#ifndef MANGOSPAN_WIRE_LINK_H
#define MANGOSPAN_WIRE_LINK_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include "mangospan/base/error.h"
#include "mangospan/wire/message.h"

namespace boost::asio {
class io_context;
}

namespace mangospan::wire {

// Identifies an open connection for as long as the process runs.
using connection_id = std::uint64_t;

// Decides which peers this process hears; a test switch cuts zones or hosts
// here. Envelopes from a blocked sender are dropped unread.
class traffic_gate
{
public:
  void BlockZone(const zone_name& aZone);
  void BlockHost(const host_name& aHost);
  void Clear();
  bool Allows(const sender& aSender) const;

private:
  std::set<zone_name> mZones;
  std::set<host_name> mHosts;
};

struct link_handlers
{
  // A connection was made, by either side; `aDialled` is the peer address for
  // those this process dialled, else empty.
  std::function<void(connection_id, const std::string& aDialled)> mOnOpen;
  std::function<void(connection_id, envelope)> mOnEnvelope;
  std::function<void(connection_id)> mOnClose;
};

// Counts since the process started, for metrics and capacity figures.
struct link_counters
{
  std::uint64_t mSentMessages = 0;
  std::uint64_t mSentBytes = 0;
  std::uint64_t mReceivedMessages = 0;
  std::uint64_t mReceivedBytes = 0;
  std::uint64_t mRefusedMessages = 0; // malformed or oversized
};

class link
{
public:
  // `aSelf` is asked for the envelope of each message that is sent; `aGate`
  // must outlive the link.
  link(boost::asio::io_context& aIo,
       std::function<sender()> aSelf,
       const traffic_gate& aGate,
       link_handlers aHandlers);
  ~link();
  link(const link&) = delete;
  link& operator=(const link&) = delete;

  // Errors: kInvalidArgument for a malformed address, kUnavailable if it can
  // not be bound.
  status Listen(std::string_view aAddress);
  unsigned short Port() const;

  // Keeps one connection to each address, dialling again with a growing,
  // jittered delay; drops dialled connections to addresses no longer named.
  void SetPeers(const std::set<std::string>& aAddresses);

  // Queues the message. A connection that has closed, or whose queue is over
  // its bound, loses it: the sender must be able to repeat it.
  void Send(connection_id aConnection, const message& aMessage);

  void Close(connection_id aConnection);

  // Closes everything and stops listening; no handler runs afterwards.
  void Stop();

  const link_counters& Counters() const;

private:
  class impl;
  std::shared_ptr<impl> mImpl;
};

} // namespace mangospan::wire

#endif // MANGOSPAN_WIRE_LINK_H
