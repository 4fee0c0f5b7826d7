// Runners that fail tasks, and tasks that fail on sound runners, in virtual
// time.
#include <algorithm>
#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "mangospan/jobs/placement.h"
#include "mangospan/jobs/scheduler.h"
#include "mangospan/jobs/testing/fake_world.h"

namespace mangospan::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::fake_world;
using testing::fault_rates;

constexpr int kRunners = 24;
constexpr resources kCapacity{ 8'000, 65'536, 0 };
constexpr milliseconds kStep{ 50 };
const std::string kFaulty = "r0";

class quarantine_test : public ::testing::Test
{
protected:
  // `aOwnFailures` is the share of runs that fail on sound runners.
  void Begin(double aOwnFailures)
  {
    mWorld =
      std::make_unique<fake_world>(1, fault_rates{ 0.0, 0.0, aOwnFailures });
    for (int i = 0; i < kRunners; ++i) {
      mWorld->AddRunner("r" + std::to_string(i), "s", kCapacity);
    }
    mWorld->RunFor(milliseconds(300));
  }
  // Submits so many jobs of eight tasks each `kStep` that the pool is full.
  void RunUnderLoad(milliseconds aTime)
  {
    step_spec step;
    step.mTaskCount = mTasksPerJob;
    step.mTaskResources = { 1'000, 512, 0 };
    step.mEstimate = milliseconds(950);
    job_spec spec;
    spec.mQueue = queue_name{ "q" };
    spec.mSteps = { step };
    for (milliseconds t{ 0 }; t < aTime; t += kStep) {
      const std::string name = "job" + std::to_string(mJobs++);
      if (mHopeless > 0) {
        --mHopeless;
        mWorld->SetFails(name, milliseconds(60));
      }
      mWorld->Submit(name, spec);
      mWorld->RunFor(kStep);
      CountQuarantines();
    }
  }
  void CountQuarantines()
  {
    for (const auto& [name, each] : mWorld->Owner()->Runners()) {
      const bool isQuarantined = mWorld->Now() < each.mQuarantinedUntil;
      if (isQuarantined && mQuarantined.insert(name.Str()).second) {
        ++mQuarantines[name.Str()];
      }
      if (!isQuarantined) {
        mQuarantined.erase(name.Str());
      }
    }
  }
  int CountOfSoundRunners() const
  {
    int count = 0;
    for (const auto& [name, quarantines] : mQuarantines) {
      count += name == kFaulty ? 0 : quarantines;
    }
    return count;
  }

  std::unique_ptr<fake_world> mWorld;
  std::size_t mTasksPerJob = 8;
  int mJobs = 0;
  int mHopeless = 0; // so many of the next jobs fail everywhere
  std::set<std::string> mQuarantined; // at present
  std::map<std::string, int> mQuarantines;
};

// One in a hundred tasks fails by itself: at ten starts in a second two jobs
// soon fail on one runner.
TEST_F(quarantine_test, TasksThatFailByThemselvesQuarantineAtMostOneRunner)
{
  Begin(0.011);
  RunUnderLoad(seconds(20));
  EXPECT_LE(CountOfSoundRunners(), 1);
  EXPECT_EQ(mWorld->Violations(), std::vector<std::string>());
}

TEST_F(quarantine_test, JobsThatFailEverywhereLeaveNoRunnersInQuarantine)
{
  Begin(0.011);
  RunUnderLoad(seconds(3));
  mHopeless = 20;
  RunUnderLoad(seconds(2));
  EXPECT_LE(mQuarantined.size(), 1U);
  EXPECT_EQ(mWorld->Violations(), std::vector<std::string>());
}

TEST_F(quarantine_test, FaultyRunnerIsQuarantinedAndComesBack)
{
  for (const double share : { 0.4, 1.0 }) {
    Begin(0.011);
    mQuarantines.clear();
    RunUnderLoad(seconds(5));
    mWorld->SetFaulty(kFaulty, share);
    RunUnderLoad(seconds(10));
    EXPECT_GE(mQuarantines[kFaulty], 1) << share;
    EXPECT_LE(CountOfSoundRunners(), 1) << share;
    mWorld->SetFaulty(kFaulty, 0);
    RunUnderLoad(seconds(9));
    const int before = mQuarantines[kFaulty];
    RunUnderLoad(seconds(10));
    EXPECT_EQ(mQuarantines[kFaulty], before) << share;
    EXPECT_FALSE(mWorld->Runner(kFaulty).Runs().empty()) << share;
    EXPECT_EQ(mWorld->Violations(), std::vector<std::string>());
  }
}

// A busy pool in which tasks often fail by themselves, so that a quarantine
// takes long, and a runner on which all runs fail at once.
class failing_runner_test : public quarantine_test
{
protected:
  static constexpr milliseconds kFailsAfter{ 20 };

