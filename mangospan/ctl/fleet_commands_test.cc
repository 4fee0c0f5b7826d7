#include <cstddef>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "mangospan/ctl/exit_code.h"
#include "mangospan/ctl/fake_store_for_test.h"
#include "mangospan/fleet/records.h"

namespace mangospan::ctl {
namespace {

using nlohmann::json;

class ctl_fleet_test : public testing::Test
{
protected:
  ctl_fleet_test()
  {
    const zone_name zone("a");
    fleet::hosts_record hosts;
    hosts.mHosts[host_name("ra-a-1")].mPool = pool_name("survey");
    fleet::host_record& moving = hosts.mHosts[host_name("ra-a-2")];
    moving.mPool = pool_name("survey");
    moving.mPhase = fleet::host_phase::kDraining;
    moving.mPurpose = fleet::host_purpose::kMove;
    moving.mTarget = pool_name("office");
    mTool.mPlatform.Put(fleet::HostsKey(zone), ToText(hosts));
    mTool.mPlatform.Put(
      fleet::LeaderKey(zone),
      ToText(fleet::leader_record{ host_name("ra-a-e1"), "", {} }));
    mTool.mPlatform.Put(fleet::kConfigKey, ConfigRecord("1", "bob", "b"));
    PutStatus(1);
  }

  void PutStatus(std::size_t aDone)
  {
    fleet::status_record said;
    said.mWaiting.push_back({ host_name("ra-a-2"),
                              fleet::host_purpose::kMove,
                              "waits for entry ra-a-e1 to acknowledge" });
    fleet::wave_progress wave;
    wave.mPool = pool_name("survey");
    wave.mWave = "id-1";
    wave.mHostCount = 2;
    wave.mDoneCount = aDone;
    said.mWaves.push_back(wave);
    mTool.mPlatform.Put(fleet::StatusKey(zone_name("a")), ToText(said));
  }

  std::vector<host_name> Drained() const
  {
    return fleet::ParseDrains(mTool.mPlatform.Value(fleet::kDrainsKey), "k")
      .assume_value()
      .mHosts;
  }

  fleet::wave_request Wave() const
  {
    return fleet::ParseWave(mTool.mPlatform.Value(fleet::kWaveKey), "k")
      .assume_value();
  }

