#include "mangospan/http/server.h"

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

// Refused connections that may be answered at once; further ones are closed
// without an answer, so that a flood of them stays cheap.
constexpr std::size_t kMaxRefusals = 64;
constexpr std::chrono::milliseconds kAcceptRetryDelay{ 100 };

} // namespace

class server::impl : public std::enable_shared_from_this<server::impl>
{
public:
  impl(asio::io_context& aIo, server_options aOptions, request_handler aHandler)
    : mIo(aIo)
    , mRetryTimer(aIo)
    , mHost(std::make_shared<internal::session_host>())
  {
    mHost->mOptions = aOptions;
    mHost->mHandler = std::move(aHandler);
  }

  status Listen(std::string_view aAddress)
  {
    BOOST_OUTCOME_TRY(acceptor, BindAddress(mIo, aAddress));
    mAcceptor.emplace(std::move(acceptor));
    mHost->mOnEnd = [weak = weak_from_this()](internal::session* aSession) {
      if (const auto self = weak.lock()) {
        self->mSessions.erase(aSession);
      }
    };
    Accept();
    return boost::outcome_v2::success();
  }

  unsigned short Port() const
  {
    return mAcceptor ? mAcceptor->local_endpoint().port() : 0;
  }

  void StopAccepting()
  {
    mHost->mStopping = true;
    mRetryTimer.cancel();
    if (mAcceptor) {
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
    mHost->mDestroyed = true;
    mHost->mOnEnd = nullptr;
    for (const auto& each : Sessions()) {
      each->Close();
    }
    mSessions.clear();
  }

  std::size_t ActiveRequests() const { return mHost->mActive; }
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
    if (mHost->mStopping || aError == asio::error::operation_aborted) {
      return;
    }
    if (aError) { // out of descriptors, for instance
      LogEvent(log_level::kWarning,
               "http.accept.failed",
               { { "message", aError.message() } });
      mRetryTimer.expires_after(kAcceptRetryDelay);
      mRetryTimer.async_wait(
        [self = shared_from_this()](const boost::system::error_code& aAbort) {
          if (!aAbort && !self->mHost->mStopping) {
            self->Accept();
          }
        });
      return;
    }
    Admit(std::move(aSocket));
    Accept();
  }

  void Admit(tcp::socket aSocket)
  {
    const std::size_t limit = mHost->mOptions.mMaxConnections;
    if (mSessions.size() >= limit + kMaxRefusals) {
      return; // closed by its destructor
    }
    const bool isFull = mSessions.size() >= limit;
    const auto session =
      std::make_shared<internal::session>(std::move(aSocket), mHost);
    mSessions.emplace(session.get(), session);
    if (isFull) {
      session->Refuse();
    } else {
      session->Start();
    }
  }

  asio::io_context& mIo;
  asio::steady_timer mRetryTimer;
  std::optional<tcp::acceptor> mAcceptor;
  std::shared_ptr<internal::session_host> mHost;
  std::unordered_map<internal::session*, std::shared_ptr<internal::session>>
    mSessions;
};

server::server(asio::io_context& aIo,
               server_options aOptions,
               request_handler aHandler)
  : mImpl(std::make_shared<impl>(aIo, aOptions, std::move(aHandler)))
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
server::StopAccepting()
{
  mImpl->StopAccepting();
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
