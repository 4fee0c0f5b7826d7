#include "mangospan/base/error.h"

#include <gtest/gtest.h>

namespace mangospan {
namespace {

TEST(Error, DescriptionCarriesStepPeerCodeAndMessage)
{
  const error failure{
    error_code::kConflict, "store.cas", "127.0.0.1:80", "revision is 7"
  };
  EXPECT_EQ(Describe(failure),
            "store.cas to 127.0.0.1:80: conflict: revision is 7");
}

TEST(Error, DescriptionOmitsWhatIsEmpty)
{
  EXPECT_EQ(Describe({ error_code::kTimeout, "dispatch", "", "" }),
            "dispatch: timeout");
}

TEST(Error, ResultHoldsValueOrError)
{
  const result<int> good = 3;
  const result<int> bad = error{ error_code::kNotFound, "read", "k", "" };
  EXPECT_EQ(good.assume_value(), 3);
  EXPECT_EQ(bad.assume_error().mCode, error_code::kNotFound);
}

} // namespace
} // namespace mangospan
