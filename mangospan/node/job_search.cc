#include "mangospan/node/job_search.h"

#include <utility>

namespace mangospan::node {

using std::chrono::milliseconds;

namespace {

class job_search : public std::enable_shared_from_this<job_search>
{
public:
  job_search(const clock_source& aClock,
             job_service_finder aFinder,
             std::vector<service_name> aServices,
             job_question aQuestion,
             milliseconds aPatience,
             reply_handler aHandler)
    : mClock(aClock)
    , mFinder(std::move(aFinder))
    , mServices(std::move(aServices))
    , mQuestion(std::move(aQuestion))
    , mUntil(aClock.Now() + aPatience)
    , mHandler(std::move(aHandler))
  {
  }

  void Ask()
  {
    if (mNext >= mServices.size()) {
      job_reply reply;
      reply.mKind = mIsUncertain || mServices.empty() ? reply_kind::kUnavailable
                                                      : reply_kind::kNoSuchJob;
      mHandler(reply);
      return;
    }
    const service_name& service = mServices[mNext++];
    const auto left =
      std::chrono::duration_cast<milliseconds>(mUntil - mClock.Now());
    mQuestion(
      mFinder(service), left, [self = shared_from_this()](job_reply aReply) {
        self->OnReply(aReply);
      });
  }

private:
  void OnReply(const job_reply& aReply)
  {
    const bool isFirst = mNext == 1;
    const bool goesOn = aReply.mKind == reply_kind::kNoSuchJob ||
                        (aReply.mKind == reply_kind::kUnavailable && !isFirst);
    if (!goesOn) {
      mHandler(aReply);
      return;
    }
    mIsUncertain = mIsUncertain || aReply.mKind == reply_kind::kUnavailable;
    Ask();
  }

  const clock_source& mClock;
  const job_service_finder mFinder;
  const std::vector<service_name> mServices;
  const job_question mQuestion;
  const time_point mUntil;
  const reply_handler mHandler;
  std::size_t mNext = 0;
  bool mIsUncertain = false; // one could not be asked
};

struct sum
{
  std::size_t mOpen = 0;
  job_reply mReply;
  reply_handler mHandler;
};

} // namespace

void
SearchJob(const clock_source& aClock,
          job_service_finder aFinder,
          std::vector<service_name> aServices,
          job_question aQuestion,
          milliseconds aPatience,
          reply_handler aHandler)
{
  std::make_shared<job_search>(aClock,
                               std::move(aFinder),
                               std::move(aServices),
                               std::move(aQuestion),
                               aPatience,
                               std::move(aHandler))
    ->Ask();
}

void
CountWaiting(const job_service_finder& aFinder,
             const std::vector<service_name>& aServices,
             const jobs::queue_name& aQueue,
             milliseconds aPatience,
             reply_handler aHandler)
{
  const auto all = std::make_shared<sum>();
  all->mOpen = aServices.size();
  all->mReply.mKind =
    aServices.empty() ? reply_kind::kUnavailable : reply_kind::kOk;
  all->mHandler = std::move(aHandler);
  if (aServices.empty()) {
    all->mHandler(all->mReply);
    return;
  }
  for (const service_name& each : aServices) {
    aFinder(each).CountWaiting(
      aQueue, aPatience, [all](const job_reply& aReply) {
        if (aReply.mKind == reply_kind::kOk) {
          all->mReply.mWaiting += aReply.mWaiting;
        } else {
          all->mReply.mKind = aReply.mKind;
          all->mReply.mRetryAfter = aReply.mRetryAfter;
        }
        if (--all->mOpen == 0) {
          all->mHandler(all->mReply);
        }
      });
  }
}

} // namespace mangospan::node
