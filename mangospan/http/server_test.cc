#include "mangospan/http/server.h"

#include <array>
#include <atomic>
#include <deque>
#include <future>
#include <optional>
#include <string>
#include <thread>
#include <type_traits>
#include <utility>

#include <gtest/gtest.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace mangospan::http {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

// A blocking client that writes raw bytes, including malformed requests.
class raw_caller
{
public:
  explicit raw_caller(unsigned short aPort)
    : mSocket(mIo)
  {
    mSocket.connect({ asio::ip::address_v4::loopback(), aPort });
    const timeval limit{ 10, 0 };
    ::setsockopt(
      mSocket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  }

  bool Write(const std::string& aBytes)
  {
    boost::system::error_code failure;
    asio::write(mSocket, asio::buffer(aBytes), failure);
    return !failure;
  }

  // Reads until `aText` is received, the connection ends or no byte arrives for
  // 10 seconds. Returns the bytes received.
  std::string ReadUntil(const std::string& aText)
  {
    std::array<char, 4096> chunk{};
    while (mReceived.find(aText) == std::string::npos) {
      const auto size =
        ::recv(mSocket.native_handle(), chunk.data(), chunk.size(), 0);
      if (size <= 0) {
        break;
      }
      mReceived.append(chunk.data(), static_cast<std::size_t>(size));
    }
    return std::exchange(mReceived, {});
  }

  std::string ReadToEnd() { return ReadUntil("no such text"); }
  void Close() { mSocket.close(); }

private:
  asio::io_context mIo;
  tcp::socket mSocket;
  std::string mReceived;
};

class http_server : public testing::Test
{
protected:
  ~http_server() override
  {
    Run([this] { mServer.reset(); });
    mIo.stop();
    if (mThread.joinable()) {
      mThread.join();
    }
  }

  // Starts a server that echoes the method, the body and the X-Secret header.
  // The responder of "/later" is stored in `mDeferredResponders` instead of
  // being called. "/large" is answered with 32 MiB, and "/close" with
  // "Connection: close".
  void Start(const server_options& aOptions = {})
  {
    mServer.emplace(
      mIo, aOptions, [this](const request& aRequest, responder aRespond) {
        ++mRequests;
        if (Path(aRequest) == "/later") {
          mDeferredResponders.push_back(std::move(aRespond));
          return;
        }
        response answer;
        answer.mBody = Path(aRequest) == "/large"
                         ? std::string(std::size_t{ 32 } << 20U, 'x')
                         : aRequest.mMethod + "|" + aRequest.mBody + "|" +
                             std::string(aRequest.Get("X-Secret"));
        if (Path(aRequest) == "/close") {
          answer.Set("Connection", "close");
        }
        aRespond(std::move(answer));
      });
    ASSERT_TRUE(mServer->Listen("127.0.0.1:0").has_value());
    mPort = mServer->Port();
    mThread = std::thread([this] { mIo.run(); });
  }

  // Runs `aFunction` on the server's thread and returns its result.
  template<typename Function>
  std::invoke_result_t<Function> Run(Function aFunction)
  {
    std::packaged_task<std::invoke_result_t<Function>()> task(
      std::move(aFunction));
    auto done = task.get_future();
    if (mThread.joinable()) {
      asio::post(mIo, [&task] { task(); });
    } else {
      task();
    }
    return done.get();
  }

  // Returns whether the condition holds within about 10 seconds.
  template<typename Condition>
  bool Eventually(Condition aCondition)
  {
    for (int i = 0; i < 1000; ++i) {
      if (Run(aCondition)) {
        return true;
      }
      std::this_thread::sleep_for(milliseconds(10));
    }
    return false;
  }

  std::string SendAndReadAll(const std::string& aBytes)
  {
    raw_caller caller(mPort);
    caller.Write(aBytes);
    return caller.ReadToEnd();
  }

