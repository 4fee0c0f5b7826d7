// Outages of the store in which a zone with owners is cut off, in virtual time
// and over whole nodes.
#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "mangospan/node/testing/virtual_cluster.h"

namespace mangospan::node {
namespace {

using std::chrono::milliseconds;
using testing::virtual_cluster;

const std::string kPeak = "peak"; // the service whose queue has its peak
const std::vector<std::string> kServices{ "base", kPeak, "quiet" };
const std::vector<std::string> kZones{ "a", "b", "c", "d" };

constexpr milliseconds kPeakGap{ 40 }; // between two jobs of the peak, per zone
constexpr milliseconds kBaseGap{ 400 };

// While the store is away, callers are told to come back after this time, so
// this is by when their jobs have to be taken once it is back.
constexpr milliseconds kPromisedReturn = virtual_cluster::kMinRetryAfter;

// Times of an outage, from the begin of the store's silence.
struct outage
{
  milliseconds mZoneCutAt{ 2'500 };
  milliseconds mStoreBackAt{ 6'100 };
  milliseconds mZoneBackAt{ 7'900 };
  milliseconds mEnd{ 12'000 };
};

class owner_outage_test : public ::testing::Test
{
protected:
  owner_outage_test() { mCluster.RunFor(milliseconds(6'000)); }

  // Runs until `aUntil`; callers of every zone hand in jobs meanwhile.
  void RunWithCallers(time_point aUntil)
  {
    while (mCluster.Now() < aUntil) {
      for (const std::string& service : kServices) {
        time_point& next = mNextSubmission[service];
        if (mCluster.Now() < next) {
          continue;
        }
        next = mCluster.Now() + (service == kPeak ? kPeakGap : kBaseGap);
        for (const std::string& zone : kZones) {
          mCluster.Submit(service, zone);
        }
      }
      mCluster.RunFor(milliseconds(1));
      if (mIsCounting) {
        for (const std::string& service : kServices) {
          mUnserved[service] +=
            milliseconds(mCluster.IsServed(service) ? 0 : 1);
        }
      }
    }
  }

  // Plays the outage; the zone that is cut off is the one of the peak's owner.
  void Play(const outage& aOutage)
  {
    const std::string zone =
      virtual_cluster::ZoneOf(mCluster.LeaseHolder(kPeak));
    mCutZone = zone;
    const time_point start = mCluster.Now();
    mStoreBackAt = start + aOutage.mStoreBackAt;
    mCluster.SetStoreSilent(true);
    RunWithCallers(start + aOutage.mZoneCutAt);
    mCluster.SetCut(zone, true);
    RunWithCallers(mStoreBackAt);
    mCluster.SetStoreSilent(false);
    mIsCounting = true;
    RunWithCallers(start + aOutage.mZoneBackAt);
    mCluster.SetCut(zone, false);
    RunWithCallers(start + aOutage.mEnd);
    mIsCounting = false;
    mCluster.RunFor(virtual_cluster::kCallerPatience);
  }

  // Returns the share of the service's callers outside the cut zone that were
  // accepted, among those whose patience allows a try at `kPromisedReturn`
  // after the store's return or later.
  double ShareAccepted(const std::string& aService) const
  {
    double asked = 0;
    double accepted = 0;
    const time_point from =
      mStoreBackAt + 2 * kPromisedReturn - virtual_cluster::kCallerPatience;
    for (const auto& each : mCluster.Callers()) {
      if (each->mService == aService && each->mZone != mCutZone &&
          each->mFirstTryAt >= from) {
        asked += 1;
        accepted += each->mIsAccepted ? 1 : 0;
      }
    }
    return asked == 0 ? 1 : accepted / asked;
  }

  virtual_cluster mCluster{ kZones, kServices };
  std::map<std::string, time_point> mNextSubmission;
  std::map<std::string, milliseconds> mUnserved; // from the store's return on
  std::string mCutZone;
  time_point mStoreBackAt{};
  bool mIsCounting = false;
};

// The owner is cut off while the store is away. The store pauses its lease, so
// that it would own the jobs for a whole lease after the store's return.
TEST_F(owner_outage_test, CutOffOwnerIsReplacedOnceTheStoreIsBack)
{
  Play({});
  for (const std::string& each : kServices) {
    EXPECT_LE(mUnserved[each].count(), kPromisedReturn.count()) << each;
    EXPECT_EQ(ShareAccepted(each), 1.0) << each;
  }
  EXPECT_EQ(mCluster.Violations(), std::vector<std::string>());
}

// All watches are lost when the owner's lease is revoked. The owner learns of
// it from its renewal and claims again; the watches report the end of the
// former lease only afterwards.
TEST_F(owner_outage_test, LateReportOfTheFormerLeaseDoesNotEndTheNewTerm)
{
  const std::string owner = mCluster.LeaseHolder(kPeak);
  mCluster.SetStoreSilent(true);
  mCluster.RunFor(milliseconds(10));
  mCluster.SetStoreSilent(false);
  mCluster.RevokeLease(kPeak);
  mCluster.RunFor(milliseconds(5'000));
  EXPECT_EQ(mCluster.LeaseHolder(kPeak), owner);
  EXPECT_EQ(mCluster.TermOf(kPeak), 2U);
}

// The zone of the fleet's owner is cut off while the store is away.
TEST_F(owner_outage_test, CutOffFleetOwnerIsReplacedOnceTheStoreIsBack)
{
  const std::string before = mCluster.FleetLeaseHolder();
  mCluster.SetStoreSilent(true);
  mCluster.RunFor(outage{}.mZoneCutAt);
  mCluster.SetCut(virtual_cluster::ZoneOf(before), true);
  mCluster.RunFor(outage{}.mStoreBackAt - outage{}.mZoneCutAt);
  mCluster.SetStoreSilent(false);
  mCluster.RunFor(kPromisedReturn);
  EXPECT_NE(mCluster.FleetLeaseHolder(), before);
  EXPECT_NE(mCluster.FleetLeaseHolder(), "");
}

// A catalog that no operator changes is confirmed often enough to count as
// current.
TEST_F(owner_outage_test, NodesStayReadyWhileNothingHappens)
{
  const std::size_t nodes = mCluster.ReadyNodes().size();
  EXPECT_EQ(nodes, kZones.size() * virtual_cluster::kNodesPerZone);
  for (int i = 0; i < 500; ++i) {
    mCluster.RunFor(milliseconds(10));
    ASSERT_EQ(mCluster.ReadyNodes().size(), nodes) << i;
  }
}

// Callers of a zone that is cut off reach the nodes of other zones only once
// these are ready. Nothing that an operator wrote has changed meanwhile.
TEST_F(owner_outage_test, NodesAreReadySoonAfterTheStoreIsBack)
{
  const auto before = mCluster.ReadyNodes();
  for (int i = 0; i < 12; ++i) {
    mCluster.SetStoreSilent(true);
    mCluster.RunFor(outage{}.mStoreBackAt + milliseconds(150 * i));
    EXPECT_TRUE(mCluster.ReadyNodes().empty());
    mCluster.SetStoreSilent(false);
    mCluster.RunFor(kPromisedReturn / 2);
    EXPECT_EQ(mCluster.ReadyNodes(), before) << i;
    mCluster.RunFor(milliseconds(3'000));
  }
}

// The other nodes reach the owner, which has only lost the store. It keeps its
// lease while the store is away from all.
TEST_F(owner_outage_test, OwnerThatOthersReachIsNotReplaced)
{
  mCluster.SetStoreSilent(true);
  mCluster.RunFor(outage{}.mStoreBackAt);
  mCluster.SetStoreSilent(false);
  mCluster.RunFor(milliseconds(3'000));
  for (const std::string& each : kServices) {
    EXPECT_EQ(mCluster.TermOf(each), 1U) << each;
  }
}

// A process that starts again at the address of an owner is not held up by the
// lease of the process before it.
TEST_F(owner_outage_test, RestartedOwnerDoesNotWaitForItsFormerLease)
{
  const std::string owner = mCluster.LeaseHolder(kPeak);
  mCluster.Restart(owner);
  mCluster.RunFor(kPromisedReturn);
  EXPECT_TRUE(mCluster.IsServed(kPeak));
  EXPECT_EQ(mCluster.LeaseHolder(kPeak), owner);
  EXPECT_EQ(mCluster.TermOf(kPeak), 2U);
  EXPECT_EQ(mCluster.Violations(), std::vector<std::string>());
}

// Another writer overwrites the entry of a runner. It names no runner to use
// any more, and the others are used on.
TEST_F(owner_outage_test, RunnerWhoseEntryCanNotBeReadGetsNoMoreTasks)
{
  mCluster.SpoilRunner(kPeak, "a");
  mCluster.RunFor(milliseconds(1'000));
  const std::size_t before = mCluster.RunsBegunOn(kPeak, "a");
  RunWithCallers(mCluster.Now() + milliseconds(5'000));
  mCluster.RunFor(milliseconds(2'000));
  EXPECT_EQ(mCluster.RunsBegunOn(kPeak, "a"), before);
  std::size_t others = 0;
  for (const char* const each : { "b", "c", "d" }) {
    others += mCluster.RunsBegunOn(kPeak, each);
  }
  EXPECT_GT(others, 0U);
  for (const auto& each : mCluster.Callers()) {
    EXPECT_TRUE(each->mIsAccepted);
  }
  EXPECT_EQ(mCluster.Violations(), std::vector<std::string>());
}

} // namespace
} // namespace mangospan::node
