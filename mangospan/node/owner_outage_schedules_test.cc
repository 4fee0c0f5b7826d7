// Random series of overlapping outages of the store, cut-off zones, ended
// leases and restarts, in virtual time and over whole nodes.
#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "mangospan/node/testing/virtual_cluster.h"

namespace mangospan::node {
namespace {

using std::chrono::milliseconds;
using testing::virtual_cluster;

const std::vector<std::string> kServices{ "base", "peak", "quiet" };
const std::vector<std::string> kZones{ "a", "b", "c", "d" };
constexpr int kSeeds = 60;

constexpr milliseconds kWarmUp{ 6'000 };
constexpr milliseconds kFaultTime{ 14'000 };
constexpr milliseconds kMaxFaultLength{ 7'000 };
constexpr milliseconds kSubmitGap{ 150 };

// A service has no owner for as long as a lease lasts on the users' platform,
// if nobody may end that lease; callers are then told to come back in a second.
constexpr milliseconds kLease{ 3'000 };
constexpr milliseconds kMaxUnserved = kLease + virtual_cluster::kMinRetryAfter;

class schedule
{
public:
  explicit schedule(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
    mCluster.RunFor(kWarmUp);
  }

  void Play()
  {
    const int silences = Draw(1, 2);
    for (int i = 0; i < silences; ++i) {
      Disturb([this] { SetSilent(1); }, [this] { SetSilent(-1); });
    }
    const int cuts = Draw(1, 3);
    for (int i = 0; i < cuts; ++i) {
      const std::string& zone = kZones[Draw(0, 3)];
      Disturb([this, zone] { SetCut(zone, 1); },
              [this, zone] { SetCut(zone, -1); });
    }
    const int others = Draw(0, 3);
    for (int i = 0; i < others; ++i) {
      const std::string& service = kServices[Draw(0, 2)];
      const bool isRestart = Draw(0, 1) == 0;
      Disturb([this, service, isRestart] { EndOwner(service, isRestart); },
              [] {});
    }
    RunWithCallers(kFaultTime + kMaxUnserved);
    const time_point calm = mCluster.Now();
    RunWithCallers(virtual_cluster::kMinRetryAfter);
    mCluster.RunFor(virtual_cluster::kCallerPatience);
    for (const auto& each : mCluster.Callers()) {
      if (each->mFirstTryAt >= calm) {
        EXPECT_TRUE(each->mIsAccepted) << each->mService << " " << each->mZone;
      }
    }
    EXPECT_EQ(mCluster.Violations(), std::vector<std::string>());
    for (const auto& [service, longest] : mLongestUnserved) {
      EXPECT_LE(longest.count(), kMaxUnserved.count()) << service;
    }
  }

private:
  int Draw(int aFrom, int aTo)
  {
    return std::uniform_int_distribution<int>(aFrom, aTo)(mRandom);
  }

  // Begins a fault at a random time and ends it before the faults' time is
  // over.
  void Disturb(const std::function<void()>& aBegin,
               const std::function<void()>& aEnd)
  {
    const milliseconds begin(Draw(0, static_cast<int>(kFaultTime.count())));
    const milliseconds length(
      Draw(0, static_cast<int>(kMaxFaultLength.count())));
    mCluster.After(begin, [this, aBegin] {
      aBegin();
      mUnserved.clear();
    });
    mCluster.After(std::min(begin + length, kFaultTime), [this, aEnd] {
      aEnd();
      mUnserved.clear();
    });
  }
  void SetSilent(int aChange)
  {
    mSilences += aChange;
    mCluster.SetStoreSilent(mSilences > 0);
  }
  void SetCut(const std::string& aZone, int aChange)
  {
    mCuts[aZone] += aChange;
    mCluster.SetCut(aZone, mCuts[aZone] > 0);
  }
  void EndOwner(const std::string& aService, bool aIsRestart)
  {
    const std::string owner = mCluster.LeaseHolder(aService);
    if (owner.empty()) {
      return;
    }
    if (aIsRestart) {
      mCluster.Restart(owner);
    } else {
      mCluster.RevokeLease(aService);
    }
  }

  void RunWithCallers(milliseconds aTime)
  {
    const time_point end = mCluster.Now() + aTime;
    while (mCluster.Now() < end) {
      if (mCluster.Now() >= mNextSubmission) {
        mNextSubmission = mCluster.Now() + kSubmitGap;
        for (const std::string& service : kServices) {
          mCluster.Submit(service, kZones[Draw(0, 3)]);
        }
      }
      mCluster.RunFor(milliseconds(1));
      for (const std::string& service : kServices) {
        CountUnserved(service);
      }
    }
  }
  // Measures the longest time without an owner while the store answers and
  // nothing else happens.
  void CountUnserved(const std::string& aService)
  {
    milliseconds& unserved = mUnserved[aService];
    if (mSilences > 0 || mCluster.IsServed(aService)) {
      unserved = milliseconds(0);
    } else {
      ++unserved;
    }
    milliseconds& longest = mLongestUnserved[aService];
    longest = std::max(longest, unserved);
  }

  std::mt19937_64 mRandom;
  virtual_cluster mCluster{ kZones, kServices };
  int mSilences = 0; // faults that keep the store silent
  std::map<std::string, int> mCuts;
  time_point mNextSubmission{};
  std::map<std::string, milliseconds> mUnserved;
  std::map<std::string, milliseconds> mLongestUnserved;
};

class owner_outage_schedules_test : public ::testing::TestWithParam<int>
{};

TEST_P(owner_outage_schedules_test,
       ServicesAreOwnedAgainAndNoJobIsLostOrDoubled)
{
  schedule(static_cast<std::uint64_t>(GetParam())).Play();
}

INSTANTIATE_TEST_SUITE_P(seeds,
                         owner_outage_schedules_test,
                         ::testing::Range(1, kSeeds + 1));

} // namespace
} // namespace mangospan::node
