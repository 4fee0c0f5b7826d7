#include "mangospan/config/diff.h"

#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "mangospan/config/document.h"
#include "mangospan/config/random_document_for_test.h"

namespace mangospan::config {
namespace {

document
Base()
{
  document base;
  pool survey;
  survey.mName = pool_name("survey");
  survey.mService = service_name("check");
  survey.mMaxUnavailable.mCount = 1;
  base.mPools = { survey };
  work_class first;
  first.mName = class_name("a");
  first.mMatch.mService = service_name("check");
  first.mTarget = { 0.99, std::chrono::seconds(2) };
  work_class second = first;
  second.mName = class_name("b");
  base.mClasses = { first, second };
  return base;
}

std::vector<std::string>
Lines(const document& aOld, const document& aNew)
{
  std::vector<std::string> lines;
  for (const change& each : Diff(aOld, aNew)) {
    lines.push_back(ToLine(each));
  }
  return lines;
}

using lines = std::vector<std::string>;

TEST(ConfigDiff, ChangedKeysShowOldAndNew)
{
  document changed = Base();
  changed.mPools[0].mMaxUnavailable = { {}, 0.25 };
  changed.mPools[0].mSpare = true;
  changed.mMaintenance.mPeriod = std::chrono::hours(7 * 24);
  changed.mPrefer = preference::kFastRollOut;
  EXPECT_EQ(Lines(Base(), changed),
            (lines{ "~ pools survey max_unavailable: 1 -> \"25%\"",
                    "~ pools survey spare: (default) -> true",
                    "~ maintenance period: (default) -> \"7d\"",
                    "~ prefer: \"low-buffer\" -> \"fast-roll-out\"" }));
}

TEST(ConfigDiff, AddedAndRemovedItemsAreWhole)
{
  document changed = Base();
  changed.mTeams.push_back({ team_name("quarry"), 5, 0 });
  changed.mClasses.pop_back();
  const lines shown = Lines(Base(), changed);
  ASSERT_EQ(shown.size(), 2U);
  EXPECT_EQ(shown[0].rfind("- classes b: {", 0), 0U) << shown[0];
  EXPECT_EQ(
    shown[1],
    "+ teams quarry: {\"name\":\"quarry\",\"requests_per_second\":5.0}");
}

TEST(ConfigDiff, OrderOfClassesCounts)
{
  document changed = Base();
  std::swap(changed.mClasses[0], changed.mClasses[1]);
  EXPECT_EQ(Lines(Base(), changed),
            lines{ "~ classes order: [\"a\",\"b\"] -> [\"b\",\"a\"]" });
}

TEST(ConfigDiff, IsEmptyExactlyForEqualDocuments)
{
  constexpr std::uint64_t kSeeds = 300;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937_64 random(seed);
    const document before = DrawDocument(random);
    const document after = DrawChanged(before, random);
    EXPECT_TRUE(Diff(before, before).empty());
    EXPECT_EQ(Diff(before, after).empty(), before == after);
  }
}

} // namespace
} // namespace mangospan::config
