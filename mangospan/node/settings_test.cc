#include "mangospan/node/settings.h"

#include <gtest/gtest.h>

namespace mangospan::node {
namespace {

constexpr const char* kCompleteSettings = R"({
  // comments are allowed
  "node": "n-1", "zone": "caroni",
  "caller_address": "10.1.0.9:8624", "readiness_address": "10.1.0.9:8622",
  "node_address": "10.1.0.9:7060", "operator_address": "",
  "store_address": "10.200.1.7:8621", "host_lease_ms": 2500,
  "stop_timeout_ms": 6e3, "max_json_depth": 16, "header_timeout_ms": 4100,
  "learn_run_times": true, "key_revocation_ms": 5000,
  "customer_rate_window_ms": 4000, "customer_rate_slack": 7
})";

TEST(node_settings_test, ParsesCompleteFile)
{
  const auto read = ParseSettings(kCompleteSettings, "node.json");
  ASSERT_TRUE(read.has_value()) << Describe(read.error());
  EXPECT_EQ(read.value().mZone.Str(), "caroni");
  EXPECT_EQ(read.value().mMinOrderGapBetweenOwners,
            std::chrono::milliseconds(2'500));
  EXPECT_EQ(read.value().mStopTimeout, std::chrono::milliseconds(6'000));
  EXPECT_TRUE(read.value().mOperatorAddress.empty());
  EXPECT_TRUE(read.value().mLearnRunTimes);
  EXPECT_EQ(read.value().mKeyRevocationBound, std::chrono::milliseconds(5'000));
  EXPECT_EQ(read.value().mCustomerRateWindow, std::chrono::milliseconds(4'000));
  EXPECT_EQ(read.value().mCustomerRateSlack, 7U);
}

// Guards against a deployment without customers that has to state their keys.
TEST(node_settings_test, SettingsOfCustomersAreOptional)
{
  std::string text = kCompleteSettings;
  const std::size_t first = text.find(", \"key_revocation_ms\"");
  text.erase(first, text.rfind('}') - first);
  const auto read = ParseSettings(text, "node.json");
  ASSERT_TRUE(read.has_value()) << Describe(read.error());
  EXPECT_EQ(read.value().mKeyRevocationBound, std::chrono::milliseconds(0));
  EXPECT_EQ(read.value().mCustomerRateWindow, std::chrono::milliseconds(5'000));
  EXPECT_EQ(read.value().mCustomerRateSlack, 20U);
}

TEST(node_settings_test, ErrorsNameFileAndKey)
{
  struct invalid_setting
  {
    const char* mFind;
    const char* mReplace;
    const char* mExpect;
  };
  for (const invalid_setting& each :
       { invalid_setting{ "\"node\"", "\"nodes\"", "nodes" },
         invalid_setting{ "10.1.0.9:8624", "10.1.0.9", "caller_address" },
         invalid_setting{ "2500", "\"soon\"", "host_lease_ms" },
         invalid_setting{ "6e3", "0", "stop_timeout_ms" },
         invalid_setting{ "true", "1", "learn_run_times" },
         invalid_setting{ "16", "0", "max_json_depth" },
         invalid_setting{ "\"max_json_depth\": 16",
                          "\"caller_memory_bytes\": 300000",
                          "caller_memory_bytes" },
         invalid_setting{ "4100", "0", "header_timeout_ms" },
         invalid_setting{ "6e3", "-6000", "stop_timeout_ms" },
         invalid_setting{ "5000", "0", "key_revocation_ms" },
         invalid_setting{ "5000", "\"5 s\"", "key_revocation_ms" },
         invalid_setting{ "4000", "0", "customer_rate_window_ms" },
         invalid_setting{ ": 7", ": -7", "customer_rate_slack" },
         invalid_setting{
           "\"store_address\": \"10.200.1.7:8621\",", "", "store_address" } }) {
    std::string text = kCompleteSettings;
    text.replace(
      text.find(each.mFind), std::string(each.mFind).size(), each.mReplace);
    const auto read = ParseSettings(text, "node.json");
    ASSERT_TRUE(read.has_error()) << each.mExpect;
    EXPECT_EQ(read.error().mPeer, "node.json");
    EXPECT_NE(read.error().mMessage.find(each.mExpect), std::string::npos)
      << read.error().mMessage;
  }
}

} // namespace
} // namespace mangospan::node
