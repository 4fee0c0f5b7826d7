// Jobs that were accepted before the operators removed their queue.
#include <chrono>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "mangospan/jobs/codec.h"
#include "mangospan/jobs/testing/fake_world.h"

namespace mangospan::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::fake_world;
using testing::fault_rates;
using testing::TestCatalog;

const std::string kJob = "a1";
const std::string kFirstTask = "a1.0.0.0";

catalog
CatalogWithoutQueues()
{
  catalog out = TestCatalog();
  ++out.mVersion;
  out.mQueues.clear();
  return out;
}

job_spec
TwoSteps()
{
  step_spec first;
  first.mTaskResources = { 500, 512, 0 };
  first.mEstimate = milliseconds(600);
  step_spec second = first;
  second.mAfter = { 0 };
  job_spec out;
  out.mQueue = queue_name{ "q" };
  out.mSteps = { first, second };
  return out;
}

// Two runners and one job, which is accepted and has just begun.
class removed_queue_test : public ::testing::Test
{
protected:
  explicit removed_queue_test(fault_rates aRates = {})
    : mWorld(1, aRates)
  {
    for (const char* const each : { "r0", "r1" }) {
      mWorld.AddRunner(each, "s", { 4'000, 16'384, 0 });
    }
    mWorld.RunFor(milliseconds(200));
    mWorld.Submit(kJob, TwoSteps());
    mWorld.RunFor(milliseconds(200));
  }

  fake_world mWorld;
};

class removed_queue_of_failing_tasks_test : public removed_queue_test
{
protected:
  removed_queue_of_failing_tasks_test()
    : removed_queue_test({ 0, 0, 1 })
  {
  }
};

TEST_F(removed_queue_test, JobGoesOn)
{
  mWorld.SetCatalog(CatalogWithoutQueues());
  mWorld.RunFor(seconds(5));
  EXPECT_EQ(mWorld.StateOf(kJob), job_state::kCompleted);
  EXPECT_EQ(mWorld.Violations(), std::vector<std::string>());
}

TEST_F(removed_queue_test, JobGoesOnWithTheNextOwner)
{
  mWorld.SetCatalog(CatalogWithoutQueues());
  mWorld.KillOwner(milliseconds(100));
  mWorld.RunFor(seconds(8));
  EXPECT_EQ(mWorld.StateOf(kJob), job_state::kCompleted);
  EXPECT_EQ(mWorld.Violations(), std::vector<std::string>());
}

TEST_F(removed_queue_test, JobGoesOnAfterAHandOver)
{
  mWorld.SetCatalog(CatalogWithoutQueues());
  mWorld.HandOver(milliseconds(100));
  mWorld.RunFor(seconds(8));
  EXPECT_EQ(mWorld.StateOf(kJob), job_state::kCompleted);
  EXPECT_EQ(mWorld.Violations(), std::vector<std::string>());
}

// The runners of a service that no queue names any more are idle meanwhile.
TEST_F(removed_queue_test,
       OccurrenceThatIsDueLongAfterTheServiceWasRemovedBegins)
{
  job_spec spec = TwoSteps();
  spec.mRepetitions = 1;
  spec.mFirstDue = mWorld.Wall() + seconds(40);
  mWorld.Submit("a2", spec);
  mWorld.RunFor(seconds(1));
  catalog without = CatalogWithoutQueues();
  without.mServices.clear();
  mWorld.SetCatalog(without);
  mWorld.RunFor(seconds(45));
  EXPECT_EQ(mWorld.StateOf("a2"), job_state::kCompleted);
}

// The successor has to reach the runners of a service that the catalog does not
// have any more.
TEST_F(removed_queue_test, JobGoesOnWithTheNextOwnerWithoutItsService)
{
  catalog without = CatalogWithoutQueues();
  without.mServices.clear();
  mWorld.SetCatalog(without);
  mWorld.KillOwner(milliseconds(100));
  mWorld.RunFor(seconds(8));
  EXPECT_EQ(mWorld.StateOf(kJob), job_state::kCompleted);
  EXPECT_EQ(mWorld.Violations(), std::vector<std::string>());
}

