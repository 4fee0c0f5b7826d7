// Runners that crash one after the other, how soon their tasks are back, and
// whether deadly tasks are still told from the others, in virtual time.
#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "mangospan/jobs/scheduler.h"
#include "mangospan/jobs/testing/fake_world.h"

namespace mangospan::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::fake_world;
using testing::fault_rates;

constexpr resources kCapacity{ 8'000, 65'536, 0 };
constexpr int kRunners = 9;
constexpr milliseconds kDown{ 800 };
const std::string kSuspect = "suspect.0.0.0";

job_spec
Job(std::size_t aTasks, std::int64_t aCpu, milliseconds aEstimate)
{
  step_spec step;
  step.mTaskCount = aTasks;
  step.mTaskResources = { aCpu, 512, 0 };
  step.mEstimate = aEstimate;
  job_spec out;
  out.mQueue = queue_name{ "q" };
  out.mSteps = { step };
  return out;
}

job_spec
LongRunningJob(std::size_t aTasks, std::int64_t aCpu)
{
  job_spec out = Job(aTasks, aCpu, milliseconds(0));
  out.mSteps[0].mLongRunning = true;
  return out;
}

class crash_series_test : public ::testing::Test
{
protected:
  void AddRunners(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      mWorld.AddRunner("r" + std::to_string(i), "s", kCapacity);
    }
    mWorld.RunFor(milliseconds(300));
  }
  // Crashes each runner soon after each start there.
  void CrashAfterStarts(seconds aTime)
  {
    const time_point end = mWorld.Now() + aTime;
    std::map<std::string, std::size_t> runs;
    while (mWorld.Now() < end) {
      mWorld.RunFor(milliseconds(20));
      for (const std::string& each : mWorld.RunnerNames()) {
        const std::size_t count = mWorld.Runner(each).Runs().size();
        if (count > runs[each]) {
          mWorld.CrashFor(each, kDown);
        }
        runs[each] = mWorld.Runner(each).Runs().size();
      }
    }
  }
  // Crashes all runners in turn, so that most tasks are suspected.
  void CrashInTurn()
  {
    for (int i = 0; i < 3 * kRunners; ++i) {
      mWorld.CrashFor("r" + std::to_string(i % kRunners), kDown);
      mWorld.RunFor(milliseconds(400));
    }
  }
  std::size_t CountRuns()
  {
    std::size_t count = 0;
    for (const std::string& each : mWorld.RunnerNames()) {
      count += mWorld.Runner(each).Runs().size();
    }
    return count;
  }
  bool IsSuspected(const std::string& aTask)
  {
    const task_id id = *ParseTaskId(aTask);
    const job* const found = mWorld.Owner()->Find(id.mJob);
    return found->mOccurrences.at(0)
      .mSteps[0]
      .mTasks[id.mIndex]
      .mCrashes.mIsSuspect;
  }
  // Returns how long the first task of the job, submitted now, takes to begin.
  milliseconds TimeToBegin(const std::string& aJob, const job_spec& aSpec)
  {
    constexpr milliseconds kLongest{ 60'000 };
    constexpr milliseconds kStep{ 20 };
    mWorld.Submit(aJob, aSpec);
    milliseconds waited{ 0 };
    while (waited < kLongest && mWorld.StartsOf(aJob + ".0.0.0") == 0) {
      mWorld.RunFor(kStep);
      waited += kStep;
    }
    return waited;
  }

  fake_world mWorld{ 1, fault_rates{} };
};

// Crashes just after starts look as if the tasks were the cause.
TEST_F(crash_series_test, TasksThatLookLikeTheCauseAreBackWithinSeconds)
{
  AddRunners(kRunners);
  mWorld.Submit("lasting", LongRunningJob(54, 500));
  CrashAfterStarts(seconds(16));
  mWorld.RunFor(seconds(1));
  mWorld.BeginCalm();
  mWorld.RunFor(seconds(20));
  EXPECT_EQ(mWorld.Violations(), std::vector<std::string>());
}

