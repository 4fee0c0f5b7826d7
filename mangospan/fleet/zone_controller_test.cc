#include "mangospan/fleet/zone_controller.h"

#include <algorithm>
#include <cstddef>
#include <set>
#include <string>
#include <variant>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "mangospan/config/parser.h"
#include "mangospan/fleet/testing/fake_fleet.h"

namespace mangospan::fleet {
namespace {

using testing::fake_entry;
using testing::fake_fleet;
using testing::fake_process;
using testing::fleet_options;
using ::testing::IsEmpty;
using testing::milliseconds;

class zone_controller_test : public ::testing::Test
{
protected:
  zone_controller_test()
    : mFleet(Options(), kSeed)
  {
    mFleet.Apply(testing::TwoPools(1));
    mFleet.Run(milliseconds(3000));
  }

  ~zone_controller_test() override
  {
    EXPECT_THAT(mFleet.Violations(), IsEmpty()) << "seed " << kSeed;
  }

  static fleet_options Options()
  {
    fleet_options options;
    options.mSettings = testing::ShortSettings();
    return options;
  }

  zone_name Zone() const { return mFleet.Zone(0); }
  fake_process& Acting() { return *mFleet.ActingProcess(Zone()); }
  host_record Host(const char* aHost) const
  {
    return mFleet.Hosts(Zone()).mHosts.at(host_name(aHost));
  }

  status_record Status() const
  {
    return ParseStatus(mFleet.mStore.Get(StatusKey(Zone())), "status").value();
  }

