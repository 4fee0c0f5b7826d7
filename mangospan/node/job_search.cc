#include "mangospan/node/job_search.h"

#include <utility>

namespace mangospan::node {

using std::chrono::milliseconds;

namespace {

// Calls one service after another until one knows the job.
class job_search : public std::enable_shared_from_this<job_search>
{
public:
  job_search(const clock_source& aClock,
             job_service_finder aFinder,
             std::vector<service_name> aServices,
             job_request aRequest,
             milliseconds aTimeout,
             reply_handler aHandler)
    : mClock(aClock)
    , mFinder(std::move(aFinder))
    , mServices(std::move(aServices))
    , mRequest(std::move(aRequest))
    , mDeadline(aClock.Now() + aTimeout)
    , mHandler(std::move(aHandler))
  {
  }

  void AskNext()
  {
    if (mNextService >= mServices.size()) {
      mHandler(NotFoundReply());
      return;
    }
    const service_name& service = mServices[mNextService++];
    const auto remaining =
      std::chrono::duration_cast<milliseconds>(mDeadline - mClock.Now());
    mRequest(
      mFinder(service),
      remaining,
      [self = shared_from_this()](job_reply aReply) { self->OnReply(aReply); });
  }

private:
  job_reply NotFoundReply() const
  {
    job_reply out;
    const bool mayExist = mHasUnavailable || mHasNotStored || mServices.empty();
    out.mKind = mayExist ? reply_kind::kUnavailable : reply_kind::kNoSuchJob;
    if (mHasNotStored) {
      out.mReason = refusal_reason::kNotStored;
      out.mRetryAfter = kHandoverRetryAfter;
    }
    return out;
  }

  void OnReply(const job_reply& aReply)
  {
    const bool isFirst = mNextService == 1;
    const bool shouldContinue =
      aReply.mKind == reply_kind::kNoSuchJob ||
      (aReply.mKind == reply_kind::kUnavailable && !isFirst);
    if (!shouldContinue) {
      mHandler(aReply);
      return;
    }
    mHasUnavailable =
      mHasUnavailable || aReply.mKind == reply_kind::kUnavailable;
    mHasNotStored =
      mHasNotStored || aReply.mReason == refusal_reason::kNotStored;
    AskNext();
  }

  const clock_source& mClock;
  const job_service_finder mFinder;
  const std::vector<service_name> mServices;
  const job_request mRequest;
  const time_point mDeadline;
  const reply_handler mHandler;
  std::size_t mNextService = 0;
  bool mHasUnavailable = false; // whether some service was unavailable
  bool mHasNotStored = false;   // whether the job waits for a write somewhere
};

// Adds up the replies of several services.
struct waiting_sum
{
  std::size_t mPendingReplies = 0;
  job_reply mReply;
  reply_handler mHandler;
};

} // namespace

void
SearchJob(const clock_source& aClock,
          job_service_finder aFinder,
          std::vector<service_name> aServices,
          job_request aRequest,
          milliseconds aTimeout,
          reply_handler aHandler)
{
  std::make_shared<job_search>(aClock,
                               std::move(aFinder),
                               std::move(aServices),
                               std::move(aRequest),
                               aTimeout,
                               std::move(aHandler))
    ->AskNext();
}

void
CountWaiting(const job_service_finder& aFinder,
             const std::vector<service_name>& aServices,
             const jobs::queue_name& aQueue,
             milliseconds aTimeout,
             reply_handler aHandler)
{
  const auto total = std::make_shared<waiting_sum>();
  total->mPendingReplies = aServices.size();
  total->mReply.mKind =
    aServices.empty() ? reply_kind::kUnavailable : reply_kind::kOk;
  total->mHandler = std::move(aHandler);
  if (aServices.empty()) {
    total->mHandler(total->mReply);
    return;
  }
  for (const service_name& each : aServices) {
    aFinder(each).CountWaiting(
      aQueue, aTimeout, [total](const job_reply& aReply) {
        if (aReply.mKind == reply_kind::kOk) {
          total->mReply.mWaitingCount += aReply.mWaitingCount;
        } else {
          total->mReply.mKind = aReply.mKind;
          total->mReply.mRetryAfter = aReply.mRetryAfter;
        }
        if (--total->mPendingReplies == 0) {
          total->mHandler(total->mReply);
        }
      });
  }
}

} // namespace mangospan::node
