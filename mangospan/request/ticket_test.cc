#include "mangospan/request/ticket.h"

#include <chrono>
#include <string>

#include <gtest/gtest.h>

namespace mangospan::request {
namespace {

ticket
Example()
{
  return { "10.1.2.3:7001",
           boot_id{ 0x1f00000000000a },
           42,
           time_point(std::chrono::milliseconds(3600000)) };
}

TEST(Ticket, TextReadsBackAsTheSameTicket)
{
  const auto parsed = ParseTicket(ToText(Example()));
  ASSERT_TRUE(parsed.has_value());
  EXPECT_EQ(parsed.assume_value(), Example());
}

TEST(Ticket, Ipv6AddressesAreTaken)
{
  ticket example = Example();
  example.mIssuer = "[fd00::1]:7001";
  const auto parsed = ParseTicket(ToText(example));
  ASSERT_TRUE(parsed.has_value());
  EXPECT_EQ(parsed.assume_value(), example);
}

TEST(Ticket, AnyOtherTextIsRefused)
{
  const std::string good = ToText(Example());
  const std::string tail = good.substr(good.find('_', 4));
  const std::string bad[] = {
    "",
    "ms1",
    good + "0",
    good + " ",
    good.substr(1),
    good.substr(0, good.size() - 1),
    good + "_",
    "ms2" + good.substr(3),
    "ms1_localhost:7001" + tail,
    "ms1_10.1.2.3" + tail,
    "ms1_10.1.2.3:0" + tail,
    "ms1_10.1.2.3:70000" + tail,
    "ms1_10.1.2.03:7001" + tail,
    "ms1_10.1.2.256:7001" + tail,
    "ms1_10.1.2:7001" + tail,
    "ms1_10.1.2.3.4:7001" + tail,
    "ms1_[fd00/x]:7001" + tail,
    "ms1_10.1.2.3:7001_001F00000000000a_000000000000002a_000000000036ee80",
    "ms1_10.1.2.3:7001_-01f00000000000a_000000000000002a_000000000036ee80",
    "ms1_10.1.2.3:7001_001f00000000000a_000000000000002a_ffffffffffffffff",
    std::string(1000, '1'),
  };
  for (const std::string& text : bad) {
    EXPECT_TRUE(ParseTicket(text).has_error()) << text;
  }
}

} // namespace
} // namespace mangospan::request
