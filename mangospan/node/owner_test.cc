#include "mangospan/node/owner.h"

#include <map>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

#include "mangospan/daemon/metrics.h"
#include "mangospan/jobs/codec.h"
#include "mangospan/node/host_orders.h"
#include "mangospan/node/testing/memory_store.h"
#include "mangospan/node/testing/runner_records.h"

namespace mangospan::node {
namespace {

using jobs::job_name;
using jobs::runner_name;
using std::chrono::milliseconds;

constexpr milliseconds kTimeout{ 5'000 };
const service_name kOurs{ "ours" };
const service_name kOther{ "other" };
const jobs::queue_name kQueue{ "queue" };
const jobs::queue_name kMoved{ "moved" };

// Runners that never answer, so no run ever ends.
class unresponsive_runners final : public runner_port
{
public:
  void Start(const runner_target& /*aTarget*/,
             const jobs::start_order& aOrder,
             outcome_handler /*aHandler*/) override
  {
    mStarted.push_back(aOrder.mTask.mJob);
  }
  void Stop(const runner_target& /*aTarget*/,
            const jobs::stop_order& /*aOrder*/,
            outcome_handler /*aHandler*/) override
  {
  }
  void Throttle(const runner_target& /*aTarget*/,
                const jobs::throttle_order& /*aOrder*/,
                outcome_handler /*aHandler*/) override
  {
  }
  void Poll(const runner_target& /*aTarget*/,
            const jobs::poll_order& /*aOrder*/,
            poll_handler /*aHandler*/) override
  {
  }

  std::vector<job_name> mStarted;
};

jobs::catalog
TwoServices()
{
  jobs::catalog out;
  out.mVersion = 1;
  for (const auto& [queue, service] :
       { std::pair{ kQueue, kOurs }, std::pair{ kMoved, kOther } }) {
    jobs::queue_policy policy;
    policy.mName = queue;
    policy.mService = service;
    out.mQueues.emplace(queue, policy);
    out.mServices.emplace(service, jobs::service_policy{ service, false });
  }
  return out;
}

jobs::job_spec
OneTask(const jobs::queue_name& aQueue)
{
  jobs::step_spec step;
  step.mTaskCount = 1;
  step.mTaskResources = { 100, 100, 0 };
  step.mEstimate = milliseconds(100);
  jobs::job_spec out;
  out.mQueue = aQueue;
  out.mSteps = { step };
  return out;
}

class owner_test : public ::testing::Test
{
protected:
  owner_test()
  {
    jobs::runner_info runner;
    runner.mName = runner_name{ "r1" };
    runner.mService = kOurs;
    runner.mCapacity = { 1'000, 1'000, 0 };
    mFormat.mInfos[runner.mName] = runner;
    mStore.Put("runners/r1", "{}");
  }

  owner& Start(const std::optional<ended_owner>& aPredecessor = std::nullopt,
               const jobs::scheduler_settings& aScheduling = {})
  {
    const std::string key = election::TermKey(JobsSubject(kOurs));
    mOwner = std::make_shared<owner>(
      owner_dependencies{ mIo, mClock, mStore, mRunners, mFormat, mMetrics },
      owner_settings{},
      aScheduling,
      kOurs,
      owner_record{ 1, "n", "", 0, mStore.Put(key, "1"), {}, {}, aPredecessor },
      [this] {
        return ownership_status{ true, mIsLeaseValid, mClock.Now() };
      },
      [] {});
    mOwner->Start(TwoServices());
    RunUntil([this] { return mOwner->IsLoaded(); });
    return *mOwner;
  }
  ~owner_test() override
  {
    if (mOwner) {
      mOwner->Stop();
    }
  }

  // Stores a roster with a runner that this owner can not reach.
  platform::revision PutRoster()
  {
    jobs::roster_entry entry;
    entry.mInfo.mName = runner_name{ "lost" };
    entry.mInfo.mService = kOurs;
    return mStore.Put("mangospan/owned/ours/runners",
                      jobs::EncodeRoster({ entry }));
  }
  // Returns for how long runs of an earlier owner may live on that runner.
  time_point::duration InheritedLease() const
  {
    const auto& runners = mOwner->Scheduler().Runners();
    return runners.at(runner_name{ "lost" }).LeaseLeft(mClock.Now());
  }

  template<typename Condition>
  void RunUntil(const Condition& aCondition)
  {
    while (!aCondition()) {
      mIo.run_one();
    }
  }

  reply_kind Submit(const char* aJob, const jobs::queue_name& aQueue)
  {
    std::optional<reply_kind> reply;
    mOwner->Submit(job_name{ aJob },
                   OneTask(aQueue),
                   kTimeout,
                   [&reply](const job_reply& aReply) { reply = aReply.mKind; });
    RunUntil([&reply] { return reply.has_value(); });
    return *reply;
  }

  boost::asio::io_context mIo;
  const system_clock_source mClock{};
  daemon::metrics mMetrics;
  testing::memory_store mStore{ mIo };
  testing::runner_records mFormat;
  unresponsive_runners mRunners;
  bool mIsLeaseValid = true;
  std::shared_ptr<owner> mOwner;
};

TEST_F(owner_test, AcceptedJobIsStoredWithItsHome)
{
  Start();
  EXPECT_EQ(Submit("a1", kQueue), reply_kind::kOk);
  EXPECT_NE(mStore.Value("mangospan/owned/ours/jobs/a1"), "");
  EXPECT_EQ(mStore.Value("mangospan/homes/a1"), "ours");
}

// Guards against a job that two owners run. The queue has moved to this service
// after the owner of the former service accepted the job, which still runs
// there.
TEST_F(owner_test, JobAcceptedByAnotherServiceIsNotAcceptedTwice)
{
  mStore.Put("mangospan/homes/a1", "other");
  Start();
  EXPECT_EQ(Submit("a1", kQueue), reply_kind::kOk);
  EXPECT_EQ(mStore.Value("mangospan/owned/ours/jobs/a1"), "");
  EXPECT_EQ(mOwner->Scheduler().Find(job_name{ "a1" }), nullptr);
  EXPECT_EQ(Submit("a2", kQueue), reply_kind::kOk);
}

// Guards against "no such job" of a job that the next owner has accepted: this
// one is cut off from the store and does not know that its lease is over.
TEST_F(owner_test, OwnerWithoutACertainLeaseDeniesNoJob)
{
  Start();
  EXPECT_EQ(Submit("a1", kQueue), reply_kind::kOk);
  std::map<std::string, job_reply> replies;
  const auto ask = [&](const std::string& aJob) {
    const auto note = [&replies, aJob](const char* aCall) {
      return [&reply = replies[aCall + aJob]](const job_reply& aReply) {
        reply = aReply;
      };
    };
    mOwner->Read(job_name{ aJob }, kTimeout, note("read "));
    mOwner->Cancel(job_name{ aJob }, kTimeout, note("cancel "));
  };
  ask("a2");
  EXPECT_EQ(replies["read a2"].mKind, reply_kind::kNoSuchJob);
  EXPECT_EQ(replies["cancel a2"].mKind, reply_kind::kNoSuchJob);
  mIsLeaseValid = false;
  ask("a2");
  EXPECT_EQ(replies["read a2"].mKind, reply_kind::kUnavailable);
  EXPECT_EQ(replies["cancel a2"].mKind, reply_kind::kUnavailable);
  EXPECT_EQ(replies["cancel a2"].mReason, refusal_reason::kLeaseUncertain);
  ask("a1");
  EXPECT_EQ(replies["read a1"].mKind, reply_kind::kOk);
}

TEST_F(owner_test, RefusesJobsOfQueueOfAnotherService)
{
  Start();
  EXPECT_EQ(Submit("a1", kMoved), reply_kind::kUnavailable);
  EXPECT_EQ(mStore.Value("mangospan/homes/a1"), "");
}

// Keeps one record that the store does not take from holding up the others:
// cancels got no answer and no job was accepted (rule Acks).
TEST_F(owner_test, RecordThatTheStoreRefusesHoldsUpNoOther)
{
  Start();
  EXPECT_EQ(Submit("a1", kQueue), reply_kind::kOk);
  mStore.mMaxValueBytes = 2'000;
  jobs::job_spec large = OneTask(kQueue);
  large.mPayload = std::string(3'000, 'x');
  std::optional<job_reply> largeReply;
  mOwner->Submit(job_name{ "large" },
                 large,
                 kTimeout,
                 [&](const job_reply& aReply) { largeReply = aReply; });
  std::optional<reply_kind> cancelReply;
  mOwner->Cancel(job_name{ "a1" }, kTimeout, [&](const job_reply& aReply) {
    cancelReply = aReply.mKind;
  });
  EXPECT_EQ(Submit("a2", kQueue), reply_kind::kOk);
  RunUntil([&] { return largeReply.has_value() && cancelReply.has_value(); });
  EXPECT_EQ(*cancelReply, reply_kind::kOk);
  EXPECT_EQ(largeReply->mKind, reply_kind::kRefused);
  EXPECT_EQ(largeReply->mReason, refusal_reason::kRecordRefused);
  EXPECT_EQ(mOwner->Scheduler().Find(job_name{ "large" }), nullptr);
  EXPECT_TRUE(mOwner->CanWrite());
}

// Guards against a cancel that is answered like the submission beside it, whose
// record the store does not take.
TEST_F(owner_test, CancelOfAJobThatTheStoreRefusesFindsNone)
{
  Start();
  mStore.mMaxValueBytes = 10;
  std::optional<reply_kind> submission;
  mOwner->Submit(job_name{ "a1" },
                 OneTask(kQueue),
                 kTimeout,
                 [&](const job_reply& aReply) { submission = aReply.mKind; });
  std::optional<reply_kind> cancel;
  mOwner->Cancel(job_name{ "a1" }, kTimeout, [&](const job_reply& aReply) {
    cancel = aReply.mKind;
  });
  RunUntil([&] { return submission.has_value() && cancel.has_value(); });
  EXPECT_EQ(*submission, reply_kind::kRefused);
  EXPECT_EQ(*cancel, reply_kind::kNoSuchJob);
}

TEST_F(owner_test, JobsThatExceedOneWriteAreWrittenConcurrently)
{
  Start();
  constexpr int kJobs = 24;
  int accepted = 0;
  for (int i = 0; i < kJobs; ++i) {
    mOwner->Submit(job_name{ "b" + std::to_string(i) },
                   OneTask(kQueue),
                   kTimeout,
                   [&accepted](const job_reply& aReply) {
                     accepted += aReply.mKind == reply_kind::kOk ? 1 : 0;
                   });
  }
  mStore.mHoldsCommits = true;
  RunUntil([this] { return mStore.HeldCommits() == 4; });
  mStore.mHoldsCommits = false;
  mStore.ReleaseCommits();
  RunUntil([&accepted] { return accepted == kJobs; });
  EXPECT_EQ(accepted, kJobs);
}

// Guards against runs on a host that is about to be moved: an earlier owner
// reported that nothing runs on the host, and the host was ordered away.
TEST_F(owner_test, RunnerOnHostOrderedAwayStaysCordoned)
{
  const host_orders orders{ { host_name{ "h1" },
                              { milliseconds(3'000), runner_name{ "r1" } } } };
  mStore.Put(kHostOrdersKey, Encode(orders));
  Start();
  const auto& runners = mOwner->Scheduler().Runners();
  EXPECT_TRUE(runners.at(runner_name{ "r1" }).mCordoned);
}

// Guards against work that was lost with its runner and waits for what an owner
// that has ended might still do (rule LOST).
TEST_F(owner_test, RunsOfAnOwnerThatHasEndedEndWithItsLastLease)
{
  const platform::revision claimedAt = mStore.Put("claim", "");
  PutRoster();
  Start(ended_owner{ claimedAt, mClock.Now() });
  EXPECT_LE(InheritedLease(),
            jobs::LongestLease(jobs::scheduler_settings{}.mLease));
}

// Guards against two runs of a task: the last owner has ended, but the one
// before it, which had written the roster, may still act.
TEST_F(owner_test, RosterOfAnEarlierOwnerSaysNothingOfTheLastOne)
{
  const platform::revision writtenAt = PutRoster();
  Start(ended_owner{ writtenAt + 1, mClock.Now() });
  EXPECT_GT(InheritedLease(),
            jobs::LongestLease(jobs::scheduler_settings{}.mLease) +
              milliseconds(3'000));
}

// Guards against an owner that forgets what its predecessor has learned, and
// against a damaged summary that hides the runners of the roster, where runs of
// the predecessor may live.
TEST_F(owner_test, LoadsLearnedRunTimesAndIgnoresDamagedOnes)
{
  jobs::scheduler_settings learning;
  learning.mLearnRunTimes = true;
  jobs::roster_entry entry;
  entry.mInfo.mName = runner_name{ "lost" };
  entry.mInfo.mService = kOurs;
  std::string roster = jobs::EncodeRoster(
    { entry }, { { jobs::queue_name{ "q" }, 0, 7, { { 24, 1'000 } } } });
  mStore.Put("mangospan/owned/ours/runners", roster);
  Start(std::nullopt, learning);
  EXPECT_EQ(mOwner->Scheduler().CountLearnedClasses(), 1U);
  mOwner->Stop();
  roster.replace(roster.find("\"runs\":7"), 8, "\"runs\":{}");
  mStore.Put("mangospan/owned/ours/runners", roster);
  Start(std::nullopt, learning);
  EXPECT_EQ(mOwner->Scheduler().CountLearnedClasses(), 0U);
  EXPECT_GT(InheritedLease().count(), 0);
}

TEST_F(owner_test, FleetInstructionsCordonRunnersAndStateReportsThem)
{
  Start();
  pool_instructions wanted;
  wanted.mFleetTerm = 2;
  wanted.mCordoned = { runner_name{ "r1" } };
  const auto state = mOwner->Exchange(wanted);
  ASSERT_TRUE(state.has_value());
  EXPECT_TRUE(
    state.assume_value().mRunners.at(runner_name{ "r1" }).mIsCordoned);
  EXPECT_NE(state.assume_value().mTermRevision, 0U);
}

TEST_F(owner_test, RefusesInstructionsOfOlderFleetTerm)
{
  Start();
  pool_instructions newer;
  newer.mFleetTerm = 2;
  ASSERT_TRUE(mOwner->Exchange(newer).has_value());
  pool_instructions older;
  older.mFleetTerm = 1;
  const auto refused = mOwner->Exchange(older);
  ASSERT_TRUE(refused.has_error());
  EXPECT_EQ(refused.assume_error().mCode, error_code::kConflict);
}

} // namespace
} // namespace mangospan::node
