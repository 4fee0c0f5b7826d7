// One connection of http::client and the request that it carries. Meant for
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

class exchange : public std::enable_shared_from_this<exchange>
{
public:
  using library_request =
    boost::beast::http::request<boost::beast::http::string_body>;
  // `aCanReuse`: the connection is whole and may carry another request.
  using done_handler =
    std::function<void(result<response> aResult, bool aCanReuse)>;

  exchange(boost::asio::io_context& aIo,
           const client_options& aOptions,
           std::string aAddress,
           boost::asio::ip::tcp::endpoint aEndpoint);

  // Connects if need be, writes the request and reads the whole response.
  void Run(library_request aRequest,
           std::chrono::steady_clock::time_point aDeadline,
           done_handler aDone);

  // Whether the idle connection is still open and has nothing to read.
  bool IsFresh();

  // Calls `aOnEnd` once if, before the next `Run`, the peer closes the
  // connection or the time passes.
  void Rest(std::chrono::milliseconds aTimeout, std::function<void()> aOnEnd);

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
  void Fail(error_code aCode, const char* aStep, const std::string& aMessage);
  void Finish(result<response> aResult, bool aCanReuse);

  boost::beast::tcp_stream mStream;
  boost::asio::steady_timer mRestTimer;
  const client_options mOptions;
  const std::string mAddress;
  const boost::asio::ip::tcp::endpoint mEndpoint;
  boost::beast::flat_buffer mBuffer;
  std::optional<
    boost::beast::http::response_parser<boost::beast::http::string_body>>
    mParser;
  library_request mRequest;
  deadline mDeadline;
  done_handler mDone;
  bool mIsConnected = false;
  unsigned long mRests = 0; // tells a rest that is over from the present one
};

} // namespace mangospan::http::internal

#endif // MANGOSPAN_HTTP_INTERNAL_EXCHANGE_H
