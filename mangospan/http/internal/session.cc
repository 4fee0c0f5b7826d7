#include "mangospan/http/internal/session.h"

#include <algorithm>
#include <iterator>
#include <string_view>
#include <utility>

#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "mangospan/base/log.h"
#include "mangospan/base/time.h"
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
// Bounds what one connection's body takes of an iteration of the event loop.
constexpr std::size_t kBodyReadBytes = std::size_t{ 16 } * 1024;
// Limits on the input that is read and discarded before a connection is closed;
// see `CloseGracefully`.
constexpr std::size_t kDiscardBytes = std::size_t{ 1024 } * 1024;
constexpr std::chrono::milliseconds kDiscardTimeout{ 1'000 };
// The time for which a new connection may take to send its first request while
// the server stops. Shorter than the time that stopping processes still wait.
constexpr std::chrono::milliseconds kFirstRequestGrace{ 120 };

// Returns the error response to a request that was never passed to the handler.
// Its outcome is "not-run", because the request can not have been executed.
response
RejectionResponse(int aStatus, const char* aCode, const char* aMessage)
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

std::chrono::milliseconds
HeaderTimeout(const server_options& aOptions)
{
  return std::min(aOptions.mHeaderTimeout, aOptions.mReadTimeout);
}

bool
AllowsBody(int aStatus)
{
  return aStatus >= 200 && aStatus != 204 && aStatus != 304;
}

// Returns true for headers that describe the connection or the framing of the
// message; the server writes its own.
bool
IsFramingHeader(std::string_view aName)
{
  return boost::algorithm::iequals(aName, "Connection") ||
         boost::algorithm::iequals(aName, "Transfer-Encoding") ||
         boost::algorithm::iequals(aName, "Content-Length");
}

bhttp::response<bhttp::string_body>
ToBeast(response aResponse, bool aIsHead, unsigned aVersion, bool aKeepAlive)
{
  const bool isValid = aResponse.mStatus >= 200 && aResponse.mStatus <= 999;
  bhttp::response<bhttp::string_body> out;
  out.result(isValid ? static_cast<unsigned>(aResponse.mStatus) : 500U);
  out.version(aVersion);
  for (const header& each : aResponse.mHeaders) {
    if (!IsFramingHeader(each.mName) && IsSafeHeader(each)) {
      out.insert(each.mName, each.mValue);
    }
  }
  if (AllowsBody(aResponse.mStatus)) {
    // A forwarded response to HEAD has the Content-Length of a body that it
    // does not contain.
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
    out.set(bhttp::field::connection, "close"); // also sent to HTTP/1.0 callers
  }
  return out;
}

} // namespace

session::session(asio::ip::tcp::socket aSocket,
                 std::shared_ptr<session_context> aContext)
  : mSocket(std::move(aSocket))
  , mTimer(mSocket.get_executor())
  , mContext(std::move(aContext))
  , mBuffer(mContext->mOptions.mMaxHeaderBytes + 2 * kBodyReadBytes)
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

limit_reason
session::Register()
{
  const std::string address =
    mRemoteAddress.substr(0, mRemoteAddress.rfind(':'));
  const limit_reason reason = mContext->mLedger.CheckConnection(address);
  if (reason == limit_reason::kNone) {
    mContext->mLedger.Open(this, address);
  }
  return reason;
}

void
session::RejectConnection(limit_reason aReason)
{
  RejectByLimit(aReason);
}

std::optional<time_point>
session::WaitingSince() const
{
  const bool isWaiting =
    mPhase == phase::kReading || (mPhase == phase::kIdle && !mHasHadRequest);
  return isWaiting ? std::make_optional(mBeganAt) : std::nullopt;
}

void
session::Evict()
{
  mContext->Report(limit_reason::kEvicted);
  ReleaseRequest();
  Close();
}

void
session::CloseIfIdle()
{
  if (mPhase != phase::kIdle) {
    return;
  }
  if (!mHasHadRequest) {
    StartTimer(kFirstRequestGrace); // the first request may be on its way
    return;
  }
  error_type failure;
  if (mSocket.available(failure) == 0) { // otherwise, a request has arrived
    Close();
  }
}

bool
session::AnswerIfActive(const response& aResponse)
{
  if (mPhase != phase::kHandling) {
    return false;
  }
  LogActiveRequest("http.request_unfinished");
  Respond(aResponse);
  return true;
}

