// The interface that callers' requests reach, on the owner or on a node that
// passes them on to it.
#ifndef MANGOSPAN_NODE_JOB_SERVICE_H
#define MANGOSPAN_NODE_JOB_SERVICE_H

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>

#include "mangospan/jobs/job.h"
#include "mangospan/jobs/spec.h"

namespace mangospan::node {

enum class reply_kind
{
  kOk,
  kNoSuchJob,
  kRefused,     // turned away; the request certainly has no effect
  kUnavailable, // nobody can answer now; the request certainly has no effect
  kUnknown,     // it may have an effect
};

// Of a reply kUnavailable while the jobs pass from one owner to the next.
inline constexpr std::chrono::milliseconds kTakeoverRetry{ 150 };

struct job_reply
{
  reply_kind mKind = reply_kind::kUnavailable;
  jobs::job_state mState = jobs::job_state::kQueued; // of a read
  std::size_t mWaiting = 0;                          // of a count
  std::chrono::milliseconds mRetryAfter{ 0 };        // where it was turned away
};

using reply_handler = std::function<void(job_reply)>;

class job_service
{
public:
  virtual ~job_service() = default;

  // Each calls its handler once, when the answer is certain or `aPatience` is
  // over.
  virtual void Submit(const jobs::job_name& aJob,
                      const jobs::job_spec& aSpec,
                      std::chrono::milliseconds aPatience,
                      reply_handler aHandler) = 0;
  virtual void Cancel(const jobs::job_name& aJob,
                      std::chrono::milliseconds aPatience,
                      reply_handler aHandler) = 0;
  virtual void Read(const jobs::job_name& aJob,
                    std::chrono::milliseconds aPatience,
                    reply_handler aHandler) = 0;
  virtual void CountWaiting(const jobs::queue_name& aQueue,
                            std::chrono::milliseconds aPatience,
                            reply_handler aHandler) = 0;
};

} // namespace mangospan::node

#endif // MANGOSPAN_NODE_JOB_SERVICE_H
