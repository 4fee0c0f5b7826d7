#include "mangospan/node/fixed_jobs.h"

namespace mangospan::node {

using std::chrono::milliseconds;

job_reply
NobodyOwns()
{
  job_reply out;
  out.mKind = reply_kind::kUnavailable;
  out.mRetryAfter = kTakeoverRetry;
  return out;
}

fixed_jobs::fixed_jobs(job_reply aReply)
  : mReply(aReply)
{
}

void
fixed_jobs::Submit(const jobs::job_name& /*aJob*/,
                   const jobs::job_spec& /*aSpec*/,
                   milliseconds /*aTimeout*/,
                   reply_handler aHandler)
{
  aHandler(mReply);
}

void
fixed_jobs::Cancel(const jobs::job_name& /*aJob*/,
                   milliseconds /*aTimeout*/,
                   reply_handler aHandler)
{
  aHandler(mReply);
}

void
fixed_jobs::Read(const jobs::job_name& /*aJob*/,
                 milliseconds /*aTimeout*/,
                 reply_handler aHandler)
{
  aHandler(mReply);
}

void
fixed_jobs::CountWaiting(const jobs::queue_name& /*aQueue*/,
                         milliseconds /*aTimeout*/,
                         reply_handler aHandler)
{
  aHandler(mReply);
}

} // namespace mangospan::node
