// Orders that get no answer and are executed seconds later, in virtual time.
// One in ten start orders holds up most of the wide jobs, and an end that is
// not reported holds up the next step.
#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "mangospan/jobs/testing/fake_world.h"

namespace mangospan::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::fake_world;
using testing::fault_rates;

constexpr resources kCapacity{ 8'000, 65'536, 0 };
constexpr int kRunners = 20;
constexpr std::size_t kTasks = 13;
constexpr milliseconds kGap{ 100 };

job_spec
WideJob(milliseconds aEstimate)
{
  step_spec step;
  step.mTaskCount = kTasks;
  step.mTaskResources = { 1'000, 512, 0 };
  step.mEstimate = aEstimate;
  job_spec out;
  out.mQueue = queue_name{ "q" };
  out.mSteps = { step };
  return out;
}

class unanswered_orders_test : public ::testing::TestWithParam<std::uint64_t>
{
protected:
  unanswered_orders_test()
    : mWorld(GetParam(), fault_rates{})
  {
    for (int i = 0; i < kRunners; ++i) {
      mWorld.AddRunner("r" + std::to_string(i), "s", kCapacity);
    }
    mWorld.RunFor(milliseconds(300));
  }

  // Lets every `aStride`th runner leave this share of its orders unanswered.
  void LoseOrders(int aStride, double aShare)
  {
    for (int i = 0; i < kRunners; i += aStride) {
      mWorld.SetLateOrders("r" + std::to_string(i), aShare);
    }
  }

  bool HaveAllTasksBegun(const std::string& aJob) const
  {
    for (std::size_t i = 0; i < kTasks; ++i) {
      if (mWorld.StartsOf(aJob + ".0.0." + std::to_string(i)) == 0) {
        return false;
      }
    }
    return true;
  }

  bool IsCompleted(const std::string& aJob) const
  {
    return mWorld.IsAccepted(aJob) &&
           mWorld.StateOf(aJob) == job_state::kCompleted;
  }

  // Submits a wide job in every gap. Counts those whose tasks have all begun
  // within the target latency of their queue, and those that are known to be
  // completed within as much after the longest work of a task.
  void SubmitJobs(int aCount)
  {
    constexpr milliseconds kTargetLatency{ 600 };
    constexpr milliseconds kMaxWork{ 1'000 };
    const int startGaps = static_cast<int>(kTargetLatency / kGap);
    const int endGaps =
      static_cast<int>((2 * kTargetLatency + kMaxWork) / kGap);
    const int first = mJobs;
    mJobs += aCount;
    for (int i = first; i < mJobs + endGaps; ++i) {
      if (i < mJobs) {
        mWorld.Submit("job" + std::to_string(i), WideJob(milliseconds(500)));
      }
      mWorld.RunFor(kGap);
      const int started = i + 1 - startGaps;
      if (started >= first && started < mJobs &&
          HaveAllTasksBegun("job" + std::to_string(started))) {
        ++mStartedInTime;
      }
      const int ended = i + 1 - endGaps;
      if (ended >= first && IsCompleted("job" + std::to_string(ended))) {
        ++mEndedInTime;
      }
    }
  }
  void ExpectAllCompleted()
  {
    EXPECT_EQ(mWorld.UnfinishedJobs(), std::vector<std::string>());
    EXPECT_EQ(mWorld.Violations(), std::vector<std::string>());
  }

  fake_world mWorld;
  int mJobs = 0;
  int mStartedInTime = 0;
  int mEndedInTime = 0;
};

INSTANTIATE_TEST_SUITE_P(seeds,
                         unanswered_orders_test,
                         ::testing::Range<std::uint64_t>(1, 9));

TEST_P(unanswered_orders_test, WideJobsStartInTime)
{
  constexpr int kJobs = 100;
  LoseOrders(5, 0.5);
  SubmitJobs(kJobs);
  EXPECT_GE(mStartedInTime, kJobs * 85 / 100);
  EXPECT_GE(mEndedInTime, kJobs * 85 / 100);
  LoseOrders(1, 0);
  mWorld.RunFor(seconds(30));
  ExpectAllCompleted();
}

TEST_P(unanswered_orders_test, WideJobsStartInTimeIfNoRunnerIsReliable)
{
  constexpr int kJobs = 100;
  LoseOrders(1, 0.5);
  SubmitJobs(kJobs);
  EXPECT_GE(mStartedInTime, kJobs * 85 / 100);
  EXPECT_GE(mEndedInTime, kJobs * 85 / 100);
  LoseOrders(1, 0);
  mWorld.RunFor(seconds(30));
  ExpectAllCompleted();
}

// An order that is executed late must not start what has run meanwhile, also if
// the runner has started again or another owner has taken over.
TEST_P(unanswered_orders_test, NoTaskRunsTwice)
{
  LoseOrders(2, 0.5);
  for (int round = 0; round < 4; ++round) {
    SubmitJobs(10);
    mWorld.Crash("r0");
    mWorld.RunFor(milliseconds(70));
    mWorld.Crash("r5");
    SubmitJobs(10);
    mWorld.KillOwner(milliseconds(1'900));
    mWorld.RunFor(seconds(3));
  }
  LoseOrders(1, 0);
  mWorld.RunFor(seconds(40));
  ExpectAllCompleted();
}

// Tasks of a cancelled job must not be started by a repeated order.
TEST_P(unanswered_orders_test, CancelledJobsStartNothing)
{
  LoseOrders(2, 0.5);
  for (int i = 0; i < 30; ++i) {
    const std::string name = "cancelled" + std::to_string(i);
    mWorld.Submit(name, WideJob(seconds(20)));
    mWorld.RunFor(milliseconds(60));
    mWorld.Cancel(name);
    mWorld.RunFor(milliseconds(40));
  }
  mWorld.RunFor(seconds(20));
  LoseOrders(1, 0);
  mWorld.RunFor(seconds(10));
  for (const std::string& each : mWorld.RunnerNames()) {
    EXPECT_TRUE(mWorld.Runner(each).Runs().empty()) << each;
  }
  ExpectAllCompleted();
}

// A poll that is repeated since the last one got no answer must not extend the
// lease further: the tasks of a runner that is gone wait for its end.
TEST(lost_poll_test, RepeatedPollGrantsNoLongerLease)
{
  fake_world world(1, fault_rates{});
  world.AddRunner("r0", "s", kCapacity);
  world.RunFor(milliseconds(300));
  world.Submit("a1", WideJob(seconds(30)));
  world.RunFor(seconds(2));
  world.SetReachable("r0", false);
  world.RunFor(seconds(4));
  const auto& polls = world.PollsOf("r0");
  EXPECT_FALSE(polls.back().mLeaseUntil);
  runner_time granted{ 0 };
  for (const poll_order& each : polls) {
    granted = std::max(granted, each.mLeaseUntil.value_or(granted));
  }
  const auto withLastGrant =
    std::count_if(polls.begin(), polls.end(), [&](const poll_order& aPoll) {
      return aPoll.mLeaseUntil == granted;
    });
  EXPECT_EQ(withLastGrant, 2); // the lost poll, and the one that repeats it
}

} // namespace
} // namespace mangospan::jobs
