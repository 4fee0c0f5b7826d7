// Writes of an owner that the store does not answer while it answers others, in
// virtual time.
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "mangospan/node/testing/lone_owner.h"
#include "mangospan/node/testing/virtual_cluster.h"

namespace mangospan::node {
namespace {

using jobs::job_name;
using std::chrono::milliseconds;
using testing::commit_fate;

constexpr milliseconds kCallerTimeout{ 5'000 };
// By when a record has to be settled whose write had no answer.
constexpr milliseconds kSettledWithin{ 300 };
// By when a record has to be stored that no write without an answer carries.
constexpr milliseconds kStoredWithin{ 100 };
// The time after which a job that has ended is deleted.
constexpr milliseconds kRetention{ 10'000 };
const std::string kJobsPrefix = "mangospan/owned/ours/jobs/";

constexpr commit_fate kDoneUnanswered{ false, true, milliseconds(0) };
constexpr commit_fate kNotDone{ false, false, milliseconds(0) };

jobs::scheduler_settings
Scheduling()
{
  jobs::scheduler_settings out;
  out.mEndedJobRetention = kRetention;
  return out;
}

bool
Writes(const platform::transaction& aChange, const std::string& aJob)
{
  for (const platform::key_write& each : aChange.mWrites) {
    if (each.mKey == kJobsPrefix + aJob) {
      return true;
    }
  }
  return false;
}

class owner_lost_answers_test : public ::testing::Test
{
protected:
  // A submission or a cancel, and what became of it.
  struct call
  {
    std::optional<reply_kind> mReply;
    milliseconds mTook{ 0 };
  };

  owner_lost_answers_test()
  {
    EXPECT_LE(Now() - mLone.StartedAt(), milliseconds(200)); // has loaded
  }

  time_point Now() const { return mLone.Now(); }
  owner& Owner() { return mLone.Owner(); }
  void RunFor(milliseconds aTime) { mLone.RunFor(aTime); }
  reply_handler Note(const std::shared_ptr<call>& aCall)
  {
    return [this, aCall, sentAt = Now()](const job_reply& aReply) {
      aCall->mReply = aReply.mKind;
      aCall->mTook = std::chrono::duration_cast<milliseconds>(Now() - sentAt);
    };
  }
  std::shared_ptr<call> Submit(const std::string& aJob)
  {
    auto out = std::make_shared<call>();
    Owner().Submit(
      job_name{ aJob }, testing::OneTask(), kCallerTimeout, Note(out));
    return out;
  }
  std::shared_ptr<call> Cancel(const std::string& aJob)
  {
    auto out = std::make_shared<call>();
    Owner().Cancel(job_name{ aJob }, kCallerTimeout, Note(out));
    return out;
  }
  // The next transaction has this fate.
  void SetNextFate(commit_fate aFate)
  {
    mLone.Client().SetCommitFate(
      [aFate,
       isFirst = true](const platform::transaction& /*aChange*/) mutable {
        return std::exchange(isFirst, false) ? aFate : commit_fate{};
      });
  }
  // Expects that the job is accepted in time, and another one besides it as
  // fast as ever.
  void ExpectSettled(commit_fate aFate)
  {
    SetNextFate(aFate);
    const auto first = Submit("a1");
    RunFor(milliseconds(120));
    const auto other = Submit("a2");
    RunFor(kSettledWithin);
    EXPECT_EQ(first->mReply, reply_kind::kOk);
    EXPECT_LE(first->mTook.count(), kSettledWithin.count());
    EXPECT_EQ(other->mReply, reply_kind::kOk);
    EXPECT_LE(other->mTook.count(), kStoredWithin.count());
    EXPECT_TRUE(Owner().CanWrite());
    EXPECT_EQ(mLone.Store().Find(kJobsPrefix).size(), 2U);
    EXPECT_EQ(mLone.Store().Value("mangospan/homes/a1"), "ours");
    ExpectStoredAsKnown("a1");
  }
  void ExpectStoredAsKnown(const std::string& aJob)
  {
    const auto stored = mLone.Store().Find(kJobsPrefix + aJob);
    const jobs::job* const known = Owner().Scheduler().Find(job_name{ aJob });
    ASSERT_EQ(stored.size(), 1U);
    ASSERT_NE(known, nullptr);
    EXPECT_EQ(known->mRevision, stored.front().mRevision);
    EXPECT_TRUE(known->IsStored());
  }

  testing::lone_owner mLone{ Scheduling() };
};

TEST_F(owner_lost_answers_test, WriteThatWasDoneIsSettled)
{
  ExpectSettled(kDoneUnanswered);
}

TEST_F(owner_lost_answers_test, WriteThatWasNotDoneIsSettled)
{
  ExpectSettled(kNotDone);
}

TEST_F(owner_lost_answers_test, WriteThatIsDoneLateIsSettled)
{
  ExpectSettled({ false, true, milliseconds(50) });
}

// The first write of the job is executed after newer ones of it.
TEST_F(owner_lost_answers_test, WriteThatIsDoneAfterNewerOnesHasNoEffect)
{
  ExpectSettled({ false, true, milliseconds(2'000) });
  const auto cancel = Cancel("a1");
  RunFor(kStoredWithin);
  EXPECT_EQ(cancel->mReply, reply_kind::kOk);
  const auto before = mLone.Store().Find(kJobsPrefix + "a1");
  ASSERT_EQ(before.size(), 1U);
  RunFor(milliseconds(3'000));
  const auto after = mLone.Store().Find(kJobsPrefix + "a1");
  ASSERT_EQ(after.size(), 1U);
  EXPECT_EQ(after.front().mRevision, before.front().mRevision);
  EXPECT_EQ(after.front().mValue, before.front().mValue);
  ExpectStoredAsKnown("a1");
}

// The answer is not lost, but arrives after newer writes were answered.
TEST_F(owner_lost_answers_test, LateAnswerDoesNotUndoWhatIsKnown)
{
  mLone.Client().SetAnswerDelay(milliseconds(400));
  const auto submission = Submit("a1");
  RunFor(milliseconds(20));
  mLone.Client().SetAnswerDelay(milliseconds(0));
  RunFor(milliseconds(200));
  EXPECT_EQ(submission->mReply, reply_kind::kOk);
  const auto cancel = Cancel("a1");
  RunFor(kStoredWithin);
  EXPECT_EQ(cancel->mReply, reply_kind::kOk);
  RunFor(milliseconds(1'000));
  ExpectStoredAsKnown("a1");
}

TEST_F(owner_lost_answers_test, RecordThatStaysUnsettledHoldsUpNoOther)
{
  constexpr int kJobs = 100;
  mLone.Client().SetCommitFate([](const platform::transaction& aChange) {
    return Writes(aChange, "stuck") ? kNotDone : commit_fate{};
  });
  const auto stuck = Submit("stuck");
  std::map<std::string, std::shared_ptr<call>> others;
  const std::string beside = "b";
  for (int i = 0; i < kJobs; ++i) {
    const std::string job = beside + std::to_string(i);
    others[job] = Submit(job);
    // The first ones share the write of the job that is stuck.
    RunFor(milliseconds(i < 10 ? 0 : 20));
  }
  RunFor(kSettledWithin);
  for (const auto& [job, each] : others) {
    EXPECT_EQ(each->mReply, reply_kind::kOk) << job;
    EXPECT_LE(each->mTook.count(), kSettledWithin.count()) << job;
  }
  EXPECT_TRUE(Owner().CanWrite());
  EXPECT_EQ(stuck->mReply, std::nullopt);
  mLone.Client().SetCommitFate(nullptr);
  RunFor(milliseconds(600));
  EXPECT_EQ(stuck->mReply, reply_kind::kOk);
  ExpectStoredAsKnown("stuck");
}

// Guards against the loss of a job that is submitted under the name of one that
// was deleted: the deletion is executed after the new job was accepted.
TEST_F(owner_lost_answers_test, LateDeletionDoesNotDeleteANewJob)
{
  Submit("a1");
  RunFor(kStoredWithin);
  Cancel("a1");
  RunFor(kStoredWithin);
  mLone.Client().SetCommitFate([](const platform::transaction& aChange) {
    return aChange.mDeletes.empty()
             ? commit_fate{}
             : commit_fate{ false, true, milliseconds(2'000) };
  });
  RunFor(kRetention);
  ASSERT_EQ(Owner().Scheduler().Find(job_name{ "a1" }), nullptr);
  const auto again = Submit("a1");
  RunFor(kSettledWithin);
  EXPECT_EQ(again->mReply, reply_kind::kOk);
  RunFor(milliseconds(3'000));
  ExpectStoredAsKnown("a1");
}

// Guards against one job without an answer being taken for an outage while
// there is nothing else to write.
TEST_F(owner_lost_answers_test, JobsAreAcceptedBesideTheOnlyUnsettledRecord)
{
  mLone.Client().SetCommitFate([](const platform::transaction& aChange) {
    return Writes(aChange, "stuck") ? kNotDone : commit_fate{};
  });
  const auto stuck = Submit("stuck");
  RunFor(milliseconds(2'000));
  const auto other = Submit("a1");
  RunFor(kStoredWithin);
  EXPECT_EQ(other->mReply, reply_kind::kOk);
  RunFor(kCallerTimeout);
  EXPECT_EQ(stuck->mReply, reply_kind::kUnknown);
}

// Of the writes of whole nodes, four of ten have no answer and are done seconds
// later, if their conditions hold by then.
class lost_answers_schedules_test : public ::testing::TestWithParam<int>
{};

TEST_P(lost_answers_schedules_test, NoJobIsLostOrDoubled)
{
  const std::vector<std::string> zones{ "a", "b", "c" };
  testing::virtual_cluster cluster(zones, { "base", "peak" });
  cluster.RunFor(milliseconds(6'000));
  auto random =
    std::make_shared<std::mt19937_64>(static_cast<std::uint64_t>(GetParam()));
  cluster.SetCommitFate([random](const platform::transaction& /*aChange*/) {
    if (std::uniform_int_distribution<int>(0, 9)(*random) >= 4) {
      return commit_fate{};
    }
    std::uniform_int_distribution<int> delay(1'000, 6'000);
    return commit_fate{ false, true, milliseconds(delay(*random)) };
  });
  for (int i = 0; i < 60; ++i) {
    for (const std::string& zone : zones) {
      cluster.Submit("peak", zone);
      cluster.Submit("base", zone);
    }
    cluster.RunFor(milliseconds(100));
  }
  cluster.SetCommitFate(nullptr);
  cluster.RunFor(milliseconds(8'000));
  for (const auto& each : cluster.Callers()) {
    EXPECT_TRUE(each->mIsAccepted) << each->mService << " " << each->mZone;
  }
  EXPECT_EQ(cluster.Violations(), std::vector<std::string>());
}

INSTANTIATE_TEST_SUITE_P(seeds,
                         lost_answers_schedules_test,
                         ::testing::Range(1, 21));

} // namespace
} // namespace mangospan::node
