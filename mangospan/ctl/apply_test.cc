#include <cstdint>
#include <fstream>
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

void
PutZone(fake_platform& aPlatform,
        const std::string& aZone,
        std::uint64_t aRevision,
        const std::vector<std::string>& aAcknowledged)
{
  const zone_name zone(aZone);
  aPlatform.Put(
    fleet::LeaderKey(zone),
    ToText(fleet::leader_record{ host_name(aZone + "-1"), "", {} }));
  fleet::entries_record entries;
  for (const char* number : { "-1", "-2" }) {
    entries.mEntries.push_back(
      { { host_name(aZone + number), boot_id{ 1 } }, "" });
  }
  aPlatform.Put(fleet::EntriesKey(zone), ToText(entries));
  fleet::status_record said;
  said.mConfigRevision = aRevision;
  for (const std::string& host : aAcknowledged) {
    said.mConfiguredEntries.emplace_back(host);
  }
  aPlatform.Put(fleet::StatusKey(zone), ToText(said));
}

TEST(CtlValidate, AcceptsOrRefusesWithoutThePlatform)
{
  tool_runner tool;
  tool.mPlatform.mDown = true;
  EXPECT_EQ(tool.Run({ "validate", WriteConfigFile("1") }), exit_code::kOk);
  EXPECT_NE(tool.Out().find("1 pools"), std::string::npos) << tool.Out();
  EXPECT_EQ(tool.Run({ "validate", WriteConfigFile("\"1\"") }),
            exit_code::kRefused);
  EXPECT_NE(tool.Err().find("/pools/0/max_unavailable"), std::string::npos);
  EXPECT_EQ(tool.Run({ "validate", "no/such/file" }), exit_code::kRefused);
  EXPECT_NE(tool.Err().find("no/such/file"), std::string::npos);
}

TEST(CtlDiff, ShowsChangesAgainstTheHeldRevision)
{
  tool_runner tool;
  const std::string file = WriteConfigFile("2");
  tool.mPlatform.Put(fleet::kConfigKey, ConfigRecord("1", "bob", "b"));
  EXPECT_EQ(tool.Run({ "diff", file }), exit_code::kOk);
  EXPECT_EQ(tool.Out(),
            "against revision 11 by bob\n1 changes\n"
            "  ~ pools survey max_unavailable: 1 -> 2\n");
  EXPECT_EQ(tool.Run({ "diff", file, "--output", "json" }), exit_code::kOk);
  const json report = json::parse(tool.Out());
  EXPECT_EQ(report["changes"][0]["new"], 2);
  EXPECT_EQ(tool.mPlatform.mSwaps, 0);
}

TEST(CtlApply, WritesTheDocumentWithItsAuthorAndChangeId)
{
  tool_runner tool;
  EXPECT_EQ(tool.Run({ "apply", WriteConfigFile("2"), "--author", "eve" }),
            exit_code::kOk)
    << tool.Err();
  EXPECT_NE(tool.Out().find("accepted as revision 11, change id-1"),
            std::string::npos)
    << tool.Out();
  const json record = json::parse(tool.mPlatform.Value(fleet::kConfigKey));
  EXPECT_EQ(record["change_id"], "id-1");
  EXPECT_EQ(record["author"], "eve");
  EXPECT_EQ(record["document"]["pools"][0]["max_unavailable"], 2);
  EXPECT_TRUE(fleet::ParseConfigRecord(record.dump(), "k").has_value());
}

TEST(CtlApply, SameConfigurationIsNotWrittenAgain)
{
  tool_runner tool;
  tool.mPlatform.Put(fleet::kConfigKey, ConfigRecord("2", "bob", "b"));
  EXPECT_EQ(tool.Run({ "apply", WriteConfigFile("2") }), exit_code::kOk);
  EXPECT_EQ(tool.mPlatform.mSwaps, 0);
  EXPECT_NE(tool.Out().find("no change: revision 11 by bob"),
            std::string::npos);
}

