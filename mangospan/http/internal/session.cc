#include "mangospan/http/internal/session.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "mangospan/http/address.h"
#include "mangospan/http/internal/header_check.h"

namespace mangospan::http::internal {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = beast::http;

namespace {

constexpr std::string_view kHeaderEnd = "\r\n\r\n";
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr std::size_t kReadChunkBytes = 4096;
constexpr std::size_t kBodyBufferBytes = std::size_t{ 64 } * 1024;
// How much of a refused request is read so that the caller sees our answer.
constexpr std::size_t kDiscardBytes = std::size_t{ 1024 } * 1024;
constexpr std::chrono::milliseconds kDiscardTimeout{ 1'000 };

// An answer to a request that was never handed over, so it certainly did not
// run.
response
RefusalResponse(int aStatus, const char* aCode, const char* aMessage)
{
  response answer = JsonResponse(
    aStatus,
    std::string(R"({"code":")") + aCode +
      R"(","step":"http.read","peer":"","message":")" + aMessage +
      R"(","retry_after_ms":)" + (aStatus == 503 ? "1000" : "0") + "}");
  answer.Set("Mangospan-Outcome", "not-run");
  if (aStatus == 503) {
    answer.Set("Retry-After", "1");
  }
  answer.Set("Connection", "close");
  return answer;
}

bool
AllowsBody(int aStatus)
{
  return aStatus >= 200 && aStatus != 204 && aStatus != 304;
}

// Headers that describe the connection or the framing; we write our own.
bool
IsFraming(std::string_view aName)
{
  return boost::algorithm::iequals(aName, "Connection") ||
         boost::algorithm::iequals(aName, "Transfer-Encoding") ||
         boost::algorithm::iequals(aName, "Content-Length");
}

bhttp::response<bhttp::string_body>
ToLibrary(response aResponse, bool aIsHead, unsigned aVersion, bool aKeepAlive)
{
  const bool isValid = aResponse.mStatus >= 200 && aResponse.mStatus <= 999;
  bhttp::response<bhttp::string_body> out;
  out.result(isValid ? static_cast<unsigned>(aResponse.mStatus) : 500U);
  out.version(aVersion);
  for (const header& each : aResponse.mHeaders) {
    if (!IsFraming(each.mName) && IsSafeHeader(each)) {
      out.insert(each.mName, each.mValue);
    }
  }
  if (AllowsBody(aResponse.mStatus)) {
    // An answer to HEAD passed on has the length of a body that it lacks.
    const std::string_view length = aResponse.Get("Content-Length");
    if (aIsHead && aResponse.mBody.empty() && !length.empty()) {
      out.set(bhttp::field::content_length,
              beast::string_view(length.data(), length.size()));
    } else {
      out.content_length(aResponse.mBody.size());
    }
    if (!aIsHead) {
      out.body() = std::move(aResponse.mBody);
    }
  }
  out.keep_alive(aKeepAlive);
  if (!aKeepAlive) {
    out.set(bhttp::field::connection, "close"); // said to HTTP/1.0 too
  }
  return out;
}

} // namespace

session::session(asio::ip::tcp::socket aSocket,
                 std::shared_ptr<session_host> aHost)
  : mSocket(std::move(aSocket))
  , mTimer(mSocket.get_executor())
  , mHost(std::move(aHost))
  , mBuffer(mHost->mOptions.mMaxHeaderBytes + kBodyBufferBytes)
{
  error_type failure;
  const auto remote = mSocket.remote_endpoint(failure);
  if (!failure) {
    mRemoteAddress = FormatAddress(remote);
  }
  mSocket.set_option(asio::ip::tcp::no_delay(true), failure);
}

void
session::Start()
{
  ReadHeader();
}

void
session::Refuse()
{
  RespondToFlaw(503, "too-many-connections", "the server has no room");
}

void
session::CloseIfIdle()
{
  if (mPhase != phase::kIdle) {
    return;
  }
  error_type failure;
  if (mSocket.available(failure) == 0) { // else a request has come already
    Close();
  }
}

void
session::Close()
{
  if (mPhase == phase::kClosed) {
    return;
  }
  mPhase = phase::kClosed;
  if (mHandedOver) {
    mHandedOver = false;
    --mHost->mActive;
  }
  mTimer.cancel();
  error_type ignored;
  mSocket.close(ignored);
  if (mHost->mOnEnd) {
    mHost->mOnEnd(this);
  }
}

// The timer cancels the socket's operations; their handlers see `mTimedOut`.
// The library's own stream timeouts close the socket, which would leave no way
// to answer 408.
void
session::Arm(std::chrono::milliseconds aTimeout)
{
  mTimedOut = false;
  mTimer.expires_after(aTimeout);
  mTimer.async_wait([self = shared_from_this()](const error_type& aError) {
    if (!aError && self->mPhase != phase::kClosed &&
        self->mTimer.expiry() <= std::chrono::steady_clock::now()) {
      self->mTimedOut = true;
      error_type ignored;
      self->mSocket.cancel(ignored);
    }
  });
}

void
session::ReadHeader()
{
  mParser.reset();
  mScanned = 0;
  const bool hasBytes = mBuffer.size() > 0;
  mPhase = hasBytes ? phase::kReading : phase::kIdle;
  Arm(hasBytes ? mHost->mOptions.mReadTimeout : mHost->mOptions.mIdleTimeout);
  if (hasBytes) {
    asio::post(mSocket.get_executor(),
               [self = shared_from_this()] { self->OnHeaderBytes({}, 0); });
    return;
  }
  mSocket.async_read_some(
    mBuffer.prepare(kReadChunkBytes),
    [self = shared_from_this()](const error_type& aError, std::size_t aSize) {
      self->OnHeaderBytes(aError, aSize);
    });
}

void
session::OnHeaderBytes(const error_type& aError, std::size_t aSize)
{
  if (mPhase == phase::kClosed) {
    return;
  }
  if (aError) {
    if (mTimedOut && mPhase == phase::kReading) {
      RespondToFlaw(408, "request-timeout", "the request came too slowly");
    } else {
      Close();
    }
    return;
  }
  mBuffer.commit(aSize);
  if (mPhase == phase::kIdle) {
    mPhase = phase::kReading;
    Arm(mHost->mOptions.mReadTimeout);
  }
  const auto data = mBuffer.cdata();
  const std::string_view bytes(static_cast<const char*>(data.data()),
                               data.size());
  const std::size_t end = bytes.find(kHeaderEnd, mScanned);
  const std::size_t limit = mHost->mOptions.mMaxHeaderBytes;
  if (end != std::string_view::npos && end + kHeaderEnd.size() <= limit) {
    ParseHeader(end + kHeaderEnd.size());
    return;
  }
  if (bytes.size() >= limit) {
    RespondToFlaw(431, "header-too-large", "the header is over its limit");
    return;
  }
  mScanned = bytes.size() - std::min(bytes.size(), kHeaderEnd.size() - 1);
  mSocket.async_read_some(
    mBuffer.prepare(std::min(kReadChunkBytes, limit - bytes.size())),
    [self = shared_from_this()](const error_type& aReadError,
                                std::size_t aReadSize) {
      self->OnHeaderBytes(aReadError, aReadSize);
    });
}

void
session::ParseHeader(std::size_t aSize)
{
  const char* const data = static_cast<const char*>(mBuffer.cdata().data());
  const char* flaw = FindFlawInBytes(std::string_view(data, aSize));
  if (flaw != nullptr) {
    RespondToFlaw(400, "malformed-request", flaw);
    return;
  }
  mParser.emplace();
  mParser->header_limit(
    static_cast<std::uint32_t>(mHost->mOptions.mMaxHeaderBytes));
  mParser->body_limit(mHost->mOptions.mMaxBodyBytes);
  error_type failure;
  const std::size_t used = mParser->put(asio::buffer(data, aSize), failure);
  if (failure && failure != bhttp::error::need_more) {
    RespondToParserError(failure);
    return;
  }
  // Copied before the body is read: the library merges a chunked body's
  // trailers into the headers, where they could pose as any of them.
  mRequest = request{};
  mRequest.mMethod = std::string(mParser->get().method_string());
  mRequest.mTarget = std::string(mParser->get().target());
  mRequest.mRemoteAddress = mRemoteAddress;
  for (const auto& field : mParser->get()) {
    mRequest.mHeaders.push_back(
      { std::string(field.name_string()), std::string(field.value()) });
  }
  flaw = FindFlawInHeaders(mRequest, mParser->get().version());
  if (flaw != nullptr || !mParser->is_header_done()) {
    RespondToFlaw(400, "malformed-request", flaw == nullptr ? "header" : flaw);
    return;
  }
  mBuffer.consume(used);
  if (mParser->is_done()) {
    HandOver();
  } else {
    ContinueOrReadBody();
  }
}

void
session::ContinueOrReadBody()
{
  const std::string_view expect = mRequest.Get("Expect");
  if (expect.empty() || mBuffer.size() > 0 || mParser->get().version() == 10) {
    ReadBody();
    return;
  }
  if (!boost::algorithm::iequals(expect, "100-continue")) {
    RespondToFlaw(417, "expectation-failed", "unknown expectation");
    return;
  }
  asio::async_write(
    mSocket,
    asio::buffer(kContinue.data(), kContinue.size()),
    [self = shared_from_this()](const error_type& aError, std::size_t) {
      if (aError || self->mPhase == phase::kClosed) {
        self->Close();
        return;
      }
      self->ReadBody();
    });
}

void
session::ReadBody()
{
  bhttp::async_read(
    mSocket,
    mBuffer,
    *mParser,
    [self = shared_from_this()](const error_type& aError, std::size_t) {
      self->OnBody(aError);
    });
}

void
session::OnBody(const error_type& aError)
{
  if (mPhase == phase::kClosed) {
    return;
  }
  if (!aError) {
    HandOver();
  } else if (mTimedOut) {
    RespondToFlaw(408, "request-timeout", "the request came too slowly");
  } else {
    RespondToParserError(aError);
  }
}

void
session::HandOver()
{
  mTimer.cancel();
  mPhase = phase::kHandling;
  mKeepAlive = mParser->get().keep_alive();
  mRequest.mBody = std::move(mParser->get().body());
  mHandedOver = true;
  ++mHost->mActive;
  mHost->mHandler(std::move(mRequest),
                  [self = shared_from_this()](response aResponse) {
                    self->Respond(std::move(aResponse));
                  });
}

void
session::Respond(response aResponse)
{
  if (mPhase != phase::kHandling) {
    return;
  }
  mKeepAlive = mKeepAlive && !mHost->mStopping &&
               !ListContains(aResponse.Get("Connection"), "close");
  Write(std::move(aResponse));
}

void
session::RespondToParserError(const error_type& aError)
{
  if (aError == bhttp::error::body_limit) {
    RespondToFlaw(413, "body-too-large", "the body is over its limit");
  } else if (aError == bhttp::error::header_limit) {
    RespondToFlaw(431, "header-too-large", "the header is over its limit");
  } else if (aError.category() ==
               make_error_code(bhttp::error::bad_chunk).category() &&
             aError != bhttp::error::partial_message &&
             aError != bhttp::error::end_of_stream) {
    RespondToFlaw(400, "malformed-request", "the request is malformed");
  } else {
    Close(); // the caller has gone
  }
}

void
session::RespondToFlaw(int aStatus, const char* aCode, const char* aMessage)
{
  mKeepAlive = false;
  Write(RefusalResponse(aStatus, aCode, aMessage));
}

void
session::Write(response aResponse)
{
  mPhase = phase::kWriting;
  Arm(mHost->mOptions.mWriteTimeout);
  const bool isHead = mParser && mParser->get().method() == bhttp::verb::head;
  const unsigned version =
    mParser && mParser->get().version() == 10 ? 10U : 11U;
  mResponse = ToLibrary(std::move(aResponse), isHead, version, mKeepAlive);
  bhttp::async_write(
    mSocket,
    *mResponse,
    [self = shared_from_this()](const error_type& aError, std::size_t) {
      self->OnWritten(aError);
    });
}

void
session::OnWritten(const error_type& aError)
{
  if (mPhase == phase::kClosed) {
    return;
  }
  mResponse.reset();
  if (mHandedOver) {
    mHandedOver = false;
    --mHost->mActive;
  }
  // A response that needs the connection's end to be whole reports an error.
  if (aError && aError != bhttp::error::end_of_stream) {
    Close();
  } else if (!mKeepAlive || mHost->mDestroyed) {
    CloseGracefully();
  } else {
    ReadHeader();
    if (mHost->mStopping) {
      CloseIfIdle();
    }
  }
}

// Closing a socket that holds unread bytes resets the connection, and the
// caller could lose the answer; so the rest is read for a moment.
void
session::CloseGracefully()
{
  mPhase = phase::kClosing;
  error_type failure;
  mSocket.shutdown(asio::ip::tcp::socket::shutdown_send, failure);
  if (failure) {
    Close();
    return;
  }
  mBuffer.clear();
  Arm(kDiscardTimeout);
  Discard(kDiscardBytes);
}

void
session::Discard(std::size_t aBudget)
{
  mSocket.async_read_some(mBuffer.prepare(kReadChunkBytes),
                          [self = shared_from_this(), aBudget](
                            const error_type& aError, std::size_t aSize) {
                            if (aError || aSize >= aBudget) {
                              self->Close();
                              return;
                            }
                            self->Discard(aBudget - aSize);
                          });
}

} // namespace mangospan::http::internal
