// One caller's connection to http::server. Meant for http/server.cc only.
#ifndef MANGOSPAN_HTTP_INTERNAL_SESSION_H
#define MANGOSPAN_HTTP_INTERNAL_SESSION_H

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "mangospan/http/message.h"
#include "mangospan/http/server.h"

namespace mangospan::http::internal {

class session;

// What the sessions of one server share.
struct session_host
{
  server_options mOptions;
  request_handler mHandler;
  std::size_t mActive = 0; // requests handed over, not yet answered
  bool mStopping = false;
  bool mDestroyed = false;
  std::function<void(session*)> mOnEnd; // the connection was closed
};

class session : public std::enable_shared_from_this<session>
{
public:
  session(boost::asio::ip::tcp::socket aSocket,
          std::shared_ptr<session_host> aHost);

  // Reads the first request.
  void Start();
  // Answers 503 without reading anything.
  void Refuse();
  // Closes the connection if it waits for the first byte of a request.
  void CloseIfIdle();
  // Closes the connection at once.
  void Close();

private:
  using error_type = boost::system::error_code;
  enum class phase
  {
    kIdle,
    kReading,
    kHandling,
    kWriting,
    kClosing,
    kClosed,
  };

  void ReadHeader();
  void OnHeaderBytes(const error_type& aError, std::size_t aSize);
  void ParseHeader(std::size_t aSize);
  void ContinueOrReadBody();
  void ReadBody();
  void OnBody(const error_type& aError);
  void HandOver();
  void Respond(response aResponse);
  void RespondToFlaw(int aStatus, const char* aCode, const char* aMessage);
  void RespondToParserError(const error_type& aError);
  void Write(response aResponse);
  void OnWritten(const error_type& aError);
  void CloseGracefully();
  void Discard(std::size_t aBudget);
  void Arm(std::chrono::milliseconds aTimeout);

  boost::asio::ip::tcp::socket mSocket;
  boost::asio::steady_timer mTimer;
  std::shared_ptr<session_host> mHost;
  boost::beast::flat_buffer mBuffer;
  std::size_t mScanned = 0; // bytes known not to end the header
  std::optional<
    boost::beast::http::request_parser<boost::beast::http::string_body>>
    mParser;
  std::optional<boost::beast::http::response<boost::beast::http::string_body>>
    mResponse;
  request mRequest;
  std::string mRemoteAddress;
  phase mPhase = phase::kIdle;
  bool mKeepAlive = false;
  bool mTimedOut = false;
  bool mHandedOver = false;
};

} // namespace mangospan::http::internal

#endif // MANGOSPAN_HTTP_INTERNAL_SESSION_H