  static constexpr std::uint64_t kSeed = 7;
  fake_fleet mFleet;
};

TEST_F(zone_controller_test, OneProcessActsAndAdoptsTheListedHosts)
{
  ASSERT_NE(mFleet.ActingProcess(Zone()), nullptr);
  EXPECT_EQ(Host("a-0").mPool, pool_name("work"));
  EXPECT_EQ(Host("a-3").mPool, pool_name("spare"));
  EXPECT_EQ(mFleet.Hosts(Zone()).mTerm, Acting().mController->Term());
}

// A first view that is pushed before all hosts are adopted would take endpoints
// away from the entries.
TEST_F(zone_controller_test, FirstViewListsAllAdoptedHosts)
{
  for (const auto& entry : mFleet.Entries()) {
    EXPECT_EQ(entry->mMinEndpoints, 4U);
  }
}

TEST_F(zone_controller_test, EveryEntryGetsViewSharesAndConfiguration)
{
  for (const auto& entry : mFleet.Entries()) {
    EXPECT_TRUE(entry->mRegistered);
    EXPECT_EQ(entry->mReportedView, Acting().mController->View().mVersion);
    EXPECT_EQ(entry->mConfigRevision, mFleet.mStore.RevisionOf(kConfigKey));
    EXPECT_EQ(entry->mInFlight.at(host_name("a-0")), 2U);
  }
}

TEST_F(zone_controller_test, AnotherProcessTakesOverFromAKilledOne)
{
  const std::uint64_t term = Acting().mController->Term();
  mFleet.Kill(Acting());
  mFleet.Run(milliseconds(3500));
  ASSERT_NE(mFleet.ActingProcess(Zone()), nullptr);
  EXPECT_GT(Acting().mController->Term(), term);
  for (const auto& entry : mFleet.Entries()) {
    EXPECT_EQ(entry->mReportedView.mTerm, Acting().mController->Term());
    EXPECT_EQ(entry->mInFlight.at(host_name("a-0")), 2U);
  }
}

// A process that was suspended beyond its lease must not act under its old term
// once it resumes, as another process has taken over.
TEST_F(zone_controller_test, ResumedProcessStopsActingAtOnce)
{
  fake_process& old = Acting();
  mFleet.Freeze(old);
  mFleet.Run(milliseconds(4000));
  ASSERT_NE(mFleet.ActingProcess(Zone()), nullptr);
  mFleet.Thaw(old);
  EXPECT_FALSE(old.mController->Acting());
  EXPECT_NE(&Acting(), &old);
}

TEST_F(zone_controller_test, NoProcessActsWithoutStoreAndEntriesKeepTheirView)
{
  mFleet.mStore.mDown = true;
  mFleet.Run(milliseconds(5000));
  EXPECT_EQ(mFleet.ActingProcess(Zone()), nullptr);
  EXPECT_EQ(mFleet.Entries()[0]->mInFlight.at(host_name("a-0")), 2U);
  mFleet.mStore.mDown = false;
  mFleet.Run(milliseconds(5000));
  EXPECT_NE(mFleet.ActingProcess(Zone()), nullptr);
}

TEST_F(zone_controller_test, HostIsDrainedOnceNoEntryHasRequestsInFlight)
{
  mFleet.Drain({ host_name("a-0") });
  mFleet.Run(milliseconds(3000));
  EXPECT_EQ(Host("a-0").mPhase, host_phase::kDrained);
  mFleet.Drain({});
  mFleet.Run(milliseconds(3000));
  EXPECT_EQ(Host("a-0").mPhase, host_phase::kServing);
  EXPECT_EQ(Host("a-0").mEpoch, 2U);
  EXPECT_THAT(mFleet.Budget(pool_name("work")).mZones.at(Zone()).mPermits,
              IsEmpty());
}

TEST_F(zone_controller_test, FrozenEntryDelaysDrainAndIsNamedInStatus)
{
  mFleet.Entries()[1]->mFrozen = true;
  mFleet.Drain({ host_name("a-0") });
  mFleet.Run(milliseconds(8000));
  EXPECT_EQ(Host("a-0").mPhase, host_phase::kDraining);
  const auto status =
    ParseStatus(mFleet.mStore.Get(StatusKey(Zone())), "status").value();
  ASSERT_EQ(status.mWaiting.size(), 1U);
  EXPECT_EQ(status.mWaiting[0].mReason, "waits for entry a-e1 to acknowledge");
  EXPECT_EQ(status.mUnresponsiveEntries, std::vector{ host_name("a-e1") });
  mFleet.Entries()[1]->mFrozen = false;
  mFleet.Run(milliseconds(5000));
  EXPECT_EQ(Host("a-0").mPhase, host_phase::kDrained);
}

// An entry on a host that the platform lists as gone may still run, so a drain
// waits for its acknowledgement for the whole `settings::mEntryFence`.
TEST_F(zone_controller_test, DrainWaitsForEntryOfGoneHostUntilFence)
{
  mFleet.Entries()[1]->mFrozen = true;
  mFleet.mHosts.SetState(host_name("a-e1"), platform::host_state::kGone);
  mFleet.Drain({ host_name("a-0") });
  mFleet.Run(milliseconds(2500));
  EXPECT_EQ(Host("a-0").mPhase, host_phase::kDraining);
  mFleet.Entries()[1]->mInFlight.clear();
  mFleet.Run(milliseconds(4000));
  EXPECT_EQ(Host("a-0").mPhase, host_phase::kDrained);
}

TEST_F(zone_controller_test, LeavingHostGetsNoNewWorkButStaysInService)
{
  mFleet.mHosts.SetState(host_name("a-0"), platform::host_state::kLeaving);
  mFleet.Run(milliseconds(3000));
  EXPECT_EQ(mFleet.Entries()[0]->mInFlight.at(host_name("a-0")), 0U);
  EXPECT_EQ(Host("a-0").mPhase, host_phase::kServing);
  EXPECT_EQ(mFleet.Budget(pool_name("work")).mZones.at(Zone()).mDownHosts,
            std::vector{ host_name("a-0") });
}

// A host that is down already counts as unavailable, so its drain takes nothing
// more from the availability budget and must not wait for it.
TEST_F(zone_controller_test, HostThatIsDownDrainsEvenIfBudgetIsExhausted)
{
  mFleet.Drain({ host_name("a-1") });
  mFleet.Run(milliseconds(3000));
  mFleet.mHosts.SetState(host_name("a-0"), platform::host_state::kLeaving);
  mFleet.Run(milliseconds(1000));
  mFleet.Drain({ host_name("a-0"), host_name("a-1") });
  mFleet.Run(milliseconds(3000));
  EXPECT_EQ(Host("a-0").mPhase, host_phase::kDrained);
  const zone_budget_part part =
    mFleet.Budget(pool_name("work")).mZones.at(Zone());
  EXPECT_EQ(part.mPermits.size(), 2U);
  EXPECT_THAT(part.mDownHosts, IsEmpty());
}

// A host that was drained while it was down is live again but still drained.
// Without its permit it would no longer count as unavailable, and the wave
// would exceed the budget.
TEST_F(zone_controller_test, HostDrainedWhileDownKeepsItsPermitAfterItsReturn)
{
  mFleet.mHosts.SetState(host_name("a-0"), platform::host_state::kLeaving);
  mFleet.Run(milliseconds(1000));
  mFleet.Drain({ host_name("a-0") });
  mFleet.Run(milliseconds(3000));
  ASSERT_EQ(Host("a-0").mPhase, host_phase::kDrained);
  mFleet.mHosts.SetState(host_name("a-0"), platform::host_state::kLive);
  mFleet.StartWave("w1", false);
  mFleet.Run(milliseconds(4000));
  EXPECT_EQ(Host("a-1").mLastWave, "");
  mFleet.Drain({});
  mFleet.Run(milliseconds(12000));
  EXPECT_EQ(Host("a-0").mLastWave, "w1");
  EXPECT_EQ(Host("a-1").mLastWave, "w1");
}

TEST_F(zone_controller_test, WaveStatusNamesNumberOfHostsThatAreDown)
{
  mFleet.mHosts.SetState(host_name("a-0"), platform::host_state::kLeaving);
  mFleet.Apply(testing::TwoPools(2));
  mFleet.Run(milliseconds(1000));
  mFleet.StartWave("w1", false);
  mFleet.Run(milliseconds(8000));
  ASSERT_EQ(Status().mWaves.size(), 1U);
  EXPECT_EQ(Status().mWaves[0].mState, "waits for hosts that are down: 1");
  mFleet.mHosts.SetState(host_name("a-0"), platform::host_state::kLive);
  mFleet.Run(milliseconds(4000));
  EXPECT_EQ(Status().mWaves[0].mState, "done");
}

// No view lists a gone host, so entries cannot acknowledge its drain. The
// status must not name the entries as the reason for the wait.
TEST_F(zone_controller_test, StatusNamesGoneHostAsReasonOfWaitingDrain)
{
  mFleet.mHosts.SetState(host_name("a-0"), platform::host_state::kGone);
  mFleet.Run(milliseconds(800));
  mFleet.Drain({ host_name("a-0") });
  mFleet.Run(milliseconds(1500));
  ASSERT_EQ(Status().mWaiting.size(), 1U);
  EXPECT_EQ(Status().mWaiting[0].mReason, "waits for the host, which is gone");
  mFleet.mHosts.SetState(host_name("a-0"), platform::host_state::kLive);
  mFleet.Run(milliseconds(4000));
  EXPECT_EQ(Host("a-0").mPhase, host_phase::kDrained);
}

TEST_F(zone_controller_test, WaveRebootsEveryHostWithinBudget)
{
  mFleet.StartWave("w1", false);
  mFleet.Run(milliseconds(12000));
  for (const char* host : { "a-0", "a-1", "a-2" }) {
    EXPECT_EQ(Host(host).mLastWave, "w1");
    EXPECT_EQ(Host(host).mPhase, host_phase::kServing);
    EXPECT_EQ(mFleet.mHosts.At(host_name(host)).mBootCount, 1U);
  }
  EXPECT_EQ(mFleet.mDrainCount, 3U);
}

// Checks that a wave takes hosts of at most one rack out of service at a time,
// and both of its hosts together. `aListsRebooting` says whether the platform
// lists a host while it reboots.
void
CheckWaveByRacks(bool aListsRebooting)
{
  fleet_options options;
  options.mSettings = testing::ShortSettings();
  options.mHosts = 8;
  options.mServices = { service_name("work") };
  fake_fleet fleet(options, 7);
  fleet.mHosts.mListsRebooting = aListsRebooting;
  fleet.Apply(testing::TwoPools(3));
  fleet.Run(milliseconds(3000));
  fleet.StartWave("w1", false);
  std::size_t maxOutOfService = 0;
  for (int i = 0; i < 1200; ++i) {
    fleet.Run(milliseconds(10));
    std::size_t outOfService = 0;
    std::set<rack_name> racks;
    for (const auto& [host, record] : fleet.Hosts(fleet.Zone(0)).mHosts) {
      if (record.mPhase != host_phase::kServing) {
        ++outOfService;
        racks.insert(fleet.mHosts.At(host).mRack);
      }
    }
    ASSERT_LE(racks.size(), 1U) << "after " << i * 10 << " ms";
    maxOutOfService = std::max(maxOutOfService, outOfService);
  }
  EXPECT_EQ(maxOutOfService, 2U);
  for (const auto& [host, record] : fleet.Hosts(fleet.Zone(0)).mHosts) {
    EXPECT_EQ(record.mLastWave, "w1") << host.Str();
  }
  EXPECT_THAT(fleet.Violations(), IsEmpty());
}

TEST(zone_controller_racks, WaveRebootsHostsOfOneRackTogether)
{
  CheckWaveByRacks(true);
}

// The platform may drop a host from its list while the host reboots. The wave
// must not begin with another rack then.
TEST(zone_controller_racks, WaveKeepsToOneRackWhileItsHostsAreUnlisted)
{
  CheckWaveByRacks(false);
}

TEST_F(zone_controller_test, PausedWaveDrainsNoHosts)
{
  mFleet.StartWave("w1", true);
  mFleet.Run(milliseconds(5000));
  EXPECT_EQ(mFleet.mDrainCount, 0U);
}

TEST_F(zone_controller_test, FailuresStopWaveUntilAnotherIsStarted)
{
  mFleet.Apply(testing::TwoPools(3));
  mFleet.mHosts.mRebootFailureRate = 1;
  mFleet.StartWave("w1", false);
  mFleet.Run(milliseconds(4000));
  mFleet.mHosts.mRebootFailureRate = 0;
  mFleet.Run(milliseconds(6000));
  const auto status =
    ParseStatus(mFleet.mStore.Get(StatusKey(Zone())), "status").value();
  ASSERT_FALSE(status.mWaves.empty());
  EXPECT_EQ(status.mWaves[0].mState, "stopped: 2 hosts failed");
  mFleet.StartWave("w2", false);
  mFleet.Run(milliseconds(8000));
  EXPECT_EQ(Host("a-0").mLastWave, "w2");
}

std::size_t
CountConfigPushes(const actions& aActions)
{
  return static_cast<std::size_t>(
    std::count_if(aActions.begin(), aActions.end(), [](const action& aEach) {
      return std::holds_alternative<push_config>(aEach);
    }));
}

// Entries report to the acting process only. A standby process that repeated
// its pushes until an entry acknowledges them would push forever.
TEST(zone_controller_standby, PushesConfigurationOnceAndOnlyWhileNoProcessActs)
{
  zone_controller standby(zone_name("a"),
                          { host_name("f"), boot_id{ 7 }, "" },
                          {},
                          &config::Parse,
                          1);
  const view::entry_id entry{ host_name("e"), boot_id{ 8 } };
  wire::sender holder;
  holder.mTerm = 3;
  time_point now{ std::chrono::hours(1) };
  standby.OnPeerHeartbeat(holder, {}, now);
  standby.OnEntryHello(entry, {}, now);
  std::size_t pushes = CountConfigPushes(
    standby.OnConfiguration(9, config::ToText(testing::TwoPools(1)), now));
  for (int i = 0; i < 20; ++i) {
    now += milliseconds(500);
    pushes += CountConfigPushes(standby.OnPeerHeartbeat(holder, {}, now));
    pushes += CountConfigPushes(standby.OnTick(now, {}));
  }
  EXPECT_EQ(pushes, 0U);
  for (int i = 0; i < 40; ++i) {
    now += milliseconds(500);
    pushes += CountConfigPushes(standby.OnTick(now, {}));
  }
  EXPECT_EQ(pushes, 1U);
}

TEST_F(zone_controller_test, MinHostsAreMetBeforeDemandIsKnown)
{
  config::document document = testing::TwoPools(1);
  document.mPools[0].mMinHosts = 4;
  mFleet.Apply(document);
  mFleet.Run(milliseconds(6000));
  for (const char* host : { "a-0", "a-1", "a-2", "a-3" }) {
    EXPECT_EQ(Host(host).mPool, pool_name("work"));
    EXPECT_EQ(Host(host).mPhase, host_phase::kServing);
  }
}

TEST_F(zone_controller_test, BudgetOfZeroHostsPreventsDrains)
{
  mFleet.Apply(testing::TwoPools(0));
  mFleet.StartWave("w1", false);
  mFleet.Run(milliseconds(5000));
  EXPECT_EQ(mFleet.mDrainCount, 0U);
}

// The stored configuration is malformed when a standby process takes over. It
// continues with the configuration that it received from its peers.
TEST_F(zone_controller_test, StandbyKeepsItsConfigurationIfStoredOneIsRefused)
{
  const config::revisioned_document held =
    Acting().mController->Configuration();
  for (const auto& process : mFleet.Processes()) {
    process->mController->OnConfiguration(
      held.mRevision, "0", mFleet.mEvents.Now());
  }
  mFleet.mStore.Put(kConfigKey, "nonsense");
  mFleet.Kill(Acting());
  mFleet.Run(milliseconds(3500));
  ASSERT_NE(mFleet.ActingProcess(Zone()), nullptr);
  EXPECT_EQ(Acting().mController->Configuration().mRevision, held.mRevision);
  for (const auto& entry : mFleet.Entries()) {
    EXPECT_EQ(entry->mReportedView.mTerm, Acting().mController->Term());
    EXPECT_EQ(entry->mInFlight.at(host_name("a-0")), 2U);
  }
  EXPECT_NE(Status().mConfigError, "");
}

// After a restart of all processes with a malformed stored configuration, none
// holds a configuration. A view built without one would list no endpoint.
TEST_F(zone_controller_test, EntriesKeepTheirViewIfNoConfigurationIsHeld)
{
  for (const auto& process : mFleet.Processes()) {
    mFleet.Kill(*process);
  }
  mFleet.mStore.Put(kConfigKey, "nonsense");
  for (const auto& process : mFleet.Processes()) {
    mFleet.Start(*process);
  }
  mFleet.Run(milliseconds(5000));
  ASSERT_NE(mFleet.ActingProcess(Zone()), nullptr);
  EXPECT_EQ(Acting().mController->Configuration().mRevision, 0U);
  for (const auto& entry : mFleet.Entries()) {
    EXPECT_TRUE(entry->mRegistered);
    EXPECT_EQ(entry->mView.mEndpoints.size(), 4U);
    EXPECT_EQ(entry->mInFlight.at(host_name("a-0")), 2U);
  }
  EXPECT_EQ(Status().mTerm, Acting().mController->Term());
  EXPECT_THAT(Status().mConfigError,
              ::testing::HasSubstr("entries keep the view they have"));
  mFleet.Apply(testing::TwoPools(1));
  mFleet.Run(milliseconds(2000));
  for (const auto& entry : mFleet.Entries()) {
    EXPECT_EQ(entry->mReportedView, Acting().mController->View().mVersion);
  }
  EXPECT_EQ(Status().mConfigError, "");
}

// Without a configuration the service of a host's pool is unknown, so a runner
// started then would run no service.
TEST_F(zone_controller_test, NoRunnerIsStartedWhileNoConfigurationIsHeld)
{
  mFleet.Drain({ host_name("a-0") });
  mFleet.Run(milliseconds(3000));
  ASSERT_EQ(Host("a-0").mPhase, host_phase::kDrained);
  mFleet.mHosts.mDown = true;
  mFleet.Drain({});
  mFleet.Run(milliseconds(1000));
  ASSERT_EQ(Host("a-0").mPhase, host_phase::kStarting);
  for (const auto& process : mFleet.Processes()) {
    mFleet.Kill(*process);
  }
  mFleet.mStore.Put(kConfigKey, "nonsense");
  mFleet.mHosts.mDown = false;
  for (const auto& process : mFleet.Processes()) {
    mFleet.Start(*process);
  }
  mFleet.Run(milliseconds(4000));
  EXPECT_EQ(Host("a-0").mPhase, host_phase::kStarting);
  mFleet.Apply(testing::TwoPools(1));
  mFleet.Run(milliseconds(4000));
  EXPECT_EQ(Host("a-0").mPhase, host_phase::kServing);
  // If a runner had been started without a configuration, it would have been
  // started again, and the epoch would be 3.
  EXPECT_EQ(Host("a-0").mEpoch, 2U);
  EXPECT_EQ(mFleet.mHosts.At(host_name("a-0")).mService, service_name("work"));
}

TEST_F(zone_controller_test, DemandMovesHostsFromTheSparePoolAndBack)
{
  mFleet.mReportsDemand = true;
  mFleet.mDemandRate = 40;
  mFleet.Run(milliseconds(8000));
  EXPECT_EQ(Host("a-3").mPool, pool_name("work"));
  mFleet.mDemandRate = 0;
  mFleet.Run(milliseconds(500000));
  EXPECT_GT(mFleet.mMoveCount, 1U);
}

} // namespace
} // namespace mangospan::fleet