TEST(CtlApply, RefusedInputIsNeverWritten)
{
  tool_runner tool;
  EXPECT_EQ(tool.Run({ "apply", WriteConfigFile("\"200%\"") }),
            exit_code::kRefused);
  EXPECT_EQ(tool.Run({ "apply", WriteConfigFile("1"), "--author", "a\nb" }),
            exit_code::kRefused);
  EXPECT_EQ(tool.mPlatform.mSwaps, 0);
}

TEST(CtlApply, ConfigurationOverTheStoresLimitIsNeverWritten)
{
  tool_runner tool;
  const std::string file = WriteConfigFile("1");
  std::string teams;
  while (teams.size() < platform::kMaxValueBytes) {
    teams += R"(,{"name":"team-)" + std::to_string(teams.size()) + R"("})";
  }
  std::ofstream(file) << R"({"pools":[{"name":"survey","service":"s",)"
                      << R"("max_unavailable":1}],"prefer":"low-buffer",)"
                      << R"("teams":[)" << teams.substr(1) << "]}";
  EXPECT_EQ(tool.Run({ "apply", file }), exit_code::kRefused);
  EXPECT_NE(tool.Err().find("too-large"), std::string::npos) << tool.Err();
  EXPECT_EQ(tool.mPlatform.mSwaps, 0);
}

TEST(CtlApply, LostRaceShowsTheOtherChange)
{
  tool_runner tool;
  tool.mPlatform.Put(fleet::kConfigKey, ConfigRecord("1", "ann", "a"));
  tool.mPlatform.mBeforeSwap = [&tool] {
    tool.mPlatform.Put(fleet::kConfigKey, ConfigRecord("7", "bob", "b"));
  };
  EXPECT_EQ(tool.Run({ "apply", WriteConfigFile("2") }), exit_code::kConflict);
  EXPECT_NE(tool.Err().find("revision 12 by bob came first"), std::string::npos)
    << tool.Err();
  EXPECT_NE(tool.Out().find("~ pools survey max_unavailable: 1 -> 7"),
            std::string::npos)
    << tool.Out();
  EXPECT_EQ(tool.mPlatform.mWrites, 0);
}

TEST(CtlApply, AnswerLostAfterTheWriteIsReadBack)
{
  tool_runner tool;
  tool.mPlatform.mLostAnswersAfterWriting = 1;
  EXPECT_EQ(tool.Run({ "apply", WriteConfigFile("2") }), exit_code::kOk);
  EXPECT_NE(tool.Out().find("accepted as revision 11"), std::string::npos);
  EXPECT_EQ(tool.mPlatform.mWrites, 1);
}

TEST(CtlApply, RequestLostBeforeTheWriteIsRepeated)
{
  tool_runner tool;
  tool.mPlatform.mLostAnswersUnwritten = 2;
  EXPECT_EQ(tool.Run({ "apply", WriteConfigFile("2") }), exit_code::kOk);
  EXPECT_EQ(tool.mPlatform.mSwaps, 3);
  EXPECT_EQ(tool.mPlatform.mWrites, 1);
}

TEST(CtlApply, LostAnswerThenAnotherOperatorIsNotCalledUnwritten)
{
  tool_runner tool;
  tool.mPlatform.mLostAnswersUnwritten = 1;
  tool.mPlatform.mBeforeSwap = [&tool] {
    tool.mPlatform.Put(fleet::kConfigKey, ConfigRecord("7", "bob", "b"));
  };
  EXPECT_EQ(tool.Run({ "apply", WriteConfigFile("2") }), exit_code::kConflict);
  EXPECT_NE(tool.Err().find("may have been in force before it"),
            std::string::npos)
    << tool.Err();
}

TEST(CtlApply, PlatformLostDuringTheWriteIsReportedAsUnknown)
{
  tool_runner tool;
  tool.mPlatform.mLostAnswersUnwritten = 1'000'000;
  EXPECT_EQ(tool.Run({ "apply", WriteConfigFile("2") }),
            exit_code::kUnreachable);
  EXPECT_NE(tool.Err().find("not known whether the change was written"),
            std::string::npos)
    << tool.Err();
}

