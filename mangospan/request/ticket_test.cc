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

TEST(Ticket, DecodesTheEncodedTicket)
{
  const auto parsed = ParseTicket(ToText(Example()));
  ASSERT_TRUE(parsed.has_value());
  EXPECT_EQ(parsed.assume_value(), Example());
}

TEST(Ticket, AcceptsIpv6Addresses)
{
  ticket example = Example();
  example.mIssuer = "[fd00::1]:7001";
  const auto parsed = ParseTicket(ToText(example));
  ASSERT_TRUE(parsed.has_value());
  EXPECT_EQ(parsed.assume_value(), example);
}

TEST(Ticket, RejectsAnyOtherText)
{
  const std::string valid = ToText(Example());
  const std::string suffix = valid.substr(valid.find('_', 4));
  const std::string malformed[] = {
    "",
    "ms1",
    valid + "0",
    valid + " ",
    valid.substr(1),
    valid.substr(0, valid.size() - 1),
    valid + "_",
    "ms2" + valid.substr(3),
    "ms1_localhost:7001" + suffix,
    "ms1_10.1.2.3" + suffix,
    "ms1_10.1.2.3:0" + suffix,
    "ms1_10.1.2.3:70000" + suffix,
    "ms1_10.1.2.03:7001" + suffix,
    "ms1_10.1.2.256:7001" + suffix,
    "ms1_10.1.2:7001" + suffix,
    "ms1_10.1.2.3.4:7001" + suffix,
    "ms1_[fd00/x]:7001" + suffix,
    "ms1_10.1.2.3:7001_001F00000000000a_000000000000002a_000000000036ee80",
    "ms1_10.1.2.3:7001_-01f00000000000a_000000000000002a_000000000036ee80",
    "ms1_10.1.2.3:7001_001f00000000000a_000000000000002a_ffffffffffffffff",
    std::string(1000, '1'),
  };
  for (const std::string& text : malformed) {
    EXPECT_TRUE(ParseTicket(text).has_error()) << text;
  }
}

} // namespace
} // namespace mangospan::request
