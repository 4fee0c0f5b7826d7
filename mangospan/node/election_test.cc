#include "mangospan/node/election.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include "mangospan/node/testing/memory_store.h"
#include "mangospan/node/testing/virtual_store.h"

namespace mangospan::node {
namespace {

using std::chrono::milliseconds;

const service_name kSurvey{ "survey" };

class election_test : public ::testing::Test
{
protected:
  std::shared_ptr<election> Join(const std::string& aNode,
                                 double aProcessorShare)
  {
    election_settings settings;
    settings.mProcessorCores = aProcessorShare;
    return std::make_shared<election>(
      mIo,
      mClock,
      mStore,
      JobsSubject(kSurvey),
      aNode,
      aNode + ":1",
      settings,
      election_handlers{ [this, aNode](const owner_record& aTerm) {
                          mElected = aNode;
                          mTerm = aTerm;
                        },
                         [this] { ++mLossCount; },
                         [] { return std::size_t{ 0 }; } });
  }
  void RunUntilElected(const std::string& aNode)
  {
    while (mElected != aNode) {
      mIo.run_one();
    }
  }

  boost::asio::io_context mIo;
  const system_clock_source mClock{};
  testing::memory_store mStore{ mIo };
  std::string mElected;
  owner_record mTerm;
  int mLossCount = 0;
};

TEST(subject_test, SubjectsAreParsedFromKeys)
{
  const std::string subject = JobsSubject(service_name{ "a/b" });
  EXPECT_EQ(SubjectOf(election::TermKey(subject)), subject);
  EXPECT_EQ(ServiceOfSubject(subject), service_name{ "a/b" });
  EXPECT_EQ(SubjectOf(election::TermKey(FleetSubject())), FleetSubject());
  EXPECT_FALSE(ServiceOfSubject(FleetSubject()));
  EXPECT_EQ(SubjectOf("mangospan/own/stray"), "");
  EXPECT_EQ(SubjectOf("elsewhere/a/term"), "");
}

// Guards against a successor that waits for what its own node might still do as
// the owner, and against one that does not wait for another node.
TEST_F(election_test, OnlyTheNextOwnerOnTheSameNodeKnowsThatTheLastHasEnded)
{
  const auto earlier = Join("a", 1.0);
  earlier->OnSynced();
  RunUntilElected("a");
  EXPECT_FALSE(mTerm.mPredecessor);
  const platform::revision claimedAt = mTerm.mRevision;
  const auto succeed = [this](const std::string& aNode) {
    mElected.clear();
    auto next = Join(aNode, 1.0);
    for (const char* each : { "term", "lease" }) {
      const std::string key = "mangospan/own/jobs/survey/" + std::string(each);
      next->OnRecord({ key, mStore.Value(key), mTerm.mRevision });
    }
    next->OnSynced();
    next->ReplaceOwner();
    RunUntilElected(aNode);
    return next;
  };
  const time_point restartedAt = mClock.Now();
  const auto later = succeed("a");
  ASSERT_TRUE(mTerm.mPredecessor);
  EXPECT_EQ(mTerm.mPredecessor->mElectedAt, claimedAt);
  EXPECT_GE(mTerm.mPredecessor->mEndedBy, restartedAt);
  EXPECT_LE(mTerm.mPredecessor->mEndedBy, mClock.Now());
  mElected.clear();
  const time_point steppedDownAt = mClock.Now();
  later->StepDown();
  later->OnDeleted("mangospan/own/jobs/survey/lease", mTerm.mRevision);
  RunUntilElected("a");
  ASSERT_TRUE(mTerm.mPredecessor);
  EXPECT_GE(mTerm.mPredecessor->mEndedBy, steppedDownAt);
  const auto other = succeed("b");
  EXPECT_FALSE(mTerm.mPredecessor);
}

TEST_F(election_test, RecordContainsCapacityShortfall)
{
  const auto weak = Join("weak", 0.12);
  weak->OnSynced();
  RunUntilElected("weak");
  EXPECT_NEAR(mTerm.mCapacityShortfall, 0.76, 0.01);
  EXPECT_TRUE(weak->IsLeaseValid());
}

// A record that can not be read names no owner, and is no reason to end.
TEST_F(election_test, MalformedRecordIsIgnored)
{
  const auto node = Join("node", 0.5);
  const std::string key = election::TermKey(JobsSubject(kSurvey));
  platform::revision revision = 1;
  for (const char* const each : { "",
                                  "{",
                                  "[]",
                                  "7",
                                  R"({"term":"first"})",
                                  R"({"term":3,"node":7})",
                                  R"({"term":3,"lack":"much"})",
                                  R"({"term":3,"lease":[1]})" }) {
    node->OnRecord({ key, each, ++revision });
  }
  node->OnSynced();
  RunUntilElected("node");
  EXPECT_EQ(mTerm.mTerm, 1U);
}

// When two nodes schedule their claims at the same time, the node on the host
// with sufficient capacity must win.
TEST_F(election_test, HostWithSufficientCapacityWinsOverWeakHost)
{
  const auto weak = Join("weak", 0.12);
  const auto ample = Join("ample", 0.5);
  weak->OnSynced();
  ample->OnSynced();
  RunUntilElected("ample");
  EXPECT_FALSE(weak->IsOwner());
}

// A node that was the owner last claims without delay. After it has yielded, it
// must not, or the other node could never win.
TEST_F(election_test, OwnerThatYieldsDoesNotWinAgainAtOnce)
{
  const auto first = Join("first", 0.5);
  first->OnSynced();
  RunUntilElected("first");
  const auto second = Join("second", 0.5);
  second->OnRecord({ election::TermKey(JobsSubject(kSurvey)),
                     mStore.Value(election::TermKey(JobsSubject(kSurvey))),
                     mTerm.mRevision });
  first->Yield();
  EXPECT_EQ(mLossCount, 1);
  EXPECT_FALSE(first->IsOwner());
  const std::string lease = "mangospan/own/jobs/survey/lease";
  first->OnDeleted(lease, mTerm.mRevision + 1);
  second->OnSynced();
  RunUntilElected("second");
  EXPECT_EQ(mTerm.mTerm, 2U);
}

// An owner and its renewals, in virtual time.
class renewal_test : public ::testing::Test
{
protected:
  renewal_test()
  {
    mElection->OnSynced();
    RunFor(milliseconds(2'000));
    mClient.SetLoss([this](const std::string& aStep) {
      if (aStep != "store.renew") {
        return false;
      }
      ++mRenewals;
      return mIsLost && mIsLost(mRenewals);
    });
  }
  ~renewal_test() override
  {
    mElection->Retire([] {});
  }

  void RunFor(milliseconds aTime)
  {
    const time_point end = mClock.Now() + aTime;
    while (mClock.Now() < end) {
      mClock.Advance(milliseconds(1));
      mStore.Advance();
      mIo.restart();
      mIo.poll();
      mValidTime += milliseconds(mElection->IsLeaseValid() ? 1 : 0);
    }
  }
  void RunUntilRenewals(std::size_t aCount)
  {
    while (mRenewals < aCount) {
      RunFor(milliseconds(1));
    }
  }

  const election_settings mSettings{};
  manual_clock mClock;
  const virtual_time_scope mScope{ mClock };
  boost::asio::io_context mIo;
  testing::virtual_store mStore{ mIo, mClock };
  testing::virtual_store_client mClient{ mStore };
  int mLossCount = 0;
  std::size_t mRenewals = 0;
  // Whether the answer of the renewal of this number, from 1, is lost.
  std::function<bool(std::size_t)> mIsLost;
  milliseconds mValidTime{ 0 };
  const std::shared_ptr<election> mElection = std::make_shared<election>(
    mIo,
    mClock,
    mClient,
    JobsSubject(kSurvey),
    "node",
    "node:1",
    mSettings,
    election_handlers{ [](const owner_record&) {},
                       [this] { ++mLossCount; },
                       [] { return std::size_t{ 0 }; } });
};

// A lost answer cost a timeout and a renewal interval of the lease.
TEST_F(renewal_test, RenewalWithoutAnswerIsRepeatedAtOnce)
{
  mIsLost = [](std::size_t aRenewal) { return aRenewal == 1; };
  RunUntilRenewals(1);
  const time_point lostAt = mClock.Now();
  RunFor(milliseconds(100));
  EXPECT_EQ(mRenewals, 2U);
  EXPECT_GT(mElection->ConfirmedAt(), lostAt);
}

// Three lost answers in a row ended what the owner knew of its lease.
TEST_F(renewal_test, OwnerIsSureOfItsLeaseThoughMostAnswersAreLost)
{
  mIsLost = [](std::size_t aRenewal) { return aRenewal % 4 != 0; };
  const milliseconds time{ 20'000 };
  mValidTime = milliseconds(0);
  RunFor(time);
  EXPECT_EQ(mValidTime, time);
  EXPECT_EQ(mLossCount, 0);
}

// The lease counts from the sending of a renewal that was answered, whichever.
TEST_F(renewal_test, LateAnswerCountsFromTheSendingOfItsRenewal)
{
  mIsLost = [](std::size_t aRenewal) { return aRenewal > 1; };
  const milliseconds late = mSettings.mCallTimeout - milliseconds(50);
  mClient.SetAnswerDelay(late);
  RunUntilRenewals(1);
  const time_point firstSentAt = mClock.Now();
  RunUntilRenewals(2);
  EXPECT_LT(mClock.Now(), firstSentAt + late);
  RunFor(mSettings.mCallTimeout);
  EXPECT_EQ(mElection->ConfirmedAt(), firstSentAt);
  RunFor(mSettings.mTtl - mSettings.mExpiryMargin - mSettings.mCallTimeout);
  EXPECT_FALSE(mElection->IsLeaseValid());
}

// An answer that is slow is not lost.
TEST_F(renewal_test, SlowStoreLosesNoOwnerAndIsNotAskedTwiceForLong)
{
  mClient.SetAnswerDelay(milliseconds(300));
  RunFor(milliseconds(5'000));
  mRenewals = 0;
  mValidTime = milliseconds(0);
  const milliseconds time{ 20'000 };
  RunFor(time);
  EXPECT_EQ(mValidTime, time);
  EXPECT_EQ(mLossCount, 0);
  EXPECT_LE(mRenewals,
            1U + time / (mSettings.mRenewalInterval + milliseconds(300)));
}

// A store that is away is asked at the pace of an owner that repeats nothing.
TEST_F(renewal_test, StoreThatIsAwayIsNotFloodedWithRenewals)
{
  mStore.SetSilent(true);
  RunFor(milliseconds(3'000));
  EXPECT_LE(mRenewals, 7U);
  mRenewals = 0;
  const milliseconds time{ 15'000 };
  RunFor(time);
  EXPECT_LE(mRenewals,
            1U + time / (mSettings.mRenewalInterval + mSettings.mCallTimeout));
  EXPECT_GE(mRenewals, 15U);
  mStore.SetSilent(false);
  mElection->OnStoreAnswersAgain();
  RunFor(milliseconds(10));
  EXPECT_TRUE(mElection->IsLeaseValid());
}

} // namespace
} // namespace mangospan::node
