#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "mangospan/node/testing/lone_owner.h"

namespace mangospan::node {
namespace {

using jobs::job_name;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

constexpr milliseconds kTimeout{ 2'500 };
constexpr milliseconds kStep{ 1 };
constexpr milliseconds kBurst{ 3'000 };

struct answer
{
  job_reply mReply;
  nanoseconds mTook{ 0 };
};

// An owner whose store takes about 600 new jobs a second.
class owner_overload_test : public ::testing::Test
{
protected:
  static constexpr milliseconds kAnswerDelay{ 40 };

  owner_overload_test() { mLone.Client().SetAnswerDelay(kAnswerDelay); }

  time_point Now() const { return mLone.Now(); }
  owner& Owner() { return mLone.Owner(); }
  void RunFor(milliseconds aTime) { mLone.RunFor(aTime); }

  void Submit(const std::string& aJob, milliseconds aTimeout = kTimeout)
  {
    Owner().Submit(job_name{ aJob },
                   testing::OneTask(),
                   aTimeout,
                   [this, aJob, at = Now()](const job_reply& aReply) {
                     mAnswers[aJob] = { aReply, Now() - at };
                   });
  }

  // Submits `aPerSecond` new jobs a second for the time.
  void SubmitFor(milliseconds aTime, int aPerSecond)
  {
    const time_point begin = Now();
    for (std::int64_t sent = 0; Now() < begin + aTime; RunFor(kStep)) {
      const auto due = aPerSecond * CountMilliseconds(Now() - begin) / 1'000;
      for (; sent < due; ++sent) {
        Submit(std::to_string(++mSubmitted));
      }
    }
  }

  std::size_t Count(reply_kind aKind) const
  {
    return static_cast<std::size_t>(std::count_if(
      mAnswers.begin(), mAnswers.end(), [aKind](const auto& aEntry) {
        return aEntry.second.mReply.mKind == aKind;
      }));
  }

  nanoseconds MedianAnswerTime() const
  {
    std::vector<nanoseconds> times;
    for (const auto& [job, each] : mAnswers) {
      times.push_back(each.mTook);
    }
    std::sort(times.begin(), times.end());
    return times.at(times.size() / 2);
  }

  testing::lone_owner mLone;
  std::map<std::string, answer> mAnswers;
  int mSubmitted = 0;
};

constexpr int kBearable = 550; // jobs a second

TEST_F(owner_overload_test, RefusesNothingThatItCanStore)
{
  SubmitFor(kBurst, kBearable);
  RunFor(kTimeout);
  EXPECT_EQ(Count(reply_kind::kOk), mAnswers.size());
  EXPECT_EQ(mAnswers.size(), static_cast<std::size_t>(mSubmitted));
}

TEST_F(owner_overload_test, AnswersMostCallersAtOnceAtThreeTimesItsLoad)
{
  SubmitFor(kBurst, 3 * kBearable);
  RunFor(kTimeout);
  EXPECT_EQ(mAnswers.size(), static_cast<std::size_t>(mSubmitted));
  EXPECT_LE(MedianAnswerTime(), milliseconds(50));
  EXPECT_EQ(Count(reply_kind::kUnknown), 0U);
  EXPECT_GE(static_cast<double>(Count(reply_kind::kOk)),
            0.9 * kBearable * std::chrono::duration<double>(kBurst).count());
}

TEST_F(owner_overload_test, RefusedJobsAreNeitherKeptNorStored)
{
  SubmitFor(kBurst, 3 * kBearable);
  RunFor(kTimeout);
  ASSERT_GT(Count(reply_kind::kUnavailable), 0U);
  for (const auto& [job, each] : mAnswers) {
    if (each.mReply.mKind != reply_kind::kUnavailable) {
      continue;
    }
    EXPECT_EQ(each.mReply.mReason, refusal_reason::kOverloaded);
    EXPECT_GE(each.mReply.mRetryAfter, milliseconds(1'000));
    EXPECT_EQ(Owner().Scheduler().Find(job_name{ job }), nullptr);
    EXPECT_EQ(mLone.Store().Value("mangospan/homes/" + job), "");
  }
}

TEST_F(owner_overload_test, KnownJobsAndOtherRequestsAreNotRefused)
{
  Submit("known");
  RunFor(milliseconds(200));
  SubmitFor(kBurst, 3 * kBearable);
  // The owner takes jobs again each time it has caught up.
  std::string last;
  for (int i = 0; i < 3 * kBearable; ++i) {
    last = "new" + std::to_string(i);
    Submit(last);
    if (mAnswers[last].mReply.mReason == refusal_reason::kOverloaded) {
      break;
    }
    RunFor(milliseconds(1));
  }
  ASSERT_EQ(mAnswers[last].mReply.mReason, refusal_reason::kOverloaded);
  Submit("known");
  EXPECT_EQ(mAnswers["known"].mReply.mKind, reply_kind::kOk);
  std::vector<reply_kind> replies;
  const auto note = [&replies](const job_reply& aReply) {
    replies.push_back(aReply.mKind);
  };
  Owner().Read(job_name{ "known" }, kTimeout, note);
  Owner().CountWaiting(testing::lone_owner::kQueue, kTimeout, note);
  Owner().Cancel(job_name{ "known" }, kTimeout, note);
  RunFor(milliseconds(500));
  EXPECT_EQ(replies, std::vector<reply_kind>(3, reply_kind::kOk));
}

TEST_F(owner_overload_test, TakesAllAgainTwoSecondsAfterTheBurst)
{
  SubmitFor(kBurst, 3 * kBearable);
  RunFor(milliseconds(2'000));
  mAnswers.clear();
  const int before = mSubmitted;
  SubmitFor(milliseconds(1'000), kBearable);
  RunFor(kTimeout);
  EXPECT_EQ(Count(reply_kind::kOk),
            static_cast<std::size_t>(mSubmitted - before));
}

// Jobs wait longer than the target for a slow store, which takes them all.
TEST_F(owner_overload_test, SlowStoreIsNoOverload)
{
  mLone.Client().SetAnswerDelay(milliseconds(240));
  SubmitFor(kBurst, kBearable / 8);
  RunFor(kTimeout);
  EXPECT_EQ(Count(reply_kind::kOk), static_cast<std::size_t>(mSubmitted));
}

TEST_F(owner_overload_test, CallWhoseCallerDoesNotWaitAnyMoreIsDropped)
{
  Submit("late", milliseconds(0));
  EXPECT_EQ(mAnswers["late"].mReply.mKind, reply_kind::kUnavailable);
  EXPECT_EQ(mAnswers["late"].mReply.mReason, refusal_reason::kTimeIsUp);
  EXPECT_EQ(Owner().Scheduler().Find(job_name{ "late" }), nullptr);
}

// The owner's process is busy with other work and gets to its timers and to the
// answers of the store only each 40 ms.
TEST_F(owner_overload_test, LateLoopDoesNotHoldUpFullWrites)
{
  constexpr milliseconds kLoopInterval{ 40 };
  constexpr std::size_t kJobsPerLoop = 24; // 600 a second, four writes
  mLone.Client().SetAnswerDelay(milliseconds(0));
  mLone.SetLoopInterval(kLoopInterval);
  mLone.SetOnLoop([this] {
    for (std::size_t i = 0; i < kJobsPerLoop; ++i) {
      Submit(std::to_string(++mSubmitted));
    }
  });
  RunFor(kBurst);
  mLone.SetOnLoop(nullptr);
  RunFor(kTimeout);
  EXPECT_EQ(mAnswers.size(), static_cast<std::size_t>(mSubmitted));
  EXPECT_EQ(Count(reply_kind::kOk), static_cast<std::size_t>(mSubmitted));
  EXPECT_LE(MedianAnswerTime(), 3 * kLoopInterval);
}

TEST_F(owner_overload_test, FullWritesKeepTheOrderOfArrival)
{
  constexpr int kJobs = 100;
  const std::string prefix = "mangospan/owned/ours/jobs/";
  std::vector<std::string> sent;
  std::vector<std::string> written;
  mLone.Client().SetCommitFate([&](const platform::transaction& aChange) {
    for (const platform::key_write& each : aChange.mWrites) {
      if (each.mKey.compare(0, prefix.size(), prefix) == 0) {
        written.push_back(each.mKey.substr(prefix.size()));
      }
    }
    return testing::commit_fate{};
  });
  for (int i = 0; i < kJobs; ++i) {
    sent.push_back(std::to_string(2 * kJobs - i));
    Submit(sent.back());
  }
  RunFor(kTimeout);
  EXPECT_EQ(written, sent);
}

} // namespace
} // namespace mangospan::node