void
session::Close()
{
  if (mPhase == phase::kClosed) {
    return;
  }
  mPhase = phase::kClosed;
  if (mDispatched) {
    if (mContext->mDestroyed) { // otherwise, the caller has disconnected
      LogActiveRequest("http.request_unanswered");
    }
    mDispatched = false;
    --mContext->mActiveRequests;
  }
  mTimer.cancel();
  mContext->mLedger.Close(this);
  error_type ignored;
  mSocket.close(ignored);
  if (mContext->mOnClosed) {
    mContext->mOnClosed(this);
  }
}

void
session::LogActiveRequest(const char* aEvent) const
{
  const auto age = std::chrono::steady_clock::now() - mDispatchedAt;
  LogEvent(log_level::kWarning,
           aEvent,
           { { "target", std::string(mParser->get().target()) },
             { "peer", mRemoteAddress },
             { "age_ms", CountMilliseconds(age) } });
}

// When the timer expires, it sets `mTimedOut` and cancels the socket's
// operations. The stream timeouts of Boost.Beast are not used because they
// close the socket, so that a 408 response could not be sent.
void
session::StartTimer(std::chrono::milliseconds aTimeout)
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
  mScannedBytes = 0;
  const bool hasBytes = mBuffer.size() > 0;
  if (!hasBytes && mBuffer.capacity() > kReadChunkBytes) {
    mBuffer.shrink_to_fit(); // connections that wait hold little
  }
  SetHeld(0, false);
  mBeganAt = boot_clock::now();
  mProgress = 0;
  mPhase = hasBytes ? phase::kReading : phase::kIdle;
  StartTimer(hasBytes ? HeaderTimeout(mContext->mOptions)
                      : mContext->mOptions.mIdleTimeout);
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
    error_type failure;
    if (mTimedOut && mPhase == phase::kIdle && mSocket.available(failure) > 0) {
      ReadHeader(); // a request has arrived while the process was busy
    } else if (mTimedOut && mPhase == phase::kReading) {
      RejectByLimit(limit_reason::kSlowHeader);
    } else {
      Close();
    }
    return;
  }
  mBuffer.commit(aSize);
  mProgress += aSize;
  if (mPhase == phase::kIdle) {
    mPhase = phase::kReading;
    mBeganAt = boot_clock::now();
    StartTimer(HeaderTimeout(mContext->mOptions));
  }
  const auto data = mBuffer.cdata();
  const std::string_view bytes(static_cast<const char*>(data.data()),
                               data.size());
  const std::size_t end = bytes.find(kHeaderEnd, mScannedBytes);
  const std::size_t limit = mContext->mOptions.mMaxHeaderBytes;
  if (end != std::string_view::npos && end + kHeaderEnd.size() <= limit) {
    ParseHeader(end + kHeaderEnd.size());
    return;
  }
  if (bytes.size() >= limit) {
    RejectByLimit(limit_reason::kHeaderSize);
    return;
  }
  // The first read is not counted: every connection has room for it.
  if (bytes.size() >= kReadChunkBytes &&
      !Admit(bytes.size() + kReadChunkBytes)) {
    return;
  }
  mScannedBytes = bytes.size() - std::min(bytes.size(), kHeaderEnd.size() - 1);
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
  const char* violation = ValidateHeaderBytes(std::string_view(data, aSize));
  if (violation != nullptr) {
    RejectRequest(400, "malformed-request", violation);
    return;
  }
  mParser.emplace();
  mParser->header_limit(
    static_cast<std::uint32_t>(mContext->mOptions.mMaxHeaderBytes));
  mParser->body_limit(mContext->mOptions.mMaxBodyBytes);
  error_type failure;
  const std::size_t used = mParser->put(asio::buffer(data, aSize), failure);
  if (failure && failure != bhttp::error::need_more) {
    RespondToParserError(failure);
    return;
  }
  if (std::distance(mParser->get().begin(), mParser->get().end()) >
      static_cast<std::ptrdiff_t>(
        mContext->mOptions.mLimits.mMaxHeaderFields)) {
    RejectByLimit(limit_reason::kHeaderFields);
    return;
  }
  // The headers are copied before the body is read, because Beast merges the
  // trailers of a chunked body into the headers. A caller could otherwise forge
  // any header in a trailer.
  mRequest = request{};
  mRequest.mMethod = std::string(mParser->get().method_string());
  mRequest.mTarget = std::string(mParser->get().target());
  mRequest.mRemoteAddress = mRemoteAddress;
  for (const auto& field : mParser->get()) {
    mRequest.mHeaders.push_back(
      { std::string(field.name_string()), std::string(field.value()) });
  }
  violation = ValidateHeaders(mRequest, mParser->get().version());
  if (violation != nullptr || !mParser->is_header_done()) {
    RejectRequest(
      400, "malformed-request", violation == nullptr ? "header" : violation);
    return;
  }
  mBuffer.consume(used);
  if (mParser->is_done()) {
    DispatchRequest();
    return;
  }
  const auto length = mParser->content_length();
  if (Admit(length ? static_cast<std::size_t>(*length) + kBodyReadBytes
                   : 2 * kBodyReadBytes)) {
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
    RejectRequest(417, "expectation-failed", "unknown expectation");
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
  mParser->eager(true);
  StartBodyTimer();
  if (mBuffer.size() > 0) {
    OnBodyBytes({}, 0);
  } else {
    ReadMoreBody();
  }
}

