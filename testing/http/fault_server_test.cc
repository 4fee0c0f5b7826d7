#include "testing/http/fault_server.h"

#include <chrono>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include "mangospan/http/message.h"

namespace mangospan::standin {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// Every byte that the server sends for one request that asks to close.
std::string
BytesFor(delivery aDelivery)
{
  asio::io_context io;
  fault_server server(
    io, {}, [&](const http::request& aRequest, const replier& aReply) {
      EXPECT_EQ(aRequest.mBody, "hello");
      aReply({ http::response{ {}, 200, "0123456789" }, aDelivery });
    });
  EXPECT_TRUE(server.Listen("127.0.0.1:0"));
  tcp::socket socket(io);
  socket.connect({ asio::ip::make_address("127.0.0.1"), server.Port() });
  asio::write(socket,
              asio::buffer(std::string("POST /x HTTP/1.1\r\nHost: a\r\n"
                                       "Connection: close\r\n"
                                       "Content-Length: 5\r\n\r\nhello")));
  std::string bytes;
  bool closed = false;
  asio::async_read(socket,
                   asio::dynamic_buffer(bytes),
                   [&](const boost::system::error_code&, std::size_t) {
                     closed = true;
                     io.stop();
                   });
  io.run_for(std::chrono::seconds(5));
  EXPECT_TRUE(closed);
  return bytes;
}

TEST(FaultServer, WholeAnswerArrivesWithItsLength)
{
  const std::string bytes = BytesFor(delivery::kWhole);
  EXPECT_NE(bytes.find("Content-Length: 10\r\n"), std::string::npos);
  EXPECT_EQ(bytes.substr(bytes.size() - 10), "0123456789");
}

TEST(FaultServer, CutAnswerStopsInsideTheBody)
{
  const std::string bytes = BytesFor(delivery::kCutMidway);
  EXPECT_NE(bytes.find("Content-Length: 10\r\n"), std::string::npos);
  EXPECT_EQ(bytes.substr(bytes.size() - 5), "01234");
}

TEST(FaultServer, DroppedAnswerSendsNoByte)
{
  EXPECT_EQ(BytesFor(delivery::kDrop), "");
}

TEST(FaultServer, AnswerDeliveredTwiceIsFollowedByItsCopy)
{
  const std::string bytes = BytesFor(delivery::kTwice);
  EXPECT_NE(bytes.find("0123456789HTTP/1.1 200"), std::string::npos);
}

TEST(FaultServer, MalformedAddressIsRefused)
{
  asio::io_context io;
  fault_server server(io, {}, [](const http::request&, const replier&) {});
  const status wrong = server.Listen("127.0.0.1:99999");
  ASSERT_TRUE(wrong.has_error());
  EXPECT_EQ(wrong.assume_error().mCode, error_code::kInvalidArgument);
}

} // namespace
} // namespace mangospan::standin
