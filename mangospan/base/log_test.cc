#include "mangospan/base/log.h"

#include <gtest/gtest.h>

namespace mangospan {
namespace {

TEST(Log, FieldsArePrintedOnOneLineAndQuotedWhereNeeded)
{
  EXPECT_EQ(
    FormatFields({ { "revision", 7 },
                   { "peer", "127.0.0.1:80" },
                   { "message", "a \"b\"\nc" },
                   { "empty", "" } }),
    "revision=7 peer=127.0.0.1:80 message=\"a \\\"b\\\" c\" empty=\"\"");
}

TEST(Log, UnknownLevelIsRefusedWithTheChoices)
{
  EXPECT_EQ(ParseLogLevel("info").assume_value(), log_level::kInfo);
  const auto wrong = ParseLogLevel("loud");
  ASSERT_TRUE(wrong.has_error());
  EXPECT_NE(wrong.assume_error().mMessage.find("warning"), std::string::npos);
}

} // namespace
} // namespace mangospan
