// Requests about jobs whose queue moves from service to service, at the owners
// of all of them, in virtual time.
#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include "mangospan/daemon/metrics.h"
#include "mangospan/jobs/codec.h"
#include "mangospan/node/job_search.h"
#include "mangospan/node/owner.h"
#include "mangospan/node/testing/lone_owner.h"
#include "mangospan/node/testing/runner_records.h"
#include "mangospan/node/testing/virtual_store.h"

namespace mangospan::node {
namespace {

using jobs::job_name;
using std::chrono::milliseconds;
using testing::commit_fate;

constexpr milliseconds kCallerTimeout{ 2'500 };
constexpr milliseconds kOutage{ 2'000 };
// By when a request is answered while the store answers.
constexpr milliseconds kAnsweredWithin{ 400 };
// By when every request has an answer, also one that asks service by service.
constexpr milliseconds kAllAnswered{ 8'000 };
const service_name kFirst{ "first" };
const service_name kSecond{ "second" };
const service_name kThird{ "third" };
const std::vector<service_name> kServices{ kFirst, kSecond, kThird };

jobs::catalog
QueueAt(const service_name& aService, std::uint64_t aVersion)
{
  jobs::queue_policy policy;
  policy.mName = testing::lone_owner::kQueue;
  policy.mService = aService;
  jobs::catalog out;
  out.mVersion = aVersion;
  out.mQueues.emplace(policy.mName, policy);
  for (const service_name& each : kServices) {
    out.mServices.emplace(each, jobs::service_policy{ each, false });
  }
  return out;
}

class moved_queue_test : public ::testing::Test
{
protected:
  struct call
  {
    time_point mSentAt{};
    time_point mAnsweredAt{};
    std::optional<job_reply> mReply;

    bool IsOk() const { return mReply && mReply->mKind == reply_kind::kOk; }
  };
  using call_ptr = std::shared_ptr<call>;

  moved_queue_test()
  {
    for (const service_name& each : kServices) {
      AddOwner(each);
    }
    MoveQueueTo(kFirst);
    RunFor(milliseconds(200));
  }
  ~moved_queue_test() override
  {
    for (auto& [service, each] : mOwners) {
      each->Stop();
    }
    mStore.SetSilent(false);
    RunFor(milliseconds(3'000)); // the longest call of the store
  }

  void AddOwner(const service_name& aService)
  {
    const std::string term = election::TermKey(JobsSubject(aService));
    mStore.Put(term, "1");
    mClients.push_back(
      std::make_unique<testing::virtual_store_client>(mStore, mIo));
    auto one = std::make_shared<owner>(
      owner_dependencies{
        mIo, mClock, *mClients.back(), mRunners, mFormat, mMetrics },
      owner_settings{},
      jobs::scheduler_settings{},
      aService,
      owner_record{ 1, "n", "", 0, mStore.Find(term).front().mRevision },
      [this] {
        return ownership_status{ true, true, mClock.Now() };
      },
      [] {});
    one->Start(QueueAt(kFirst, 1));
    mOwners.emplace(aService, std::move(one));
  }
  void MoveQueueTo(const service_name& aService)
  {
    mQueueAt = aService;
    ++mCatalogVersion;
    for (auto& [service, each] : mOwners) {
      each->SetCatalog(QueueAt(aService, mCatalogVersion));
    }
  }
  void RunFor(milliseconds aTime)
  {
    for (const time_point end = mClock.Now() + aTime; mClock.Now() < end;) {
      mClock.Advance(milliseconds(1));
      mStore.Advance();
      mIo.restart();
      mIo.poll();
    }
  }

  reply_handler Note(const call_ptr& aCall)
  {
    aCall->mSentAt = mClock.Now();
    return [this, aCall](const job_reply& aReply) {
      aCall->mReply = aReply;
      aCall->mAnsweredAt = mClock.Now();
    };
  }
  // Submits the job at the service that has the queue now.
  call_ptr Submit(const std::string& aJob)
  {
    auto out = std::make_shared<call>();
    mOwners.at(mQueueAt)->Submit(
      job_name{ aJob }, testing::OneTask(), kCallerTimeout, Note(out));
    return out;
  }
  using job_call = void (job_service::*)(const job_name&,
                                         milliseconds,
                                         reply_handler);
  // Asks like a node does: first the service that has the queue now.
  call_ptr Ask(job_call aCall, const std::string& aJob)
  {
    auto out = std::make_shared<call>();
    std::vector<service_name> order{ mQueueAt };
    for (const service_name& each : kServices) {
      if (each != mQueueAt) {
        order.push_back(each);
      }
    }
    SearchJob(
      mClock,
      [this](const service_name& aService) -> job_service& {
        return *mOwners.at(aService);
      },
      order,
      [aCall, job = job_name{ aJob }](
        job_service& aService, milliseconds aRemaining, reply_handler aReply) {
        (aService.*aCall)(job, aRemaining, std::move(aReply));
      },
      kCallerTimeout,
      Note(out));
    return out;
  }
  call_ptr Cancel(const std::string& aJob)
  {
    return Ask(&job_service::Cancel, aJob);
  }
  call_ptr Read(const std::string& aJob)
  {
    return Ask(&job_service::Read, aJob);
  }
  // Returns the state of the job in the record of its home; nothing if no
  // service has accepted it.
  std::optional<jobs::job_state> StoredState(const std::string& aJob) const
  {
    const std::string home = mStore.Value("mangospan/homes/" + aJob);
    const auto record = jobs::DecodeRecord(
      job_name{ aJob },
      mStore.Value("mangospan/owned/" + home + "/jobs/" + aJob));
    return record.has_value() ? std::optional(record.assume_value().mState)
                              : std::nullopt;
  }

  manual_clock mClock;
  const virtual_time_scope mScope{ mClock };
  boost::asio::io_context mIo;
  testing::virtual_store mStore{ mIo, mClock };
  std::vector<std::unique_ptr<testing::virtual_store_client>> mClients;
  testing::runner_records mFormat;
  daemon::metrics mMetrics;
  testing::silent_runners mRunners;
  std::map<service_name, std::shared_ptr<owner>> mOwners;
  service_name mQueueAt{ kFirst };
  std::uint64_t mCatalogVersion = 1;
};

// Guards against a cancel that is acknowledged though the job goes on: it found
// a late copy of the submission, whose write the store had not answered.
TEST_F(moved_queue_test, CancelBesideALateCopyReachesTheJob)
{
  const auto submission = Submit("a1");
  RunFor(kAnsweredWithin);
  ASSERT_TRUE(submission->IsOk());
  MoveQueueTo(kSecond);
  mStore.SetSilent(true);
  const auto copy = Submit("a1");
  RunFor(milliseconds(100));
  const auto cancel = Cancel("a1");
  RunFor(kOutage);
  EXPECT_FALSE(cancel->mReply.has_value());
  mStore.SetSilent(false);
  RunFor(kAnsweredWithin);
  EXPECT_TRUE(copy->IsOk());
  EXPECT_TRUE(cancel->IsOk());
  EXPECT_EQ(StoredState("a1"), jobs::job_state::kCancelled);
}

// Guards against a state that is told of a copy in place of the job.
TEST_F(moved_queue_test, ReadBesideALateCopyTellsTheStateOfTheJob)
{
  Submit("a1");
  RunFor(kAnsweredWithin);
  Cancel("a1");
  RunFor(kAnsweredWithin);
  ASSERT_EQ(StoredState("a1"), jobs::job_state::kCancelled);
  MoveQueueTo(kSecond);
  mStore.SetSilent(true);
  Submit("a1");
  RunFor(milliseconds(100));
  const auto read = Read("a1");
  ASSERT_TRUE(read->IsOk());
  EXPECT_EQ(read->mReply->mJobState, jobs::job_state::kCancelled);
}

// Guards against a state that is told of a job that is not accepted yet, and
// against "no such job" of one whose first write may have been done.
TEST_F(moved_queue_test, NothingIsSaidOfAJobThatWaitsForItsFirstWrite)
{
  mStore.SetSilent(true);
  Submit("a1");
  RunFor(milliseconds(100));
  const auto read = Read("a1");
  ASSERT_TRUE(read->mReply);
  EXPECT_EQ(read->mReply->mKind, reply_kind::kUnavailable);
  EXPECT_EQ(read->mReply->mReason, refusal_reason::kNotStored);
  const auto count = std::make_shared<call>();
  mOwners.at(kFirst)->CountWaiting(
    testing::lone_owner::kQueue, kCallerTimeout, Note(count));
  ASSERT_TRUE(count->IsOk());
  EXPECT_EQ(count->mReply->mWaitingCount, 0U);
}

// Guards against the same where two services hold a copy.
TEST_F(moved_queue_test, CancelPassesTheCopiesOfTwoServices)
{
  Submit("a1");
  RunFor(kAnsweredWithin);
  mStore.SetSilent(true);
  MoveQueueTo(kThird);
  Submit("a1");
  MoveQueueTo(kSecond);
  Submit("a1");
  RunFor(milliseconds(100));
  const auto cancel = Cancel("a1");
  RunFor(kOutage);
  mStore.SetSilent(false);
  RunFor(kAnsweredWithin);
  EXPECT_TRUE(cancel->IsOk());
  EXPECT_EQ(StoredState("a1"), jobs::job_state::kCancelled);
}

// Jobs, copies, cancels and moves of the queue in random order beside outages
// of the store and writes without an answer, some of them done late.
class moved_queue_schedules_test
  : public moved_queue_test
  , public ::testing::WithParamInterface<int>
{
protected:
  struct history
  {
    std::vector<call_ptr> mSubmissions;
    std::vector<call_ptr> mCancels;
  };

  int Draw(int aMax)
  {
    return std::uniform_int_distribution<int>(0, aMax)(mRandom);
  }
  void SetFates()
  {
    for (const auto& each : mClients) {
      each->SetCommitFate([this](const platform::transaction& /*aChange*/) {
        if (Draw(9) >= 2) {
          return commit_fate{};
        }
        return commit_fate{ false, Draw(2) > 0, milliseconds(Draw(1'500)) };
      });
    }
  }
  void ActOnce()
  {
    const std::string job = "a" + std::to_string(Draw(4));
    switch (Draw(9)) {
      case 0:
        MoveQueueTo(kServices[static_cast<std::size_t>(Draw(2))]);
        break;
      case 1:
        mStore.SetSilent(!mStore.IsSilent());
        break;
      case 2:
      case 3:
        mHistory[job].mCancels.push_back(Cancel(job));
        break;
      default:
        mHistory[job].mSubmissions.push_back(Submit(job));
        break;
    }
  }
  // Checks each answer about the job against the record that the store holds.
  void ExpectTruth(const std::string& aJob, const history& aHistory) const
  {
    const auto state = StoredState(aJob);
    time_point firstAcceptedAt = time_point::max();
    for (const call_ptr& each : aHistory.mSubmissions) {
      ASSERT_TRUE(each->mReply) << aJob;
      if (each->IsOk()) {
        EXPECT_TRUE(state.has_value()) << aJob;
        firstAcceptedAt = std::min(firstAcceptedAt, each->mAnsweredAt);
      }
    }
    for (const call_ptr& each : aHistory.mCancels) {
      ASSERT_TRUE(each->mReply) << aJob;
      if (each->IsOk()) {
        EXPECT_EQ(state, jobs::job_state::kCancelled) << aJob;
      }
      if (each->mReply->mKind == reply_kind::kNoSuchJob) {
        EXPECT_LT(each->mSentAt, firstAcceptedAt) << aJob;
      }
    }
  }

  std::mt19937_64 mRandom{ static_cast<std::uint64_t>(GetParam()) };
  std::map<std::string, history> mHistory;
};

TEST_P(moved_queue_schedules_test, AcknowledgedCancelsAreInTheRecordOfTheHome)
{
  SetFates();
  for (int i = 0; i < 60; ++i) {
    ActOnce();
    RunFor(milliseconds(Draw(200)));
  }
  mStore.SetSilent(false);
  for (const auto& each : mClients) {
    each->SetCommitFate(nullptr);
  }
  RunFor(kAllAnswered);
  for (const auto& [job, each] : mHistory) {
    ExpectTruth(job, each);
  }
}

INSTANTIATE_TEST_SUITE_P(seeds,
                         moved_queue_schedules_test,
                         ::testing::Range(1, 21));

} // namespace
} // namespace mangospan::node