  failing_runner_test() { mTasksPerJob = 7; }

  // Counts the tasks whose last two runs have failed on the same runner.
  std::size_t CountRepeated() const
  {
    std::size_t count = 0;
    for (const auto& [name, each] : mWorld->Owner()->Jobs()) {
      for (const auto& [k, occurrence] : each.mOccurrences) {
        for (const task& one : occurrence.mSteps.front().mTasks) {
          const std::size_t failures = one.mFailedOn.size();
          count += failures > 1 && one.mFailedOn[failures - 1] ==
                                     one.mFailedOn[failures - 2]
                     ? 1
                     : 0;
        }
      }
    }
    return count;
  }
};

// Guards against jobs that fail since all attempts of a task go to one runner.
TEST_F(failing_runner_test, TaskThatFailedIsNotTriedThereAgain)
{
  Begin(0.1);
  RunUnderLoad(seconds(5));
  mWorld->SetFaulty(kFaulty, 1.0, kFailsAfter);
  for (int i = 0; i < 100; ++i) {
    RunUnderLoad(kStep);
    EXPECT_EQ(CountRepeated(), 0U);
  }
  EXPECT_EQ(mWorld->Violations(), std::vector<std::string>());
}

// Guards against a runner that draws more work than others since it is the
// first one to have room again.
TEST_F(failing_runner_test, RunnerThatFailsAtOnceDrawsNoMoreWorkThanOthers)
{
  Begin(0.1);
  RunUnderLoad(seconds(5));
  mWorld->SetFaulty(kFaulty, 1.0, kFailsAfter);
  std::size_t before = 0;
  for (int i = 1; i < kRunners; ++i) {
    before += mWorld->StartsOn("r" + std::to_string(i));
  }
  const std::size_t onFaulty = mWorld->StartsOn(kFaulty);
  RunUnderLoad(seconds(2));
  std::size_t after = 0;
  for (int i = 1; i < kRunners; ++i) {
    after += mWorld->StartsOn("r" + std::to_string(i));
  }
  EXPECT_LE(mWorld->StartsOn(kFaulty) - onFaulty,
            (after - before) / (kRunners - 1));
}

// Guards against a job that fails since its last attempt goes to a runner of
// which nothing is known.
TEST(last_attempt_test, PrefersARunnerOnWhichARunHasJustSucceeded)
{
  const time_point now{ std::chrono::hours(1) };
  const auto make = [&](const char* aName) {
    runner_info info;
    info.mName = runner_name{ aName };
    info.mCapacity = kCapacity;
    runner out(info);
    out.mContacted = true;
    out.mIsInRoster = true;
    out.OnClock(milliseconds(0), now);
    return out;
  };
  runner proven = make("proven");
  proven.mSucceededAt = now;
  runner fuller = make("fuller"); // which is preferred otherwise
  run other;
  other.mReservation = { 1'000, 512, 0 };
  fuller.Add(other);
  const std::vector<runner*> pool{ &proven, &fuller };
  step_spec step;
  step.mTaskResources = { 1'000, 512, 0 };
  placement_request request{ step, task_id{}, {}, {} };
  EXPECT_EQ(ChooseRunner(request, pool, now), &fuller);
  request.mIsLastAttempt = true;
  EXPECT_EQ(ChooseRunner(request, pool, now), &proven);
}

// Guards against a wait without an end for a runner that stays full.
TEST_F(failing_runner_test, TaskWaitsForAnotherRunnerOnlyForAWhile)
{
  mWorld = std::make_unique<fake_world>(1, fault_rates{});
  mWorld->AddRunner("r1", "s", { 1'000, 65'536, 0 });
  mWorld->RunFor(milliseconds(300));
  step_spec step;
  step.mTaskCount = 1;
  step.mTaskResources = { 1'000, 512, 0 };
  step.mEstimate = seconds(30);
  job_spec spec;
  spec.mQueue = queue_name{ "q" };
  spec.mSteps = { step };
  mWorld->Submit("busy", spec);
  mWorld->RunFor(milliseconds(100));
  mWorld->AddRunner(kFaulty, "s", { 1'000, 65'536, 0 });
  mWorld->SetFaulty(kFaulty, 1.0, kFailsAfter);
  mWorld->RunFor(milliseconds(100));
  mWorld->Submit("job", spec);
  mWorld->RunFor(seconds(2));
  EXPECT_EQ(mWorld->StartsOf("job.0.0.0"), 1U);
  EXPECT_EQ(
    mWorld->Owner()->WaitingTasks(mWorld->Now(), mWorld->Wall()).mObstacles,
    "failed_there:1");
  mWorld->RunFor(seconds(1));
  EXPECT_EQ(mWorld->StartsOf("job.0.0.0"), 2U);
}

} // namespace
} // namespace mangospan::jobs
