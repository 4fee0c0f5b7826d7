#include "mangospan/node/submission.h"

#include <utility>

#include "mangospan/base/log.h"

namespace mangospan::node {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRetryDelay{ 120 };

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
  const bool isCertain = aReply.mKind == reply_kind::kOk ||
                         (aReply.mKind != reply_kind::kUnknown && !mIsInDoubt);
  if (isCertain) {
    mHandler(aReply);
    return;
  }
  mIsInDoubt = true;
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
