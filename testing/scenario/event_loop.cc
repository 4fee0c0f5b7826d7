#include "testing/scenario/event_loop.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include "mangospan/base/error.h"
#include "mangospan/base/time.h"
#include "mangospan/http/client.h"
#include "mangospan/http/message.h"

namespace mangospan::scenario {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kPollPeriod{ 10 };
constexpr std::size_t kMaxBodyBytes = 256UL * 1024 * 1024; // a long journal

http::client_options
ClientOptions()
{
  http::client_options options;
  options.mMaxBodyBytes = kMaxBodyBytes;
  return options;
}

} // namespace

class event_loop::impl
{
public:
  boost::asio::io_context mIo;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    mWork{ mIo.get_executor() };
  http::client mClient{ mIo, ClientOptions() };
};

event_loop::event_loop()
  : mImpl(std::make_unique<impl>())
{
}

event_loop::~event_loop() = default;

boost::asio::io_context&
event_loop::Io()
{
  return mImpl->mIo;
}

void
event_loop::RunFor(milliseconds aDuration)
{
  mImpl->mIo.run_for(aDuration);
}

bool
event_loop::RunUntil(const std::function<bool()>& aCondition,
                     milliseconds aWithin)
{
  const time_point end = boot_clock::now() + aWithin;
  while (!aCondition()) {
    if (boot_clock::now() >= end) {
      return false;
    }
    mImpl->mIo.run_one_for(kPollPeriod);
  }
  return true;
}

result<http::response>
event_loop::Call(const std::string& aAddress,
                 http::request aRequest,
                 milliseconds aTimeout)
{
  // Shared: the handler may be called after this function has returned.
  const auto answer = std::make_shared<std::optional<result<http::response>>>();
  mImpl->mClient.Send(
    aAddress,
    std::move(aRequest),
    aTimeout,
    [answer](result<http::response> aResult) { *answer = std::move(aResult); });
  constexpr milliseconds kMargin{ 1'000 };
  if (!RunUntil([&] { return answer->has_value(); }, aTimeout + kMargin)) {
    return error{ error_code::kUnknownResult, "http.call", aAddress, "" };
  }
  return std::move(**answer);
}

http::request
Get(const std::string& aTarget)
{
  http::request request;
  request.mTarget = aTarget;
  return request;
}

http::request
Post(const std::string& aTarget, const std::string& aBody)
{
  http::request request;
  request.mMethod = "POST";
  request.mTarget = aTarget;
  request.mBody = aBody;
  request.Set("Content-Type", "application/json");
  return request;
}

} // namespace mangospan::scenario
