// An HTTP/1.1 client with one request per connection at a time.
//
// A connection whose answer was late, cut, malformed or oversized is closed and
// never used again, so an answer is only ever given to its own request:
//
//   client.Send("127.0.0.1:8080", request, std::chrono::seconds(2),
//               [](result<http::response> aResult) { ... });
//
// Errors tell whether the request can have been acted on: kUnavailable means
// that not one byte of it was written, kUnknownResult that some were.
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

struct client_options
{
  std::size_t mMaxHeaderBytes = std::size_t{ 16 } * 1024;
  std::size_t mMaxBodyBytes = std::size_t{ 8 } * 1024 * 1024;
  std::size_t mMaxIdlePerAddress = 8;
  std::chrono::milliseconds mConnectTimeout{ 1'000 };
  std::chrono::milliseconds mIdleTimeout{ 30'000 };
};

using response_handler = std::function<void(result<response>)>;

class client
{
public:
  client(boost::asio::io_context& aIo, client_options aOptions);
  ~client();
  client(const client&) = delete;
  client& operator=(const client&) = delete;

  // Sends `aRequest` to "ip:port" and calls `aHandler` once with the whole
  // response, or with an error after at most `aTimeout`.
  void Send(const std::string& aAddress,
            request aRequest,
            std::chrono::milliseconds aTimeout,
            response_handler aHandler);

  // Connections to the address, busy or idle.
  std::size_t OpenConnections(const std::string& aAddress) const;

  // Closes the idle connections to the address.
  void CloseIdle(const std::string& aAddress);

private:
  class impl;
  std::shared_ptr<impl> mImpl;
};

} // namespace mangospan::http

#endif // MANGOSPAN_HTTP_CLIENT_H
