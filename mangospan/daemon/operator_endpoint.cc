#include "mangospan/daemon/operator_endpoint.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio/io_context.hpp>

#include "mangospan/base/error.h"
#include "mangospan/daemon/metrics.h"
#include "mangospan/http/message.h"
#include "mangospan/http/server.h"

namespace mangospan::daemon {

namespace {

constexpr std::string_view kTestPrefix = "/test/";

http::server_options
ServerOptions(const http::connection_limits& aLimits,
              std::function<void(http::limit_reason)> aOnLimited)
{
  http::server_options options;
  options.mMaxBodyBytes =
    std::size_t{ 64 } * 1024;   // only test switches carry a body
  options.mMaxConnections = 32; // a few operators and scrapers
  options.mLimits = aLimits;
  options.mOnLimited = std::move(aOnLimited);
  return options;
}

http::response
Refusal(int aStatus, const std::string& aMessage)
{
  return http::JsonResponse(aStatus, "{\"error\":\"" + aMessage + "\"}\n");
}

bool
IsTestSwitch(const http::request& aRequest)
{
  return http::Path(aRequest).substr(0, kTestPrefix.size()) == kTestPrefix;
}

} // namespace

operator_endpoint::operator_endpoint(
  boost::asio::io_context& aIo,
  metrics& aMetrics,
  operator_handlers aHandlers,
  const http::connection_limits& aLimits,
  std::function<void(http::limit_reason)> aOnLimited)
  : mMetrics(aMetrics)
  , mHandlers(std::move(aHandlers))
  , mServer(
      aIo,
      ServerOptions(aLimits, std::move(aOnLimited)),
      [this](const http::request& aRequest, const http::responder& aRespond) {
        aRespond(Answer(aRequest));
      })
{
}

status
operator_endpoint::Listen(std::string_view aAddress)
{
  return mServer.Listen(aAddress);
}

unsigned short
operator_endpoint::Port() const
{
  return mServer.Port();
}

void
operator_endpoint::Stop()
{
  mServer.StopAccepting();
}

http::response
operator_endpoint::Answer(const http::request& aRequest)
{
  if (IsTestSwitch(aRequest) && mHandlers.mTestSwitch) {
    return aRequest.mMethod == "POST" ? mHandlers.mTestSwitch(aRequest)
                                      : Refusal(405, "only POST is allowed");
  }
  struct page
  {
    std::string_view mPath;
    http::response (operator_endpoint::*mAnswer)();
  };
  static constexpr page kPages[] = {
    { "/metrics", &operator_endpoint::Metrics },
    { "/state", &operator_endpoint::State },
    { "/healthz", &operator_endpoint::Health },
  };
  for (const page& each : kPages) {
    if (http::Path(aRequest) == each.mPath) {
      return aRequest.mMethod == "GET" ? (this->*each.mAnswer)()
                                       : Refusal(405, "only GET is allowed");
    }
  }
  return Refusal(404, "not one of /metrics, /state, /healthz");
}

http::response
operator_endpoint::Metrics()
{
  if (mHandlers.mBeforeMetrics) {
    mHandlers.mBeforeMetrics();
  }
  http::response answer;
  answer.Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8");
  answer.mBody = mMetrics.Render();
  return answer;
}

http::response
operator_endpoint::State()
{
  return http::JsonResponse(200, mHandlers.mDumpState());
}

http::response
operator_endpoint::Health()
{
  return mHandlers.mIsHealthy()
           ? http::JsonResponse(200, "{\"healthy\":true}\n")
           : http::JsonResponse(503, "{\"healthy\":false}\n");
}

} // namespace mangospan::daemon
