#include "mangospan/request/internal/service_time.h"

#include <chrono>
#include <random>

#include <gtest/gtest.h>

namespace mangospan::request {
namespace {

using std::chrono::milliseconds;

TEST(ServiceTime, IsThePriorUntilTheFirstObservation)
{
  service_time observed(milliseconds(250));
  EXPECT_EQ(observed.Mean(), milliseconds(250));
  observed.Add(milliseconds(10));
  EXPECT_EQ(observed.Mean(), milliseconds(10));
}

TEST(ServiceTime, QuantilesFollowTheObservedSpread)
{
  std::mt19937_64 random(1);
  std::exponential_distribution<double> milliseconds100(0.01);
  service_time exponential(milliseconds(1));
  service_time constant(milliseconds(1));
  for (int i = 0; i < 5000; ++i) {
    const auto micros =
      static_cast<std::int64_t>(1000 * milliseconds100(random));
    exponential.Add(std::chrono::microseconds(micros));
    constant.Add(milliseconds(100));
  }
  EXPECT_NEAR(
    static_cast<double>(exponential.Quantile(0.99).count()), 460e6, 150e6);
  EXPECT_NEAR(static_cast<double>(constant.Quantile(0.99).count()), 100e6, 1e6);
}

} // namespace
} // namespace mangospan::request
