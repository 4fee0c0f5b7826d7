#include "testing/scenario/store_records.h"

#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "mangospan/platform/store.h"

namespace mangospan::scenario {
namespace {

platform::change
Hosts(const std::string& aZone,
      const std::string& aHost,
      const std::string& aPool)
{
  static platform::revision revision = 0;
  return { { "zones/" + aZone + "/hosts",
             R"({"hosts":{")" + aHost + R"(":{"pool":")" + aPool +
               R"(","phase":"serving","epoch":1}}})",
             ++revision },
           false };
}

TEST(StoreRecords, ChangedPoolIsAMove)
{
  const auto found = JudgeHistory({ Hosts("a", "w1", "permits"),
                                    Hosts("a", "w1", "permits"),
                                    Hosts("a", "w1", "royalties") });
  EXPECT_EQ(found.mMoves, 1U);
  EXPECT_TRUE(found.mInTwoPools.empty());
}

TEST(StoreRecords, HostInTwoZonesIsInTwoPools)
{
  const auto found = JudgeHistory(
    { Hosts("a", "w1", "permits"), Hosts("b", "w1", "royalties") });
  EXPECT_EQ(found.mInTwoPools.size(), 1U);
}

TEST(StoreRecords, CurrentStateIsReadFromTheRecords)
{
  const auto state = ReadRecords(R"({"revision":9,"records":[
    {"key":"config/current","value":"{}","revision":7},
    {"key":"zones/a/leader","value":"{\"host\":\"e1\"}","revision":3},
    {"key":"zones/a/hosts","revision":8,"value":
     "{\"hosts\":{\"w1\":{\"pool\":\"p\",\"phase\":\"draining\"}}}"}]})");
  EXPECT_EQ(state.mConfigRevision, 7U);
  EXPECT_EQ(state.mLeaders.at("a"), "e1");
  EXPECT_EQ(state.mHosts.at("w1").mPool, "p");
  EXPECT_EQ(state.mHosts.at("w1").mPhase, "draining");
}

} // namespace
} // namespace mangospan::scenario
