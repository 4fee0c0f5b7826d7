#include <algorithm>
#include <chrono>
#include <set>
#include <string>
#include <variant>
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
const std::string kGang = "gang";

job_spec
Job(std::size_t aTasks, std::int64_t aCpu, bool aIsGang)
{
  step_spec step;
  step.mTaskCount = aTasks;
  step.mTaskResources = { aCpu, 512, 0 };
  step.mEstimate = milliseconds(300);
  step.mGang = aIsGang;
  job_spec out;
  out.mQueue = queue_name{ "q" };
  out.mSteps = { step };
  return out;
}

class gangs_test : public ::testing::Test
{
protected:
  void AddRunners(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      mWorld.AddRunner("r" + std::to_string(i), "s", kCapacity);
    }
    mWorld.RunFor(milliseconds(300));
  }
  const task& MemberOf(std::size_t aIndex)
  {
    const job* const found = mWorld.Owner()->Find(job_name{ kGang });
    return found->mOccurrences.at(0).mSteps[0].mTasks[aIndex];
  }

  fake_world mWorld{ 3, fault_rates{} };
};

TEST_F(gangs_test, MoreMembersThanStartsInFlightBeginOnOneRunner)
{
  AddRunners(1);
  mWorld.Submit(kGang, Job(32, 250, true));
  mWorld.RunFor(seconds(2));
  EXPECT_EQ(mWorld.StateOf(kGang), job_state::kCompleted);
  EXPECT_EQ(mWorld.Violations(), std::vector<std::string>());
}

TEST_F(gangs_test, WideGangBeginsOnSeveralRunners)
{
  AddRunners(3);
  mWorld.Submit(kGang, Job(24, 1'000, true));
  mWorld.RunFor(seconds(2));
  EXPECT_EQ(mWorld.StateOf(kGang), job_state::kCompleted);
  EXPECT_EQ(mWorld.Violations(), std::vector<std::string>());
}

TEST_F(gangs_test, WideGangBeginsBesideOtherTasks)
{
  AddRunners(2);
  for (int i = 0; i < 8; ++i) {
    mWorld.Submit("other" + std::to_string(i), Job(6, 500, false));
    mWorld.RunFor(milliseconds(60));
  }
  mWorld.Submit(kGang, Job(14, 1'000, true));
  mWorld.RunFor(seconds(8));
  EXPECT_EQ(mWorld.StateOf(kGang), job_state::kCompleted);
  EXPECT_EQ(mWorld.Violations(), std::vector<std::string>());
}

// A gang that waits must keep neither run numbers nor capacity.
TEST_F(gangs_test, GangWithoutRoomRaisesNoRunNumberAndHoldsUpNoOther)
{
  AddRunners(1);
  mWorld.Submit(kGang, Job(9, 1'000, true));
  mWorld.RunFor(seconds(1));
  mWorld.Submit("other", Job(8, 1'000, false));
  mWorld.RunFor(seconds(3));
  EXPECT_EQ(mWorld.StateOf(kGang), job_state::kQueued);
  EXPECT_EQ(MemberOf(0).mLastRun, 0U);
  EXPECT_EQ(mWorld.StateOf("other"), job_state::kCompleted);
  mWorld.AddRunner("r1", "s", kCapacity);
  mWorld.RunFor(seconds(2));
  EXPECT_EQ(mWorld.StateOf(kGang), job_state::kCompleted);
  EXPECT_EQ(mWorld.Violations(), std::vector<std::string>());
}

// Members that began with different checkpoints would not belong together.
TEST_F(gangs_test, CheckpointOfOneMemberIsThatOfAll)
{
  AddRunners(1);
  mWorld.Submit(kGang, Job(2, 1'000, true));
  mWorld.RunFor(milliseconds(100));
  poll_order poll;
  poll.mRunner = runner_name{ "r0" };
  poll_report report;
  report.mClock = seconds(100);
  report.mBoot = mWorld.Runner("r0").Info().mBoot;
  report.mLive.push_back({ kGang + ".0.0.1", 1, "saved", 50, 0 });
  mWorld.Owner()->OnPoll(poll,
                         order_outcome::kDone,
                         &report,
                         mWorld.Now(),
                         mWorld.Now(),
                         mWorld.Wall());
  EXPECT_EQ(MemberOf(0).mCheckpoint, "saved");
  EXPECT_EQ(MemberOf(1).mCheckpoint, "saved");
}

// A runner that was out of reach may report the end of an earlier run.
TEST_F(gangs_test, LateEndOfAnEarlierRunTakesNoProgressBack)
{
  AddRunners(1);
  mWorld.Submit(kGang, Job(2, 1'000, true));
  mWorld.RunFor(milliseconds(100));
  poll_order poll;
  poll.mRunner = runner_name{ "r0" };
  poll_report report;
  report.mClock = seconds(100);
  report.mBoot = mWorld.Runner("r0").Info().mBoot;
  report.mLive.push_back({ kGang + ".0.0.1", 1, "later", 50, 0 });
  report.mEnded.push_back(
    { 1, kGang + ".0.0.0", 0, run_end::kLeaseExpired, "earlier" });
  for (int i = 0; i < 2; ++i) {
    mWorld.Owner()->OnPoll(poll,
                           order_outcome::kDone,
                           &report,
                           mWorld.Now(),
                           mWorld.Now(),
                           mWorld.Wall());
    report.mLive.clear();
    report.mEnded.front().mNumber = 2;
  }
  EXPECT_EQ(MemberOf(0).mCheckpoint, "later");
  EXPECT_EQ(MemberOf(1).mCheckpoint, "later");
}

} // namespace
} // namespace mangospan::jobs
