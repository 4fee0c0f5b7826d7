// Parses and formats the "ip:port" addresses of settings, views and peers.
//
//   BOOST_OUTCOME_TRY(endpoint, http::ParseAddress("127.0.0.1:80"));
//
// Include this header from .cc files only, because it includes Boost.Asio.
#ifndef MANGOSPAN_HTTP_ADDRESS_H
#define MANGOSPAN_HTTP_ADDRESS_H

#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

#include "mangospan/base/error.h"

namespace mangospan::http {

// Parses an IP address and port such as "127.0.0.1:80" or "[::1]:80". Errors:
// kInvalidArgument, with `aText` as the error's peer.
result<boost::asio::ip::tcp::endpoint>
ParseAddress(std::string_view aText);

// Returns the endpoint in the form that `ParseAddress` accepts.
std::string
FormatAddress(const boost::asio::ip::tcp::endpoint& aEndpoint);

// Returns an acceptor that listens on the address. Errors: kInvalidArgument if
// the address is malformed, kUnavailable if it can not be bound.
result<boost::asio::ip::tcp::acceptor>
BindAddress(boost::asio::io_context& aIo, std::string_view aAddress);

} // namespace mangospan::http

#endif // MANGOSPAN_HTTP_ADDRESS_H
