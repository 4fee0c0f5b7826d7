#include "mangospan/settings/settings.h"

#include <chrono>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "mangospan/base/error.h"

namespace mangospan::settings {
namespace {

// A valid file of the entry, with `aMore` as its first lines.
std::string
EntryText(const std::string& aMore = "")
{
  return "{" + aMore + R"(
    "host": "ra-a-1", "zone": "a", // where it stands
    "caller_address": "10.0.1.5:8080",
    "operator_address": "10.0.1.5:9100",
    "peer_address": "10.0.1.5:7100",
    "platform_address": "10.0.9.1:2379",
    "peers": ["10.0.1.5:7100", "10.0.1.6:7200"]
  })";
}

std::string
FleetText(const std::string& aMore = "")
{
  return "{" + aMore + R"(
    "host": "ra-a-1", "zone": "a",
    "operator_address": "10.0.1.5:9101",
    "peer_address": "10.0.1.5:7200",
    "platform_address": "10.0.9.1:2379"
  })";
}

std::string
Refusal(const std::string& aText, program aProgram)
{
  const auto parsed = Parse(aText, "s.json", aProgram);
  if (parsed.has_value()) {
    return "(accepted)";
  }
  EXPECT_EQ(parsed.assume_error().mPeer, "s.json");
  EXPECT_EQ(Describe(parsed.assume_error()).find('\n'), std::string::npos);
  return parsed.assume_error().mMessage;
}

std::string
Replaced(std::string aText, const std::string& aOld, const std::string& aNew)
{
  return aText.replace(aText.find(aOld), aOld.size(), aNew);
}

TEST(Settings, EveryKeyReachesItsMember)
{
  const auto parsed = Parse(EntryText(R"(
    "log_level": "debug", "test_switches": true, "stop_timeout_ms": 1,
    "max_body_bytes": 2, "max_connections": 3, "max_queued_per_pool": 4,)"),
                            "s.json",
                            program::kEntry);
  ASSERT_TRUE(parsed.has_value()) << Describe(parsed.assume_error());
  const process_settings& settings = parsed.assume_value();
  EXPECT_EQ(settings.mHost, host_name("ra-a-1"));
  EXPECT_EQ(settings.mZone, zone_name("a"));
  EXPECT_EQ(settings.mCallerAddress, "10.0.1.5:8080");
  EXPECT_EQ(settings.mOperatorAddress, "10.0.1.5:9100");
  EXPECT_EQ(settings.mPeerAddress, "10.0.1.5:7100");
  EXPECT_EQ(settings.mPlatformAddress, "10.0.9.1:2379");
  EXPECT_EQ(settings.mLogLevel, log_level::kDebug);
  EXPECT_TRUE(settings.mTestSwitches);
  EXPECT_EQ(settings.mStopTimeout, std::chrono::milliseconds(1));
  EXPECT_EQ(settings.mMaxBodyBytes, 2U);
  EXPECT_EQ(settings.mMaxConnections, 3U);
  EXPECT_EQ(settings.mMaxQueuedPerPool, 4U);
}

TEST(Settings, FleetTimesReachTheirMembers)
{
  const auto parsed = Parse(
    FleetText(
      R"("lease_ttl_ms": 9, "heartbeat_ms": 3, "host_list_period_ms": 5,)"),
    "s.json",
    program::kFleet);
  ASSERT_TRUE(parsed.has_value()) << Describe(parsed.assume_error());
  EXPECT_EQ(parsed.assume_value().mLeaseTtl, std::chrono::milliseconds(9));
  EXPECT_EQ(parsed.assume_value().mHeartbeat, std::chrono::milliseconds(3));
  EXPECT_EQ(parsed.assume_value().mHostListPeriod,
            std::chrono::milliseconds(5));
}

TEST(Settings, OwnAddressIsLeftOutOfThePeers)
{
  const auto parsed = Parse(EntryText(), "s.json", program::kEntry);
  ASSERT_TRUE(parsed.has_value());
  EXPECT_EQ(parsed.assume_value().mPeers,
            std::vector<std::string>{ "10.0.1.6:7200" });
}

TEST(Settings, UnknownKeyIsRefusedWithTheNearest)
{
  EXPECT_EQ(Refusal(EntryText(R"("max_conections": 3,)"), program::kEntry),
            "/max_conections: unknown key; the nearest known one is "
            "'max_connections'");
}

