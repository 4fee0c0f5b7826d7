#include "mangospan/config/patch.h"

#include <cstdint>
#include <random>
#include <string>

#include <gtest/gtest.h>

#include "mangospan/base/error.h"
#include "mangospan/config/document.h"
#include "mangospan/config/parser.h"
#include "mangospan/config/random_document_for_test.h"

namespace mangospan::config {
namespace {

TEST(ConfigPatch, LeadsFromOneTextToTheOther)
{
  constexpr std::uint64_t kSeeds = 300;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937_64 random(seed);
    const document before = DrawDocument(random);
    const document after = DrawChanged(before, random);
    const auto patch = MakePatch(ToText(before), ToText(after));
    ASSERT_TRUE(patch.has_value());
    const auto patched = ApplyPatch(ToText(before), patch.assume_value());
    ASSERT_TRUE(patched.has_value());
    EXPECT_EQ(patched.assume_value(), ToText(after));
  }
}

TEST(ConfigPatch, AnUpdateAppliesToItsOwnBaseOnly)
{
  std::mt19937_64 random(1);
  const document before = DrawDocument(random);
  const document after = DrawChanged(before, random);
  const revisioned_document held{ 4, ToText(before), before };
  const auto patch = MakePatch(held.mText, ToText(after));
  ASSERT_TRUE(patch.has_value());
  const std::string& text = patch.assume_value();
  EXPECT_EQ(ApplyUpdate(held, 4, text).assume_value(), ToText(after));
  EXPECT_EQ(ApplyUpdate(held, 3, text).assume_error().mCode,
            error_code::kConflict);
  EXPECT_EQ(ApplyUpdate(held, 0, ToText(after)).assume_value(), ToText(after));
}

TEST(ConfigPatch, OneChangeOfManyTeamsIsSmall)
{
  constexpr int kTeams = 540;
  constexpr std::size_t kMaxPatchBytes = 100;
  std::mt19937_64 random(1);
  document before = DrawDocument(random);
  for (int i = 0; i < kTeams; ++i) {
    before.mTeams.push_back({ team_name("t-" + std::to_string(i)), 5, 8 });
  }
  document after = before;
  after.mTeams[kTeams / 2].mProcessors = 16;
  const auto patch = MakePatch(ToText(before), ToText(after));
  EXPECT_LT(patch.assume_value().size(), kMaxPatchBytes);
}

TEST(ConfigPatch, WhatDoesNotFitIsRefused)
{
  for (const char* patch : { "",
                             "{}",
                             "[1]",
                             "[{\"op\":\"remove\",\"path\":\"/b\"}]",
                             "[{\"op\":\"add\",\"path\":\"/a/9\",\"value\":1}]",
                             "[{\"op\":\"jump\",\"path\":\"/a\"}]" }) {
    const auto patched = ApplyPatch("{\"a\":[]}", patch);
    ASSERT_TRUE(patched.has_error()) << patch;
    EXPECT_EQ(patched.assume_error().mCode, error_code::kInvalidArgument);
  }
  EXPECT_TRUE(ApplyPatch("no JSON", "[]").has_error());
  EXPECT_TRUE(MakePatch("{}", "no JSON").has_error());
}

TEST(ConfigPatch, OutcomeOverTheLimitIsRefused)
{
  const std::string large(kMaxDocumentBytes, 'x');
  const auto patched = ApplyPatch(
    "{}", "[{\"op\":\"add\",\"path\":\"/a\",\"value\":\"" + large + "\"}]");
  ASSERT_TRUE(patched.has_error());
  EXPECT_EQ(patched.assume_error().mCode, error_code::kTooLarge);
}

} // namespace
} // namespace mangospan::config
