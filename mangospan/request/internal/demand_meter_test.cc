#include "mangospan/request/internal/demand_meter.h"

#include <chrono>

#include <gtest/gtest.h>

namespace mangospan::request {
namespace {

// Truncating slot time to microseconds in each report must not lose the
// remainders: 1500 ns and then 500 ns are 2 us in total.
TEST(DemandMeter, ReportsCountsSinceTheLastReportAndLosesNoBusyTime)
{
  demand_meter meter;
  meter.OnArrival();
  meter.OnArrival();
  meter.OnDelivered(true);
  meter.OnRefused();
  meter.OnSlotFreed(std::chrono::nanoseconds(1500));
  const class_demand first = meter.Take(class_name("a"), 7);
  EXPECT_EQ(first.mArrivals, 2U);
  EXPECT_EQ(first.mAnswered, 1U);
  EXPECT_EQ(first.mLate, 1U);
  EXPECT_EQ(first.mRefused, 1U);
  EXPECT_EQ(first.mBusy.count(), 1);
  EXPECT_EQ(first.mQueued, 7U);
  meter.OnSlotFreed(std::chrono::nanoseconds(500));
  const class_demand second = meter.Take(class_name("a"), 0);
  EXPECT_EQ(second.mArrivals, 0U);
  EXPECT_EQ(second.mBusy.count(), 1);
  EXPECT_FALSE(meter.HasUnreportedDemand());
}

} // namespace
} // namespace mangospan::request
