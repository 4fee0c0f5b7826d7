// Seeded mutations of texts for fuzz tests.
//
//   mutator mutate(seed);
//   std::string text = mutate(R"({"steps":[]})");
#ifndef TESTING_MUTATION_H
#define TESTING_MUTATION_H

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <iterator>
#include <random>
#include <string>

namespace mangospan::testing {

// The number of seeds of a fuzz test: `aDefault`, or what the environment
// variable MANGOSPAN_FUZZ_SEEDS says, for longer runs by hand.
inline std::uint64_t
FuzzSeeds(std::uint64_t aDefault)
{
  const char* const text = std::getenv("MANGOSPAN_FUZZ_SEEDS");
  return text == nullptr ? aDefault : std::strtoull(text, nullptr, 10);
}

class mutator
{
public:
  explicit mutator(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
  }

  // Returns the text after one to four changes.
  std::string operator()(std::string aText)
  {
    for (std::size_t i = Draw(4) + 1; i > 0; --i) {
      ChangeOnce(aText);
    }
    return aText;
  }

private:
  // Returns a number below `aEnd`, or 0.
  std::size_t Draw(std::size_t aEnd)
  {
    return aEnd == 0 ? 0 : static_cast<std::size_t>(mRandom() % aEnd);
  }

  void ChangeOnce(std::string& aText)
  {
    static const char* const kPieces[] = { "\xff\xc0",
                                           "\xed\xa0\x80",
                                           "18446744073709551616",
                                           "1e999",
                                           "-1",
                                           "-9223372036854775809",
                                           "[[[[[[[[",
                                           "{\"a\":",
                                           "\r\n",
                                           "\r\n\r\n",
                                           ":",
                                           ",",
                                           "null",
                                           "\"",
                                           "0\r\n\r\n",
                                           "\\u0000" };
    const std::size_t at = Draw(aText.size() + 1);
    const std::size_t size = Draw(aText.size() - at + 1);
    switch (Draw(6)) {
      case 0:
        aText.resize(at);
        break;
      case 1:
        aText.insert(at, aText.substr(at, size));
        break;
      case 2:
        aText.erase(at, std::min<std::size_t>(size, 4));
        break;
      case 3:
        aText.insert(at, 1, static_cast<char>(Draw(256)));
        break;
      case 4:
        aText.insert(at, Draw(8) == 0 ? 30'000 : 20, "x1[ "[Draw(4)]);
        break;
      default:
        aText.insert(at, kPieces[Draw(std::size(kPieces))]);
        break;
    }
  }

  std::mt19937_64 mRandom;
};

} // namespace mangospan::testing

#endif // TESTING_MUTATION_H
