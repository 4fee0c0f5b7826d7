#include "mangospan/customers/quota_allocator.h"

#include <string>

#include <gtest/gtest.h>

namespace mangospan::customers {
namespace {

const customer_name kRinks{ "rinks" };
const service_name kFirst{ "a" };
const service_name kSecond{ "b" };
constexpr std::uint64_t kTerm = 5;
constexpr cap_part kGuaranteed = 200; // with four pools

// An allocator for four pools, of which the test makes the first two report.
class quota_allocator_test : public ::testing::Test
{
protected:
  quota_allocator_test()
  {
    mAllocator.SetPools(
      { kFirst, kSecond, service_name{ "c" }, service_name{ "d" } }, 4);
  }

  void Report(const service_name& aPool,
              quota_usage aUsage,
              quota_version aApplied = {})
  {
    mAllocator.OnReport(aPool, { aApplied, 0, { { kRinks, aUsage } } });
  }
  void ReportIdlePools()
  {
    mAllocator.OnReport(service_name{ "c" }, {});
    mAllocator.OnReport(service_name{ "d" }, {});
  }
  // Returns the share that the pool is told, or 0 if it is told nothing.
  cap_part Told(const service_name& aPool)
  {
    const auto out = mAllocator.Instruct(aPool);
    if (!out) {
      return 0;
    }
    mVersion = out->mVersion;
    const auto share = out->mShares.find(kRinks);
    return share == out->mShares.end() ? kGuaranteed : share->second;
  }

  quota_allocator mAllocator{ kTerm };
  quota_version mVersion; // of the last instructions
};

// Guards against a successor that gives away what a pool it has not heard from
// was granted by its predecessor.
TEST_F(quota_allocator_test, NothingGrowsBeforeEveryPoolHasAnswered)
{
  Report(kFirst, { kGuaranteed, 0, 10'000 });
  EXPECT_EQ(Told(kFirst), 0U);
  mAllocator.OnReport(kSecond, {});
  mAllocator.OnReport(service_name{ "c" }, {});
  EXPECT_EQ(Told(kFirst), 0U);
  mAllocator.OnReport(service_name{ "d" }, {});
  EXPECT_EQ(Told(kFirst), 9'400U);
}

// Guards against an added pool whose predecessor in the same service may hold
// anything.
TEST_F(quota_allocator_test, NothingGrowsBeforeAnAddedPoolHasAnswered)
{
  ReportIdlePools();
  mAllocator.OnReport(kSecond, {});
  Report(kFirst, { kGuaranteed, 0, 10'000 });
  mAllocator.SetPools({ service_name{ "e" } }, 4);
  EXPECT_EQ(Told(kFirst), 0U);
}

// Guards against two pools that hold the same part of a cap: one gets it only
// after the other has confirmed the smaller share and its tasks have ended.
TEST_F(quota_allocator_test, SharesShrinkBeforeOthersGrow)
{
  ReportIdlePools();
  Report(kFirst, { 9'400, 9'400, 9'400 });
  Report(kSecond, { kGuaranteed, 0, 9'400 });
  EXPECT_EQ(Told(kSecond), 0U);
  EXPECT_EQ(Told(kFirst), 4'800U);
  EXPECT_EQ(Told(kSecond), 0U);
  Report(kFirst, { 4'800, 9'400, 9'400 }, mVersion);
  EXPECT_EQ(Told(kSecond), 0U);
  Report(kFirst, { 4'800, 7'000, 9'400 }, mVersion);
  EXPECT_EQ(Told(kSecond), 2'600U);
  Report(kSecond, { 2'600, 2'600, 9'400 }, mVersion);
  Report(kFirst, { 4'800, 4'800, 9'400 });
  EXPECT_EQ(Told(kSecond), 4'800U);
}

// Guards against a lost answer: the pool may follow the larger share although
// its last report names the smaller one.
TEST_F(quota_allocator_test, UnconfirmedInstructionCounts)
{
  ReportIdlePools();
  Report(kFirst, { kGuaranteed, 0, 10'000 });
  Report(kSecond, { kGuaranteed, 0, 0 });
  ASSERT_EQ(Told(kFirst), 9'400U);
  const quota_version granted = mVersion;
  Report(kFirst, { kGuaranteed, 0, 0 });
  Report(kSecond, { kGuaranteed, 0, 10'000 });
  EXPECT_EQ(Told(kSecond), 0U);
  // The smaller share is sent again until it is confirmed.
  EXPECT_EQ(Told(kFirst), kGuaranteed);
  EXPECT_EQ(Told(kFirst), kGuaranteed);
  const quota_version withdrawn = mVersion;
  Report(kFirst, { 9'400, 0, 0 }, granted);
  EXPECT_EQ(Told(kSecond), 0U);
  Report(kFirst, { kGuaranteed, 0, 0 }, { kTerm - 1, 999 });
  EXPECT_EQ(Told(kSecond), 0U);
  Report(kFirst, { kGuaranteed, 0, 0 }, withdrawn);
  EXPECT_EQ(Told(kSecond), 9'400U);
}

// Guards against the same part twice: what an earlier owner has started beyond
// the present share still runs.
TEST_F(quota_allocator_test, UseAboveTheShareIsNotGivenToOthers)
{
  ReportIdlePools();
  Report(kFirst, { kGuaranteed, 6'000, 6'000 });
  Report(kSecond, { kGuaranteed, 0, 20'000 });
  EXPECT_EQ(Told(kSecond), 3'600U);
  Report(kFirst, { kGuaranteed, 90'000, 90'000 });
  Report(kSecond, { 3'600, 3'600, 20'000 }, mVersion);
  EXPECT_EQ(Told(kSecond), 0U);
}

// Guards against instructions in every exchange while nothing changes.
TEST_F(quota_allocator_test, PoolWithTheDueShareIsToldNothing)
{
  ReportIdlePools();
  mAllocator.OnReport(kSecond, {});
  Report(kFirst, { 9'400, 9'400, 20'000 });
  EXPECT_EQ(Told(kFirst), 0U);
  EXPECT_EQ(Told(kSecond), 0U);
  EXPECT_EQ(Told(service_name{ "unknown" }), 0U);
}

// Guards against a cap that one pool uses by the configuration before, which it
// can not report, while another is given all of it.
TEST_F(quota_allocator_test, NothingGrowsBeforeEveryPoolHasTheCaps)
{
  mAllocator.SetCapsVersion(7);
  quota_report current{ {}, 7, { { kRinks, { kGuaranteed, 0, 10'000 } } } };
  mAllocator.OnReport(kFirst, current);
  for (const char* each : { "b", "c" }) {
    mAllocator.OnReport(service_name{ each }, { {}, 7, {} });
  }
  EXPECT_FALSE(mAllocator.Instruct(kFirst).has_value());
  mAllocator.OnReport(service_name{ "d" }, { {}, 7, {} });
  EXPECT_TRUE(mAllocator.Instruct(kFirst).has_value());
}

} // namespace
} // namespace mangospan::customers
