// A connection of http::client and its request in progress. Used by
// http/client.cc only.
#ifndef MANGOSPAN_HTTP_INTERNAL_EXCHANGE_H
#define MANGOSPAN_HTTP_INTERNAL_EXCHANGE_H

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "mangospan/http/client.h"

namespace mangospan::http::internal {

// A connection to one address that carries one request at a time. The owner
// calls `Run` for each request and `MonitorIdle` while the connection is in the
// pool.
class exchange : public std::enable_shared_from_this<exchange>
{
public:
  using beast_request =
    boost::beast::http::request<boost::beast::http::string_body>;
  // Receives the outcome of a request. `aCanReuse` is true if the connection
  // can carry another request.
  using done_handler =
    std::function<void(result<response> aResult, bool aCanReuse)>;

  exchange(boost::asio::io_context& aIo,
           const client_options& aOptions,
           std::string aAddress,
           boost::asio::ip::tcp::endpoint aEndpoint);

  // Connects unless already connected, writes the request and reads the
  // complete response. Calls `aDone` once, unless `Close` is called first. A
  // failure after the header of the response was read is kIncomplete.
  void Run(beast_request aRequest,
           const fetch_timeouts& aTimeouts,
           done_handler aDone);

  // Returns whether a part of the present response has arrived.
  bool HasBegun() const;

  // Returns true if the idle connection is still open and has no unread bytes.
  bool IsReusable();

  // Monitors the idle connection until the next `Run` or `Close`. Calls
  // `aOnIdleEnd` once if the connection becomes readable, which includes its
  // closing by the peer, or if `aTimeout` passes.
  void MonitorIdle(std::chrono::milliseconds aTimeout,
                   std::function<void()> aOnIdleEnd);

  // Closes the connection; the handler of a request in progress is not called.
  void Close();

  const std::string& Address() const { return mAddress; }

private:
  using error_type = boost::system::error_code;
  using deadline = std::chrono::steady_clock::time_point;

  void Connect();
  void Write();
  void Read();
  void ReadBody();
  void OnRead(const error_type& aError);
  // Returns how many bytes of the present response have arrived.
  std::size_t ReceivedBytes() const;
  void Fail(error_code aCode, const char* aStep, const std::string& aMessage);
  void Finish(result<response> aResult, bool aCanReuse);

  boost::beast::tcp_stream mStream;
  boost::asio::steady_timer mIdleTimer;
  const client_options mOptions;
  const std::string mAddress;
  const boost::asio::ip::tcp::endpoint mEndpoint;
  boost::beast::flat_buffer mBuffer;
  std::optional<
    boost::beast::http::response_parser<boost::beast::http::string_body>>
    mParser;
  beast_request mRequest;
  deadline mHeaderDeadline;
  deadline mDeadline; // for the complete response
  std::chrono::milliseconds mStallTimeout{ 0 };
  done_handler mDone;
  bool mIsConnected = false;
  // Incremented when an idle period starts or ends, so that handlers of an
  // earlier period are ignored.
  unsigned long mIdleGeneration = 0;
};

} // namespace mangospan::http::internal

#endif // MANGOSPAN_HTTP_INTERNAL_EXCHANGE_H
