// Seeded: garbage and mutated texts never crash the parser and never become a
// contradictory document. MANGOSPAN_SEED sets another first seed.
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <random>
#include <string>

#include <gtest/gtest.h>

#include "mangospan/config/check.h"
#include "mangospan/config/document.h"
#include "mangospan/config/parser.h"
#include "mangospan/config/random_document_for_test.h"

namespace mangospan::config {
namespace {

constexpr int kDocuments = 200;
constexpr int kMutationsEach = 50;

std::uint64_t
Seed()
{
  const char* chosen = std::getenv("MANGOSPAN_SEED");
  return chosen != nullptr ? std::strtoull(chosen, nullptr, 10) : 20261;
}

std::size_t
Draw(std::mt19937_64& aRandom, std::size_t aBelow)
{
  return std::uniform_int_distribution<std::size_t>(0, aBelow - 1)(aRandom);
}

// Overwrites, removes, repeats or moves a few bytes.
std::string
Mutate(std::string aText, std::mt19937_64& aRandom)
{
  constexpr const char kBytes[] = "\"{}[],:0123456789%-abcdehmnstw \n\\/\xC3\0";
  for (std::size_t i = Draw(aRandom, 4) + 1; i > 0 && !aText.empty(); --i) {
    const std::size_t at = Draw(aRandom, aText.size());
    const std::size_t length =
      std::min<std::size_t>(Draw(aRandom, 30) + 1, aText.size() - at);
    switch (Draw(aRandom, 4)) {
      case 0:
        aText[at] = kBytes[Draw(aRandom, sizeof(kBytes) - 1)];
        break;
      case 1:
        aText.erase(at, length);
        break;
      case 2:
        aText.insert(at, aText.substr(at, length));
        break;
      default:
        aText.insert(Draw(aRandom, aText.size()), aText.substr(at, length));
    }
  }
  return aText;
}

void
ExpectSoundIfAccepted(const std::string& aText)
{
  const auto parsed = Parse(aText, "random");
  if (parsed.has_error()) {
    EXPECT_FALSE(parsed.assume_error().mMessage.empty());
    EXPECT_EQ(parsed.assume_error().mMessage.find('\n'), std::string::npos);
    return;
  }
  const document& accepted = parsed.assume_value();
  EXPECT_TRUE(Check(accepted, "random").has_value()) << aText;
  const auto again = Parse(ToText(accepted), "random");
  ASSERT_TRUE(again.has_value()) << aText;
  EXPECT_TRUE(again.assume_value() == accepted) << aText;
}

TEST(ConfigParserRandom, DocumentsReadBackAsWritten)
{
  for (std::uint64_t seed = Seed(); seed < Seed() + kDocuments; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937_64 random(seed);
    const document drawn = DrawDocument(random);
    const auto parsed = Parse(ToText(drawn), "random");
    ASSERT_TRUE(parsed.has_value()) << Describe(parsed.assume_error());
    ASSERT_TRUE(parsed.assume_value() == drawn) << ToText(drawn);
  }
}

TEST(ConfigParserRandom, MutatedTextsAreRefusedOrSound)
{
  for (std::uint64_t seed = Seed(); seed < Seed() + kDocuments; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937_64 random(seed);
    const std::string text = ToText(DrawDocument(random));
    for (int i = 0; i < kMutationsEach; ++i) {
      ExpectSoundIfAccepted(Mutate(text, random));
    }
  }
}

TEST(ConfigParserRandom, GarbageIsRefused)
{
  for (std::uint64_t seed = Seed(); seed < Seed() + kDocuments; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937_64 random(seed);
    std::string garbage(Draw(random, 300), '\0');
    std::generate(garbage.begin(), garbage.end(), [&random] {
      return static_cast<char>(Draw(random, 256));
    });
    EXPECT_TRUE(Parse(garbage, "random").has_error());
  }
}

} // namespace
} // namespace mangospan::config
