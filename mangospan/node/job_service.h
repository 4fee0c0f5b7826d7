// The interface for callers' requests about jobs. It is implemented by the
// owner of the jobs and by the clients that forward requests to the owner.
#ifndef MANGOSPAN_NODE_JOB_SERVICE_H
#define MANGOSPAN_NODE_JOB_SERVICE_H

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "mangospan/jobs/job.h"
#include "mangospan/jobs/spec.h"

namespace mangospan::node {

// The result of a request.
enum class reply_kind
{
  kOk,
  kNoSuchJob,
  kRefused,     // rejected by the owner; the request certainly has no effect
  kUnavailable, // no owner can answer now; the request certainly has no effect
  kUnknown,     // the result is not known; the request may have an effect
};

// Why a request was turned away.
enum class refusal_reason
{
  kNone,             // it was not, or the reason is not known
  kNoOwner,          // no node owns the jobs
  kOwnerUnreachable, // the owner's node does not answer
  kNotLoaded,        // the owner has not read its jobs yet
  kHandover,         // the owner hands its jobs over
  kStoreUnavailable, // the owner's last write to the store failed
  kOtherService,     // the queue belongs to the jobs of another service
  kOverRate,         // it is beyond its customer's rate, and the pool is full
  kNoSuchQueue,      // the catalog of the owner has no such queue
  kRecordRefused,    // the store does not take the job's record
  kStopping,         // the node that the caller has asked is about to exit
  kOverloaded,       // the owner's work waits too long
  kTimeIsUp,         // the caller does not wait any more
  kLeaseUncertain,   // another node may be the owner by now
  kNotStored,        // the job waits for its first write and may live elsewhere
};

// The reason in one word, as logs, metrics and other nodes spell it.
const char*
Name(refusal_reason aReason);
// The inverse of `Name()`. Returns kNone for any other word.
refusal_reason
ParseRefusalReason(std::string_view aName);

// `job_reply::mRetryAfter` of a reply kUnavailable while the jobs are handed
// over from one owner to the next.
inline constexpr std::chrono::milliseconds kHandoverRetryAfter{ 150 };

// `job_reply::mRetryAfter` of a reply kUnavailable while the store or the owner
// can not be reached.
inline constexpr std::chrono::milliseconds kUnavailableRetryAfter{ 1'000 };

// The reply to a request.
struct job_reply
{
  reply_kind mKind = reply_kind::kUnavailable;
  // State of the job. Set by `job_service::Read`.
  jobs::job_state mJobState = jobs::job_state::kQueued;
  // Number of waiting jobs. Set by `job_service::CountWaiting`.
  std::size_t mWaitingCount = 0;
  // Delay before the next attempt; 0 if none is advised. May be set if `mKind`
  // is kRefused or kUnavailable.
  std::chrono::milliseconds mRetryAfter{ 0 };
  // Set if `mKind` is kRefused or kUnavailable. kNotStored also with
  // kNoSuchJob, which is then true of this owner so far.
  refusal_reason mReason = refusal_reason::kNone;
};

using reply_handler = std::function<void(job_reply)>;

// Submits, cancels, reads and counts jobs. Every method calls its handler
// exactly once, as soon as the result is certain or `aTimeout` has elapsed. The
// handler may be called before the method has returned. Every method may also
// reply kUnavailable or kUnknown.
class job_service
{
public:
  virtual ~job_service() = default;

  // Accepts the job. Replies kOk once the job is stored, also if a job of that
  // name was stored before; kRefused, with `mRetryAfter`, if it is rejected.
  virtual void Submit(const jobs::job_name& aJob,
                      const jobs::job_spec& aSpec,
                      std::chrono::milliseconds aTimeout,
                      reply_handler aHandler) = 0;
  // Cancels the job. Replies kOk once the final state of the job is stored;
  // kNoSuchJob if there is no job of that name.
  virtual void Cancel(const jobs::job_name& aJob,
                      std::chrono::milliseconds aTimeout,
                      reply_handler aHandler) = 0;
  // Replies kOk with `mJobState`; kNoSuchJob if no job of that name is stored.
  virtual void Read(const jobs::job_name& aJob,
                    std::chrono::milliseconds aTimeout,
                    reply_handler aHandler) = 0;
  // Replies kOk with `mWaitingCount`.
  virtual void CountWaiting(const jobs::queue_name& aQueue,
                            std::chrono::milliseconds aTimeout,
                            reply_handler aHandler) = 0;
};

} // namespace mangospan::node

#endif // MANGOSPAN_NODE_JOB_SERVICE_H
