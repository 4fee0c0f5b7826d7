#include "testing/fleet/fleet_file.h"

#include <gtest/gtest.h>

namespace mangospan::standin {
namespace {

TEST(FleetFile, HostsSurviveFormattingAndParsing)
{
  const auto fleet = ParseFleet(R"({
    "list_lag_ms": 250, // the host list's age
    "hosts": [ { "host": "w1", "zone": "a", "rack": "r1",
                 "service": "permits", "address": "127.0.0.1:9" },
               { "host": "e1", "zone": "a", "role": "entry" } ] })",
                                "test");
  ASSERT_TRUE(fleet.has_value());
  const auto again = ParseFleet(FormatFleet(fleet.assume_value()), "again");
  ASSERT_TRUE(again.has_value());
  EXPECT_EQ(FormatFleet(fleet.assume_value()),
            FormatFleet(again.assume_value()));
  EXPECT_EQ(again.assume_value().Find("w1")->mSlots, 8U);
  EXPECT_EQ(again.assume_value().Find("e1")->mRole,
            platform::host_role::kEntry);
  EXPECT_EQ(again.assume_value().Find("none"), nullptr);
}

TEST(FleetFile, HostWithoutAZoneIsRefusedWithItsSource)
{
  const auto wrong = ParseFleet(R"({"hosts":[{"host":"w1"}]})", "bad.json");
  ASSERT_TRUE(wrong.has_error());
  EXPECT_EQ(wrong.assume_error().mPeer, "bad.json");
}

} // namespace
} // namespace mangospan::standin
