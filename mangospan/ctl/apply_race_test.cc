// Seeded: operators race each other while answers are lost and requests come
// late. What an apply reports has to be true of the store's whole history.
#include <cstddef>
#include <cstdint>
#include <random>
#include <string>

#include <gtest/gtest.h>

#include "mangospan/ctl/exit_code.h"
#include "mangospan/ctl/fake_store_for_test.h"
#include "mangospan/fleet/records.h"

namespace mangospan::ctl {
namespace {

constexpr std::uint64_t kSeeds = 2'000;
constexpr int kAppliesEach = 4;

std::size_t
TimesWritten(const fake_platform& aPlatform, const std::string& aChangeId)
{
  std::size_t times = 0;
  for (const std::string& value : aPlatform.mHistory) {
    times += value.find('"' + aChangeId + '"') != std::string::npos ? 1 : 0;
  }
  return times;
}

// Faults and another operator's changes, around each swap.
void
Disturb(fake_platform& aPlatform, std::mt19937_64& aRandom)
{
  const auto draw = [&aRandom](std::size_t aBelow) {
    return std::uniform_int_distribution<std::size_t>(0, aBelow - 1)(aRandom);
  };
  const auto maybeChange = [&aPlatform, draw] {
    if (draw(4) == 0) {
      const std::string number = std::to_string(draw(1'000));
      aPlatform.Put(fleet::kConfigKey, ConfigRecord(number, "bob", "bob"));
    }
  };
  aPlatform.mBeforeRead = maybeChange;
  aPlatform.mDrawFault = [maybeChange, draw] {
    maybeChange();
    constexpr swap_fault kFaults[] = { swap_fault::kNone,
                                       swap_fault::kLostAnswer,
                                       swap_fault::kLostRequest,
                                       swap_fault::kLateRequest };
    return kFaults[draw(4)];
  };
}

TEST(CtlApplyRace, ReportsAreTrueOfTheStoresHistory)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937_64 random(seed);
    tool_runner tool;
    Disturb(tool.mPlatform, random);
    for (int i = 1; i <= kAppliesEach; ++i) {
      const std::string file = WriteConfigFile(std::to_string(2'000 + i));
      const exit_code code = tool.Run({ "apply", file });
      tool.mPlatform.CarryOutLate();
      const std::size_t written =
        TimesWritten(tool.mPlatform, "id-" + std::to_string(i));
      const bool unsure = tool.Err().find("may have been") != std::string::npos;
      ASSERT_LE(written, 1U);
      ASSERT_TRUE(code == exit_code::kOk || code == exit_code::kConflict)
        << tool.Err();
      if (code == exit_code::kOk) {
        ASSERT_EQ(written, 1U) << tool.Out();
      } else if (!unsure) {
        ASSERT_EQ(written, 0U) << tool.Err();
      }
    }
  }
}

} // namespace
} // namespace mangospan::ctl
