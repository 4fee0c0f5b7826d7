#include "mangospan/node/election.h"

#include <map>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include "mangospan/node/testing/memory_store.h"

namespace mangospan::node {
namespace {

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

} // namespace
} // namespace mangospan::node
