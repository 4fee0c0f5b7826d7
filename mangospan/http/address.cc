#include "mangospan/http/address.h"

#include <charconv>
#include <cstdint>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/system/error_code.hpp>

namespace mangospan::http {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

error
MalformedAddressError(std::string_view aText)
{
  return error{ error_code::kInvalidArgument,
                "address.parse",
                std::string(aText),
                "must be IP:PORT, for example 127.0.0.1:8080" };
}

} // namespace

result<tcp::endpoint>
ParseAddress(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return MalformedAddressError(aText);
  }
  std::string_view host = aText.substr(0, colon);
  const std::string_view portText = aText.substr(colon + 1);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  } else if (host.find(':') != std::string_view::npos) {
    return MalformedAddressError(aText);
  }
  std::uint16_t port = 0;
  const auto parsed =
    std::from_chars(portText.data(), portText.data() + portText.size(), port);
  boost::system::error_code failure;
  const asio::ip::address ip =
    asio::ip::make_address(std::string(host), failure);
  if (failure || portText.empty() || parsed.ec != std::errc{} ||
      parsed.ptr != portText.data() + portText.size()) {
    return MalformedAddressError(aText);
  }
  return tcp::endpoint(ip, port);
}

std::string
FormatAddress(const tcp::endpoint& aEndpoint)
{
  const std::string ip = aEndpoint.address().to_string();
  const std::string port = std::to_string(aEndpoint.port());
  return aEndpoint.address().is_v6() ? "[" + ip + "]:" + port : ip + ":" + port;
}

result<tcp::acceptor>
BindAddress(asio::io_context& aIo, std::string_view aAddress)
{
  BOOST_OUTCOME_TRY(endpoint, ParseAddress(aAddress));
  tcp::acceptor acceptor(aIo);
  boost::system::error_code failure;
  acceptor.open(endpoint.protocol(), failure);
  if (!failure) {
    acceptor.set_option(asio::socket_base::reuse_address(true), failure);
  }
  if (!failure) {
    acceptor.bind(endpoint, failure);
  }
  if (!failure) {
    acceptor.listen(asio::socket_base::max_listen_connections, failure);
  }
  if (failure) {
    return error{ error_code::kUnavailable,
                  "address.bind",
                  std::string(aAddress),
                  failure.message() };
  }
  return acceptor;
}

} // namespace mangospan::http
