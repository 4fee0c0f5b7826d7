// Runs seeded random schedules of faults and operator requests over two zones.
// The invariants of the fake fleet are checked at every change, and both zones
// must recover after the faults have ended.
//
// To repeat a schedule that failed:
//   FLEET_SEED=<seed> FLEET_SCHEDULES=1 mangospan_fleet_test

#include <atomic>
#include <cstdint>
#include <cstdlib>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

#include "mangospan/fleet/testing/fake_fleet.h"

namespace mangospan::fleet {
namespace {

using testing::fake_entry;
using testing::fake_fleet;
using testing::fake_process;
using testing::fleet_options;
using testing::milliseconds;

constexpr std::uint64_t kScheduleCount = 10000;
constexpr unsigned kThreads = 4;
// Virtual time during which faults are injected, and time to recover after it.
constexpr milliseconds kFaultTime{ 6000 };
constexpr milliseconds kRecoveryTime{ 12000 };

// Returns the number in the environment variable, or `aDefault` if it is not
// set.
std::uint64_t
NumberFromEnvironment(const char* aName, std::uint64_t aDefault)
{
  const char* text = std::getenv(aName);
  return text == nullptr ? aDefault : std::strtoull(text, nullptr, 10);
}

// One schedule of faults, determined by its seed.
class fault_schedule
{
public:
  explicit fault_schedule(std::uint64_t aSeed)
    : mRandom(static_cast<std::minstd_rand::result_type>(aSeed * 7919 + 1))
    , mFleet(Options(), aSeed)
  {
  }

  // Runs the schedule and returns the violations of invariants.
  std::vector<std::string> Run()
  {
    mFleet.Apply(testing::TwoPools(1 + RandomBelow(2)));
    mFleet.Run(milliseconds(500 + RandomBelow(2500)));
    mFleet.mStore.mLostAnswerRate = 0.03 * static_cast<double>(RandomBelow(4));
    mFleet.mStore.mLostRequestRate = 0.02 * static_cast<double>(RandomBelow(3));
    mFleet.mReportsDemand = RandomBelow(2) == 0;
    const time_point end = mFleet.mEvents.Now() + kFaultTime;
    while (mFleet.mEvents.Now() < end) {
      InjectFault();
      mFleet.Run(milliseconds(20 + RandomBelow(600)));
    }
    mFleet.Heal();
    mFleet.mReportsDemand = false;
    mFleet.Run(kRecoveryTime);
    // Waves continue and pushes may still be in flight, so wait up to 10 s for
    // a moment without a host between two phases or an entry with an older
    // view.
    for (int i = 0; i < 200 && !(AreHostsSettled() && HaveEntriesLatestView());
         ++i) {
      mFleet.Run(milliseconds(50));
    }
    CheckFinalState();
    return mFleet.Violations();
  }

private:
  static fleet_options Options()
  {
    fleet_options options;
    options.mZones = 2;
    options.mSettings = testing::ShortSettings();
    options.mSettings.mAutoscalerInterval = milliseconds(200);
    return options;
  }

  // Returns a random number in [0, `aLimit`).
  std::uint64_t RandomBelow(std::uint64_t aLimit) { return mRandom() % aLimit; }

  fake_process& RandomProcess()
  {
    return *mFleet.Processes()[RandomBelow(mFleet.Processes().size())];
  }

  fake_entry& RandomEntry()
  {
    return *mFleet.Entries()[RandomBelow(mFleet.Entries().size())];
  }

  host_name RandomHost()
  {
    return host_name(mFleet.Zone(RandomBelow(2)).Str() + "-" +
                     std::to_string(RandomBelow(4)));
  }

  void InjectProcessFault()
  {
    fake_process& process = RandomProcess();
    if (process.mController == nullptr) {
      mFleet.Start(process);
    } else if (process.mFrozen) {
      mFleet.Thaw(process);
    } else if (RandomBelow(2) == 0) {
      mFleet.Kill(process);
    } else {
      mFleet.Freeze(process);
    }
  }

  void InjectEntryFault()
  {
    fake_entry& entry = RandomEntry();
    switch (RandomBelow(3)) {
      case 0:
        entry.mFrozen = !entry.mFrozen;
        break;
      case 1:
        entry.mPartitioned = !entry.mPartitioned;
        break;
      default:
        mFleet.RestartEntry(entry);
        break;
    }
  }

  void InjectPlatformFault()
  {
    const host_name host = RandomHost();
    switch (RandomBelow(4)) {
      case 0:
        mFleet.mStore.mDown = !mFleet.mStore.mDown;
        break;
      case 1:
        mFleet.mHosts.mDown = !mFleet.mHosts.mDown;
        break;
      case 2:
        mFleet.mHosts.mRebootFailureRate =
          0.3 * static_cast<double>(RandomBelow(3));
        break;
      default:
        mFleet.KillHost(host);
        break;
    }
  }

