// Customers in a scheduler: their quota, their rate and the order of their
// jobs.
#include "mangospan/jobs/scheduler.h"

#include <algorithm>
#include <cstdint>
#include <string>

#include <gtest/gtest.h>

#include "mangospan/jobs/testing/fake_world.h"

namespace mangospan::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::fake_world;
using testing::fault_rates;
using testing::TestCatalog;

const customer_name kRinks{ "rinks" };
const customer_name kTrams{ "trams" };
constexpr std::size_t kLimit = 25; // jobs of each customer in 5 s
constexpr std::int64_t kRunnerCores = 4;
constexpr std::int64_t kCoreUnits = 1'000; // of `resources::mCpu`

job_spec
Job(const customer_name& aCustomer, std::size_t aTasks, milliseconds aEstimate)
{
  step_spec step;
  step.mTaskCount = aTasks;
  step.mTaskResources = { kCoreUnits, 128, 0 };
  step.mEstimate = aEstimate;
  job_spec out;
  out.mQueue = queue_name{ "q" };
  out.mCustomer = aCustomer;
  out.mSteps = { step };
  return out;
}

// A pool whose customer `kRinks` has a cap of `aCapCores`, or none if it is 0.
class customer_world : public fake_world
{
public:
  customer_world(int aRunners, std::int64_t aCapCores)
    : fake_world(1, fault_rates{})
  {
    catalog customers = TestCatalog();
    // No job is late within a test, so that lateness does not set the order.
    customers.mQueues.at(queue_name{ "q" }).mTargetLatency = seconds(60);
    for (const customer_name& each : { kRinks, kTrams }) {
      customers.mCustomers[each].mName = each;
      customers.mCustomers[each].mWeight = 1;
    }
    customers.mCustomers[kRinks].mCap.mCpu = aCapCores * kCoreUnits;
    SetCatalog(customers);
    for (int i = 0; i < aRunners; ++i) {
      AddRunner(
        "r" + std::to_string(i), "s", { kRunnerCores * kCoreUnits, 16'384, 0 });
    }
    RunFor(milliseconds(500));
  }

  std::size_t CountRuns()
  {
    std::size_t out = 0;
    for (const auto& [runnerName, each] : Owner()->Runners()) {
      out += each.Runs().size();
    }
    return out;
  }
  // Returns the most runs at any time within `aTime`.
  std::size_t MostRunsWithin(milliseconds aTime)
  {
    std::size_t out = 0;
    for (milliseconds passed{ 0 }; passed < aTime; passed += milliseconds(50)) {
      RunFor(milliseconds(50));
      out = std::max(out, CountRuns());
    }
    return out;
  }
  void SubmitMany(const std::string& aPrefix,
                  const job_spec& aSpec,
                  std::size_t aCount)
  {
    for (std::size_t i = 0; i < aCount; ++i) {
      Submit(aPrefix + std::to_string(i), aSpec);
    }
  }
  submit_answer Ask(const std::string& aName, const job_spec& aSpec)
  {
    return Owner()->Submit(job_name{ aName }, aSpec, Now(), Wall());
  }
};

customers::quota_instructions
Share(std::uint64_t aSequence, customers::cap_part aShare)
{
  return { { 1, aSequence }, { { kRinks, aShare } } };
}

// Guards against a start above the share, which another pool may use, and
// against capacity of the share that is left idle.
TEST(scheduler_customers_test, TasksStayWithinTheShare)
{
  customer_world world(4, 40);
  world.Submit("a1", Job(kRinks, 60, seconds(1)));
  EXPECT_EQ(world.MostRunsWithin(seconds(1)), 3U); // 0.08 of the cap
  world.Owner()->ApplyQuota(Share(1, 2'500));
  EXPECT_EQ(world.MostRunsWithin(seconds(4)), 10U);
  const auto usage =
    world.Owner()->ReportQuota(world.Now(), world.Wall()).mUsage.at(kRinks);
  EXPECT_EQ(usage.mShare, 2'500U);
  EXPECT_EQ(usage.mUsed, world.CountRuns() * 250);
  EXPECT_GT(usage.mWanted, usage.mUsed);
  world.Owner()->ApplyQuota(Share(2, 1'000));
  world.RunFor(milliseconds(1'500));
  EXPECT_EQ(world.MostRunsWithin(seconds(2)), 4U);
  world.RunFor(seconds(15));
  EXPECT_EQ(world.StateOf("a1"), job_state::kCompleted);
}

// Guards against a customer at its quota that keeps others from the capacity.
TEST(scheduler_customers_test, QuotaOfOneCustomerDelaysNoOther)
{
  customer_world world(2, 10);
  world.Owner()->ApplyQuota(Share(1, 1'000));
  world.Submit("a1", Job(kRinks, 20, seconds(30)));
  world.RunFor(milliseconds(500));
  world.Submit("a2", Job(kTrams, 7, seconds(1)));
  world.Submit("a3", Job({}, 7, seconds(1)));
  world.RunFor(seconds(5));
  EXPECT_EQ(world.StateOf("a2"), job_state::kCompleted);
  EXPECT_EQ(world.StateOf("a3"), job_state::kCompleted);
  EXPECT_EQ(world.CountRuns(), 1U);
}

// Guards against a new owner that starts work beside runs of its predecessor
// that it does not know of.
TEST(scheduler_customers_test, NewOwnerCountsRunnersThatItHasNotReached)
{
  customer_world world(2, kRunnerCores);
  world.RunFor(seconds(2));
  world.SetReachable("r1", false);
  world.KillOwner(milliseconds(200));
  world.RunFor(milliseconds(700));
  ASSERT_NE(world.Owner(), nullptr);
  world.Owner()->ApplyQuota(Share(1, customers::kWholeCap));
  world.Submit("a1", Job(kRinks, 1, milliseconds(300)));
  world.Submit("a2", Job(kTrams, 1, milliseconds(300)));
  world.RunFor(milliseconds(1'500));
  EXPECT_EQ(world.StateOf("a2"), job_state::kCompleted);
  EXPECT_EQ(world.StartsOf("a1.0.0.0"), 0U);
  const auto usage =
    world.Owner()->ReportQuota(world.Now(), world.Wall()).mUsage.at(kRinks);
  EXPECT_GE(usage.mUsed, customers::kWholeCap);
  world.SetReachable("r1", true);
  world.RunFor(seconds(4));
  EXPECT_EQ(world.StateOf("a1"), job_state::kCompleted);
}

// Guards against an accepted job that is denied when it is submitted again, and
// against refusals while capacity is idle or of customers within their rate.
TEST(scheduler_customers_test, ExcessIsRefusedOnlyWhilePoolIsFull)
{
  customer_world world(1, 0);
  const job_spec spec = Job(kRinks, 1, seconds(3));
  world.SubmitMany("a", spec, kLimit + 2);
  EXPECT_EQ(world.Ask("a26", spec).mOutcome, submit_outcome::kPending);
  world.RunFor(seconds(1));
  const submit_answer refused = world.Ask("b0", spec);
  EXPECT_EQ(refused.mOutcome, submit_outcome::kRefused);
  EXPECT_TRUE(refused.mIsOverRate);
  EXPECT_GE(refused.mRetryAfter, seconds(1));
  for (const char* accepted : { "a0", "a24", "a26" }) {
    EXPECT_EQ(world.Ask(accepted, spec).mOutcome, submit_outcome::kStored)
      << accepted;
  }
  world.Submit("c0", Job(kTrams, 1, seconds(3)));
  EXPECT_EQ(world.Ask("c0", spec).mOutcome, submit_outcome::kPending);
}

// Guards against excess work that was accepted while there was room and then
// delays work within the rate.
TEST(scheduler_customers_test, ExcessWorkWaitsBehindWorkWithinTheRate)
{
  constexpr std::size_t kExcess = 10;
  customer_world world(1, 0);
  const job_spec spec = Job(kRinks, 1, seconds(1));
  world.SubmitMany("a", spec, kLimit + kExcess);
  world.RunFor(milliseconds(5'100)); // the rate is free again
  ASSERT_GT(world.UnfinishedJobs().size(), kExcess);
  world.Submit("b0", spec);
  world.Submit("c0", Job(kTrams, 1, seconds(1)));
  world.RunFor(seconds(5));
  EXPECT_EQ(world.StateOf("b0"), job_state::kCompleted);
  EXPECT_EQ(world.StateOf("c0"), job_state::kCompleted);
  EXPECT_GT(world.UnfinishedJobs().size(), 0U);
  world.RunFor(seconds(6));
  EXPECT_TRUE(world.UnfinishedJobs().empty());
}

} // namespace
} // namespace mangospan::jobs
