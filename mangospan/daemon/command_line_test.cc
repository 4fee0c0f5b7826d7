#include "mangospan/daemon/command_line.h"

#include <string>
#include <variant>
#include <vector>

#include <gtest/gtest.h>

namespace mangospan::daemon {
namespace {

std::variant<command_line, int>
ParseArguments(std::vector<const char*> aArguments)
{
  aArguments.insert(aArguments.begin(), "mangospan-entry");
  return ParseCommandLine(static_cast<int>(aArguments.size()),
                          aArguments.data(),
                          { "mangospan-entry", "Serves callers.", "{...}" });
}

TEST(CommandLine, SettingsFileAndCheckAreRead)
{
  const auto parsed = ParseArguments({ "--settings", "a.json" });
  const auto* options = std::get_if<command_line>(&parsed);
  ASSERT_NE(options, nullptr);
  EXPECT_EQ(options->mSettingsFile, "a.json");
  EXPECT_FALSE(options->mCheckSettings);
  const auto checked =
    ParseArguments({ "--settings", "a.json", "--check-settings" });
  EXPECT_TRUE(std::get<command_line>(checked).mCheckSettings);
}

TEST(CommandLine, HelpTeachesAndVersionIsPrinted)
{
  testing::internal::CaptureStdout();
  EXPECT_EQ(std::get<int>(ParseArguments({ "--help" })), kExitOk);
  const std::string help = testing::internal::GetCapturedStdout();
  for (const char* part :
       { "Serves callers.", "Examples:", "{...}", "Exit codes", "SIGTERM" }) {
    EXPECT_NE(help.find(part), std::string::npos) << part;
  }
  testing::internal::CaptureStdout();
  EXPECT_EQ(std::get<int>(ParseArguments({ "--version" })), kExitOk);
  EXPECT_EQ(testing::internal::GetCapturedStdout(),
            std::string("mangospan-entry ") + Version() + "\n");
}

TEST(CommandLine, WrongArgumentsGiveOneLineAndTheUsageCode)
{
  for (const std::vector<const char*>& arguments :
       { std::vector<const char*>{},
         std::vector<const char*>{ "--settings" },
         std::vector<const char*>{ "--settings", "a", "--wrong" } }) {
    testing::internal::CaptureStderr();
    EXPECT_EQ(std::get<int>(ParseArguments(arguments)), kExitUsage);
    const std::string line = testing::internal::GetCapturedStderr();
    EXPECT_EQ(line.find('\n'), line.size() - 1) << line;
  }
}

} // namespace
} // namespace mangospan::daemon
