// An HTTP/1.1 server that hands over whole requests.
//
// A request is given to the handler only once its body has arrived entirely; a
// malformed or oversized one is answered with a 4xx and never handed over.
//
//   http::server server(io, {}, [](http::request aRequest,
//                                  http::responder aRespond) {
//     aRespond(http::JsonResponse(200, "{}"));
//   });
//   BOOST_OUTCOME_TRY(server.Listen("127.0.0.1:8080"));
#ifndef MANGOSPAN_HTTP_SERVER_H
#define MANGOSPAN_HTTP_SERVER_H

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "mangospan/base/error.h"
#include "mangospan/http/message.h"

namespace boost::asio {
class io_context;
}

namespace mangospan::http {

struct server_options
{
  std::size_t mMaxHeaderBytes = std::size_t{ 16 } * 1024;
  std::size_t mMaxBodyBytes = std::size_t{ 8 } * 1024 * 1024;
  std::size_t mMaxConnections = 4096; // further ones get 503 and are closed
  std::chrono::milliseconds mReadTimeout{ 10'000 };  // one whole request
  std::chrono::milliseconds mIdleTimeout{ 60'000 };  // between two requests
  std::chrono::milliseconds mWriteTimeout{ 30'000 }; // one whole response
};

// Sends the response; call it exactly once, from the io_context's thread. A
// caller that has gone is no error.
using responder = std::function<void(response)>;
using request_handler = std::function<void(request, responder)>;

class server
{
public:
  server(boost::asio::io_context& aIo,
         server_options aOptions,
         request_handler aHandler);
  ~server();
  server(const server&) = delete;
  server& operator=(const server&) = delete;

  // Binds to "ip:port" (port 0: any) and accepts. Errors: kInvalidArgument for
  // a malformed address, kUnavailable if it can not be bound.
  status Listen(std::string_view aAddress);

  // The bound port, once listening.
  unsigned short Port() const;

  // Takes no more connections and closes the idle ones; responses that are
  // still due are sent with "Connection: close".
  void StopAccepting();

  // Requests handed over whose response has not been written entirely.
  std::size_t ActiveRequests() const;
  std::size_t OpenConnections() const;

private:
  class impl;
  std::shared_ptr<impl> mImpl;
};

} // namespace mangospan::http

#endif // MANGOSPAN_HTTP_SERVER_H