// The runner that is kept for a suspect may have no room for it.
TEST_F(crash_series_test, SuspectWithoutRoomKeepsNoOtherTaskFromTheOnlyRunner)
{
  AddRunners(1);
  mWorld.Submit("suspect", LongRunningJob(1, 5'000));
  CrashAfterStarts(seconds(6));
  ASSERT_TRUE(IsSuspected(kSuspect));
  mWorld.Submit("batch", Job(1, 3'500, seconds(60)));
  mWorld.RunFor(seconds(4));
  EXPECT_LE(TimeToBegin("new", Job(1, 500, milliseconds(300))), seconds(3));
}

// A successor finds runs of suspects on all runners.
TEST_F(crash_series_test, RunsOfSuspectsKeepNoRunnerFromTheSuccessor)
{
  AddRunners(kRunners);
  constexpr std::size_t kTasks = 36;
  mWorld.Submit("lasting", LongRunningJob(kTasks, 500));
  mWorld.RunFor(seconds(8));
  CrashInTurn();
  for (int i = 0; i < 600 && CountRuns() < kTasks; ++i) {
    mWorld.RunFor(milliseconds(20));
  }
  mWorld.HandOver(milliseconds(100));
  mWorld.RunFor(milliseconds(600));
  ASSERT_NE(mWorld.Owner(), nullptr);
  EXPECT_LE(TimeToBegin("new", Job(3, 500, milliseconds(300))),
            milliseconds(500));
}

// Suspects that wait no longer run beside others.
TEST_F(crash_series_test, SuspectThatOutlivesItsProbationBesideOthersIsCleared)
{
  AddRunners(kRunners);
  mWorld.Submit("suspect", LongRunningJob(36, 500));
  mWorld.RunFor(seconds(8));
  CrashInTurn();
  EXPECT_TRUE(IsSuspected(kSuspect));
  mWorld.RunFor(seconds(12));
  for (int i = 0; i < 36; ++i) {
    EXPECT_FALSE(IsSuspected("suspect.0.0." + std::to_string(i))) << i;
  }
}

// A small pool has one runner for suspects, and several deadly tasks wait for
// it.
TEST(small_pool_test, DeadlyTasksThatNeedNotBeAloneAreGivenUp)
{
  constexpr std::uint64_t kSeeds = 10;
  constexpr int kRunnersOfPool = 4;
  constexpr int kDeadlyJobs = 3;
  constexpr int kOtherJobs = 160;
  // Three runners may crash under a task, and it may be started twice more.
  constexpr std::size_t kMaxStarts = 5;
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    fake_world world(seed, fault_rates{});
    world.SetRunnersReturnRenamed(true);
    for (int i = 0; i < kRunnersOfPool; ++i) {
      world.AddRunner("r" + std::to_string(i), "s", kCapacity);
    }
    world.RunFor(milliseconds(300));
    world.Submit("lasting", LongRunningJob(4, 500));
    world.RunFor(seconds(2));
    for (int i = 0; i < kOtherJobs; ++i) {
      const std::string deadly = "deadly" + std::to_string(i / 20);
      if (i % 20 == 0 && i / 20 < kDeadlyJobs) {
        world.SetCrashesRunners(deadly + ".0.0.0", milliseconds(10));
        world.Submit(deadly, Job(5, 500, milliseconds(500)));
      }
      world.Submit("other" + std::to_string(i), Job(4, 500, milliseconds(500)));
      world.RunFor(milliseconds(300));
    }
    world.RunFor(seconds(42));
    for (int i = 0; i < kDeadlyJobs; ++i) {
      EXPECT_LE(world.StartsOf("deadly" + std::to_string(i) + ".0.0.0"),
                kMaxStarts)
        << "seed " << seed;
    }
    EXPECT_EQ(world.Violations(), std::vector<std::string>());
  }
}

// Tasks start on each runner all the time, so that each crash comes soon after
// the start of some.
TEST(busy_runners_test, SeriesOfCrashesFailsNoJob)
{
  constexpr std::uint64_t kSeeds = 20;
  constexpr int kJobs = 200;
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    fake_world world(seed, fault_rates{});
    for (int i = 0; i < kRunners; ++i) {
      world.AddRunner("r" + std::to_string(i), "s", kCapacity);
    }
    world.RunFor(milliseconds(300));
    std::uniform_int_distribution<int> anyRunner(0, kRunners - 1);
    for (int i = 0; i < kJobs; ++i) {
      world.Submit("job" + std::to_string(i), Job(6, 500, milliseconds(300)));
      world.CrashFor("r" + std::to_string(anyRunner(world.Random())), kDown);
      world.RunFor(milliseconds(150));
    }
    world.RunFor(seconds(60));
    for (int i = 0; i < kJobs; ++i) {
      EXPECT_EQ(world.StateOf("job" + std::to_string(i)), job_state::kCompleted)
        << "seed " << seed << " job " << i;
    }
  }
}

} // namespace
} // namespace mangospan::jobs
