#include "mangospan/node/unavailable_job_service.h"

namespace mangospan::node {

using std::chrono::milliseconds;

job_reply
UnavailableReply()
{
  job_reply out;
  out.mKind = reply_kind::kUnavailable;
  out.mRetryAfter = kHandoverRetryAfter;
  out.mReason = refusal_reason::kNoOwner;
  return out;
}

unavailable_job_service::unavailable_job_service(job_reply aReply)
  : mReply(aReply)
{
}

void
unavailable_job_service::Submit(const jobs::job_name& /*aJob*/,
                                const jobs::job_spec& /*aSpec*/,
                                milliseconds /*aTimeout*/,
                                reply_handler aHandler)
{
  aHandler(mReply);
}

void
unavailable_job_service::Cancel(const jobs::job_name& /*aJob*/,
                                milliseconds /*aTimeout*/,
                                reply_handler aHandler)
{
  aHandler(mReply);
}

void
unavailable_job_service::Read(const jobs::job_name& /*aJob*/,
                              milliseconds /*aTimeout*/,
                              reply_handler aHandler)
{
  aHandler(mReply);
}

void
unavailable_job_service::CountWaiting(const jobs::queue_name& /*aQueue*/,
                                      milliseconds /*aTimeout*/,
                                      reply_handler aHandler)
{
  aHandler(mReply);
}

} // namespace mangospan::node
