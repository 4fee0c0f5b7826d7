// An HTTP/1.1 server that passes complete requests to a handler.
//
// The handler is called once the whole body of a request has arrived. The
// server answers a malformed or oversized request with a 4xx status itself and
// never passes it to the handler.
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
#include "mangospan/http/connection_limits.h"
#include "mangospan/http/message.h"

namespace boost::asio {
class io_context;
}

namespace mangospan::http {

// Limits and timeouts of a server. The size limits apply to each request.
struct server_options
{
  std::size_t mMaxHeaderBytes = std::size_t{ 16 } * 1024;
  std::size_t mMaxBodyBytes = std::size_t{ 8 } * 1024 * 1024;
  // For a further connection, one is closed that has waited for longer than
  // `mMinWaitBeforeEviction` without a complete request. If there is none, the
  // further one is answered with 503 and closed.
  std::size_t mMaxConnections = 4096;
  std::chrono::milliseconds mMinWaitBeforeEviction{ 3'000 };
  std::chrono::milliseconds mHeaderTimeout{ 10'000 };
  std::chrono::milliseconds mReadTimeout{ 10'000 };  // for one request
  std::chrono::milliseconds mIdleTimeout{ 60'000 };  // between requests
  std::chrono::milliseconds mWriteTimeout{ 30'000 }; // for one response
  connection_limits mLimits;
  // Called when a client is refused or its connection is closed by a limit.
  std::function<void(limit_reason)> mOnLimited;
};

// Sends the response to a request. Must be called exactly once, on the
// io_context's thread. If the caller has disconnected, the response is dropped.
using responder = std::function<void(response)>;
// Processes a request and calls the responder, in the call or later.
using request_handler = std::function<void(request, responder)>;

// Listens on one address and serves its connections on the io_context.
class server
{
public:
  server(boost::asio::io_context& aIo,
         server_options aOptions,
         request_handler aHandler);
  ~server();
  server(const server&) = delete;
  server& operator=(const server&) = delete;

  // Binds to `aAddress` ("ip:port"; port 0 selects a free port) and starts to
  // accept connections. Errors: kInvalidArgument if the address is malformed,
  // kUnavailable if it can not be bound.
  status Listen(std::string_view aAddress);

  // Returns the bound port, or 0 before `Listen` has succeeded.
  unsigned short Port() const;

  // Sends "Connection: close" with each response from now on, so that callers
  // leave before `StopAccepting()`.
  void AnnounceStop();
  // Stops accepting connections and closes the idle ones; those without a
  // request so far only a little later, since one may be on its way. Responses
  // to requests in progress are still sent, with "Connection: close".
  void StopAccepting();

  // Answers each request that was passed to the handler and has no response
  // yet; one that the handler gives later is dropped. Returns how many there
  // were.
  std::size_t AnswerActiveRequests(const response& aResponse);

  // Returns the number of requests passed to the handler whose response has not
  // been written completely.
  std::size_t ActiveRequests() const;
  // Returns the number of open connections, including rejected ones that have
  // not been closed yet.
  std::size_t OpenConnections() const;

private:
  class impl;
  std::shared_ptr<impl> mImpl;
};

} // namespace mangospan::http

#endif // MANGOSPAN_HTTP_SERVER_H