  void ActAsOperator()
  {
    switch (RandomBelow(3)) {
      case 0:
        mFleet.Apply(testing::TwoPools(RandomBelow(4)));
        break;
      case 1:
        mDrainedHosts = RandomBelow(2) == 0
                          ? std::vector<host_name>{}
                          : std::vector<host_name>{ RandomHost() };
        mFleet.Drain(mDrainedHosts);
        break;
      default:
        mFleet.StartWave("w" + std::to_string(RandomBelow(3)),
                         RandomBelow(3) == 0);
        break;
    }
    mFleet.mDemandRate = 20 * RandomBelow(3);
  }

  void InjectFault()
  {
    using injection = void (fault_schedule::*)();
    static constexpr injection kInjections[] = {
      &fault_schedule::InjectProcessFault, &fault_schedule::InjectProcessFault,
      &fault_schedule::InjectEntryFault,   &fault_schedule::InjectPlatformFault,
      &fault_schedule::ActAsOperator,      &fault_schedule::ActAsOperator,
    };
    (this->*kInjections[RandomBelow(std::size(kInjections))])();
  }

  // Returns true if every host is in service or drained.
  bool AreHostsSettled() const
  {
    for (std::size_t i = 0; i < 2; ++i) {
      for (const auto& [host, record] : mFleet.Hosts(mFleet.Zone(i)).mHosts) {
        if (record.mPhase != host_phase::kServing &&
            record.mPhase != host_phase::kDrained) {
          return false;
        }
      }
    }
    return true;
  }

  // Returns true if every entry complies with the acting process's view.
  bool HaveEntriesLatestView()
  {
    for (const auto& entry : mFleet.Entries()) {
      const fake_process* acting = mFleet.ActingProcess(entry->mView.mZone);
      if (acting == nullptr ||
          entry->mReportedView < acting->mController->View().mVersion) {
        return false;
      }
    }
    return true;
  }

  void CheckFinalState()
  {
    for (std::size_t i = 0; i < 2; ++i) {
      const zone_name zone = mFleet.Zone(i);
      fake_process* acting = mFleet.ActingProcess(zone);
      if (acting == nullptr) {
        mFleet.AddViolation("no process acts for a zone after recovery");
        continue;
      }
      CheckHosts(zone);
      for (const auto& entry : mFleet.Entries()) {
        if (entry->mView.mZone == zone) {
          CheckEntry(*entry, *acting);
        }
      }
    }
  }

  void CheckHosts(const zone_name& aZone)
  {
    const hosts_record record = mFleet.Hosts(aZone);
    if (record.mHosts.size() != 4) {
      mFleet.AddViolation(
        "the hosts record does not have 4 hosts after recovery");
    }
    for (const auto& [host, each] : record.mHosts) {
      const bool isDrainRequested =
        !mDrainedHosts.empty() && mDrainedHosts[0] == host;
      if (each.mPhase != host_phase::kServing &&
          !(isDrainRequested && each.mPhase == host_phase::kDrained)) {
        mFleet.AddViolation("host " + host.Str() + " is " + Name(each.mPhase) +
                            " after recovery");
      }
    }
  }

  void CheckEntry(const fake_entry& aEntry, const fake_process& aActing)
  {
    if (!aEntry.mRegistered ||
        aEntry.mReportedView < aActing.mController->View().mVersion) {
      mFleet.AddViolation("entry " + aEntry.mId.mHost.Str() +
                          " does not have the latest view after recovery");
    }
    if (aEntry.mConfigRevision != mFleet.mStore.RevisionOf(kConfigKey)) {
      mFleet.AddViolation(
        "entry " + aEntry.mId.mHost.Str() +
        " does not have the latest configuration after recovery");
    }
  }

  std::minstd_rand mRandom;
  fake_fleet mFleet;
  std::vector<host_name> mDrainedHosts; // as last requested by the operator
};

// Guards against combinations of faults that break an invariant or from which a
// zone does not recover. Stops early after 5 schedules with violations.
TEST(schedules, EveryInvariantHoldsInEverySchedule)
{
  const std::uint64_t first = NumberFromEnvironment("FLEET_SEED", 1);
  const std::uint64_t count =
    NumberFromEnvironment("FLEET_SCHEDULES", kScheduleCount);
  std::atomic<std::uint64_t> nextIndex{ 0 };
  std::atomic<int> failures{ 0 };
  std::mutex mutex;
  const auto runSchedules = [&] {
    for (std::uint64_t i = nextIndex++; i < count && failures < 5;
         i = nextIndex++) {
      const std::vector<std::string> violations =
        fault_schedule(first + i).Run();
      if (violations.empty()) {
        continue;
      }
      ++failures;
      const std::lock_guard<std::mutex> lock(mutex);
      ADD_FAILURE() << "seed " << first + i << ": " << violations.front()
                    << " (" << violations.size() << " violations)";
    }
  };
  std::vector<std::thread> threads;
  for (unsigned i = 0; i < kThreads; ++i) {
    threads.emplace_back(runSchedules);
  }
  for (std::thread& each : threads) {
    each.join();
  }
}

} // namespace
} // namespace mangospan::fleet
