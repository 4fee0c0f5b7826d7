#include "mangospan/http/client.h"

#include <algorithm>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "mangospan/http/address.h"
#include "mangospan/http/internal/exchange.h"
#include "mangospan/http/internal/header_check.h"

namespace mangospan::http {

namespace asio = boost::asio;
namespace bhttp = boost::beast::http;

namespace {

using internal::exchange;

// Returns true for headers that describe the connection or the framing of the
// message; the client writes its own.
bool
IsFramingHeader(const std::string& aName)
{
  static constexpr const char* kNames[] = {
    "Connection", "Transfer-Encoding", "Content-Length", "Expect"
  };
  return std::any_of(
    std::begin(kNames), std::end(kNames), [&aName](const char* aFramingName) {
      return boost::algorithm::iequals(aName, aFramingName);
    });
}

result<exchange::beast_request>
ToBeast(const std::string& aAddress, request aRequest)
{
  const bool isSafe = internal::IsSafeToken(aRequest.mMethod) &&
                      internal::IsSafeToken(aRequest.mTarget) &&
                      std::all_of(aRequest.mHeaders.begin(),
                                  aRequest.mHeaders.end(),
                                  internal::IsSafeHeader);
  if (!isSafe) {
    return error{ error_code::kInvalidArgument,
                  "http.write",
                  aAddress,
                  "the method, the target or a header of the request contains "
                  "characters that HTTP does not allow" };
  }
  exchange::beast_request out;
  out.version(11);
  out.method_string(aRequest.mMethod);
  out.target(aRequest.mTarget);
  for (const header& each : aRequest.mHeaders) {
    if (!IsFramingHeader(each.mName)) {
      out.insert(each.mName, each.mValue);
    }
  }
  if (out.find(bhttp::field::host) == out.end()) {
    out.set(bhttp::field::host, aAddress);
  }
  out.body() = std::move(aRequest.mBody);
  out.prepare_payload();
  return out;
}

} // namespace

class client::impl : public std::enable_shared_from_this<client::impl>
{
public:
  impl(asio::io_context& aIo, client_options aOptions)
    : mIo(aIo)
    , mOptions(aOptions)
  {
  }

  void Send(const std::string& aAddress,
            request aRequest,
            std::chrono::milliseconds aTimeout,
            response_handler aHandler)
  {
    // A response that was cut off tells no more about the effect of the request
    // than none.
    Run(aAddress,
        std::move(aRequest),
        { aTimeout, aTimeout, aTimeout },
        [handler = std::move(aHandler)](result<response> aResult) {
          if (aResult.has_error() &&
              aResult.assume_error().mCode == error_code::kIncomplete) {
            aResult.assume_error().mCode = error_code::kUnknownResult;
          }
          handler(std::move(aResult));
        });
  }

  std::shared_ptr<fetch> Fetch(const std::string& aAddress,
                               const std::string& aTarget,
                               const fetch_timeouts& aTimeouts,
                               response_handler aHandler);

  // Returns the exchange that carries the request, or null if there is an
  // error, which is posted to the handler.
  std::shared_ptr<exchange> Run(const std::string& aAddress,
                                request aRequest,
                                const fetch_timeouts& aTimeouts,
                                response_handler aHandler)
  {
    auto message = ToBeast(aAddress, std::move(aRequest));
    if (message.has_error()) {
      PostError(std::move(message).assume_error(), std::move(aHandler));
      return nullptr;
    }
    auto connection = AcquireConnection(aAddress);
    if (connection.has_error()) {
      PostError(std::move(connection).assume_error(), std::move(aHandler));
      return nullptr;
    }
    auto exchange = connection.assume_value();
    mPools[aAddress].mBusy.push_back(exchange);
    exchange->Run(std::move(message).assume_value(),
                  aTimeouts,
                  [weak = weak_from_this(), exchange, aHandler](
                    result<response> aResult, bool aCanReuse) {
                    if (const auto self = weak.lock()) {
                      self->ReleaseConnection(exchange, aCanReuse);
                      aHandler(std::move(aResult));
                    }
                  });
    return exchange;
  }

  std::size_t OpenConnections(const std::string& aAddress) const
  {
    const auto found = mPools.find(aAddress);
    return found == mPools.end()
             ? 0
             : found->second.mBusy.size() + found->second.mIdle.size();
  }

  void CloseIdle(const std::string& aAddress)
  {
    const auto found = mPools.find(aAddress);
    if (found == mPools.end()) {
      return;
    }
    for (const auto& each : found->second.mIdle) {
      each->Close();
    }
    found->second.mIdle.clear();
    RemovePoolIfEmpty(aAddress);
  }

  void Destroy()
  {
    for (auto& [address, pool] : mPools) {
      for (const auto& each : pool.mIdle) {
        each->Close();
      }
      for (const auto& each : pool.mBusy) {
        each->Close();
      }
    }
    mPools.clear();
  }

private:
  // The connections to one address.
  struct pool
  {
    std::vector<std::shared_ptr<exchange>> mIdle; // most recently used last
    std::vector<std::shared_ptr<exchange>> mBusy;
  };

  // Passes the error to the handler from the event loop, so that the handler
  // never runs inside `Send`.
  void PostError(error aError, response_handler aHandler)
  {
    asio::post(mIo,
               [weak = weak_from_this(),
                failure = std::move(aError),
                handler = std::move(aHandler)] {
                 if (weak.lock()) {
                   handler(failure);
                 }
               });
  }

