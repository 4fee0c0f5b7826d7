#include "mangospan/http/internal/exchange.h"

#include <algorithm>
#include <utility>

#include <boost/algorithm/string/predicate.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "mangospan/http/internal/header_check.h"

namespace mangospan::http::internal {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = beast::http;

namespace {

constexpr std::size_t kBodyBufferBytes = std::size_t{ 64 } * 1024;

response
FromBeast(bhttp::response<bhttp::string_body> aResponse)
{
  response out;
  out.mStatus = static_cast<int>(aResponse.result_int());
  for (const auto& field : aResponse) {
    out.mHeaders.push_back(
      { std::string(field.name_string()), std::string(field.value()) });
  }
  out.mBody = std::move(aResponse.body());
  return out;
}

} // namespace

exchange::exchange(asio::io_context& aIo,
                   const client_options& aOptions,
                   std::string aAddress,
                   asio::ip::tcp::endpoint aEndpoint)
  : mStream(aIo)
  , mIdleTimer(aIo)
  , mOptions(aOptions)
  , mAddress(std::move(aAddress))
  , mEndpoint(std::move(aEndpoint))
  , mBuffer(aOptions.mMaxHeaderBytes + kBodyBufferBytes)
{
}

void
exchange::Run(beast_request aRequest,
              const fetch_timeouts& aTimeouts,
              done_handler aDone)
{
  const auto now = std::chrono::steady_clock::now();
  ++mIdleGeneration;
  mIdleTimer.cancel();
  mRequest = std::move(aRequest);
  mDeadline = now + aTimeouts.mTotal;
  mHeaderDeadline = std::min(mDeadline, now + aTimeouts.mHeader);
  mStallTimeout = aTimeouts.mStall;
  mDone = std::move(aDone);
  if (mIsConnected) {
    error_type ignored;
    mStream.socket().cancel(ignored); // the read wait of `MonitorIdle`
    Write();
  } else {
    Connect();
  }
}

void
exchange::Connect()
{
  mStream.expires_at(
    std::min(mHeaderDeadline,
             std::chrono::steady_clock::now() + mOptions.mConnectTimeout));
  mStream.async_connect(
    mEndpoint, [self = shared_from_this()](const error_type& aError) {
      if (!self->mDone) {
        return;
      }
      if (aError) {
        self->Fail(error_code::kUnavailable, "http.connect", aError.message());
        return;
      }
      self->mIsConnected = true;
      error_type ignored;
      self->mStream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
      self->Write();
    });
}

void
exchange::Write()
{
  mStream.expires_at(mHeaderDeadline);
  bhttp::async_write(mStream,
                     mRequest,
                     [self = shared_from_this()](const error_type& aError,
                                                 std::size_t aWritten) {
                       if (!self->mDone) {
                         return;
                       }
                       if (aError) {
                         self->Fail(aWritten == 0 ? error_code::kUnavailable
                                                  : error_code::kUnknownResult,
                                    "http.write",
                                    aError.message());
                         return;
                       }
                       self->Read();
                     });
}

void
exchange::Read()
{
  mParser.emplace();
  mParser->header_limit(static_cast<std::uint32_t>(mOptions.mMaxHeaderBytes));
  mParser->body_limit(mOptions.mMaxBodyBytes);
  mParser->skip(mRequest.method() == bhttp::verb::head);
  // The header is read separately: Beast loses the error for a Content-Length
  // over the body limit if it continues with the body in the same operation.
  bhttp::async_read_header(
    mStream,
    mBuffer,
    *mParser,
    [self = shared_from_this()](const error_type& aError, std::size_t) {
      if (!self->mDone) {
        return;
      }
      if (aError || self->mParser->is_done()) {
        self->OnRead(aError);
      } else {
        self->mParser->eager(true);
        self->ReadBody();
      }
    });
}

// Reads the body piece by piece, each within the stall timeout.
void
exchange::ReadBody()
{
  mStream.expires_at(
    std::min(mDeadline, std::chrono::steady_clock::now() + mStallTimeout));
  bhttp::async_read_some(
    mStream,
    mBuffer,
    *mParser,
    [self = shared_from_this()](const error_type& aError, std::size_t) {
      if (!self->mDone) {
        return;
      }
      if (aError || self->mParser->is_done()) {
        self->OnRead(aError);
      } else {
        self->ReadBody();
      }
    });
}

void
exchange::OnRead(const error_type& aError)
{
  if (aError) {
    Fail(mParser->is_header_done() ? error_code::kIncomplete
                                   : error_code::kUnknownResult,
         "http.read",
         aError.message() + " after " + std::to_string(ReceivedBytes()) +
           " bytes of the response");
    return;
  }
  const auto& message = mParser->get();
  if (message.result_int() >= 100 && message.result_int() < 200) {
    if (message.result() == bhttp::status::switching_protocols) {
      Fail(error_code::kUnknownResult,
           "http.read",
           "unexpected status 101 (Switching Protocols) in the response");
    } else {
      Read(); // skips an interim response; the final one follows
    }
    return;
  }
  const bool isHead = mRequest.method() == bhttp::verb::head;
  const auto coding = message[bhttp::field::transfer_encoding];
  if (!coding.empty() && !boost::algorithm::iequals(coding, "chunked")) {
    Fail(error_code::kUnknownResult,
         "http.read",
         "the response has an unsupported transfer coding");
    return;
  }
  // The end of such a response is marked by the end of the connection only, so
  // a truncated response can not be distinguished from a complete one.
  if (!isHead && mParser->need_eof()) {
    Fail(error_code::kUnknownResult,
         "http.read",
         "the response has neither a Content-Length nor chunked coding, so it "
         "may be truncated");
    return;
  }
  const bool canReuse = mParser->keep_alive() && mBuffer.size() == 0;
  Finish(FromBeast(mParser->release()), canReuse);
}

std::size_t
exchange::ReceivedBytes() const
{
  return mBuffer.size() + (mParser ? mParser->get().body().size() : 0);
}

bool
exchange::HasBegun() const
{
  return ReceivedBytes() > 0 || (mParser && mParser->is_header_done());
}

bool
exchange::IsReusable()
{
  if (!mIsConnected || !mStream.socket().is_open()) {
    return false;
  }
  auto& socket = mStream.socket();
  char byte = 0;
  error_type failure;
  socket.non_blocking(true, failure);
  socket.receive(
    asio::buffer(&byte, 1), asio::socket_base::message_peek, failure);
  return failure == asio::error::would_block;
}

void
exchange::MonitorIdle(std::chrono::milliseconds aTimeout,
                      std::function<void()> aOnIdleEnd)
{
  mStream.expires_never();
  const unsigned long generation = ++mIdleGeneration;
  const auto onEvent =
    [weak = weak_from_this(), generation, onIdleEnd = std::move(aOnIdleEnd)](
      const error_type& aError) {
      const auto self = weak.lock();
      if (!self || self->mIdleGeneration != generation ||
          aError == asio::error::operation_aborted) {
        return;
      }
      ++self->mIdleGeneration;
      onIdleEnd();
    };
  mIdleTimer.expires_after(aTimeout);
  mIdleTimer.async_wait(onEvent);
  mStream.socket().async_wait(asio::socket_base::wait_read, onEvent);
}

void
exchange::Close()
{
  ++mIdleGeneration;
  mDone = nullptr;
  mIdleTimer.cancel();
  mStream.close();
}

void
exchange::Fail(error_code aCode, const char* aStep, const std::string& aMessage)
{
  Finish(error{ aCode, aStep, mAddress, aMessage }, false);
}

void
exchange::Finish(result<response> aResult, bool aCanReuse)
{
  mParser.reset();
  mRequest = {};
  const done_handler done = std::move(mDone);
  mDone = nullptr;
  done(std::move(aResult), aCanReuse);
}

} // namespace mangospan::http::internal
