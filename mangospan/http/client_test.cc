#include "mangospan/http/client.h"

#include <array>
#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "mangospan/http/server.h"

namespace mangospan::http {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

// A server that accepts connections one after another and runs one script,
// which may send malformed responses, on each.
class raw_endpoint
{
public:
  using script = std::function<void(tcp::socket&)>;

  explicit raw_endpoint(std::vector<script> aScripts)
    : mAcceptor(mIo, { asio::ip::address_v4::loopback(), 0 })
    , mThread([this, scripts = std::move(aScripts)] {
      for (const script& each : scripts) {
        tcp::socket socket(mIo);
        boost::system::error_code failure;
        mAcceptor.accept(socket, failure);
        if (!failure) {
          each(socket);
        }
      }
    })
  {
  }
  ~raw_endpoint() { mThread.join(); }

  std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(mAcceptor.local_endpoint().port());
  }

  static std::string ReadRequest(tcp::socket& aSocket)
  {
    std::string received;
    std::array<char, 4096> chunk{};
    boost::system::error_code failure;
    while (!failure && received.find("\r\n\r\n") == std::string::npos) {
      const std::size_t size = aSocket.read_some(asio::buffer(chunk), failure);
      received.append(chunk.data(), size);
    }
    return received;
  }

  // Returns a script that reads a request and responds with `aBytes`.
  static script RespondWith(std::string aBytes)
  {
    return [bytes = std::move(aBytes)](tcp::socket& aSocket) {
      ReadRequest(aSocket);
      boost::system::error_code ignored;
      asio::write(aSocket, asio::buffer(bytes), ignored);
    };
  }

private:
  asio::io_context mIo;
  tcp::acceptor mAcceptor;
  std::thread mThread;
};

