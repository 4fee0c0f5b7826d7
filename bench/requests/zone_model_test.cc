#include "bench/requests/zone_model.h"

#include <gtest/gtest.h>

namespace mangospan::bench {
namespace {

constexpr std::uint64_t kSeed = 11;

TEST(ZoneModel, GoodputStaysNearCapacityAtFiveTimesTheMean)
{
  for (const double peak : { 1.5, 2.0, 5.0 }) {
    zone_load load;
    load.mPeakOfCapacity = peak;
    const zone_report pipeline = RunZone(load, path_kind::kPipeline, kSeed);
    const zone_report firstCome = RunZone(load, path_kind::kFirstCome, kSeed);
    EXPECT_GE(pipeline.Goodput(), 0.9) << peak;
    EXPECT_GE(pipeline.WorstInTimeShare(), 0.98) << peak;
    EXPECT_LT(firstCome.Goodput(), 0.9) << peak;
  }
}

TEST(ZoneModel, OneBadEndpointOfFourCostsAQuarterOfTheGoodput)
{
  for (const first_endpoint first : { first_endpoint::kFailsAll,
                                      first_endpoint::kHangs,
                                      first_endpoint::kDead,
                                      first_endpoint::kSlow }) {
    zone_load load;
    load.mFirst = first;
    const zone_report report = RunZone(load, path_kind::kPipeline, kSeed);
    EXPECT_GE(report.Goodput(), 0.7);
    EXPECT_GE(report.ServedToOthers(), 0.91);
    EXPECT_LE(report.Failed(), 0.005);
  }
}

TEST(ZoneModel, AGreedyCallerDoesNotCrowdTheOthersOut)
{
  const zone_report report = RunZone({}, path_kind::kPipeline, kSeed);
  EXPECT_GE(report.ServedToOthers(), 0.95);
  EXPECT_LT(report.Served(FirstCaller()), 0.8);
}

TEST(ZoneModel, EveryRequestIsCountedOnce)
{
  for (const auto& [name, counts] :
       RunZone({}, path_kind::kPipeline, kSeed).mClasses) {
    EXPECT_EQ(counts.mAsked,
              counts.mInTime + counts.mLate + counts.mRefused + counts.mFailed)
      << name.Str();
  }
}

} // namespace
} // namespace mangospan::bench