void
session::ReadMoreBody()
{
  if (mBuffer.size() + kBodyReadBytes > mBuffer.max_size()) {
    // The parser needs more than this for one line: a chunk's extensions or the
    // trailers are over-long.
    RejectRequest(400, "malformed-request", "the request is malformed");
    return;
  }
  mSocket.async_read_some(
    mBuffer.prepare(kBodyReadBytes),
    [self = shared_from_this()](const error_type& aError, std::size_t aSize) {
      self->OnBodyBytes(aError, aSize);
    });
}

void
session::OnBodyBytes(const error_type& aError, std::size_t aSize)
{
  if (mPhase == phase::kClosed) {
    return;
  }
  if (aError && !mTimedOut) {
    Close(); // the caller has disconnected
    return;
  }
  mBuffer.commit(aSize);
  mProgress += aSize;
  if (mTimedOut && !IsBodyInTime()) {
    RejectByLimit(limit_reason::kSlowBody);
    return;
  }
  if (mBuffer.size() > 0) {
    error_type failure;
    mBuffer.consume(mParser->put(mBuffer.data(), failure));
    if (failure && failure != bhttp::error::need_more) {
      RespondToParserError(failure);
      return;
    }
  }
  if (mParser->is_done()) {
    DispatchRequest();
    return;
  }
  // A string that is appended to doubles its capacity.
  const std::size_t body =
    mParser->content_length()
      ? static_cast<std::size_t>(*mParser->content_length())
      : 2 * mParser->get().body().size();
  if (Admit(body + mBuffer.size() + kBodyReadBytes)) {
    ReadMoreBody();
  }
}

// Called when the timer has expired. Bytes that wait to be read came in time:
// the process was busy.
bool
session::IsBodyInTime()
{
  const time_point now = boot_clock::now();
  if (now >= mBeganAt + mContext->mOptions.mReadTimeout) {
    return false;
  }
  error_type failure;
  const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
    now - mRatePeriodBegan);
  if (mSocket.available(failure) == 0 &&
      IsBodyTooSlow(mContext->mOptions.mLimits,
                    mProgress - mProgressAtPeriodBegin,
                    elapsed)) {
    return false;
  }
  StartBodyTimer();
  return true;
}

void
session::StartBodyTimer()
{
  mRatePeriodBegan = boot_clock::now();
  mProgressAtPeriodBegin = mProgress;
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
    mBeganAt + mContext->mOptions.mReadTimeout - mRatePeriodBegan);
  StartTimer(std::min(left, mContext->mOptions.mLimits.mBodyRatePeriod));
}