class http_client : public testing::Test
{
protected:
  result<response> Send(const std::string& aAddress,
                        request aRequest = {},
                        milliseconds aTimeout = milliseconds(5'000))
  {
    std::optional<result<response>> outcome;
    mClient.Send(aAddress,
                 std::move(aRequest),
                 aTimeout,
                 [&outcome](result<response> aResult) {
                   outcome.emplace(std::move(aResult));
                 });
    EXPECT_FALSE(outcome) << "the handler ran inside Send()";
    mIo.restart();
    while (!outcome && mIo.run_one() > 0) {
    }
    return *outcome;
  }

  // Sends a request to an endpoint that responds with `aBytes`, expects the
  // request to fail and its connection to be closed, and returns the error
  // code.
  error_code SendAndGetErrorCode(const std::string& aBytes,
                                 milliseconds aTimeout)
  {
    raw_endpoint endpoint({ raw_endpoint::RespondWith(aBytes) });
    const auto outcome = Send(endpoint.Address(), {}, aTimeout);
    EXPECT_EQ(mClient.OpenConnections(endpoint.Address()), 0U)
      << aBytes.substr(0, 80);
    EXPECT_TRUE(outcome.has_error()) << aBytes.substr(0, 80);
    return outcome.has_error() ? outcome.assume_error().mCode
                               : error_code::kInternal;
  }

  asio::io_context mIo;
  client_options mOptions{ 1024,
                           1000,
                           8,
                           milliseconds(1'000),
                           milliseconds(30'000) };
  client mClient{ mIo, mOptions };
};

const char* const kOkResponse =
  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

TEST_F(http_client, ReusesConnectionAndPassesWholeRequest)
{
  int requests = 0;
  server target(
    mIo, {}, [&requests](const request& aRequest, const responder& aRespond) {
      ++requests;
      aRespond(JsonResponse(201,
                            aRequest.mMethod + aRequest.mBody +
                              std::string(aRequest.Get("X-Name"))));
    });
  ASSERT_TRUE(target.Listen("127.0.0.1:0").has_value());
  const std::string address = "127.0.0.1:" + std::to_string(target.Port());
  for (int i = 0; i < 3; ++i) {
    request message;
    message.mMethod = "PURGE";
    message.mBody = "body";
    message.Set("X-Name", "value");
    const auto outcome = Send(address, message);
    ASSERT_TRUE(outcome.has_value());
    EXPECT_EQ(outcome.assume_value().mStatus, 201);
    EXPECT_EQ(outcome.assume_value().mBody, "PURGEbodyvalue");
  }
  EXPECT_EQ(requests, 3);
  EXPECT_EQ(target.OpenConnections(), 1U);
  EXPECT_EQ(mClient.OpenConnections(address), 1U);
  mClient.CloseIdle(address);
  EXPECT_EQ(mClient.OpenConnections(address), 0U);
}

TEST_F(http_client, ReadsHeadChunkedAndInterimResponses)
{
  raw_endpoint endpoint(
    { raw_endpoint::RespondWith(
        "HTTP/1.1 200 OK\r\nContent-Length: 999\r\n\r\n"),
      raw_endpoint::RespondWith(
        "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
        "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n") });
  request head;
  head.mMethod = "HEAD";
  const auto first = Send(endpoint.Address(), head);
  ASSERT_TRUE(first.has_value());
  EXPECT_EQ(first.assume_value().Get("Content-Length"), "999");
  EXPECT_EQ(first.assume_value().mBody, "");
  mClient.CloseIdle(endpoint.Address());
  const auto second = Send(endpoint.Address());
  ASSERT_TRUE(second.has_value());
  EXPECT_EQ(second.assume_value().mBody, "abc");
}

TEST_F(http_client, ReportsUnavailableWhenNothingWasWritten)
{
  tcp::acceptor unused(mIo, { asio::ip::address_v4::loopback(), 0 });
  const std::string address =
    "127.0.0.1:" + std::to_string(unused.local_endpoint().port());
  unused.close();
  const auto outcome = Send(address);
  ASSERT_TRUE(outcome.has_error());
  EXPECT_EQ(outcome.assume_error().mCode, error_code::kUnavailable);
  EXPECT_EQ(outcome.assume_error().mPeer, address);
  EXPECT_EQ(mClient.OpenConnections(address), 0U);
}

TEST_F(http_client, RejectsRequestsThatCannotBeSent)
{
  request injected;
  injected.Set("X", "a\r\nY: b");
  EXPECT_EQ(Send("127.0.0.1:9", injected).assume_error().mCode,
            error_code::kInvalidArgument);
  request spaced;
  spaced.mTarget = "/a b";
  EXPECT_EQ(Send("127.0.0.1:9", spaced).assume_error().mCode,
            error_code::kInvalidArgument);
  EXPECT_EQ(Send("somewhere").assume_error().mCode,
            error_code::kInvalidArgument);
}

TEST_F(http_client,
       ReportsUnknownResultForTruncatedMalformedAndOversizedResponses)
{
  const milliseconds timeout(5'000);
  for (const std::string& bad :
       { std::string(),
         std::string("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab"),
         std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                     "5\r\nab"),
         std::string("HTTP/1.1 200 OK\r\n\r\nperhaps cut"),
         std::string("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
         std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n"
                     "\r\n0\r\n\r\n"),
         std::string("nonsense\r\n\r\n"),
         "HTTP/1.1 200 OK\r\nX: " + std::string(5'000, 'x') + "\r\n\r\n",
         "HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n" +
           std::string(5'000, 'x') }) {
    EXPECT_EQ(SendAndGetErrorCode(bad, timeout), error_code::kUnknownResult)
      << bad.substr(0, 80);
  }
}

// Guards against a response that arrives after the timeout of its request being
// delivered to the next request to the same address.
TEST_F(http_client, NeverDeliversLateResponseToAnotherRequest)
{
  raw_endpoint endpoint(
    { [](tcp::socket& aSocket) {
       raw_endpoint::ReadRequest(aSocket);
       std::this_thread::sleep_for(milliseconds(300));
       boost::system::error_code ignored;
       asio::write(aSocket, asio::buffer(std::string(kOkResponse)), ignored);
     },
      raw_endpoint::RespondWith(
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmine") });
  const auto late = Send(endpoint.Address(), {}, milliseconds(100));
  ASSERT_TRUE(late.has_error());
  EXPECT_EQ(late.assume_error().mCode, error_code::kUnknownResult);
  EXPECT_EQ(mClient.OpenConnections(endpoint.Address()), 0U);
  EXPECT_EQ(Send(endpoint.Address()).assume_value().mBody, "mine");
}

// Guards against surplus bytes after a response being read as the response to
// the next request.
TEST_F(http_client, ClosesConnectionWithBytesAfterTheResponse)
{
  raw_endpoint endpoint(
    { raw_endpoint::RespondWith(std::string(kOkResponse) + kOkResponse),
      raw_endpoint::RespondWith(
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmine") });
  EXPECT_EQ(Send(endpoint.Address()).assume_value().mBody, "ok");
  EXPECT_EQ(Send(endpoint.Address()).assume_value().mBody, "mine");
}

TEST_F(http_client, DetectsIdleConnectionClosedByPeerBeforeWriting)
{
  raw_endpoint endpoint({ raw_endpoint::RespondWith(kOkResponse),
                          raw_endpoint::RespondWith(kOkResponse) });
  for (int i = 0; i < 2; ++i) {
    EXPECT_TRUE(Send(endpoint.Address()).has_value());
    // Waits until the endpoint has closed the connection.
    std::this_thread::sleep_for(milliseconds(50));
  }
}

TEST_F(http_client, RemovesIdleConnectionWhenPeerClosesIt)
{
  raw_endpoint endpoint({ raw_endpoint::RespondWith(kOkResponse) });
  EXPECT_TRUE(Send(endpoint.Address()).has_value());
  mIo.restart();
  mIo.run_for(milliseconds(200));
  EXPECT_EQ(mClient.OpenConnections(endpoint.Address()), 0U);
}

TEST_F(http_client, ReportsUnknownResultWhenReusedConnectionFailsAfterWriting)
{
  raw_endpoint endpoint({ [](tcp::socket& aSocket) {
    raw_endpoint::ReadRequest(aSocket);
    asio::write(aSocket, asio::buffer(std::string(kOkResponse)));
    raw_endpoint::ReadRequest(aSocket); // then closes without a response
  } });
  EXPECT_TRUE(Send(endpoint.Address()).has_value());
  const auto second = Send(endpoint.Address());
  ASSERT_TRUE(second.has_error());
  EXPECT_EQ(second.assume_error().mCode, error_code::kUnknownResult);
}

// Sends the header and `aPieces` pieces of a body of `aSize` bytes, with a
// pause before each.
raw_endpoint::script
RespondInPieces(std::size_t aSize, std::size_t aPieces, milliseconds aPause)
{
  return [aSize, aPieces, aPause](tcp::socket& aSocket) {
    raw_endpoint::ReadRequest(aSocket);
    boost::system::error_code failure;
    asio::write(aSocket,
                asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: " +
                             std::to_string(aSize) + "\r\n\r\n"),
                failure);
    for (std::size_t i = 0; i < aPieces && !failure; ++i) {
      std::this_thread::sleep_for(aPause);
      asio::write(aSocket, asio::buffer(std::string("x")), failure);
    }
    // Until the client closes the connection.
    std::array<char, 1> byte{};
    aSocket.read_some(asio::buffer(byte), failure);
  };
}

constexpr milliseconds kLong{ 5'000 };

TEST_F(http_client, FetchLastsAsLongAsTheResponseProgresses)
{
  raw_endpoint endpoint({ RespondInPieces(8, 8, milliseconds(100)) });
  std::optional<result<response>> outcome;
  // The whole response takes longer than its header may.
  mClient.Fetch(
    endpoint.Address(),
    "/large",
    { milliseconds(700), kLong, 2 * kLong },
    [&outcome](const result<response>& aResult) { outcome = aResult; });
  while (!outcome && mIo.run_one() > 0) {
  }
  ASSERT_TRUE(outcome->has_value());
  EXPECT_EQ(outcome->assume_value().mBody, "xxxxxxxx");
  mClient.CloseIdle(endpoint.Address());
  mIo.restart();
  mIo.poll();
}

TEST_F(http_client, FetchThatStallsIsIncomplete)
{
  raw_endpoint endpoint({ RespondInPieces(8, 2, milliseconds(10)) });
  std::optional<result<response>> outcome;
  mClient.Fetch(
    endpoint.Address(),
    "/large",
    { kLong, milliseconds(300), kLong },
    [&outcome](const result<response>& aResult) { outcome = aResult; });
  while (!outcome && mIo.run_one() > 0) {
  }
  ASSERT_TRUE(outcome->has_error());
  EXPECT_EQ(outcome->assume_error().mCode, error_code::kIncomplete);
  EXPECT_NE(outcome->assume_error().mMessage.find("after 2 bytes"),
            std::string::npos);
  EXPECT_EQ(mClient.OpenConnections(endpoint.Address()), 0U);
}

TEST_F(http_client, CancelledFetchClosesItsConnectionAndReportsNothing)
{
  raw_endpoint endpoint({ RespondInPieces(8, 2, milliseconds(0)) });
  bool isReported = false;
  const auto fetch = mClient.Fetch(
    endpoint.Address(),
    "/large",
    { kLong, kLong, kLong },
    [&isReported](const result<response>& /*aResult*/) { isReported = true; });
  EXPECT_FALSE(fetch->HasBegun());
  while (!fetch->HasBegun() && mIo.run_one() > 0) {
  }
  fetch->Cancel();
  EXPECT_EQ(mClient.OpenConnections(endpoint.Address()), 0U);
  mIo.restart();
  mIo.run();
  EXPECT_FALSE(isReported);
}

} // namespace
} // namespace mangospan::http
