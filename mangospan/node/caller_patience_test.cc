#include "mangospan/node/caller_patience.h"

#include <gtest/gtest.h>

namespace mangospan::node {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const jobs::queue_name kQueue{ "queue" };
const jobs::queue_name kOther{ "other" };
const time_point kStart{ std::chrono::hours(1) };

TEST(caller_patience_test, RetryHasElapsedWhatItNoLongerWaits)
{
  caller_patience patience;
  EXPECT_EQ(patience.ElapsedSinceFirstTry(kQueue, milliseconds(3'000), kStart),
            milliseconds(0));
  EXPECT_EQ(patience.ElapsedSinceFirstTry(kQueue, milliseconds(1'200), kStart),
            milliseconds(1'800));
  EXPECT_EQ(patience.ElapsedSinceFirstTry(kOther, milliseconds(1'200), kStart),
            milliseconds(0));
}

// Callers that wait less from now on are not taken for returning ones forever.
TEST(caller_patience_test, LongestTimeIsForgotten)
{
  caller_patience patience;
  patience.ElapsedSinceFirstTry(kQueue, milliseconds(5'000), kStart);
  milliseconds elapsed{ 0 };
  for (time_point now = kStart; now < kStart + seconds(70); now += seconds(1)) {
    elapsed = patience.ElapsedSinceFirstTry(kQueue, milliseconds(3'000), now);
  }
  EXPECT_EQ(elapsed, milliseconds(0));
}

} // namespace
} // namespace mangospan::node
