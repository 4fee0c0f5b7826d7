#include "mangospan/daemon/limited_clients.h"

#include <chrono>
#include <string>

#include <gtest/gtest.h>

#include "mangospan/daemon/metrics.h"

namespace mangospan::daemon {
namespace {

// Guards against a line for each request of a crowd.
TEST(limited_clients_test, EachIsCountedAndOneLineIsLoggedInTenSeconds)
{
  manual_clock clock;
  metrics metrics;
  limited_clients limited(clock, metrics, "limited_total");
  const auto observe = limited.Observer("callers");
  ::testing::internal::CaptureStdout();
  for (int i = 0; i < 3; ++i) {
    observe(http::limit_reason::kEvicted);
  }
  clock.Advance(std::chrono::seconds(10));
  observe(http::limit_reason::kEvicted);
  const std::string log = ::testing::internal::GetCapturedStdout();
  EXPECT_NE(log.find("count=1"), std::string::npos) << log;
  EXPECT_NE(log.find("count=3"), std::string::npos) << log;
  EXPECT_EQ(log.find("count=2"), std::string::npos) << log;
  EXPECT_NE(metrics.Render().find(
              R"(limited_total{listener="callers",reason="evicted"} 4)"),
            std::string::npos)
    << metrics.Render();
}

} // namespace
} // namespace mangospan::daemon
