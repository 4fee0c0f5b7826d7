#include "mangospan/http/server.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "mangospan/base/log.h"
#include "mangospan/http/address.h"
#include "mangospan/http/internal/session.h"

namespace mangospan::http {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

// Maximum number of connections over the limit that are answered with 503 at
// the same time. Further connections are closed without a response, which keeps
// the cost of a connection flood low.
constexpr std::size_t kMaxRejectedConnections = 64;
constexpr std::chrono::milliseconds kAcceptRetryDelay{ 100 };

} // namespace

class server::impl : public std::enable_shared_from_this<server::impl>
{
public:
  impl(asio::io_context& aIo, server_options aOptions, request_handler aHandler)
    : mIo(aIo)
    , mRetryTimer(aIo)
    , mContext(std::make_shared<internal::session_context>(std::move(aOptions)))
  {
    mContext->mHandler = std::move(aHandler);
  }

  status Listen(std::string_view aAddress)
  {
    BOOST_OUTCOME_TRY(acceptor, BindAddress(mIo, aAddress));
    mAcceptor.emplace(std::move(acceptor));
    mContext->mOnClosed = [weak =
                             weak_from_this()](internal::session* aSession) {
      if (const auto self = weak.lock()) {
        self->mSessions.erase(aSession);
      }
    };
    mContext->mEvict =
      [weak = weak_from_this()](const connection_ledger::connection aSession) {
        if (const auto self = weak.lock()) {
          self->Evict(aSession);
        }
      };
    Accept();
    return boost::outcome_v2::success();
  }

  unsigned short Port() const
  {
    return mAcceptor ? mAcceptor->local_endpoint().port() : 0;
  }

  void AnnounceStop() { mContext->mIsStopAnnounced = true; }

  void StopAccepting()
  {
    mContext->mStopping = true;
    mRetryTimer.cancel();
    if (mAcceptor && mAcceptor->is_open()) {
      AdmitPendingConnections();
      boost::system::error_code ignored;
      mAcceptor->close(ignored);
    }
    for (const auto& each : Sessions()) {
      each->CloseIfIdle();
    }
  }

  void Destroy()
  {
    StopAccepting();
    mContext->mDestroyed = true;
    mContext->mOnClosed = nullptr;
    mContext->mEvict = nullptr;
    for (const auto& each : Sessions()) {
      each->Close();
    }
    mSessions.clear();
  }

  std::size_t AnswerActiveRequests(const response& aResponse)
  {
    std::size_t count = 0;
    for (const auto& each : Sessions()) {
      count += each->AnswerIfActive(aResponse) ? 1 : 0;
    }
    return count;
  }

  std::size_t ActiveRequests() const { return mContext->mActiveRequests; }
  std::size_t OpenConnections() const { return mSessions.size(); }

private:
  std::vector<std::shared_ptr<internal::session>> Sessions() const
  {
    std::vector<std::shared_ptr<internal::session>> all;
    all.reserve(mSessions.size());
    for (const auto& [key, each] : mSessions) {
      all.push_back(each);
    }
    return all;
  }

  void Evict(connection_ledger::connection aSession)
  {
    const auto found = std::find_if(
      mSessions.begin(), mSessions.end(), [aSession](const auto& aEach) {
        return aEach.first == aSession;
      });
    if (found != mSessions.end()) {
      const auto evicted = found->second; // erased while it closes
      evicted->Evict();
    }
  }

  // Closes the connection that has waited longest without a complete request.
  // Returns false if none has waited for long.
  bool EvictLongestWaiting()
  {
    const time_point latest =
      boot_clock::now() - mContext->mOptions.mMinWaitBeforeEviction;
    std::shared_ptr<internal::session> found;
    for (const auto& [key, each] : mSessions) {
      const auto since = each->WaitingSince();
      if (since && *since <= latest &&
          (!found || *since < *found->WaitingSince())) {
        found = each;
      }
    }
    if (found) {
      found->Evict();
    }
    return found != nullptr;
  }

  void Accept()
  {
    mAcceptor->async_accept(
      mIo,
      [self = shared_from_this()](const boost::system::error_code& aError,
                                  tcp::socket aSocket) {
        self->OnAccept(aError, std::move(aSocket));
      });
  }

  void OnAccept(const boost::system::error_code& aError, tcp::socket aSocket)
  {
    if (aError == asio::error::operation_aborted || mContext->mDestroyed) {
      return;
    }
    if (mContext->mStopping) {
      if (!aError) { // accepted before the acceptor was closed
        AdmitConnection(std::move(aSocket));
      }
      return;
    }
    if (aError) { // for example, no free file descriptors
      LogEvent(log_level::kWarning,
               "http.accept.failed",
               { { "message", aError.message() } });
      mRetryTimer.expires_after(kAcceptRetryDelay);
      mRetryTimer.async_wait([self = shared_from_this()](
                               const boost::system::error_code& aTimerError) {
        if (!aTimerError && !self->mContext->mStopping) {
          self->Accept();
        }
      });
      return;
    }
    AdmitConnection(std::move(aSocket));
    Accept();
  }

  // Admits the connections that the kernel has completed: closing the acceptor
  // would reset them, although their callers may have sent a request.
  void AdmitPendingConnections()
  {
    boost::system::error_code failure;
    mAcceptor->non_blocking(true, failure);
    while (!failure) {
      tcp::socket pending(mIo);
      mAcceptor->accept(pending, failure);
      if (!failure) {
        AdmitConnection(std::move(pending));
      }
    }
  }

  void AdmitConnection(tcp::socket aSocket)
  {
    const std::size_t limit = mContext->mOptions.mMaxConnections;
    if (mSessions.size() >= limit + kMaxRejectedConnections) {
      mContext->Report(limit_reason::kConnections);
      return; // the socket's destructor closes the connection
    }
    const auto session =
      std::make_shared<internal::session>(std::move(aSocket), mContext);
    // An address over its own limit must not cost another client's connection.
    limit_reason reason = session->Register();
    if (reason == limit_reason::kNone && mSessions.size() >= limit &&
        !EvictLongestWaiting()) {
      reason = limit_reason::kConnections;
    }
    mSessions.emplace(session.get(), session);
    if (reason != limit_reason::kNone) {
      session->RejectConnection(reason);
    } else {
      session->Start();
    }
    if (mContext->mStopping) {
      session->CloseIfIdle();
    }
  }

  asio::io_context& mIo;
  asio::steady_timer mRetryTimer;
  std::optional<tcp::acceptor> mAcceptor;
  std::shared_ptr<internal::session_context> mContext;
  std::unordered_map<internal::session*, std::shared_ptr<internal::session>>
    mSessions;
};

server::server(asio::io_context& aIo,
               server_options aOptions,
               request_handler aHandler)
  : mImpl(std::make_shared<impl>(aIo, std::move(aOptions), std::move(aHandler)))
{
}

server::~server()
{
  mImpl->Destroy();
}

status
server::Listen(std::string_view aAddress)
{
  return mImpl->Listen(aAddress);
}

unsigned short
server::Port() const
{
  return mImpl->Port();
}

void
server::AnnounceStop()
{
  mImpl->AnnounceStop();
}

void
server::StopAccepting()
{
  mImpl->StopAccepting();
}

std::size_t
server::AnswerActiveRequests(const response& aResponse)
{
  return mImpl->AnswerActiveRequests(aResponse);
}

std::size_t
server::ActiveRequests() const
{
  return mImpl->ActiveRequests();
}

std::size_t
server::OpenConnections() const
{
  return mImpl->OpenConnections();
}

} // namespace mangospan::http