  asio::io_context mIo;
  asio::executor_work_guard<asio::io_context::executor_type> mWork{
    mIo.get_executor()
  };
  std::optional<server> mServer;
  std::deque<responder> mDeferredResponders;
  std::atomic<int> mRequests{ 0 };
  unsigned short mPort = 0;
  std::thread mThread;
};

bool
StartsWith(const std::string& aText, const std::string& aStart)
{
  return aText.rfind(aStart, 0) == 0;
}

TEST_F(http_server, KeepsConnectionAliveAndAnswersPipelinedRequestsInOrder)
{
  Start();
  raw_caller caller(mPort);
  caller.Write("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\none"
               "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\ntwo");
  const std::string both = caller.ReadUntil("POST|two|");
  EXPECT_LT(both.find("POST|one|"), both.find("POST|two|"));
  caller.Write("GET /close HTTP/1.1\r\nHost: h\r\n\r\n");
  const std::string last = caller.ReadToEnd();
  EXPECT_NE(last.find("Connection: close"), std::string::npos) << last;
}

// Guards against request headers forged in trailers: Beast merges the trailers
// of a chunked body into the headers.
TEST_F(http_server, PassesChunkedBodyToHandlerWithoutTrailers)
{
  Start();
  const std::string answer = SendAndReadAll(
    "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
    "Connection: close\r\n\r\n3;ext=1\r\nabc\r\n2\r\nde\r\n0\r\n"
    "X-Secret: trailer\r\n\r\n");
  EXPECT_NE(answer.find("POST|abcde|"), std::string::npos) << answer;
  EXPECT_EQ(answer.find("trailer"), std::string::npos) << answer;
}

TEST_F(http_server, AnswersHeadWithLengthAndWithoutBody)
{
  Start();
  const std::string answer =
    SendAndReadAll("HEAD / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  EXPECT_NE(answer.find("Content-Length: 6\r\n"), std::string::npos) << answer;
  EXPECT_EQ(answer.substr(answer.size() - 4), "\r\n\r\n");
}

TEST_F(http_server, SendsContinueBeforeReadingTheBody)
{
  Start();
  raw_caller caller(mPort);
  caller.Write("PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
               "Expect: 100-continue\r\nConnection: close\r\n\r\n");
  EXPECT_EQ(caller.ReadUntil("\r\n\r\n"), "HTTP/1.1 100 Continue\r\n\r\n");
  caller.Write("ok");
  EXPECT_NE(caller.ReadToEnd().find("PUT|ok|"), std::string::npos);
}

// Guards against request smuggling: each request below is malformed or has a
// length that another parser could read differently.
TEST_F(http_server, RejectsMalformedAndAmbiguousRequestsWith400)
{
  Start();
  const std::string post = "POST / HTTP/1.1\r\nHost: h\r\n";
  const std::string chunked = post + "Transfer-Encoding: chunked\r\n\r\n";
  for (const std::string& bad :
       { std::string("nonsense\r\n\r\n"),
         std::string("GET / HTTP/2.0\r\nHost: h\r\n\r\n"),
         std::string("GET / HTTP/1.1\r\n\r\n"),
         std::string("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n"),
         std::string("GET /a b HTTP/1.1\r\nHost: h\r\n\r\n"),
         post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
         post + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n",
         post + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
         post + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
         post + "Content-Length: 3, 3\r\n\r\nabc",
         post + "Content-Length: +3\r\n\r\nabc",
         post + "Content-Length: -1\r\n\r\n",
         post + "Content-Length:\r\n\r\n",
         post + "Content-Length: 99999999999999999999\r\n\r\n",
         post + "Content-Length : 3\r\n\r\nabc",
         post + " Content-Length: 3\r\n\r\nabc",
         post + "X: a\r\n b\r\n\r\n",
         post + "X: a\rb\r\n\r\n",
         post + "X: a\nContent-Length: 3\r\n\r\nabc",
         post + std::string("X: a\0b\r\n\r\n", 10),
         post + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
         post + "Transfer-Encoding: identity\r\n\r\n",
         post + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
         post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"
                "\r\n0\r\n\r\n",
         std::string("POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n"
                     "0\r\n\r\n"),
         chunked + "zz\r\nabc\r\n0\r\n\r\n",
         chunked + "-1\r\nabc\r\n0\r\n\r\n",
         chunked + "fffffffffffffffff\r\nabc\r\n0\r\n\r\n",
         chunked + "3\r\nabcd\r\n0\r\n\r\n" }) {
    const std::string answer = SendAndReadAll(bad);
    EXPECT_EQ(answer.substr(8, 5), " 400 ") << bad << "\n-> " << answer;
    EXPECT_NE(answer.find("Mangospan-Outcome: not-run"), std::string::npos);
    EXPECT_NE(answer.find("Connection: close"), std::string::npos);
  }
  EXPECT_EQ(mRequests, 0);
}

TEST_F(http_server, RejectsOversizedHeaderAndBody)
{
  server_options options;
  options.mMaxHeaderBytes = 1024;
  options.mMaxBodyBytes = 100;
  Start(options);
  const std::string start = "POST / HTTP/1.1\r\nHost: h\r\n";
  const std::string body(200'000, 'b');
  EXPECT_TRUE(StartsWith(SendAndReadAll(start + "X: " + body + "\r\n\r\n"),
                         "HTTP/1.1 431 "));
  EXPECT_TRUE(
    StartsWith(SendAndReadAll(start + "Content-Length: 200000\r\n\r\n" + body),
               "HTTP/1.1 413 "));
  EXPECT_TRUE(
    StartsWith(SendAndReadAll(
                 start + "Transfer-Encoding: chunked\r\n\r\n30d40\r\n" + body),
               "HTTP/1.1 413 "));
  EXPECT_EQ(mRequests, 0);
}

TEST_F(http_server, AnswersSlowRequestsWith408AndClosesIdleConnections)
{
  server_options options;
  options.mReadTimeout = milliseconds(100);
  options.mIdleTimeout = milliseconds(100);
  Start(options);
  EXPECT_TRUE(StartsWith(SendAndReadAll("GET / HT"), "HTTP/1.1 408 "));
  EXPECT_TRUE(StartsWith(SendAndReadAll("POST / HTTP/1.1\r\nHost: h\r\n"
                                        "Content-Length: 9\r\n\r\nabc"),
                         "HTTP/1.1 408 "));
  EXPECT_EQ(SendAndReadAll(""), "");
  EXPECT_EQ(mRequests, 0);
}

TEST_F(http_server, DropsRequestWhenCallerDisconnectsBeforeBodyEnds)
{
  Start();
  {
    raw_caller caller(mPort);
    caller.Write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc");
  }
  EXPECT_TRUE(Eventually([this] { return mServer->OpenConnections() == 0; }));
  EXPECT_EQ(mRequests, 0);
}

TEST_F(http_server, IgnoresResponseWhenCallerHasDisconnected)
{
  Start();
  raw_caller caller(mPort);
  caller.Write("GET /later HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(Eventually([this] { return !mDeferredResponders.empty(); }));
  caller.Close();
  Run([this] {
    mDeferredResponders.front()(JsonResponse(200, std::string(99, 'x')));
  });
  EXPECT_TRUE(Eventually([this] {
    return mServer->OpenConnections() == 0 && mServer->ActiveRequests() == 0;
  }));
}

TEST_F(http_server, ClosesConnectionOfCallerThatReadsTooSlowly)
{
  server_options options;
  options.mWriteTimeout = milliseconds(200);
  Start(options);
  raw_caller caller(mPort);
  caller.Write("GET /large HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(Eventually([this] { return mServer->ActiveRequests() == 1; }));
  EXPECT_TRUE(Eventually([this] {
    return mServer->OpenConnections() == 0 && mServer->ActiveRequests() == 0;
  }));
}

TEST_F(http_server, RejectsConnectionsOverLimitWith503)
{
  server_options options;
  options.mMaxConnections = 1;
  Start(options);
  raw_caller first(mPort);
  first.Write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  first.ReadUntil("GET||");
  const std::string refused = SendAndReadAll("");
  EXPECT_TRUE(StartsWith(refused, "HTTP/1.1 503 ")) << refused;
  EXPECT_NE(refused.find("Mangospan-Outcome: not-run"), std::string::npos);
  first.Write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_TRUE(StartsWith(first.ReadUntil("GET||"), "HTTP/1.1 200 "));
}

// Guards against clients that take all connections without a request.
TEST_F(http_server, ConnectionWithoutRequestIsClosedForAnotherWhenAllAreInUse)
{
  server_options options;
  options.mMaxConnections = 1;
  options.mMinWaitBeforeEviction = milliseconds(20);
  Start(options);
  raw_caller waiting(mPort);
  waiting.Write("GET / HT");
  ASSERT_TRUE(Eventually([this] { return mServer->OpenConnections() == 1; }));
  std::this_thread::sleep_for(milliseconds(50));
  EXPECT_TRUE(StartsWith(
    SendAndReadAll("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"),
    "HTTP/1.1 200 "));
  EXPECT_EQ(waiting.ReadToEnd(), "");
}

// Guards against bodies without their end that take the memory of others.
TEST_F(http_server, BodyWithoutEndIsClosedWhenAnotherRequestNeedsItsMemory)
{
  std::atomic<int> evicted{ 0 };
  server_options options;
  options.mLimits.mMaxHeldBytes = 100'000;
  options.mOnLimited = [&evicted](limit_reason aReason) {
    evicted += aReason == limit_reason::kEvicted ? 1 : 0;
  };
  Start(options);
  const std::string head =
    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 50000\r\n\r\n";
  raw_caller stopped(mPort);
  stopped.Write(head + std::string(49'999, 'x'));
  std::this_thread::sleep_for(milliseconds(50)); // until it has been read
  raw_caller other(mPort);
  other.Write(head + std::string(50'000, 'y'));
  EXPECT_TRUE(StartsWith(other.ReadUntil("y|"), "HTTP/1.1 200 "));
  EXPECT_EQ(stopped.ReadToEnd(), "");
  EXPECT_EQ(evicted, 1);
}

TEST_F(http_server, RequestsOverTheMemoryLimitAreRefusedBeforeTheirBody)
{
  server_options options;
  options.mLimits.mMaxHeldBytes = 100'000;
  options.mLimits.mMaxHeaderFields = 3;
  Start(options);
  const std::string start = "POST / HTTP/1.1\r\nHost: h\r\n";
  const std::string refused =
    SendAndReadAll(start + "Content-Length: 100000\r\n\r\n");
  EXPECT_TRUE(StartsWith(refused, "HTTP/1.1 503 ")) << refused;
  EXPECT_NE(refused.find("Mangospan-Outcome: not-run"), std::string::npos);
  EXPECT_TRUE(StartsWith(SendAndReadAll(start + "a: 1\r\nb: 2\r\nc: 3\r\n\r\n"),
                         "HTTP/1.1 431 "));
  EXPECT_EQ(mRequests, 0);
}

TEST_F(http_server, StopAcceptingClosesIdleConnectionsAndFinishesActiveRequests)
{
  Start();
  raw_caller idle(mPort);
  idle.Write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  idle.ReadUntil("GET||");
  raw_caller busy(mPort);
  busy.Write("GET /later HTTP/1.1\r\nHost: h\r\n\r\n");
  raw_caller halfway(mPort);
  halfway.Write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nha");
  ASSERT_TRUE(Eventually([this] { return !mDeferredResponders.empty(); }));
  // Waits until the server has read the part that `halfway` sent.
  std::this_thread::sleep_for(milliseconds(50));
  Run([this] { mServer->StopAccepting(); });
  EXPECT_EQ(idle.ReadToEnd(), "");
  halfway.Write("lf");
  const std::string finished = halfway.ReadToEnd();
  EXPECT_NE(finished.find("POST|half|"), std::string::npos) << finished;
  EXPECT_NE(finished.find("Connection: close"), std::string::npos);
  Run([this] { mDeferredResponders.front()(JsonResponse(200, "done")); });
  EXPECT_NE(busy.ReadToEnd().find("done"), std::string::npos);
  EXPECT_TRUE(Eventually([this] { return mServer->OpenConnections() == 0; }));
  EXPECT_THROW(raw_caller refused(mPort), boost::system::system_error);
}

// The caller has connected and its first request is on its way.
TEST_F(http_server, RequestOnConnectionMadeJustBeforeStopIsAnswered)
{
  Start();
  raw_caller accepted(mPort);
  ASSERT_TRUE(Eventually([this] { return mServer->OpenConnections() == 1; }));
  std::unique_ptr<raw_caller> pending;
  Run([&] { // the server's thread can not accept the connection meanwhile
    pending = std::make_unique<raw_caller>(mPort);
    mServer->StopAccepting();
  });
  for (raw_caller* const each : { &accepted, pending.get() }) {
    each->Write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    const std::string answer = each->ReadToEnd();
    EXPECT_TRUE(StartsWith(answer, "HTTP/1.1 200 ")) << answer;
    EXPECT_NE(answer.find("Connection: close"), std::string::npos) << answer;
  }
}

TEST_F(http_server, AnnouncedStopClosesEachConnectionAfterItsResponse)
{
  Start();
  Run([this] { mServer->AnnounceStop(); });
  raw_caller caller(mPort);
  caller.Write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_NE(caller.ReadToEnd().find("Connection: close"), std::string::npos);
}

TEST_F(http_server, ActiveRequestsAreAnsweredOnceBeforeTheHandlerAnswers)
{
  Start();
  raw_caller busy(mPort);
  busy.Write("GET /later HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(Eventually([this] { return !mDeferredResponders.empty(); }));
  EXPECT_EQ(Run([this] {
              mServer->StopAccepting();
              return mServer->AnswerActiveRequests(JsonResponse(504, "early"));
            }),
            1U);
  Run([this] { mDeferredResponders.front()(JsonResponse(200, "late")); });
  const std::string answer = busy.ReadToEnd();
  EXPECT_TRUE(StartsWith(answer, "HTTP/1.1 504 ")) << answer;
  EXPECT_NE(answer.find("early"), std::string::npos) << answer;
  EXPECT_EQ(answer.find("late"), std::string::npos) << answer;
  EXPECT_EQ(Run([this] { return mServer->ActiveRequests(); }), 0U);
}

TEST_F(http_server, ListenFailsForMalformedAndBoundAddresses)
{
  Start();
  server second(mIo, {}, [](const request&, const responder&) {});
  EXPECT_EQ(second.Listen("nowhere").assume_error().mCode,
            error_code::kInvalidArgument);
  EXPECT_EQ(
    second.Listen("127.0.0.1:" + std::to_string(mPort)).assume_error().mCode,
    error_code::kUnavailable);
}

} // namespace
} // namespace mangospan::http
