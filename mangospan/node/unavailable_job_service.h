// A job service for jobs that have no owner at present.
#ifndef MANGOSPAN_NODE_UNAVAILABLE_JOB_SERVICE_H
#define MANGOSPAN_NODE_UNAVAILABLE_JOB_SERVICE_H

#include "mangospan/node/job_service.h"

namespace mangospan::node {

// Returns the reply to calls while the jobs have no owner: unavailable, with a
// retry after `kHandoverRetryAfter`, since a new owner is expected soon.
job_reply
UnavailableReply();

// Replies to every call with `aReply`, before the call returns. Used with
// `UnavailableReply()`.
class unavailable_job_service final : public job_service
{
public:
  explicit unavailable_job_service(job_reply aReply);

  void Submit(const jobs::job_name& aJob,
              const jobs::job_spec& aSpec,
              std::chrono::milliseconds aTimeout,
              reply_handler aHandler) override;
  void Cancel(const jobs::job_name& aJob,
              std::chrono::milliseconds aTimeout,
              reply_handler aHandler) override;
  void Read(const jobs::job_name& aJob,
            std::chrono::milliseconds aTimeout,
            reply_handler aHandler) override;
  void CountWaiting(const jobs::queue_name& aQueue,
                    std::chrono::milliseconds aTimeout,
                    reply_handler aHandler) override;

private:
  const job_reply mReply;
};

} // namespace mangospan::node

#endif // MANGOSPAN_NODE_UNAVAILABLE_JOB_SERVICE_H
