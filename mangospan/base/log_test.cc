#include "mangospan/base/log.h"

#include <chrono>
#include <string>

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

TEST(Log, EventsGoToStandardOutputAsOneLine)
{
  ConfigureLog("entry", log_level::kInfo);
  testing::internal::CaptureStdout();
  testing::internal::CaptureStderr();
  LogEvent(log_level::kDebug, "hidden", {});
  LogEvent(log_level::kInfo, "view.adopted", { { "revision", 7 } });
  EXPECT_EQ(testing::internal::GetCapturedStderr(), "");
  const std::string line = testing::internal::GetCapturedStdout();
  const std::string expected =
    " level=info process=entry event=view.adopted revision=7\n";
  EXPECT_EQ(line.rfind("ts=", 0), 0U) << line;
  EXPECT_EQ(line.find(expected), line.size() - expected.size()) << line;
}

TEST(Log, AFloodIsBoundedAndCounted)
{
  ConfigureLog("entry", log_level::kInfo);
  log_limiter limiter(2);
  const time_point start{ std::chrono::hours(1) };
  EXPECT_TRUE(limiter.Admit(start));
  EXPECT_TRUE(limiter.Admit(start));
  EXPECT_FALSE(limiter.Admit(start + std::chrono::milliseconds(999)));
  EXPECT_EQ(limiter.TakeDropped(), 0U) << "not before lines pass again";
  EXPECT_TRUE(limiter.Admit(start + std::chrono::seconds(1)));
  EXPECT_EQ(limiter.TakeDropped(), 1U);
  EXPECT_EQ(limiter.TakeDropped(), 0U);
}

} // namespace
} // namespace mangospan
