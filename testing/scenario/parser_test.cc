#include "testing/scenario/parser.h"

#include <chrono>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace mangospan::scenario {
namespace {

using std::chrono::milliseconds;

TEST(Parser, CommentsAndBlankLinesAreNoSteps)
{
  const auto steps =
    ParseScript("# all\n\nwait 0.5 # half a second\n", "a.scn");
  ASSERT_TRUE(steps.has_value());
  ASSERT_EQ(steps.assume_value().size(), 1U);
  EXPECT_EQ(steps.assume_value()[0].mName, "wait");
  EXPECT_EQ(steps.assume_value()[0].mLine, 3);
  EXPECT_EQ(steps.assume_value()[0].mDuration, milliseconds(500));
}

TEST(Parser, LoadTakesItsOptions)
{
  const auto steps = ParseScript("load start --rate 50 --services a,b "
                                 "--seconds 2 --non-idempotent-share 1 "
                                 "--tickets",
                                 "a.scn");
  ASSERT_TRUE(steps.has_value()) << Describe(steps.assume_error());
  const step& load = steps.assume_value()[0];
  EXPECT_EQ(load.mName, "load start");
  EXPECT_EQ(load.mLoad.mServices, (std::vector<std::string>{ "a", "b" }));
  EXPECT_EQ(load.mLoad.mRatePerSecond, 50);
  EXPECT_EQ(load.mLoad.mDuration, milliseconds(2'000));
  EXPECT_TRUE(load.mLoad.mTickets);
}

TEST(Parser, CtlPassesItsArgumentsOn)
{
  const auto steps =
    ParseScript("ctl drain w1 --reason \"a b\" --expect-exit 3", "a.scn");
  ASSERT_TRUE(steps.has_value()) << Describe(steps.assume_error());
  const step& ctl = steps.assume_value()[0];
  EXPECT_EQ(ctl.mWords,
            (std::vector<std::string>{ "drain", "w1", "--reason", "a b" }));
  EXPECT_EQ(ctl.mExpectedExit, 3);
}

TEST(Parser, ApplyTakesAChange)
{
  const auto steps =
    ParseScript("apply a.json --change '\"x\"' '\"y z\"' --within 3", "a.scn");
  ASSERT_TRUE(steps.has_value()) << Describe(steps.assume_error());
  const step& apply = steps.assume_value()[0];
  EXPECT_EQ(apply.mWords, std::vector<std::string>{ "a.json" });
  EXPECT_EQ(apply.mChange, (std::vector<std::string>{ "\"x\"", "\"y z\"" }));
  EXPECT_EQ(apply.mWithin, milliseconds(3'000));
}

TEST(Parser, WrongStepNamesFileAndLine)
{
  for (const char* wrong :
       { "wait 1\ndance", "wait 1\nwait", "\ncut a --from x" }) {
    const auto steps = ParseScript(wrong, "a.scn");
    ASSERT_TRUE(steps.has_error()) << wrong;
    EXPECT_EQ(steps.assume_error().mPeer, "a.scn:2");
  }
}

TEST(Parser, ExpectationComparesAValueToItsBound)
{
  EXPECT_TRUE(ParseExpectation("lost==0").assume_value().Holds(0));
  EXPECT_FALSE(ParseExpectation("lost==0").assume_value().Holds(1));
  EXPECT_TRUE(ParseExpectation("in-force-ms<=8000").assume_value().Holds(8000));
  EXPECT_FALSE(ParseExpectation("answered>=10").assume_value().Holds(9));
  for (const char* wrong : { "lost", "lost=0", "==0", "lost==x", "lost==" }) {
    EXPECT_TRUE(ParseExpectation(wrong).has_error()) << wrong;
  }
}

} // namespace
} // namespace mangospan::scenario