void
session::DispatchRequest()
{
  mTimer.cancel();
  mPhase = phase::kHandling;
  mHasHadRequest = true;
  mKeepAlive = mParser->get().keep_alive();
  mRequest.mBody = std::move(mParser->get().body());
  if (mHeldBytes > 0) {
    SetHeld(mRequest.mBody.capacity() + mBuffer.capacity(), false);
  }
  mDispatched = true;
  mDispatchedAt = std::chrono::steady_clock::now();
  ++mContext->mActiveRequests;
  mContext->mHandler(std::move(mRequest),
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
  mKeepAlive = mKeepAlive && !mContext->mStopping &&
               !mContext->mIsStopAnnounced &&
               !ListContains(aResponse.Get("Connection"), "close");
  Write(std::move(aResponse));
}

void
session::RespondToParserError(const error_type& aError)
{
  if (aError == bhttp::error::body_limit) {
    RejectByLimit(limit_reason::kBodySize);
  } else if (aError == bhttp::error::header_limit) {
    RejectByLimit(limit_reason::kHeaderSize);
  } else if (aError.category() ==
               make_error_code(bhttp::error::bad_chunk).category() &&
             aError != bhttp::error::partial_message &&
             aError != bhttp::error::end_of_stream) {
    RejectRequest(400, "malformed-request", "the request is malformed");
  } else {
    Close(); // the caller has disconnected
  }
}

void
session::RejectRequest(int aStatus, const char* aCode, const char* aMessage)
{
  mKeepAlive = false;
  ReleaseRequest();
  Write(RejectionResponse(aStatus, aCode, aMessage));
}

void
session::RejectByLimit(limit_reason aReason)
{
  mContext->Report(aReason);
  switch (aReason) {
    case limit_reason::kHeaderSize:
    case limit_reason::kHeaderFields:
      RejectRequest(431, "header-too-large", "the header is over its limit");
      break;
    case limit_reason::kBodySize:
      RejectRequest(413, "body-too-large", "the body is over its limit");
      break;
    case limit_reason::kSlowHeader:
    case limit_reason::kSlowBody:
      RejectRequest(408, "request-timeout", "the request came too slowly");
      break;
    case limit_reason::kTotalMemory:
    case limit_reason::kAddressMemory:
      RejectRequest(503, "no-memory", "the server has no room");
      break;
    default:
      RejectRequest(503, "too-many-connections", "the server has no room");
      break;
  }
}

bool
session::Admit(std::size_t aBytes)
{
  limit_reason reason = mContext->mLedger.Check(this, aBytes);
  if (reason == limit_reason::kTotalMemory) {
    EvictOthers(aBytes);
    reason = mContext->mLedger.Check(this, aBytes);
  }
  if (reason != limit_reason::kNone) {
    RejectByLimit(reason);
    return false;
  }
  SetHeld(aBytes, true);
  return true;
}

void
session::EvictOthers(std::size_t aBytes)
{
  const std::size_t more = aBytes - std::min(aBytes, mHeldBytes);
  for (const auto each :
       mContext->mLedger.ChooseEvicted(this, more, boot_clock::now())) {
    if (mContext->mEvict) {
      mContext->mEvict(each);
    }
  }
}

void
session::ReleaseRequest()
{
  if (mDispatched) {
    return;
  }
  mRequest = request{};
  if (mParser) {
    std::string().swap(mParser->get().body());
  }
  SetHeld(0, false);
}

void
session::SetHeld(std::size_t aBytes, bool aIsEvictable)
{
  if (aBytes == 0 && mHeldBytes == 0) {
    return;
  }
  mHeldBytes = aBytes;
  mContext->mLedger.SetHeld(this,
                            { aBytes, mBeganAt, mProgress, aIsEvictable });
}

void
session::Write(response aResponse)
{
  mPhase = phase::kWriting;
  StartTimer(mContext->mOptions.mWriteTimeout);
  const bool isHead = mParser && mParser->get().method() == bhttp::verb::head;
  const unsigned version =
    mParser && mParser->get().version() == 10 ? 10U : 11U;
  const std::size_t size = aResponse.mBody.size();
  if (size > kReadChunkBytes || mHeldBytes > 0) {
    mBeganAt = boot_clock::now();
    mProgress = size; // of a response only the age counts
    if (mContext->mLedger.Check(this, size) == limit_reason::kTotalMemory) {
      EvictOthers(size);
    }
    SetHeld(size, true); // kept also if it does not fit: it exists already
  }
  mResponse = ToBeast(std::move(aResponse), isHead, version, mKeepAlive);
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
  if (mDispatched) {
    mDispatched = false;
    --mContext->mActiveRequests;
  }
  if (aError && mTimedOut) {
    mContext->Report(limit_reason::kSlowReader);
  }
  // Beast reports end_of_stream after it has written a response whose end is
  // marked by the end of the connection.
  if (aError && aError != bhttp::error::end_of_stream) {
    Close();
  } else if (!mKeepAlive || mContext->mDestroyed) {
    CloseGracefully();
  } else {
    ReadHeader();
    if (mContext->mStopping) {
      CloseIfIdle();
    }
  }
}

// Closing a socket that holds unread bytes resets the connection, which can
// discard the response before the caller has read it. The remaining input is
// therefore read and discarded, up to kDiscardBytes or kDiscardTimeout.
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
  StartTimer(kDiscardTimeout);
  DiscardInput(kDiscardBytes);
}

void
session::DiscardInput(std::size_t aMaxBytes)
{
  mSocket.async_read_some(mBuffer.prepare(kReadChunkBytes),
                          [self = shared_from_this(), aMaxBytes](
                            const error_type& aError, std::size_t aSize) {
                            if (aError || aSize >= aMaxBytes) {
                              self->Close();
                              return;
                            }
                            self->DiscardInput(aMaxBytes - aSize);
                          });
}

} // namespace mangospan::http::internal
