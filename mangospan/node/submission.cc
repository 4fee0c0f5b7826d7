#include "mangospan/node/submission.h"

#include <utility>

#include "mangospan/base/log.h"

namespace mangospan::node {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRetryDelay{ 120 };
// While nobody can answer: a planned takeover lasts about as long.
constexpr milliseconds kTakeoverPatience{ 500 };

} // namespace

submission::submission(boost::asio::io_context& aIo,
                       const clock_source& aClock,
                       std::function<job_service&()> aService,
                       jobs::job_name aJob,
                       jobs::job_spec aSpec)
  : mTimer(aIo)
  , mClock(aClock)
  , mService(std::move(aService))
  , mJob(std::move(aJob))
  , mSpec(std::move(aSpec))
{
}

void
submission::Start(milliseconds aPatience, reply_handler aHandler)
{
  mUntil = mClock.Now() + aPatience;
  mTakeoverUntil =
    mClock.Now() + std::min(kTakeoverPatience, aPatience - 2 * kRetryDelay);
  mHandler = std::move(aHandler);
  Try();
}

void
submission::Try()
{
  const auto left =
    std::chrono::duration_cast<milliseconds>(mUntil - mClock.Now());
  mService().Submit(
    mJob, mSpec, left, [self = shared_from_this()](const job_reply& aReply) {
      self->OnReply(aReply);
    });
}

void
submission::OnReply(const job_reply& aReply)
{
  const bool isTakeover = aReply.mKind == reply_kind::kUnavailable &&
                          aReply.mRetryAfter <= kTakeoverRetry &&
                          mClock.Now() + kRetryDelay < mTakeoverUntil;
  const bool isCertain =
    aReply.mKind == reply_kind::kOk ||
    (aReply.mKind != reply_kind::kUnknown && !mIsInDoubt && !isTakeover);
  if (isCertain) {
    mHandler(aReply);
    return;
  }
  mIsInDoubt = mIsInDoubt || aReply.mKind == reply_kind::kUnknown;
  if (mClock.Now() + 2 * kRetryDelay >= mUntil) {
    job_reply unknown;
    unknown.mKind = reply_kind::kUnknown;
    mHandler(unknown);
    return;
  }
  LogEvent(log_level::kInfo, "job.submitted_again", { { "job", mJob.Str() } });
  mTimer.expires_after(kRetryDelay);
  mTimer.async_wait(
    [self = shared_from_this()](const boost::system::error_code& aAbort) {
      if (!aAbort) {
        self->Try();
      }
    });
}

} // namespace mangospan::node
