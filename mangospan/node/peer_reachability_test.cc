#include "mangospan/node/peer_reachability.h"

#include <gtest/gtest.h>

#include "mangospan/node/job_http.h"

namespace mangospan::node {
namespace {

using std::chrono::milliseconds;

const std::string kLost = "lost:1";
const std::string kPeer = "peer:1";
const std::string kOther = "other:1";
constexpr milliseconds kCheckInterval{ 400 };
constexpr milliseconds kLongOutage{ 6'000 };

health_report
Report(std::set<std::string> aUnreachable, bool aIsInMajority)
{
  return { {}, std::move(aUnreachable), aIsInMajority };
}

class peer_reachability_test : public ::testing::Test
{
protected:
  peer_reachability_test()
  {
    mPeers.SetOwners({ kLost, kPeer, kOther }, mClock.Now());
  }

  // Checks the owners for `aTime`; those in `aAnswers` answer.
  void Check(milliseconds aTime,
             const std::map<std::string, health_report>& aAnswers)
  {
    for (milliseconds passed{ 0 }; passed < aTime; passed += kCheckInterval) {
      mClock.Advance(kCheckInterval);
      for (const auto& [address, report] : aAnswers) {
        mPeers.OnAnswer(address, report, mClock.Now());
      }
    }
  }
  bool IsLostCutOff() const { return mPeers.IsCutOff(kLost, mClock.Now()); }

  manual_clock mClock;
  peer_reachability mPeers;
};

TEST_F(peer_reachability_test, OwnerThatNoNodeReachesIsCutOff)
{
  const health_report agrees = Report({ kLost }, true);
  Check(kCheckInterval, { { kPeer, agrees }, { kOther, agrees } });
  EXPECT_FALSE(IsLostCutOff()); // two checks have not failed yet
  Check(kLongOutage, { { kPeer, agrees }, { kOther, agrees } });
  EXPECT_TRUE(IsLostCutOff());
}

// This node alone has lost its connection to the owner.
TEST_F(peer_reachability_test, OwnerThatAnotherNodeReachesIsNotCutOff)
{
  Check(kLongOutage,
        { { kPeer, Report({ kLost }, true) }, { kOther, Report({}, true) } });
  EXPECT_TRUE(mPeers.IsUnreachable(kLost, mClock.Now()));
  EXPECT_FALSE(IsLostCutOff());
}

// This node is on the smaller side of a partition.
TEST_F(peer_reachability_test, SmallerSideReplacesNoOwner)
{
  Check(kLongOutage, { { kPeer, Report({ kLost, kOther }, false) } });
  EXPECT_FALSE(IsLostCutOff());
}

TEST_F(peer_reachability_test, NodeWithoutAnyPeerReplacesNoOwner)
{
  Check(kLongOutage, {});
  EXPECT_FALSE(IsLostCutOff());
}

// What a peer reported before it was lost too says nothing about now.
TEST_F(peer_reachability_test, OldReportsDoNotCount)
{
  Check(kLongOutage, { { kPeer, Report({ kLost }, true) } });
  EXPECT_TRUE(IsLostCutOff());
  Check(kLongOutage, {});
  EXPECT_FALSE(IsLostCutOff());
}

TEST_F(peer_reachability_test, MajorityIsOfTheNodesThatCheckedLately)
{
  EXPECT_FALSE(mPeers.IsInMajority(mClock.Now())); // nobody has asked yet
  for (const char* each : { "a", "b", "c" }) {
    mPeers.OnChecked(each, mClock.Now());
  }
  EXPECT_TRUE(mPeers.IsInMajority(mClock.Now()));
  mClock.Advance(kLongOutage);
  mPeers.OnChecked("a", mClock.Now());
  EXPECT_FALSE(mPeers.IsInMajority(mClock.Now())); // two of four
  mPeers.OnChecked("b", mClock.Now());
  EXPECT_TRUE(mPeers.IsInMajority(mClock.Now())); // three of four
}

TEST(health_report_test, RoundTrips)
{
  health_report sent = Report({ kLost, kPeer }, true);
  sent.mServes = { service_name{ "survey" } };
  const health_report read = DecodeHealth(Encode(sent));
  EXPECT_EQ(read.mServes, sent.mServes);
  EXPECT_EQ(read.mUnreachable, sent.mUnreachable);
  EXPECT_TRUE(read.mIsInMajority);
  EXPECT_TRUE(DecodeHealth(R"({"serves":["a"]})").mUnreachable.empty());
  EXPECT_TRUE(DecodeHealth("no json").mServes.empty());
}

} // namespace
} // namespace mangospan::node
