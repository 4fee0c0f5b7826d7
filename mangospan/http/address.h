// Parses the "ip:port" form that settings, views and peers use.
//
//   BOOST_OUTCOME_TRY(endpoint, http::ParseAddress("127.0.0.1:80"));
//
// Include it from .cc files only: it needs Boost.Asio.
#ifndef MANGOSPAN_HTTP_ADDRESS_H
#define MANGOSPAN_HTTP_ADDRESS_H

#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

#include "mangospan/base/error.h"

namespace mangospan::http {

// "127.0.0.1:80" or "[::1]:80". Errors: kInvalidArgument, with the text as
// peer.
result<boost::asio::ip::tcp::endpoint>
ParseAddress(std::string_view aText);

// The same form.
std::string
FormatAddress(const boost::asio::ip::tcp::endpoint& aEndpoint);

// An acceptor bound to the address. Errors: kInvalidArgument, kUnavailable if
// it can not be bound.
result<boost::asio::ip::tcp::acceptor>
BindAddress(boost::asio::io_context& aIo, std::string_view aAddress);

} // namespace mangospan::http

#endif // MANGOSPAN_HTTP_ADDRESS_H
