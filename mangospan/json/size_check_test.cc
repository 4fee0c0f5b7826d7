#include "mangospan/json/size_check.h"

#include <string>

#include <gtest/gtest.h>

namespace mangospan::json {
namespace {

constexpr size_limits kLimits{ 6, 3 };

// Guards against bodies whose decoded form takes many times their size.
TEST(size_check_test, ElementsAndDepthAreLimited)
{
  EXPECT_TRUE(IsWithin(R"({"a":[1,2,3,4]})", kLimits));
  EXPECT_FALSE(IsWithin(R"({"a":[1,2,3,4,5]})", kLimits));
  EXPECT_TRUE(IsWithin("[[[1]]]", kLimits));
  EXPECT_FALSE(IsWithin("[[[[1]]]]", kLimits));
  EXPECT_FALSE(IsWithin(std::string(100'000, '['), kLimits));
  EXPECT_FALSE(IsWithin("[1,2,3,4,5,6,7", kLimits));
}

TEST(size_check_test, BracketsAndCommasInTextsAreNotElements)
{
  EXPECT_TRUE(IsWithin(R"(["[[[[[,,,,,,{{{{"])", kLimits));
  EXPECT_TRUE(IsWithin(R"(["\"[[[[[,,,,,,{{{{"])", kLimits));
  EXPECT_FALSE(IsWithin(R"(["\\",[[[["]"]]]])", kLimits));
}

// The decoder reports these.
TEST(size_check_test, MalformedTextIsWithinUntilItsFirstError)
{
  for (const std::string each : { "", "[,,,,,,,,,", "\xff\xfe", "[1e999]" }) {
    EXPECT_TRUE(IsWithin(each, kLimits)) << each;
  }
}

} // namespace
} // namespace mangospan::json