TEST(CtlApply, UnreachablePlatformGivesOneLine)
{
  for (const char* command : { "apply", "diff" }) {
    tool_runner tool;
    tool.mPlatform.mDown = true;
    EXPECT_EQ(tool.Run({ command, WriteConfigFile("2") }),
              exit_code::kUnreachable);
    EXPECT_NE(tool.Err().find("10.0.9.1:2379"), std::string::npos);
    EXPECT_EQ(tool.Err().find('\n'), tool.Err().size() - 1) << tool.Err();
  }
}

TEST(CtlApply, UnreadableRecordIsReplacedOnlyByForce)
{
  tool_runner tool;
  tool.mPlatform.Put(fleet::kConfigKey, R"({"document":{"later":1}})");
  const std::string file = WriteConfigFile("2");
  EXPECT_EQ(tool.Run({ "apply", file }), exit_code::kRefused);
  EXPECT_EQ(tool.mPlatform.mSwaps, 0);
  EXPECT_EQ(tool.Run({ "apply", file, "--force" }), exit_code::kOk);
  EXPECT_EQ(tool.mPlatform.mWrites, 1);
}

TEST(CtlApplyWait, ReportsWhenAndWhereItIsInForce)
{
  tool_runner tool;
  PutZone(tool.mPlatform, "a", 1, { "a-1", "a-2" });
  PutZone(tool.mPlatform, "b", 1, { "b-1", "b-2" });
  int sleeps = 0;
  tool.mOnSleep = [&] {
    ++sleeps;
    PutZone(tool.mPlatform, "a", 1000, { "a-1", "a-2" });
    if (sleeps == 3) {
      PutZone(tool.mPlatform, "b", 1000, { "b-1", "b-2" });
    }
  };
  EXPECT_EQ(tool.Run({ "apply", WriteConfigFile("2"), "--wait" }),
            exit_code::kOk)
    << tool.Err();
  EXPECT_NE(tool.Out().find("zone a: in force after 0.5 s\n"
                            "zone b: in force after 1.5 s\n"
                            "in force in every zone\n"),
            std::string::npos)
    << tool.Out();
}

TEST(CtlApplyWait, TimesOutAndNamesWhoIsSilent)
{
  tool_runner tool;
  PutZone(tool.mPlatform, "a", 1000, { "a-1" });
  PutZone(tool.mPlatform, "b", 1000, { "b-1", "b-2" });
  tool.mPlatform.mRecords.erase("zones/b/leader");
  EXPECT_EQ(
    tool.Run({ "apply", WriteConfigFile("2"), "--wait", "--timeout", "2s" }),
    exit_code::kTimedOut);
  EXPECT_NE(tool.Out().find("zone a: waiting; not acknowledged by a-2"),
            std::string::npos)
    << tool.Out();
  EXPECT_NE(tool.Out().find("zone b: silent: no fleet process acts for it"),
            std::string::npos)
    << tool.Out();
  EXPECT_NE(tool.Err().find("accepted, but not in force everywhere"),
            std::string::npos);
}

TEST(CtlApplyWait, OutageDuringTheWaitIsWaitedOut)
{
  tool_runner tool;
  PutZone(tool.mPlatform, "a", 1, { "a-1", "a-2" });
  int sleeps = 0;
  tool.mOnSleep = [&] {
    ++sleeps;
    tool.mPlatform.mDown = sleeps < 4;
    if (sleeps == 4) {
      PutZone(tool.mPlatform, "a", 1000, { "a-1", "a-2" });
    }
  };
  EXPECT_EQ(tool.Run({ "apply", WriteConfigFile("2"), "--wait" }),
            exit_code::kOk)
    << tool.Err();
}

TEST(CtlApplyWait, JsonOutputIsOneDocument)
{
  tool_runner tool;
  PutZone(tool.mPlatform, "a", 1000, { "a-1", "a-2" });
  EXPECT_EQ(
    tool.Run({ "apply", WriteConfigFile("2"), "--wait", "--output", "json" }),
    exit_code::kOk);
  const json report = json::parse(tool.Out());
  EXPECT_EQ(report["accepted"], true);
  EXPECT_EQ(report["in_force"], true);
  EXPECT_EQ(report["wait"]["zones"]["a"]["progress"], "in-force");
}

} // namespace
} // namespace mangospan::ctl
