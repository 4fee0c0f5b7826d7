// Seeded schedules of faults over two zones, checked at every step.
//
// To repeat one: FLEET_SEED=<seed> FLEET_SCHEDULES=1 mangospan_fleet_test.

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

constexpr std::uint64_t kSchedules = 10000;
constexpr unsigned kThreads = 4;
constexpr milliseconds kFaults{ 6000 };
constexpr milliseconds kRecovery{ 12000 };

std::uint64_t
FromEnvironment(const char* aName, std::uint64_t aDefault)
{
  const char* text = std::getenv(aName);
  return text == nullptr ? aDefault : std::strtoull(text, nullptr, 10);
}

class schedule
{
public:
  explicit schedule(std::uint64_t aSeed)
    : mRandom(static_cast<std::minstd_rand::result_type>(aSeed * 7919 + 1))
    , mFleet(Options(), aSeed)
  {
  }

  std::vector<std::string> Run()
  {
    mFleet.Apply(testing::TwoPools(1 + Draw(2)));
    mFleet.Run(milliseconds(500 + Draw(2500)));
    mFleet.mStore.mLostAnswers = 0.03 * static_cast<double>(Draw(4));
    mFleet.mStore.mLostRequests = 0.02 * static_cast<double>(Draw(3));
    mFleet.mDemand = Draw(2) == 0;
    const time_point end = mFleet.mEvents.Now() + kFaults;
    while (mFleet.mEvents.Now() < end) {
      Disturb();
      mFleet.Run(milliseconds(20 + Draw(600)));
    }
    mFleet.Heal();
    mFleet.mDemand = false;
    mFleet.Run(kRecovery);
    // Waves go on, and pushes may be on their way; each step must end.
    for (int i = 0; i < 200 && !(Settled() && InStep()); ++i) {
      mFleet.Run(milliseconds(50));
    }
    CheckEnd();
    return mFleet.Violations();
  }

private:
  static fleet_options Options()
  {
    fleet_options options;
    options.mZones = 2;
    options.mSettings = testing::ShortSettings();
    options.mSettings.mSizingEvery = milliseconds(200);
    return options;
  }

  std::uint64_t Draw(std::uint64_t aBelow) { return mRandom() % aBelow; }

  fake_process& AnyProcess()
  {
    return *mFleet.Processes()[Draw(mFleet.Processes().size())];
  }

  fake_entry& AnyEntry()
  {
    return *mFleet.Entries()[Draw(mFleet.Entries().size())];
  }

  host_name AnyHost()
  {
    return host_name(mFleet.Zone(Draw(2)).Str() + "-" +
                     std::to_string(Draw(4)));
  }

  void DisturbProcess()
  {
    fake_process& process = AnyProcess();
    if (process.mController == nullptr) {
      mFleet.Start(process);
    } else if (process.mFrozen) {
      mFleet.Thaw(process);
    } else if (Draw(2) == 0) {
      mFleet.Kill(process);
    } else {
      mFleet.Freeze(process);
    }
  }

  void DisturbEntry()
  {
    fake_entry& entry = AnyEntry();
    switch (Draw(3)) {
      case 0:
        entry.mFrozen = !entry.mFrozen;
        break;
      case 1:
        entry.mCut = !entry.mCut;
        break;
      default:
        mFleet.RestartEntry(entry);
        break;
    }
  }

  void DisturbPlatform()
  {
    const host_name host = AnyHost();
    switch (Draw(4)) {
      case 0:
        mFleet.mStore.mDown = !mFleet.mStore.mDown;
        break;
      case 1:
        mFleet.mHosts.mDown = !mFleet.mHosts.mDown;
        break;
      case 2:
        mFleet.mHosts.mFailures = 0.3 * static_cast<double>(Draw(3));
        break;
      default:
        mFleet.KillHost(host);
        break;
    }
  }

  void Operate()
  {
    switch (Draw(3)) {
      case 0:
        mFleet.Apply(testing::TwoPools(Draw(4)));
        break;
      case 1:
        mDrained = Draw(2) == 0 ? std::vector<host_name>{}
                                : std::vector<host_name>{ AnyHost() };
        mFleet.Drain(mDrained);
        break;
      default:
        mFleet.StartWave("w" + std::to_string(Draw(3)), Draw(3) == 0);
        break;
    }
    mFleet.mDemandRate = 20 * Draw(3);
  }

  void Disturb()
  {
    using step = void (schedule::*)();
    static constexpr step kSteps[] = {
      &schedule::DisturbProcess, &schedule::DisturbProcess,
      &schedule::DisturbEntry,   &schedule::DisturbPlatform,
      &schedule::Operate,        &schedule::Operate,
    };
    (this->*kSteps[Draw(std::size(kSteps))])();
  }

  bool Settled() const
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

  bool InStep()
  {
    for (const auto& entry : mFleet.Entries()) {
      const fake_process* acting = mFleet.Acting(entry->mView.mZone);
      if (acting == nullptr ||
          entry->mReported < acting->mController->View().mVersion) {
        return false;
      }
    }
    return true;
  }

  void CheckEnd()
  {
    for (std::size_t i = 0; i < 2; ++i) {
      const zone_name zone = mFleet.Zone(i);
      fake_process* acting = mFleet.Acting(zone);
      if (acting == nullptr) {
        mFleet.Violate("nobody acts in the end");
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
      mFleet.Violate("hosts are missing in the end");
    }
    for (const auto& [host, each] : record.mHosts) {
      const bool drained = !mDrained.empty() && mDrained[0] == host;
      if (each.mPhase != host_phase::kServing &&
          !(drained && each.mPhase == host_phase::kDrained)) {
        mFleet.Violate("host " + host.Str() + " is " + Name(each.mPhase) +
                       " in the end");
      }
    }
  }

  void CheckEntry(const fake_entry& aEntry, const fake_process& aActing)
  {
    if (!aEntry.mRegistered ||
        aEntry.mReported < aActing.mController->View().mVersion) {
      mFleet.Violate("entry " + aEntry.mId.mHost.Str() +
                     " has not the last view in the end");
    }
    if (aEntry.mConfigRevision != mFleet.mStore.RevisionOf(kConfigKey)) {
      mFleet.Violate("entry " + aEntry.mId.mHost.Str() +
                     " has not the last configuration in the end");
    }
  }

  std::minstd_rand mRandom;
  fake_fleet mFleet;
  std::vector<host_name> mDrained;
};

TEST(schedules, EveryInvariantHoldsInEverySchedule)
{
  const std::uint64_t first = FromEnvironment("FLEET_SEED", 1);
  const std::uint64_t count = FromEnvironment("FLEET_SCHEDULES", kSchedules);
  std::atomic<std::uint64_t> next{ 0 };
  std::atomic<int> failures{ 0 };
  std::mutex mutex;
  const auto work = [&] {
    for (std::uint64_t i = next++; i < count && failures < 5; i = next++) {
      const std::vector<std::string> violations = schedule(first + i).Run();
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
    threads.emplace_back(work);
  }
  for (std::thread& each : threads) {
    each.join();
  }
}

} // namespace
} // namespace mangospan::fleet
