#include "mangospan/base/identity.h"

#include <set>

#include <gtest/gtest.h>

namespace mangospan {
namespace {

TEST(Identity, BootIdsDifferAndAreExactInJson)
{
  constexpr int kDraws = 1000;
  std::set<boot_id> seen;
  for (int i = 0; i < kDraws; ++i) {
    const boot_id boot = DrawBootId();
    EXPECT_NE(boot.mValue, 0U);
    EXPECT_LT(boot.mValue, 1ULL << 53U);
    EXPECT_TRUE(seen.insert(boot).second);
  }
}

TEST(Identity, NamesCompareByValue)
{
  EXPECT_EQ(host_name("a"), host_name("a"));
  EXPECT_NE(host_name("a"), host_name("b"));
  EXPECT_LT(host_name("a"), host_name("b"));
}

} // namespace
} // namespace mangospan
