// Run times that the scheduler learns: which ends teach, and what it uses them
// for.
#include <algorithm>

#include <gtest/gtest.h>

#include "mangospan/jobs/codec.h"
#include "mangospan/jobs/testing/fake_world.h"

namespace mangospan::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::fake_world;
using testing::fault_rates;

constexpr resources kCapacity{ 4'000, 16'384, 0 };
constexpr std::int64_t kWholeRunner = 4'000; // CPU of a task that fills it

const customer_name kCustomer{ "c" };

job_spec
Job(const std::string& aQueue, std::int64_t aCpu, milliseconds aEstimate)
{
  step_spec step;
  step.mTaskResources = { aCpu, 128, 0 };
  step.mEstimate = aEstimate;
  job_spec out;
  out.mQueue = queue_name{ aQueue };
  out.mSteps = { step };
  return out;
}

// Adds the queues "slow" and "fast" to the world's catalog, whose jobs are on
// time for two seconds more than they are estimated to take, and a customer
// that is owed no more than the slack.
void
AddQueues(fake_world& aWorld)
{
  catalog config = testing::TestCatalog();
  for (const char* const each : { "slow", "fast" }) {
    queue_policy queue = config.mQueues.at(queue_name{ "q" });
    queue.mName = queue_name{ each };
    queue.mObjectiveFactor = 1;
    queue.mTargetLatency = seconds(2);
    config.mQueues[queue.mName] = queue;
  }
  config.mCustomers[kCustomer].mName = kCustomer;
  aWorld.SetCatalog(config);
}

// Starts a world with one runner, whose owner learns or does not.
void
Begin(fake_world& aWorld, bool aLearns)
{
  aWorld.SetLearnsRunTimes(aLearns);
  aWorld.RestartOwner(milliseconds(100));
  aWorld.AddRunner("r0", "s", kCapacity, "rack-a");
  AddQueues(aWorld);
  aWorld.RunFor(seconds(1));
}

std::size_t
CountLearnedRuns(fake_world& aWorld)
{
  std::size_t count = 0;
  for (const run_time_summary& each : aWorld.Owner()->LearnedRunTimes()) {
    count += each.mRuns;
  }
  return count;
}

