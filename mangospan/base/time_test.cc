#include "mangospan/base/time.h"

#include <chrono>

#include <gtest/gtest.h>

namespace mangospan {
namespace {

TEST(Time, ManualClockMovesOnlyWhenTold)
{
  manual_clock clock;
  const time_point start = clock.Now();
  EXPECT_EQ(clock.Now(), start);
  clock.Advance(std::chrono::seconds(2));
  EXPECT_EQ(clock.Now() - start, std::chrono::seconds(2));
}

TEST(Time, SystemClockNeverGoesBack)
{
  const system_clock_source clock;
  const time_point first = clock.Now();
  EXPECT_GE(clock.Now(), first);
}

} // namespace
} // namespace mangospan
