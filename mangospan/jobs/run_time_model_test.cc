#include "mangospan/jobs/run_time_model.h"

#include <random>

#include <gtest/gtest.h>

namespace mangospan::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kStart{ std::chrono::hours(1) };
// The width of a bucket of the histogram.
constexpr double kTolerance = 0.19;

job_spec
Job(const std::string& aQueue, milliseconds aEstimate)
{
  job_spec out;
  out.mQueue = queue_name{ aQueue };
  out.mSteps.resize(1);
  out.mSteps[0].mEstimate = aEstimate;
  return out;
}

void
LearnRuns(run_time_model& aModel,
          const job_spec& aSpec,
          int aCount,
          milliseconds aRunTime)
{
  for (int i = 0; i < aCount; ++i) {
    aModel.Learn(aSpec, 0, aRunTime, kStart);
  }
}

void
ExpectNear(milliseconds aActual, milliseconds aExpected)
{
  EXPECT_NEAR(static_cast<double>(aActual.count()),
              static_cast<double>(aExpected.count()),
              kTolerance * static_cast<double>(aExpected.count()));
}

// Guards against a bias of a class without evidence, whose only source is the
// caller.
TEST(run_time_model_test, ExpectsTheEstimateWithoutEvidence)
{
  const run_time_model model;
  const job_spec spec = Job("q", seconds(2));
  EXPECT_EQ(model.Median(spec, 0), seconds(2));
  EXPECT_EQ(model.Mean(spec, 0), seconds(2));
  EXPECT_EQ(model.Quantile(spec, 0, 0.95), seconds(2));
  EXPECT_EQ(model.Remaining(spec, 0, milliseconds(500)), milliseconds(1'500));
}

// Guards against a prior that outweighs some tens of runs, in either direction,
// and against expectations that hold only for jobs of the sizes seen.
TEST(run_time_model_test, CorrectsAnEstimateThatMisleadsByThree)
{
  run_time_model model;
  LearnRuns(model, Job("long", seconds(1)), 30, seconds(3));
  LearnRuns(model, Job("short", seconds(3)), 30, seconds(1));
  ExpectNear(model.Median(Job("long", seconds(5)), 0), seconds(15));
  ExpectNear(model.Mean(Job("long", seconds(5)), 0), seconds(15));
  ExpectNear(model.Median(Job("short", seconds(9)), 0), seconds(3));
  ExpectNear(model.Quantile(Job("short", seconds(9)), 0, 0.95), seconds(3));
}

// Guards against one unusual run that changes the order of a whole queue.
TEST(run_time_model_test, OneRunDoesNotChangeTheMedianMarkedly)
{
  run_time_model model;
  const job_spec spec = Job("q", seconds(1));
  EXPECT_FALSE(model.Learn(spec, 0, seconds(7), kStart).has_value());
  EXPECT_LT(model.Median(spec, 0), milliseconds(1'500));
}

// Guards against a memory so long that a class is misjudged for hundreds of
// runs after its times have changed, and against changes that are not reported.
TEST(run_time_model_test, FollowsAJumpWithinFortyRuns)
{
  run_time_model model;
  const job_spec spec = Job("q", seconds(1));
  LearnRuns(model, spec, 500, seconds(1));
  std::optional<run_time_change> change;
  for (int i = 0; i < 40; ++i) {
    const auto found = model.Learn(spec, 0, seconds(4), kStart);
    change = found ? found : change;
  }
  ExpectNear(model.Median(spec, 0), seconds(4));
  ASSERT_TRUE(change.has_value());
  EXPECT_NEAR(change->mTo, 4, 4 * kTolerance);
}

// Guards against a tail that distorts the expectation of an ordinary run, and
// against one that is forgotten, so that an old run is taken to end soon.
TEST(run_time_model_test, HeavyTailShowsInTheQuantilesAndInOldRuns)
{
  std::mt19937_64 random(1);
  std::bernoulli_distribution isLong(0.03);
  run_time_model model;
  const job_spec spec = Job("q", seconds(1));
  for (int i = 0; i < 1'000; ++i) {
    model.Learn(spec, 0, isLong(random) ? seconds(7) : seconds(1), kStart);
    ASSERT_LT(model.Median(spec, 0), milliseconds(1'200)) << "run " << i;
  }
  ExpectNear(model.Median(spec, 0), seconds(1));
  ExpectNear(model.Quantile(spec, 0, 0.95), seconds(1));
  ExpectNear(model.Quantile(spec, 0, 0.99), seconds(7));
  ExpectNear(model.Remaining(spec, 0, seconds(3)), seconds(4));
  EXPECT_EQ(model.Remaining(spec, 0, seconds(100)), seconds(100));
}

// Guards against memory that grows with the number of queues, and against the
// loss of a queue that is in use.
TEST(run_time_model_test, MemoryIsBoundedWithManyQueues)
{
  run_time_model model;
  const job_spec used = Job("used", seconds(1));
  for (int i = 0; i < 3'000; ++i) {
    const time_point now = kStart + seconds(i);
    model.Learn(used, 0, seconds(3), now);
    model.Learn(Job("q" + std::to_string(i), seconds(1)), 0, seconds(3), now);
  }
  EXPECT_EQ(model.CountClasses(), run_time_model::kMaxClasses);
  ExpectNear(model.Median(used, 0), seconds(3));
  EXPECT_LE(model.Summary().size(), std::size_t{ 24 });
}

// Guards against a successor that starts from the estimates, or that no longer
// follows changes.
TEST(run_time_model_test, SuccessorContinuesFromTheSummary)
{
  run_time_model before;
  const job_spec spec = Job("q", seconds(1));
  LearnRuns(before, spec, 97, seconds(3));
  LearnRuns(before, spec, 3, seconds(21));
  run_time_model after;
  ASSERT_TRUE(after.Restore(before.Summary(), kStart));
  ExpectNear(after.Median(spec, 0), before.Median(spec, 0));
  ExpectNear(after.Quantile(spec, 0, 0.99), before.Quantile(spec, 0, 0.99));
  LearnRuns(after, spec, 40, milliseconds(500));
  ExpectNear(after.Median(spec, 0), milliseconds(500));
}

// Guards against values in a stored record that would be used as an index or
// lead to a division by 0.
TEST(run_time_model_test, InvalidSummariesAreLeftOut)
{
  run_time_model model;
  const queue_name queue{ "q" };
  EXPECT_FALSE(model.Restore({ { queue, 0, 5, { { 1'000, 5 } } },
                               { queue, 0, 5, {} },
                               { queue, 0, 5, { { 3, 0 } } },
                               { queue, 0, 0, { { 3, 1'000 } } },
                               { queue, 9'999, 5, { { 3, 1'000 } } } },
                             kStart));
  EXPECT_EQ(model.CountClasses(), 0U);
}

} // namespace
} // namespace mangospan::jobs
