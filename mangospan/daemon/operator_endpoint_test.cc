#include "mangospan/daemon/operator_endpoint.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include "mangospan/base/error.h"
#include "mangospan/daemon/metrics.h"
#include "mangospan/http/client.h"
#include "mangospan/http/message.h"

namespace mangospan::daemon {
namespace {

class operator_endpoint_test : public testing::Test
{
protected:
  http::response Ask(operator_handlers aHandlers,
                     const std::string& aMethod,
                     const std::string& aTarget)
  {
    boost::asio::io_context io;
    operator_endpoint endpoint(io, mMetrics, std::move(aHandlers));
    EXPECT_TRUE(endpoint.Listen("127.0.0.1:0").has_value());
    http::client client(io, {});
    http::request request;
    request.mMethod = aMethod;
    request.mTarget = aTarget;
    std::optional<http::response> answer;
    client.Send("127.0.0.1:" + std::to_string(endpoint.Port()),
                request,
                std::chrono::seconds(20),
                [&](result<http::response> aResult) {
                  EXPECT_TRUE(aResult.has_value());
                  if (aResult.has_value()) {
                    answer = aResult.assume_value();
                  }
                  io.stop();
                });
    io.run();
    return answer.value_or(http::response{ {}, 0, "" });
  }

  operator_handlers Handlers()
  {
    operator_handlers handlers;
    handlers.mDumpState = [] { return std::string("{\"term\":3}"); };
    handlers.mIsHealthy = [this] { return mHealthy; };
    return handlers;
  }

  metrics mMetrics;
  bool mHealthy = true;
};

TEST_F(operator_endpoint_test, MetricsAreRefreshedAndRendered)
{
  operator_handlers handlers = Handlers();
  handlers.mBeforeMetrics = [this] { mMetrics.Set("m", {}, 5); };
  const http::response answer = Ask(handlers, "GET", "/metrics");
  EXPECT_EQ(answer.mStatus, 200);
  EXPECT_EQ(answer.mBody, "# TYPE m gauge\nm 5\n");
}

TEST_F(operator_endpoint_test, StateIsTheDump)
{
  const http::response answer = Ask(Handlers(), "GET", "/state?pretty=1");
  EXPECT_EQ(answer.mStatus, 200);
  EXPECT_EQ(answer.mBody, "{\"term\":3}");
}

TEST_F(operator_endpoint_test, HealthFollowsTheHandler)
{
  EXPECT_EQ(Ask(Handlers(), "GET", "/healthz").mStatus, 200);
  mHealthy = false;
  EXPECT_EQ(Ask(Handlers(), "GET", "/healthz").mStatus, 503);
}

TEST_F(operator_endpoint_test, UnknownPathsAndMethodsAreRefused)
{
  EXPECT_EQ(Ask(Handlers(), "GET", "/").mStatus, 404);
  EXPECT_EQ(Ask(Handlers(), "POST", "/state").mStatus, 405);
}

TEST_F(operator_endpoint_test, TestSwitchesExistOnlyWhereEnabled)
{
  EXPECT_EQ(Ask(Handlers(), "POST", "/test/cut").mStatus, 404);
  operator_handlers enabled = Handlers();
  enabled.mTestSwitch = [](const http::request& aRequest) {
    return http::JsonResponse(202, std::string(http::Path(aRequest)));
  };
  EXPECT_EQ(Ask(enabled, "POST", "/test/cut").mBody, "/test/cut");
  EXPECT_EQ(Ask(enabled, "GET", "/test/cut").mStatus, 405);
}

} // namespace
} // namespace mangospan::daemon
