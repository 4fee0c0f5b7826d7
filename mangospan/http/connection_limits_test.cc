#include "mangospan/http/connection_limits.h"

#include <chrono>
#include <vector>

#include <gtest/gtest.h>

namespace mangospan::http {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class connection_ledger_test : public ::testing::Test
{
protected:
  connection_ledger_test()
  {
    mLimits.mMaxHeldBytes = 1'000;
    mLimits.mMaxHeldBytesPerAddress = 600;
    mLimits.mMaxConnectionsPerAddress = 2;
  }

  holding Holding(std::size_t aBytes,
                  seconds aAge,
                  std::size_t aProgress,
                  bool aIsEvictable = true) const
  {
    return { aBytes, mNow - aAge, aProgress, aIsEvictable };
  }

  const time_point mNow{ std::chrono::hours(1) };
  connection_limits mLimits;
  const int mIds[4] = {};
};

TEST_F(connection_ledger_test, BytesOfTotalAndOfAddressAreLimited)
{
  connection_ledger ledger(mLimits);
  ledger.Open(&mIds[0], "a");
  ledger.Open(&mIds[1], "a");
  ledger.Open(&mIds[2], "b");
  ledger.SetHeld(&mIds[0], Holding(500, seconds(1), 0));
  EXPECT_EQ(ledger.Check(&mIds[1], 100), limit_reason::kNone);
  EXPECT_EQ(ledger.Check(&mIds[1], 101), limit_reason::kAddressMemory);
  EXPECT_EQ(ledger.Check(&mIds[2], 501), limit_reason::kTotalMemory);
  EXPECT_EQ(ledger.Check(&mIds[0], 600), limit_reason::kNone);
  ledger.Close(&mIds[0]);
  EXPECT_EQ(ledger.HeldBytes(), 0U);
  EXPECT_EQ(ledger.Check(&mIds[1], 600), limit_reason::kNone);
}

TEST_F(connection_ledger_test, ConnectionsOfAddressAreLimited)
{
  connection_ledger ledger(mLimits);
  ledger.Open(&mIds[0], "a");
  ledger.Open(&mIds[1], "a");
  EXPECT_EQ(ledger.CheckConnection("a"), limit_reason::kAddressConnections);
  EXPECT_EQ(ledger.CheckConnection("b"), limit_reason::kNone);
  ledger.Close(&mIds[1]);
  EXPECT_EQ(ledger.CheckConnection("a"), limit_reason::kNone);
}

// A request that was passed to the handler is never among them, nor is the
// connection that needs the room.
TEST_F(connection_ledger_test, LargestOldestAndSlowestAreEvictedFirst)
{
  connection_ledger ledger(mLimits);
  for (const int& each : mIds) {
    ledger.Open(&each, "a");
  }
  ledger.SetHeld(&mIds[0], Holding(300, seconds(2), 290));
  ledger.SetHeld(&mIds[1], Holding(300, seconds(2), 10));
  ledger.SetHeld(&mIds[2], Holding(300, seconds(60), 0, false));
  ledger.SetHeld(&mIds[3], Holding(50, seconds(6), 40));
  using chosen = std::vector<connection_ledger::connection>;
  EXPECT_EQ(ledger.ChooseEvicted(&mIds[3], 100, mNow), chosen{ &mIds[1] });
  EXPECT_EQ(ledger.ChooseEvicted(&mIds[3], 300, mNow),
            (chosen{ &mIds[1], &mIds[0] }));
  EXPECT_EQ(ledger.ChooseEvicted(&mIds[1], 0, mNow), (chosen{ &mIds[0] }));
}

TEST(connection_limits_test, BodyIsTooSlowBelowItsRateOnceThePeriodIsOver)
{
  connection_limits limits;
  limits.mMinBodyBytesPerSecond = 100;
  limits.mBodyRatePeriod = milliseconds(2'000);
  EXPECT_FALSE(IsBodyTooSlow(limits, 0, milliseconds(1'999)));
  EXPECT_TRUE(IsBodyTooSlow(limits, 199, milliseconds(2'000)));
  EXPECT_FALSE(IsBodyTooSlow(limits, 200, milliseconds(2'000)));
}

} // namespace
} // namespace mangospan::http
