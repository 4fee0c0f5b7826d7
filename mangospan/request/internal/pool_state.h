// What the pipeline keeps for each service, class and open request.
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

// One service's queue and the rules that guard it.
struct service_state
{
  service_state(service_name aName,
                pool_index aPool,
                const pipeline_options& aOptions);

  // A lane that no class uses.
  lane_index NewLane();

  service_name mName;
  pool_index mPool;
  deadline_queue mQueue;
  admission mAdmission;
  retry_budget mRetries;
  lane_index mLanes = 0;
  std::vector<lane_index> mFreeLanes;
};

// One class of work: its rule, and what was observed of it.
struct class_state
{
  class_state(const config::work_class& aWork, service_state& aService);

  std::chrono::nanoseconds Within() const { return mWork.mTarget.mWithin; }
  // The time in which a request, once sent, ends in time for the target.
  std::chrono::nanoseconds Likely() const;
  // Whether an answer took longer than nearly all others do.
  bool IsSlow(std::chrono::nanoseconds aElapsed) const;
  // An attempt of a repeatable request that takes longer has gone wrong.
  std::chrono::nanoseconds Patience() const;
  // How long a request that has `aLeft` until its deadline may wait.
  std::chrono::nanoseconds WaitBudget(std::chrono::nanoseconds aLeft) const;

  void OnAnswered(std::chrono::nanoseconds aElapsed);
  void OnDelivered(bool aLate);
  void OnTimedOut(std::chrono::nanoseconds aElapsed);
  void UpdateLane();

  config::work_class mWork;
  service_state& mService;
  lane_index mLane;
  service_time mAnswerTime;  // of answers
  service_time mAttemptTime; // of answers and of attempts that timed out
  double mMargin = 1; // on the likely time, raised while answers are late
  demand_meter mDemand;
  std::size_t mOpen = 0;
  bool mConfigured = true;
};

// One request between arrival and end.
struct open_request
{
  class_state* mClass = nullptr;
  admission_grant mGrant;
  time_point mDeadline;                   // of its target
  time_point mGiveUp;                     // no attempt lasts longer
  time_point mDispatched;                 // of the attempt under way
  taken_slot mSlot;                       // of the attempt under way
  const endpoint_slots* mTried = nullptr; // of the attempt before; only ever
                                          // compared, it may be gone
  std::uint32_t mAttempt = 0;
  bool mIdempotent = false;
  bool mMayHaveRun = false;
  bool mCallerGone = false;
  std::string mPeer; // the address of the last attempt that failed
};

} // namespace mangospan::request

#endif // MANGOSPAN_REQUEST_INTERNAL_POOL_STATE_H
