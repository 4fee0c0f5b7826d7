#include "mangospan/fleet/host_steps.h"

#include <gtest/gtest.h>

#include "mangospan/fleet/testing/fake_fleet.h"

namespace mangospan::fleet {
namespace {

const host_name kHost("a-0");

class host_steps_test : public ::testing::Test
{
protected:
  host_steps_test()
  {
    mRecord.mPool = pool_name("work");
    mInputs.mDocument = &mDocument;
    mInputs.mIntents = &mIntents;
    mInputs.mOperatorDrains = &mOperatorDrains;
    mInputs.mHasPermit = [this](const auto&, const auto&) {
      return mPermitGranted;
    };
    mInputs.mIsDrained = [this](const auto&, const auto&) {
      return mIsDrained;
    };
    mInputs.mHostActionProgress = [this](const auto&) { return mProgress; };
  }

  void Step()
  {
    mRecord = NextStep(kHost, mRecord, mInputs, time_point{}, mIds);
  }

  config::document mDocument = testing::TwoPools(1);
  host_intents mIntents;
  std::set<host_name> mOperatorDrains;
  bool mPermitGranted = true;
  bool mIsDrained = true;
  host_action_progress mProgress{ true, true, false, {} };
  step_inputs mInputs;
  write_ids mIds{ boot_id{ 3 } };
  host_record mRecord;
};

TEST_F(host_steps_test, MovePassesEveryPhaseAndChangesPoolOnceStopped)
{
  mIntents[kHost] = { host_purpose::kMove, pool_name("spare"), {} };
  Step();
  EXPECT_EQ(mRecord.mPhase, host_phase::kDraining);
  Step();
  EXPECT_EQ(mRecord.mPhase, host_phase::kStopping);
  EXPECT_EQ(mRecord.mPool, pool_name("work"));
  Step();
  EXPECT_EQ(mRecord.mPhase, host_phase::kStarting);
  EXPECT_EQ(mRecord.mPool, pool_name("spare"));
  mIntents.clear();
  Step();
  EXPECT_EQ(mRecord.mPhase, host_phase::kServing);
  EXPECT_EQ(mRecord.mEpoch, 2U);
  EXPECT_EQ(mRecord.mPurpose, host_purpose::kNone);
}

TEST_F(host_steps_test, HostDoesNotDrainWithoutPermit)
{
  mIntents[kHost] = { host_purpose::kMaintenance, {}, "w1" };
  mPermitGranted = false;
  Step();
  EXPECT_EQ(mRecord.mPhase, host_phase::kServing);
}

TEST_F(host_steps_test, DrainWaitsUntilNoEntryHasRequestsInFlight)
{
  mRecord.mPhase = host_phase::kDraining;
  mRecord.mPurpose = host_purpose::kMaintenance;
  mIsDrained = false;
  Step();
  EXPECT_EQ(mRecord.mPhase, host_phase::kDraining);
}

TEST_F(host_steps_test, FailedActionIsRepeatedWithNewId)
{
  mRecord.mPhase = host_phase::kRebooting;
  mRecord.mPurpose = host_purpose::kMaintenance;
  mRecord.mHostActionId = mIds.Next();
  const write_id oldAction = mRecord.mHostActionId;
  mProgress = { true, false, true, {} };
  Step();
  EXPECT_TRUE(mRecord.mFailed);
  EXPECT_FALSE(mRecord.mHostActionId == oldAction);
}

TEST_F(host_steps_test, ActionInProgressKeepsItsId)
{
  mRecord.mPhase = host_phase::kRebooting;
  mRecord.mHostActionId = mIds.Next();
  const write_id oldAction = mRecord.mHostActionId;
  mProgress = { true, false, false, {} };
  Step();
  EXPECT_TRUE(mRecord.mHostActionId == oldAction);
}

TEST_F(host_steps_test, NewHostJoinsPoolOfItsService)
{
  platform::host_info host;
  host.mService = service_name("work");
  EXPECT_EQ(AdoptHost(mDocument, host, 0, mIds).mPool, pool_name("work"));
  host.mService = {};
  const host_record idle = AdoptHost(mDocument, host, 0, mIds);
  EXPECT_EQ(idle.mPool, pool_name("spare"));
  EXPECT_EQ(idle.mPhase, host_phase::kStarting);
}

TEST_F(host_steps_test, HostThatNoPoolAdmitsIsNotAdopted)
{
  for (config::pool& pool : mDocument.mPools) {
    pool.mRacks = { rack_name("r1") };
  }
  platform::host_info host;
  host.mService = service_name("work");
  host.mRack = rack_name("r2");
  EXPECT_TRUE(AdoptHost(mDocument, host, 0, mIds).mPool.Empty());
}

} // namespace
} // namespace mangospan::fleet