  // Returns the most recently used idle connection that is still open, or a new
  // one. Closes the idle connections that the peer has closed.
  result<std::shared_ptr<exchange>> AcquireConnection(
    const std::string& aAddress)
  {
    const auto found = mPools.find(aAddress);
    while (found != mPools.end() && !found->second.mIdle.empty()) {
      auto connection = std::move(found->second.mIdle.back());
      found->second.mIdle.pop_back();
      if (connection->IsReusable()) {
        return connection;
      }
      connection->Close();
    }
    BOOST_OUTCOME_TRY(endpoint, ParseAddress(aAddress));
    return std::make_shared<exchange>(mIo, mOptions, aAddress, endpoint);
  }

  // Returns the connection to its pool if it can be reused and the pool has
  // space for it; closes it otherwise.
  void ReleaseConnection(const std::shared_ptr<exchange>& aExchange,
                         bool aCanReuse)
  {
    pool& addressPool = mPools[aExchange->Address()];
    auto& busy = addressPool.mBusy;
    busy.erase(std::remove(busy.begin(), busy.end(), aExchange), busy.end());
    if (!aCanReuse || addressPool.mIdle.size() >= mOptions.mMaxIdlePerAddress) {
      aExchange->Close();
      RemovePoolIfEmpty(aExchange->Address());
      return;
    }
    addressPool.mIdle.push_back(aExchange);
    aExchange->MonitorIdle(mOptions.mIdleTimeout,
                           [weak = weak_from_this(), raw = aExchange.get()] {
                             if (const auto self = weak.lock()) {
                               self->RemoveIdle(raw);
                             }
                           });
  }

  void RemoveIdle(exchange* aExchange)
  {
    const std::string address = aExchange->Address();
    auto& idle = mPools[address].mIdle;
    const auto found =
      std::find_if(idle.begin(), idle.end(), [aExchange](const auto& aEach) {
        return aEach.get() == aExchange;
      });
    if (found != idle.end()) {
      (*found)->Close();
      idle.erase(found);
    }
    RemovePoolIfEmpty(address);
  }

  void RemovePoolIfEmpty(const std::string& aAddress)
  {
    const auto found = mPools.find(aAddress);
    if (found != mPools.end() && found->second.mIdle.empty() &&
        found->second.mBusy.empty()) {
      mPools.erase(found);
    }
  }

  asio::io_context& mIo;
  const client_options mOptions;
  std::map<std::string, pool> mPools;
};

namespace {

// A fetch in the pool of its client. Holds its connection until the response
// has been passed on, since the connection then carries other requests.
class pooled_fetch final : public fetch
{
public:
  // `aCloseConnection` closes a busy connection of the pool.
  explicit pooled_fetch(
    std::function<void(const std::shared_ptr<exchange>&)> aCloseConnection)
    : mCloseConnection(std::move(aCloseConnection))
  {
  }

  void SetExchange(std::shared_ptr<exchange> aExchange)
  {
    mExchange = std::move(aExchange);
  }
  bool HasBegun() const override { return mExchange && mExchange->HasBegun(); }
  void Cancel() override
  {
    if (const auto running = std::exchange(mExchange, nullptr)) {
      mCloseConnection(running);
    }
  }

private:
  const std::function<void(const std::shared_ptr<exchange>&)> mCloseConnection;
  std::shared_ptr<exchange> mExchange;
};

} // namespace

std::shared_ptr<fetch>
client::impl::Fetch(const std::string& aAddress,
                    const std::string& aTarget,
                    const fetch_timeouts& aTimeouts,
                    response_handler aHandler)
{
  const auto out = std::make_shared<pooled_fetch>(
    [weak = weak_from_this()](const std::shared_ptr<exchange>& aRunning) {
      if (const auto self = weak.lock()) {
        self->ReleaseConnection(aRunning, /*aCanReuse=*/false);
      }
    });
  request call;
  call.mTarget = aTarget;
  const auto running =
    Run(aAddress,
        std::move(call),
        aTimeouts,
        [out, handler = std::move(aHandler)](result<response> aResult) {
          out->SetExchange(nullptr);
          handler(std::move(aResult));
        });
  out->SetExchange(running);
  return running ? out : nullptr;
}

client::client(asio::io_context& aIo, client_options aOptions)
  : mImpl(std::make_shared<impl>(aIo, aOptions))
{
}

client::~client()
{
  mImpl->Destroy();
}

void
client::Send(const std::string& aAddress,
             request aRequest,
             std::chrono::milliseconds aTimeout,
             response_handler aHandler)
{
  mImpl->Send(aAddress, std::move(aRequest), aTimeout, std::move(aHandler));
}

std::shared_ptr<fetch>
client::Fetch(const std::string& aAddress,
              const std::string& aTarget,
              const fetch_timeouts& aTimeouts,
              response_handler aHandler)
{
  return mImpl->Fetch(aAddress, aTarget, aTimeouts, std::move(aHandler));
}

std::size_t
client::OpenConnections(const std::string& aAddress) const
{
  return mImpl->OpenConnections(aAddress);
}

void
client::CloseIdle(const std::string& aAddress)
{
  mImpl->CloseIdle(aAddress);
}

} // namespace mangospan::http
