// The pipeline's state for each service, work class and open request.
#ifndef MANGOSPAN_REQUEST_INTERNAL_POOL_STATE_H
#define MANGOSPAN_REQUEST_INTERNAL_POOL_STATE_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "mangospan/base/identity.h"
#include "mangospan/base/time.h"
#include "mangospan/config/document.h"
#include "mangospan/request/internal/admission.h"
#include "mangospan/request/internal/deadline_queue.h"
#include "mangospan/request/internal/demand_meter.h"
#include "mangospan/request/internal/retry_policy.h"
#include "mangospan/request/internal/service_time.h"
#include "mangospan/request/internal/slot_router.h"

namespace mangospan::request {

// One service's queue, admission control and retry budget.
struct service_state
{
  service_state(service_name aName,
                pool_index aPool,
                const pipeline_options& aOptions);

  // Returns the index of a class queue that no class uses.
  class_queue_index AllocateClassQueue();

  service_name mName;
  pool_index mPool;
  deadline_queue mQueue;
  admission mAdmission;
  retry_budget mRetryBudget;
  class_queue_index mClassQueueCount = 0;
  std::vector<class_queue_index> mFreeClassQueues;
};

// One work class: its configuration, and the latency and demand observed.
struct class_state
{
  class_state(const config::work_class& aWork, service_state& aService);

  // Returns the time from arrival within which the target wants an answer.
  std::chrono::nanoseconds TargetLatency() const
  {
    return mWorkClass.mTarget.mWithin;
  }
  // Returns an estimate of the time that a request needs once it is sent: the
  // quantile of answer times that the target asks for, times the margin.
  std::chrono::nanoseconds EstimatedAnswerTime() const;
  // Returns whether an answer took longer than nearly all others do.
  bool IsSlow(std::chrono::nanoseconds aElapsed) const;
  // Returns the shortest timeout of an attempt that can be retried: one that
  // takes longer has most likely failed.
  std::chrono::nanoseconds MinAttemptTimeout() const;
  // Returns how long a request may wait in the queue if its deadline is
  // `aRemaining` away.
  std::chrono::nanoseconds WaitBudget(
    std::chrono::nanoseconds aRemaining) const;

  void OnAnswered(std::chrono::nanoseconds aElapsed);
  void OnDelivered(bool aLate);
  void OnTimedOut(std::chrono::nanoseconds aElapsed);
  // Passes the current estimates on to the class queue.
  void UpdateClassQueue();

  config::work_class mWorkClass;
  service_state& mService;
  class_queue_index mClassQueue;
  service_time mAnswerTime;  // time to answer
  service_time mAttemptTime; // time to answer or to time out
  // Factor on the estimated answer time, raised while answers are late.
  double mMargin = 1;
  demand_meter mDemand;
  std::size_t mOpenRequests = 0; // requests of the class that have not ended
  bool mConfigured = true;       // false if removed from the configuration
};

// One request from its arrival until its answer or refusal.
struct open_request
{
  class_state* mClass = nullptr;
  admission_grant mGrant;
  time_point mDeadline;      // the class's target
  time_point mFinalDeadline; // latest end of any attempt
  time_point mDispatchedAt;  // start of the current attempt
  taken_slot mSlot;          // slot of the current attempt
  // endpoint of the previous attempt; may dangle, compare only
  const endpoint_slots* mPreviousEndpoint = nullptr;
  std::uint32_t mAttempt = 0; // number of the latest attempt, from 1
  bool mIdempotent = false;
  bool mMayHaveRun = false; // an endpoint may have acted on it
  bool mCallerGone = false;
  std::string mPeer; // "ip:port" of the last attempt that failed
};

} // namespace mangospan::request

#endif // MANGOSPAN_REQUEST_INTERNAL_POOL_STATE_H
