// Websocket connections without the library's types. Meant for wire/link.cc.
#ifndef MANGOSPAN_WIRE_INTERNAL_WEBSOCKET_H
#define MANGOSPAN_WIRE_INTERNAL_WEBSOCKET_H

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "mangospan/base/error.h"

namespace boost::asio {
class io_context;
}

namespace mangospan::wire::internal {

// One connection, accepted or dialled. After its end the calls do nothing.
class websocket
{
public:
  virtual ~websocket() = default;

  // Queues one binary message; false if the connection has ended.
  virtual bool Send(const std::string& aBytes) = 0;
  // Bytes queued and not yet handed to the operating system.
  virtual std::size_t QueuedBytes() const = 0;
  // Closes the connection unless the peer answers in time.
  virtual void Ping() = 0;
  virtual void Close() = 0;
};

// Each is called from the io_context; `mOnEnd` once for each connection, also
// for a dialled one that was never open.
struct websocket_handlers
{
  std::function<void()> mOnOpen;
  std::function<void(const std::string& aBytes)> mOnMessage;
  std::function<void()> mOnEnd;
};

class websocket_transport
{
public:
  // Makes the handlers of a newly accepted connection.
  using accept_handler =
    std::function<websocket_handlers(std::shared_ptr<websocket>)>;

  websocket_transport(boost::asio::io_context& aIo, accept_handler aOnAccept);
  ~websocket_transport();
  websocket_transport(const websocket_transport&) = delete;
  websocket_transport& operator=(const websocket_transport&) = delete;

  // Errors as link::Listen.
  status Listen(std::string_view aAddress);
  unsigned short Port() const;
  void StopListening();

  // Starts to connect to "ip:port"; null if the address is malformed.
  std::shared_ptr<websocket> Dial(const std::string& aAddress,
                                  websocket_handlers aHandlers);

private:
  class impl;
  std::shared_ptr<impl> mImpl;
};

} // namespace mangospan::wire::internal

#endif // MANGOSPAN_WIRE_INTERNAL_WEBSOCKET_H
