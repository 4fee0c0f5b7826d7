#include "mangospan/node/submission.h"

#include <utility>

#include "mangospan/base/log.h"

namespace mangospan::node {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRetryDelay{ 120 };
// Maximum time to retry while the jobs have no owner. A planned hand-over to
// the next owner takes about as long.
constexpr milliseconds kHandoverTimeout{ 500 };

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
submission::Start(milliseconds aTimeout, reply_handler aHandler)
{
  mDeadline = mClock.Now() + aTimeout;
  mHandoverDeadline =
    mClock.Now() + std::min(kHandoverTimeout, aTimeout - 2 * kRetryDelay);
  mHandler = std::move(aHandler);
  TrySubmit();
}

void
submission::TrySubmit()
{
  const auto remaining =
    std::chrono::duration_cast<milliseconds>(mDeadline - mClock.Now());
  mService().Submit(mJob,
                    mSpec,
                    remaining,
                    [self = shared_from_this()](const job_reply& aReply) {
                      self->OnReply(aReply);
                    });
}

void
submission::OnReply(const job_reply& aReply)
{
  const bool isHandover = aReply.mKind == reply_kind::kUnavailable &&
                          aReply.mRetryAfter <= kHandoverRetryAfter &&
                          mClock.Now() + kRetryDelay < mHandoverDeadline;
  const bool isCertain =
    aReply.mKind == reply_kind::kOk ||
    (aReply.mKind != reply_kind::kUnknown && !mMayHaveEffect && !isHandover);
  if (isCertain) {
    mHandler(aReply);
    return;
  }
  mMayHaveEffect = mMayHaveEffect || aReply.mKind == reply_kind::kUnknown;
  if (mClock.Now() + 2 * kRetryDelay >= mDeadline) {
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
        self->TrySubmit();
      }
    });
}

} // namespace mangospan::node
