// An HTTP/1.1 client with one request per connection at a time.
//
// A connection whose response was late, truncated, malformed or oversized is
// closed and never reused, so a response is only delivered to the request that
// it belongs to:
//
//   client.Send("127.0.0.1:8080", request, std::chrono::seconds(2),
//               [](result<http::response> aResult) { ... });
//
// The error code tells whether the peer can have processed the request:
// kUnavailable means that no byte of it was written, kUnknownResult that at
// least one byte was.
#ifndef MANGOSPAN_HTTP_CLIENT_H
#define MANGOSPAN_HTTP_CLIENT_H

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "mangospan/base/error.h"
#include "mangospan/http/message.h"

namespace boost::asio {
class io_context;
}

namespace mangospan::http {

// Limits and timeouts of a client. The size limits apply to each response.
struct client_options
{
  std::size_t mMaxHeaderBytes = std::size_t{ 16 } * 1024;
  std::size_t mMaxBodyBytes = std::size_t{ 8 } * 1024 * 1024;
  std::size_t mMaxIdlePerAddress = 8;
  std::chrono::milliseconds mConnectTimeout{ 1'000 };
  std::chrono::milliseconds mIdleTimeout{ 30'000 };
};

// The timeouts of a read whose response may be large. They bound the pauses of
// the transfer; its length is left to the size and to the link.
struct fetch_timeouts
{
  std::chrono::milliseconds mHeader{ 0 }; // until the response's header is read
  std::chrono::milliseconds mStall{ 0 };  // between two pieces of the body
  std::chrono::milliseconds mTotal{ 0 };  // until the response is complete
};

// A read that is under way.
class fetch
{
public:
  virtual ~fetch() = default;
  // Returns whether a part of the response has arrived.
  virtual bool HasBegun() const = 0;
  // Gives the read up and closes its connection. The handler is not called any
  // more.
  virtual void Cancel() = 0;
};

// Receives the response to a request, or the error that prevented it.
using response_handler = std::function<void(result<response>)>;

// Sends requests over pooled connections, with one pool per address. Handlers
// run on the io_context; once the client is destroyed, none is called any more.
class client
{
public:
  client(boost::asio::io_context& aIo, client_options aOptions);
  ~client();
  client(const client&) = delete;
  client& operator=(const client&) = delete;

  // Sends `aRequest` to `aAddress` ("ip:port") and calls `aHandler` once with
  // the complete response, or with an error after at most `aTimeout`. The
  // handler never runs inside this call. Errors: kInvalidArgument if the
  // address is malformed or the request can not be written as HTTP,
  // kUnavailable and kUnknownResult as described above.
  void Send(const std::string& aAddress,
            request aRequest,
            std::chrono::milliseconds aTimeout,
            response_handler aHandler);

  // Reads `aTarget` with a GET request. Errors: those of `Send`, and
  // kIncomplete if the header of the response arrived and the rest did not in
  // time. Returns the read, or null if no request could be made.
  std::shared_ptr<fetch> Fetch(const std::string& aAddress,
                               const std::string& aTarget,
                               const fetch_timeouts& aTimeouts,
                               response_handler aHandler);

  // Returns the number of connections to the address, busy and idle.
  std::size_t OpenConnections(const std::string& aAddress) const;

  // Closes the idle connections to the address.
  void CloseIdle(const std::string& aAddress);

private:
  class impl;
  std::shared_ptr<impl> mImpl;
};

} // namespace mangospan::http

#endif // MANGOSPAN_HTTP_CLIENT_H
