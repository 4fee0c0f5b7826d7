#include "mangospan/config/document.h"

#include <cstddef>

#include <gtest/gtest.h>

namespace mangospan::config {
namespace {

TEST(AvailabilityBudget, CountIsBoundedByThePool)
{
  const availability_budget budget{ 3, {} };
  EXPECT_EQ(budget.Allowed(10), 3U);
  EXPECT_EQ(budget.Allowed(2), 2U);
  EXPECT_EQ(budget.Allowed(0), 0U);
}

TEST(AvailabilityBudget, ShareIsRoundedDown)
{
  EXPECT_EQ((availability_budget{ {}, 0.25 }.Allowed(11)), 2U);
  EXPECT_EQ((availability_budget{ {}, 0.05 }.Allowed(10)), 0U);
  EXPECT_EQ((availability_budget{ {}, 1.0 }.Allowed(7)), 7U);
}

TEST(AvailabilityBudget, WholeSharesAreNotLostToRounding)
{
  for (std::size_t percent = 0; percent <= 100; ++percent) {
    const availability_budget budget{ {}, static_cast<double>(percent) / 100 };
    EXPECT_EQ(budget.Allowed(100), percent);
  }
}

} // namespace
} // namespace mangospan::config
