#include "mangospan/node/submission.h"

#include <vector>

#include <gtest/gtest.h>

namespace mangospan::node {
namespace {

using std::chrono::milliseconds;

// Answers each attempt with the next of the given replies, and every further
// one with the last.
class scripted_jobs final : public job_service
{
public:
  explicit scripted_jobs(std::vector<reply_kind> aReplies,
                         milliseconds aRetryAfter = milliseconds(1'000))
    : mReplies(std::move(aReplies))
    , mRetryAfter(aRetryAfter)
  {
  }

  void Submit(const jobs::job_name& /*aJob*/,
              const jobs::job_spec& /*aSpec*/,
              milliseconds /*aTimeout*/,
              reply_handler aHandler) override
  {
    job_reply reply;
    reply.mKind = mReplies[std::min(mAttempts++, mReplies.size() - 1)];
    reply.mRetryAfter = mRetryAfter;
    aHandler(reply);
  }
  void Cancel(const jobs::job_name& /*aJob*/,
              milliseconds /*aTimeout*/,
              reply_handler /*aHandler*/) override
  {
  }
  void Read(const jobs::job_name& /*aJob*/,
            milliseconds /*aTimeout*/,
            reply_handler /*aHandler*/) override
  {
  }
  void CountWaiting(const jobs::queue_name& /*aQueue*/,
                    milliseconds /*aTimeout*/,
                    reply_handler /*aHandler*/) override
  {
  }

  std::size_t mAttempts = 0;

private:
  std::vector<reply_kind> mReplies;
  const milliseconds mRetryAfter;
};

reply_kind
Outcome(scripted_jobs& aJobs, milliseconds aTimeout)
{
  boost::asio::io_context io;
  const system_clock_source clock;
  std::vector<reply_kind> replies;
  std::make_shared<submission>(
    io,
    clock,
    [&aJobs]() -> job_service& { return aJobs; },
    jobs::job_name{ "a" },
    jobs::job_spec{})
    ->Start(aTimeout, [&replies](const job_reply& aReply) {
      replies.push_back(aReply.mKind);
    });
  io.run();
  EXPECT_EQ(replies.size(), 1U);
  return replies.at(0);
}

TEST(submission_test, ReturnsCertainReplyAfterOneAttempt)
{
  for (const reply_kind each :
       { reply_kind::kOk, reply_kind::kRefused, reply_kind::kUnavailable }) {
    scripted_jobs jobs({ each });
    EXPECT_EQ(Outcome(jobs, milliseconds(2'000)), each);
    EXPECT_EQ(jobs.mAttempts, 1U);
  }
}

TEST(submission_test, NextOwnerResolvesUnknownResult)
{
  scripted_jobs jobs(
    { reply_kind::kUnknown, reply_kind::kUnavailable, reply_kind::kOk });
  EXPECT_EQ(Outcome(jobs, milliseconds(60'000)), reply_kind::kOk);
  EXPECT_EQ(jobs.mAttempts, 3U);
}

// A planned hand-over is short, so the submission is retried and the caller
// does not have to repeat its request.
TEST(submission_test, RetriesWhileJobsAreHandedOver)
{
  scripted_jobs jobs({ reply_kind::kUnavailable, reply_kind::kOk },
                     kHandoverRetryAfter);
  EXPECT_EQ(Outcome(jobs, milliseconds(60'000)), reply_kind::kOk);
  EXPECT_EQ(jobs.mAttempts, 2U);
}

TEST(submission_test, RepliesUnavailableSoonWithoutNextOwner)
{
  scripted_jobs jobs({ reply_kind::kUnavailable }, kHandoverRetryAfter);
  EXPECT_EQ(Outcome(jobs, milliseconds(60'000)), reply_kind::kUnavailable);
  EXPECT_LE(jobs.mAttempts, 5U);
}

// Guards against a refusal of a job that is stored: the first attempt may have
// been accepted, so a later refusal does not show that the job does not exist.
TEST(submission_test, RefusalAfterUnknownResultIsReportedAsUnknown)
{
  scripted_jobs jobs({ reply_kind::kUnknown, reply_kind::kRefused });
  EXPECT_EQ(Outcome(jobs, milliseconds(500)), reply_kind::kUnknown);
}

} // namespace
} // namespace mangospan::node