  tool_runner mTool;
};

TEST_F(ctl_fleet_test, DrainAndUndrainKeepOtherOperatorsHosts)
{
  mTool.mPlatform.Put(fleet::kDrainsKey, R"({"hosts":["other"]})");
  EXPECT_EQ(mTool.Run({ "drain", "ra-a-1" }), exit_code::kOk) << mTool.Err();
  EXPECT_EQ(Drained(),
            (std::vector{ host_name("other"), host_name("ra-a-1") }));
  EXPECT_EQ(mTool.Run({ "drain", "ra-a-1" }), exit_code::kOk);
  EXPECT_NE(mTool.Out().find("already"), std::string::npos);
  EXPECT_EQ(mTool.Run({ "undrain", "ra-a-1" }), exit_code::kOk);
  EXPECT_EQ(Drained(), std::vector{ host_name("other") });
  EXPECT_EQ(mTool.Run({ "undrain", "ra-a-1" }), exit_code::kOk);
  EXPECT_NE(mTool.Out().find("was not drained"), std::string::npos);
}

TEST_F(ctl_fleet_test, DrainOfAnUnknownHostIsRefused)
{
  EXPECT_EQ(mTool.Run({ "drain", "ra-a-9" }), exit_code::kRefused);
  EXPECT_EQ(mTool.Err(),
            "mangospanctl: drain: not-found: no zone has a worker host "
            "'ra-a-9' (zones: a)\n");
  EXPECT_EQ(mTool.mPlatform.mSwaps, 0);
}

TEST_F(ctl_fleet_test, RacingDrainsAreBothKept)
{
  mTool.mPlatform.mBeforeSwap = [this] {
    mTool.mPlatform.Put(fleet::kDrainsKey, R"({"hosts":["ra-a-2"]})");
  };
  EXPECT_EQ(mTool.Run({ "drain", "ra-a-1" }), exit_code::kOk) << mTool.Err();
  EXPECT_EQ(Drained(),
            (std::vector{ host_name("ra-a-1"), host_name("ra-a-2") }));
}

TEST_F(ctl_fleet_test, DrainWithALostAnswerIsWrittenOnce)
{
  mTool.mPlatform.mLostAnswersAfterWriting = 1;
  EXPECT_EQ(mTool.Run({ "drain", "ra-a-1" }), exit_code::kOk);
  EXPECT_EQ(mTool.mPlatform.mWrites, 1);
}

TEST_F(ctl_fleet_test, StatusShowsPoolsHostsAndReasons)
{
  EXPECT_EQ(mTool.Run({ "status" }), exit_code::kOk) << mTool.Err();
  const std::string out = mTool.Out();
  for (const char* part :
       { "by bob, change b",
         "zone a: revision 0 waiting, ra-a-e1 acts",
         "pool survey: a (1 draining, 1 serving)",
         "host ra-a-2 of pool survey: draining for move to pool office; ",
         "; waits for entry ra-a-e1 to acknowledge\n",
         "wave id-1, zone a, pool survey: 1 of 2 done" }) {
    EXPECT_NE(out.find(part), std::string::npos) << part << " in\n" << out;
  }
  EXPECT_EQ(mTool.Run({ "status", "--output", "json" }), exit_code::kOk);
  const json report = json::parse(mTool.Out());
  EXPECT_EQ(report["hosts"]["ra-a-2"]["target"], "office");
  EXPECT_EQ(report["zones"]["a"]["acting_host"], "ra-a-e1");
}

TEST_F(ctl_fleet_test, StatusOfAnEmptyPlatformSaysSo)
{
  mTool.mPlatform.mRecords.clear();
  EXPECT_EQ(mTool.Run({ "status" }), exit_code::kOk);
  EXPECT_EQ(mTool.Out(),
            "the platform holds no configuration yet\n"
            "no zone is known to the platform yet\n");
}

TEST_F(ctl_fleet_test, UnreadableZoneRecordIsNamed)
{
  mTool.mPlatform.Put("zones/a/hosts", "{");
  EXPECT_EQ(mTool.Run({ "status" }), exit_code::kRefused);
  EXPECT_NE(mTool.Err().find("zones/a/hosts"), std::string::npos);
}

TEST_F(ctl_fleet_test, WaveIsStartedPausedAndResumed)
{
  EXPECT_EQ(mTool.Run({ "wave", "pause" }), exit_code::kRefused);
  EXPECT_EQ(mTool.Run({ "wave", "start", "survey" }), exit_code::kOk)
    << mTool.Err();
  EXPECT_EQ(Wave().mPool, pool_name("survey"));
  EXPECT_FALSE(Wave().mPaused);
  const std::string id = Wave().mId;
  EXPECT_EQ(mTool.Run({ "wave", "pause" }), exit_code::kOk);
  EXPECT_TRUE(Wave().mPaused);
  EXPECT_EQ(mTool.Run({ "wave", "pause" }), exit_code::kOk);
  EXPECT_NE(mTool.Out().find("already paused"), std::string::npos);
  EXPECT_EQ(mTool.Run({ "wave", "resume" }), exit_code::kOk);
  EXPECT_FALSE(Wave().mPaused);
  EXPECT_EQ(Wave().mId, id);
  EXPECT_EQ(mTool.Run({ "wave", "status" }), exit_code::kOk);
  EXPECT_NE(mTool.Out().find("wave " + id + " of pool survey: running"),
            std::string::npos);
}

TEST_F(ctl_fleet_test, WaveOfAnUnknownPoolIsRefused)
{
  EXPECT_EQ(mTool.Run({ "wave", "start", "surveys" }), exit_code::kRefused);
  EXPECT_NE(mTool.Err().find("(pools: survey)"), std::string::npos);
}

TEST_F(ctl_fleet_test, UnfinishedWaveIsReplacedOnlyWhenAsked)
{
  mTool.mPlatform.Put(fleet::kWaveKey, R"({"id":"id-1","state":"running"})");
  EXPECT_EQ(mTool.Run({ "wave", "start", "--all" }), exit_code::kRefused);
  EXPECT_NE(mTool.Err().find("wave id-1 of every pool is not finished (1 of 2"),
            std::string::npos)
    << mTool.Err();
  EXPECT_EQ(mTool.Run({ "wave", "start", "--all", "--replace" }),
            exit_code::kOk);
  EXPECT_TRUE(Wave().mPool.Empty());
  PutStatus(2);
  mTool.mPlatform.Put(fleet::kWaveKey, R"({"id":"id-1","state":"running"})");
  EXPECT_EQ(mTool.Run({ "wave", "start", "--all" }), exit_code::kOk);
}

TEST_F(ctl_fleet_test, UnreachablePlatformGivesOneLine)
{
  mTool.mPlatform.mDown = true;
  for (const std::vector<std::string>& command :
       { std::vector<std::string>{ "status" },
         std::vector<std::string>{ "drain", "ra-a-1" },
         std::vector<std::string>{ "undrain", "ra-a-1" },
         std::vector<std::string>{ "wave", "start", "--all" },
         std::vector<std::string>{ "wave", "status" } }) {
    EXPECT_EQ(mTool.Run(command), exit_code::kUnreachable);
    EXPECT_EQ(mTool.Err().find('\n'), mTool.Err().size() - 1) << mTool.Err();
  }
}

} // namespace
} // namespace mangospan::ctl