TEST_F(removed_queue_test, RunnersOfARemovedServiceWithoutJobsAreNotPolled)
{
  mWorld.RunFor(seconds(8));
  ASSERT_EQ(mWorld.StateOf(kJob), job_state::kCompleted);
  catalog without = CatalogWithoutQueues();
  without.mServices.clear();
  mWorld.SetCatalog(without);
  mWorld.AddRunner("r2", "s", { 4'000, 16'384, 0 });
  mWorld.RunFor(seconds(5));
  EXPECT_FALSE(mWorld.Owner()->Runners().at(runner_name{ "r2" }).mContacted);
}

TEST_F(removed_queue_test, TakesNoNewJob)
{
  mWorld.SetCatalog(CatalogWithoutQueues());
  const submit_answer answer = mWorld.Owner()->Submit(
    job_name{ "a2" }, TwoSteps(), mWorld.Now(), mWorld.Wall());
  EXPECT_EQ(answer.mOutcome, submit_outcome::kRefused);
}

// The attempts that the queue allowed stay those of its jobs.
TEST_F(removed_queue_of_failing_tasks_test, AttemptsAreCountedAsBefore)
{
  mWorld.SetCatalog(CatalogWithoutQueues());
  mWorld.KillOwner(milliseconds(100));
  mWorld.RunFor(seconds(20));
  EXPECT_EQ(mWorld.StateOf(kJob), job_state::kFailed);
  EXPECT_EQ(mWorld.StartsOf(kFirstTask), 4U);
  EXPECT_EQ(mWorld.Violations(), std::vector<std::string>());
}

// A queue that returns has the say again, with whatever policy.
TEST_F(removed_queue_of_failing_tasks_test, PolicyOfTheReturnedQueueHolds)
{
  constexpr std::size_t kAttempts = 2;
  mWorld.SetCatalog(CatalogWithoutQueues());
  mWorld.RunFor(milliseconds(100));
  catalog returned = TestCatalog();
  returned.mQueues.at(queue_name{ "q" }).mMaxAttempts = kAttempts;
  mWorld.SetCatalog(returned);
  mWorld.RunFor(seconds(20));
  EXPECT_EQ(mWorld.StateOf(kJob), job_state::kFailed);
  EXPECT_EQ(mWorld.StartsOf(kFirstTask), kAttempts);
}

TEST(removed_queue_record_test, HoldsThePolicy)
{
  job accepted = MakeJob(job_name{ kJob }, TwoSteps());
  accepted.mPolicy = TestCatalog().mQueues.at(queue_name{ "q" });
  accepted.mPolicy.mPriority = 2;
  const auto read =
    DecodeRecord(accepted.mName, EncodeRecord(accepted)).value();
  EXPECT_EQ(read.mPolicy.mName, accepted.mPolicy.mName);
  EXPECT_EQ(read.mPolicy.mService, accepted.mPolicy.mService);
  EXPECT_EQ(read.mPolicy.mPriority, accepted.mPolicy.mPriority);
  EXPECT_EQ(read.mPolicy.mMaxAttempts, accepted.mPolicy.mMaxAttempts);
  EXPECT_EQ(read.mPolicy.mObjectiveFactor, accepted.mPolicy.mObjectiveFactor);
  EXPECT_EQ(read.mPolicy.mTargetLatency, accepted.mPolicy.mTargetLatency);
}

// A job of an earlier version must not fail for attempts that it was allowed.
TEST(removed_queue_record_test, OfAnEarlierVersionAllowsEachAttempt)
{
  const job accepted = MakeJob(job_name{ kJob }, TwoSteps());
  std::string text = EncodeRecord(accepted);
  const std::size_t begin = text.find("\"policy\":");
  ASSERT_NE(begin, std::string::npos);
  text.erase(begin, text.find("},", begin) + 2 - begin);
  const auto read = DecodeRecord(accepted.mName, text);
  ASSERT_TRUE(read.has_value()) << read.error().mMessage;
  EXPECT_GT(read.value().mPolicy.mMaxAttempts, 1'000'000U);
}

} // namespace
} // namespace mangospan::jobs
