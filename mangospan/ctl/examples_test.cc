// The files under examples/ are what operators copy: each has to be accepted.
#include <algorithm>
#include <cstddef>
#include <string>

#include <gtest/gtest.h>

#include "mangospan/base/error.h"
#include "mangospan/config/document.h"
#include "mangospan/config/parser.h"
#include "mangospan/ctl/exit_code.h"
#include "mangospan/ctl/fake_store_for_test.h"
#include "mangospan/json/text_file.h"
#include "mangospan/settings/settings.h"

namespace mangospan::ctl {
namespace {

const std::string kExamples = MANGOSPAN_EXAMPLES;

class examples_test : public testing::TestWithParam<const char*>
{
protected:
  std::string File(const char* aName) const
  {
    return kExamples + "/" + GetParam() + "/" + aName;
  }
};

TEST_P(examples_test, ConfigurationIsValidAndWhole)
{
  const std::string file = File("mangospan.json");
  tool_runner tool;
  EXPECT_EQ(tool.Run({ "validate", file }), exit_code::kOk) << tool.Err();
  const auto text = json::ReadFile(file, "read");
  ASSERT_TRUE(text.has_value());
  const auto parsed = config::Parse(text.assume_value(), file);
  ASSERT_TRUE(parsed.has_value()) << Describe(parsed.assume_error());
  const config::document& example = parsed.assume_value();
  constexpr std::size_t kServicesAndSpare = 6;
  EXPECT_EQ(example.mPools.size(), kServicesAndSpare);
  EXPECT_EQ(
    std::count_if(example.mPools.begin(),
                  example.mPools.end(),
                  [](const config::pool& aPool) { return aPool.mSpare; }),
    1);
  for (const config::pool& pool : example.mPools) {
    EXPECT_TRUE(std::any_of(example.mClasses.begin(),
                            example.mClasses.end(),
                            [&pool](const config::work_class& aClass) {
                              return aClass.mMatch.mService == pool.mService;
                            }))
      << pool.mService.Str() << " has no class";
  }
}

TEST_P(examples_test, SettingsShowTheDefaults)
{
  const auto entry =
    settings::Load(File("entry.json"), settings::program::kEntry);
  ASSERT_TRUE(entry.has_value()) << Describe(entry.assume_error());
  const auto fleet =
    settings::Load(File("fleetd.json"), settings::program::kFleet);
  ASSERT_TRUE(fleet.has_value()) << Describe(fleet.assume_error());
  const settings::process_settings defaults;
  EXPECT_EQ(entry.assume_value().mStopTimeout, defaults.mStopTimeout);
  EXPECT_EQ(entry.assume_value().mMaxBodyBytes, defaults.mMaxBodyBytes);
  EXPECT_EQ(entry.assume_value().mMaxConnections, defaults.mMaxConnections);
  EXPECT_EQ(entry.assume_value().mMaxQueuedPerPool, defaults.mMaxQueuedPerPool);
  EXPECT_EQ(fleet.assume_value().mLeaseTtl, defaults.mLeaseTtl);
  EXPECT_EQ(fleet.assume_value().mHeartbeat, defaults.mHeartbeat);
  EXPECT_EQ(fleet.assume_value().mHostListPeriod, defaults.mHostListPeriod);
}

INSTANTIATE_TEST_SUITE_P(Deployments,
                         examples_test,
                         testing::Values("ramcharan", "nile"));

} // namespace
} // namespace mangospan::ctl