TEST(Settings, KeyOfTheOtherProgramIsRefused)
{
  EXPECT_EQ(Refusal(EntryText(R"("lease_ttl_ms": 6000,)"), program::kEntry),
            "/lease_ttl_ms: this is a setting of mangospan-fleet, not of "
            "mangospan-entry");
  EXPECT_EQ(Refusal(FleetText(R"("max_connections": 1,)"), program::kFleet),
            "/max_connections: this is a setting of mangospan-entry, not of "
            "mangospan-fleet");
}

TEST(Settings, MissingKeyIsNamed)
{
  EXPECT_EQ(Refusal(FleetText(), program::kEntry),
            "the key 'caller_address' is missing");
}

TEST(Settings, WrongTypeUnitPortAndAddressAreRefused)
{
  struct wrong_value
  {
    const char* mKey;
    const char* mText;
    const char* mMessage;
  };
  const wrong_value values[] = {
    { "stop_timeout_ms", "\"30s\"", "a whole number of milliseconds" },
    { "stop_timeout_ms", "0", "0 is not from 1 to" },
    { "stop_timeout_ms", "86400001", "is not from 1 to" },
    { "stop_timeout_ms", "1.5", "a whole number of 0 or more" },
    { "max_connections", "-1", "a whole number of 0 or more" },
    { "max_connections", "0", "0 would refuse everything" },
    { "test_switches", "\"yes\"", "true or false" },
    { "log_level", "\"loud\"", "'loud' is not one of" },
    { "log_level", "3", "a text in quotes" },
  };
  for (const wrong_value& each : values) {
    const std::string pair =
      std::string("\"") + each.mKey + "\": " + each.mText + ",";
    const std::string message = Refusal(EntryText(pair), program::kEntry);
    EXPECT_EQ(message.rfind(std::string("/") + each.mKey + ": ", 0), 0U)
      << message;
    EXPECT_NE(message.find(each.mMessage), std::string::npos) << message;
  }
}

TEST(Settings, MalformedAddressIsRefusedWithItsPointer)
{
  for (const char* address :
       { "10.0.1.6", "10.0.1.6:0", "10.0.1.6:65536", "localhost:80", "" }) {
    const std::string text =
      Replaced(EntryText(), "10.0.1.6:7200", std::string(address));
    EXPECT_EQ(Refusal(text, program::kEntry).rfind("/peers/1: ", 0), 0U)
      << address;
  }
}

TEST(Settings, ContradictionsAreRefused)
{
  EXPECT_NE(Refusal(Replaced(EntryText(), ":9100", ":8080"), program::kEntry)
              .find("already another listener's"),
            std::string::npos);
  EXPECT_NE(Refusal(Replaced(FleetText(), "10.0.1.5:7200", "0.0.0.0:7200"),
                    program::kFleet)
              .find("can not be dialled"),
            std::string::npos);
  EXPECT_NE(Refusal(FleetText(R"("lease_ttl_ms": 900,)"), program::kFleet)
              .find("less than twice heartbeat_ms"),
            std::string::npos);
}

TEST(Settings, AddressForms)
{
  EXPECT_TRUE(IsAddress("127.0.0.1:80", false));
  EXPECT_TRUE(IsAddress("[::1]:80", false));
  EXPECT_TRUE(IsAddress("127.0.0.1:0", true));
  for (const char* text : { "127.0.0.1:0",
                            "127.0.0.1:-1",
                            "127.0.0.1:+80",
                            "127.0.0.1: 80",
                            "127.0.0.1:000080",
                            "127.0.0:80",
                            "::1:80",
                            ":80",
                            "[]:80" }) {
    EXPECT_FALSE(IsAddress(text, false)) << text;
  }
}

TEST(Settings, MissingFileIsNamed)
{
  const auto loaded = Load("no/such/file.json", program::kEntry);
  ASSERT_TRUE(loaded.has_error());
  EXPECT_EQ(loaded.assume_error().mCode, error_code::kNotFound);
  EXPECT_EQ(loaded.assume_error().mPeer, "no/such/file.json");
}

} // namespace
} // namespace mangospan::settings
