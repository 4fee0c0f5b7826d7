#include "testing/platform/call_counter.h"

#include <chrono>

#include <gtest/gtest.h>

#include "mangospan/base/time.h"

namespace mangospan::standin {
namespace {

TEST(CallCounter, KeepsTotalsAndTheBusiestSecond)
{
  manual_clock clock;
  call_counter calls;
  calls.Count("write", clock.Now());
  calls.Count("write", clock.Now());
  clock.Advance(std::chrono::seconds(1));
  calls.Count("write", clock.Now());
  calls.Count("read", clock.Now());
  const auto counts = calls.Counts();
  EXPECT_EQ(counts.at("write").mTotal, 3U);
  EXPECT_EQ(counts.at("write").mMostInOneSecond, 2U);
  EXPECT_EQ(counts.at("read").mTotal, 1U);
}

} // namespace
} // namespace mangospan::standin