// Submits 30 jobs of the queue "slow", which take four times their estimate.
void
RunSlowJobs(fake_world& aWorld)
{
  aWorld.SetRunTimeFactor("slow", 4);
  aWorld.SetRunTimeFactor("fast", 1);
  for (int i = 0; i < 30; ++i) {
    aWorld.Submit("a" + std::to_string(i),
                  Job("slow", 100, milliseconds(1'000)));
  }
  aWorld.RunFor(seconds(6));
}

// Submits a job of each queue while the runner is full. Returns whether the one
// of the slow queue starts first, as its earlier submission asks for.
bool
StartsSlowJobFirst(fake_world& aWorld)
{
  aWorld.Submit("full", Job("fast", kWholeRunner, milliseconds(500)));
  aWorld.RunFor(milliseconds(200));
  aWorld.Submit("s1", Job("slow", kWholeRunner, milliseconds(1'000)));
  aWorld.RunFor(milliseconds(50));
  aWorld.Submit("f1", Job("fast", kWholeRunner, milliseconds(1'000)));
  aWorld.RunFor(milliseconds(900));
  EXPECT_EQ(aWorld.StartsOf("s1.0.0.0") + aWorld.StartsOf("f1.0.0.0"), 1U);
  return aWorld.StartsOf("s1.0.0.0") == 1;
}

// Guards against learned times that do not reach the order of waiting work: the
// slow job can't meet its objective any more, the other one can.
TEST(learned_run_times_test, LearnedTimesChangeTheOrderOfWaitingJobs)
{
  fake_world world(1, fault_rates{});
  Begin(world, /*aLearns=*/true);
  RunSlowJobs(world);
  EXPECT_EQ(CountLearnedRuns(world), 30U);
  EXPECT_FALSE(StartsSlowJobFirst(world));
  EXPECT_TRUE(world.Violations().empty());
}

// Guards against an owner that learns although its settings do not ask for it.
TEST(learned_run_times_test, OrderFollowsTheEstimatesIfDisabled)
{
  fake_world world(1, fault_rates{});
  Begin(world, /*aLearns=*/false);
  RunSlowJobs(world);
  EXPECT_EQ(world.Owner()->CountLearnedClasses(), 0U);
  EXPECT_TRUE(StartsSlowJobFirst(world));
}

// Guards against a forecast of arriving work that uses the estimates.
TEST(learned_run_times_test, ForecastUsesLearnedTimes)
{
  const auto forecastCpu = [](bool aLearns) {
    fake_world world(1, fault_rates{});
    Begin(world, aLearns);
    RunSlowJobs(world);
    for (int i = 0; i < 50; ++i) {
      world.Submit("b" + std::to_string(i), Job("slow", 100, seconds(1)));
    }
    world.RunFor(milliseconds(20));
    return world.Owner()
      ->ComputeLoads(world.Now(), world.Wall())
      .at(service_name{ "s" })
      .mForecast.mCpu;
  };
  EXPECT_GT(forecastCpu(true), 3 * forecastCpu(false));
}

// Guards against callers who are told to come back long before the work that
// waits is done.
TEST(learned_run_times_test, WorkQueuedBeforeANewJobUsesLearnedTimes)
{
  const auto longestRetryAfter = [](bool aLearns) {
    fake_world world(1, fault_rates{});
    Begin(world, aLearns);
    RunSlowJobs(world);
    for (int i = 0; i < 3; ++i) {
      world.Submit("w" + std::to_string(i),
                   Job("slow", kWholeRunner, milliseconds(400)));
    }
    world.RunFor(milliseconds(500));
    job_spec excess = Job("fast", 10, milliseconds(500));
    excess.mCustomer = kCustomer;
    milliseconds longest{ 0 };
    for (int i = 0; i < 100; ++i) {
      longest = std::max(longest,
                         world.Owner()
                           ->Submit(job_name{ "e" + std::to_string(i) },
                                    excess,
                                    world.Now(),
                                    world.Wall())
                           .mRetryAfter);
    }
    return longest;
  };
  EXPECT_GT(longestRetryAfter(true), 2 * longestRetryAfter(false));
}

// Guards against run times that say nothing about a whole run on a sound
// runner near the data.
TEST(learned_run_times_test, StoppedRemoteAndBestEffortRunsDoNotTeach)
{
  fake_world world(1, fault_rates{});
  Begin(world, /*aLearns=*/true);
  world.Submit("stopped", Job("slow", 100, seconds(5)));
  world.RunFor(milliseconds(500));
  world.Cancel("stopped");
  job_spec remote = Job("slow", 100, milliseconds(500));
  remote.mSteps[0].mDataRack = rack_name{ "rack-b" };
  world.Submit("remote", remote);
  job_spec bestEffort = Job("slow", 100, milliseconds(500));
  bestEffort.mSteps[0].mBestEffort = true;
  world.Submit("best", bestEffort);
  world.RunFor(seconds(5));
  EXPECT_EQ(world.StateOf("stopped"), job_state::kCancelled);
  EXPECT_EQ(world.StateOf("remote"), job_state::kCompleted);
  EXPECT_EQ(world.StateOf("best"), job_state::kCompleted);
  EXPECT_EQ(world.Owner()->CountLearnedClasses(), 0U);
}

// Guards against the time of an outage that counts as run time.
TEST(learned_run_times_test, EndsReportedAfterSilenceDoNotTeach)
{
  fake_world world(1, fault_rates{});
  Begin(world, /*aLearns=*/true);
  world.SetRunTimeFactor("fast", 1);
  world.Submit("a1", Job("fast", 100, milliseconds(500)));
  world.RunFor(milliseconds(200));
  world.SetReachable("r0", false);
  world.RunFor(seconds(3));
  world.SetReachable("r0", true);
  world.RunFor(seconds(3));
  EXPECT_EQ(world.StateOf("a1"), job_state::kCompleted);
  EXPECT_EQ(world.StartsOf("a1.0.0.0"), 1U);
  EXPECT_EQ(CountLearnedRuns(world), 0U);
}

// Guards against failed runs that count as short ones, and against those of a
// runner that may still be faulty.
TEST(learned_run_times_test, FailedRunsAndRunsOfSuspectRunnersDoNotTeach)
{
  fake_world world(1, fault_rates{});
  Begin(world, /*aLearns=*/true);
  world.SetFaulty("r0", 1.0, milliseconds(50));
  world.Submit("b1", Job("slow", 100, milliseconds(500)));
  world.Submit("b2", Job("slow", 100, milliseconds(500)));
  while (world.StartsOf("b1.0.0.0") + world.StartsOf("b2.0.0.0") < 3) {
    world.RunFor(milliseconds(10));
  }
  EXPECT_EQ(CountLearnedRuns(world), 0U);
  world.SetFaulty("r0", 0);
  world.RunFor(seconds(8));
  EXPECT_EQ(world.StateOf("b1"), job_state::kCompleted);
  EXPECT_EQ(world.StateOf("b2"), job_state::kCompleted);
  EXPECT_EQ(CountLearnedRuns(world), 0U);
  world.RunFor(seconds(30));
  world.Submit("b3", Job("slow", 100, milliseconds(500)));
  world.RunFor(seconds(3));
  EXPECT_EQ(CountLearnedRuns(world), 1U);
}

// Guards against run times that are measured from the takeover, and against a
// successor that does not find what was learned in the roster.
TEST(learned_run_times_test, SuccessorInheritsTimesAndIgnoresAdoptedRuns)
{
  fake_world world(1, fault_rates{});
  Begin(world, /*aLearns=*/true);
  RunSlowJobs(world);
  world.Submit("adopted", Job("slow", 100, milliseconds(1'000)));
  world.RunFor(milliseconds(500));
  world.HandOver(milliseconds(200));
  world.RunFor(seconds(6));
  EXPECT_EQ(world.StateOf("adopted"), job_state::kCompleted);
  EXPECT_EQ(world.StartsOf("adopted.0.0.0"), 1U);
  EXPECT_EQ(CountLearnedRuns(world), 30U);
  EXPECT_FALSE(StartsSlowJobFirst(world));
}

// Guards against a roster whose size grows with the number of queues, which
// every change of the pool writes.
TEST(learned_run_times_test, StoredSummaryIsSmall)
{
  constexpr std::size_t kMaxBytes = 8'000;
  run_time_model model;
  for (int i = 0; i < 500; ++i) {
    const job_spec spec =
      Job(std::string(60, 'q') + std::to_string(i), 100, seconds(1));
    for (int k = 1; k < 200; ++k) {
      model.Learn(spec, 0, milliseconds(100 * k), time_point{});
    }
  }
  EXPECT_LT(EncodeRoster({}, model.Summary()).size(), kMaxBytes);
}

// Guards against a damaged summary that makes the runners of the roster
// unreadable, for which a successor would wait for the longest lease.
TEST(learned_run_times_test, DamagedSummaryLeavesTheRosterReadable)
{
  runner_info info;
  info.mName = runner_name{ "r0" };
  info.mService = service_name{ "s" };
  const std::string text =
    EncodeRoster({ { info, std::nullopt } },
                 { { queue_name{ "q" }, 0, 7, { { 24, 1'000 } } } });
  ASSERT_EQ(DecodeRunTimes(text).value().size(), 1U);
  EXPECT_EQ(DecodeRunTimes(text).value()[0].mRuns, 7U);
  ASSERT_EQ(DecodeRoster(text).value().size(), 1U);
  std::string damaged = text;
  damaged.replace(damaged.find("\"runs\":7"), 8, "\"runs\":{}");
  EXPECT_TRUE(DecodeRunTimes(damaged).has_error());
  std::string negative = text;
  negative.replace(negative.find("\"runs\":7"), 8, "\"runs\":-7");
  EXPECT_TRUE(DecodeRunTimes(negative).has_error());
  ASSERT_TRUE(DecodeRoster(damaged).has_value());
  EXPECT_EQ(DecodeRoster(damaged).value().size(), 1U);
  const std::string without = EncodeRoster({ { info, std::nullopt } });
  EXPECT_TRUE(DecodeRunTimes(without).value().empty());
}

} // namespace
} // namespace mangospan::jobs
