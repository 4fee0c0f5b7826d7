// A server that is sent mutated requests: whatever the bytes, it closes their
// connections and still serves.
#include <array>
#include <cstdint>
#include <string>

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "mangospan/http/server.h"
#include "testing/mutation.h"

namespace mangospan::http {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::uint64_t kSeeds = 5'000;

const std::string kRequests[] = {
  "GET /a?b=c HTTP/1.1\r\nHost: h\r\nAccept: */*\r\n\r\n",
  "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n0123456789",
  "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
  "5;x=y\r\nabcde\r\n3\r\nfgh\r\n0\r\nX: t\r\n\r\n",
  "PUT / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
  "Content-Length: 2\r\n\r\nok",
};

// Sends the bytes and the end of the input, and returns what is answered.
std::string
Exchange(asio::io_context& aIo, unsigned short aPort, const std::string& aBytes)
{
  tcp::socket socket(aIo);
  std::string answer;
  bool isOver = false;
  socket.connect({ asio::ip::address_v4::loopback(), aPort });
  asio::async_write(
    socket,
    asio::buffer(aBytes),
    [&socket](const boost::system::error_code& /*aError*/, std::size_t) {
      boost::system::error_code ignored;
      socket.shutdown(tcp::socket::shutdown_send, ignored);
    });
  asio::async_read(socket,
                   asio::dynamic_buffer(answer),
                   [&isOver](const boost::system::error_code& /*aError*/,
                             std::size_t) { isOver = true; });
  while (!isOver) {
    aIo.run_one();
  }
  return answer;
}

TEST(server_fuzz_test, ServesAfterMutatedRequests)
{
  asio::io_context io;
  server_options options;
  options.mMaxHeaderBytes = 2'048;
  options.mMaxBodyBytes = 4'096;
  options.mLimits.mMaxHeldBytes = std::size_t{ 256 } * 1024;
  server tested(io, options, [](const request&, const responder& aRespond) {
    aRespond(JsonResponse(200, "{}"));
  });
  ASSERT_TRUE(tested.Listen("127.0.0.1:0").has_value());
  const std::uint64_t seeds = testing::FuzzSeeds(kSeeds);
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    SCOPED_TRACE(seed);
    testing::mutator mutate(seed);
    std::string bytes;
    for (const std::string& each : kRequests) {
      bytes.insert(0, each);
      bytes = mutate(bytes);
    }
    Exchange(io, tested.Port(), bytes);
    Exchange(io, tested.Port(), mutate(kRequests[seed % std::size(kRequests)]));
  }
  const std::string answer = Exchange(io, tested.Port(), kRequests[1]);
  EXPECT_EQ(answer.substr(0, 13), "HTTP/1.1 200 ") << answer;
  EXPECT_EQ(tested.ActiveRequests(), 0U);
}

} // namespace
} // namespace mangospan::http
