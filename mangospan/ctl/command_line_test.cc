#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "mangospan/ctl/exit_code.h"
#include "mangospan/ctl/fake_store_for_test.h"

namespace mangospan::ctl {
namespace {

TEST(CtlCommandLine, HelpTeachesWithExamplesAndExitCodes)
{
  tool_runner tool;
  EXPECT_EQ(tool.Run({ "--help" }), exit_code::kOk);
  for (const char* part :
       { "apply fleet.json --wait", "Exit codes", "drain" }) {
    EXPECT_NE(tool.Out().find(part), std::string::npos) << part;
  }
  EXPECT_EQ(tool.Run({ "wave", "start", "--help" }), exit_code::kOk);
  EXPECT_NE(tool.Out().find("--all"), std::string::npos);
  EXPECT_EQ(tool.Run({ "--version" }), exit_code::kOk);
  EXPECT_EQ(tool.Out().rfind("mangospanctl ", 0), 0U);
}

TEST(CtlCommandLine, WrongArgumentsGiveOneLineAndTheUsageCode)
{
  const std::vector<std::vector<std::string>> wrong{
    {},
    { "aply" },
    { "apply" },
    { "drain" },
    { "wave" },
    { "wave", "start" },
    { "wave", "start", "survey", "--all" },
    { "status", "--output", "xml" },
    { "status", "--timeout", "5" },
    { "status", "--timeout", "-5s" },
    { "status", "--platform", "nowhere" },
    { "status", "--platform", "127.0.0.1:0" },
    { "status", "--platform", "" },
    { "dump", "127.0.0.1" },
  };
  for (const auto& arguments : wrong) {
    tool_runner tool;
    EXPECT_EQ(tool.Run(arguments), exit_code::kUsage)
      << testing::PrintToString(arguments);
    EXPECT_EQ(tool.Err().rfind("mangospanctl: ", 0), 0U) << tool.Err();
    EXPECT_EQ(tool.Err().find('\n'), tool.Err().size() - 1) << tool.Err();
    EXPECT_EQ(tool.Out(), "");
  }
}

TEST(CtlCommandLine, UnknownCommandIsNamed)
{
  tool_runner tool;
  EXPECT_EQ(tool.Run({ "aply", "fleet.json" }), exit_code::kUsage);
  EXPECT_NE(tool.Err().find("'aply' is not a command"), std::string::npos)
    << tool.Err();
}

TEST(CtlCommandLine, GlobalOptionsMayFollowTheCommand)
{
  tool_runner tool;
  EXPECT_EQ(tool.Run({ "status",
                       "--platform",
                       "10.1.1.1:80",
                       "--timeout",
                       "30s",
                       "--output",
                       "json" }),
            exit_code::kOk);
}

TEST(CtlDump, PrintsTheStateOfADaemon)
{
  tool_runner tool;
  tool.mAnswer = http::JsonResponse(200, R"({"term":3})");
  EXPECT_EQ(tool.Run({ "dump", "10.0.1.5:9100" }), exit_code::kOk);
  EXPECT_EQ(tool.Out(), "{\n  \"term\": 3\n}\n");
}

TEST(CtlDump, UnreachableDaemonAndOtherServersAreToldApart)
{
  tool_runner tool;
  tool.mAnswer =
    error{ error_code::kUnavailable, "connect", "10.0.1.5:9100", "refused" };
  EXPECT_EQ(tool.Run({ "dump", "10.0.1.5:9100" }), exit_code::kUnreachable);
  EXPECT_NE(tool.Err().find("10.0.1.5:9100"), std::string::npos);
  tool.mAnswer = http::JsonResponse(404, "{}");
  EXPECT_EQ(tool.Run({ "dump", "10.0.1.5:9100" }), exit_code::kRefused);
}

} // namespace
} // namespace mangospan::ctl
