#include "mangospan/request/internal/pool_state.h"

#include <algorithm>
#include <utility>

namespace mangospan::request {

namespace {

using std::chrono::nanoseconds;

// Until the first answer, a request is assumed to need this fraction of its
// target: one part in `kPriorDivisor`.
constexpr int kPriorDivisor = 8;
// A request may always wait for one part in `kMinWaitDivisor` of its target,
// however slow the answers are.
constexpr int kMinWaitDivisor = 8;
constexpr double kAttemptTimeoutQuantile = 0.99;
constexpr double kSlowQuantile = 0.98;
constexpr int kAttemptTimeoutFactor = 3;
constexpr double kMarginStep = 0.1;
constexpr double kMaxMargin = 3;

} // namespace

service_state::service_state(service_name aName,
                             pool_index aPool,
                             const pipeline_options& aOptions)
  : mName(std::move(aName))
  , mPool(aPool)
  , mAdmission(aOptions.mFairnessThreshold)
  , mRetryBudget(aOptions.mRetryBudget)
{
}

class_queue_index
service_state::AllocateClassQueue()
{
  if (mFreeClassQueues.empty()) {
    return mClassQueueCount++;
  }
  const class_queue_index index = mFreeClassQueues.back();
  mFreeClassQueues.pop_back();
  return index;
}

class_state::class_state(const config::work_class& aWork,
                         service_state& aService)
  : mWorkClass(aWork)
  , mService(aService)
  , mClassQueue(aService.AllocateClassQueue())
  , mAnswerTime(aWork.mTarget.mWithin / kPriorDivisor)
  , mAttemptTime(aWork.mTarget.mWithin / kPriorDivisor)
{
  UpdateClassQueue();
}

nanoseconds
class_state::EstimatedAnswerTime() const
{
  const auto quantile = mAnswerTime.Quantile(mWorkClass.mTarget.mShare);
  return std::chrono::duration_cast<nanoseconds>(quantile * mMargin);
}

bool
class_state::IsSlow(nanoseconds aElapsed) const
{
  return aElapsed > mAnswerTime.Quantile(kSlowQuantile);
}

nanoseconds
class_state::MinAttemptTimeout() const
{
  return mAttemptTime.Quantile(kAttemptTimeoutQuantile) * kAttemptTimeoutFactor;
}

nanoseconds
class_state::WaitBudget(nanoseconds aRemaining) const
{
  return std::max(aRemaining - EstimatedAnswerTime(),
                  TargetLatency() / kMinWaitDivisor);
}

void
class_state::OnAnswered(nanoseconds aElapsed)
{
  mAnswerTime.Add(aElapsed);
  mAttemptTime.Add(aElapsed);
  UpdateClassQueue();
}

// Keeps the share of late answers at what the target allows, where the estimate
// of the slot times alone is too low: one late answer raises the margin by as
// much as the number of timely answers that the target demands per late one
// lowers it.
void
class_state::OnDelivered(bool aLate)
{
  mDemand.OnDelivered(aLate);
  const double share = mWorkClass.mTarget.mShare;
  mMargin += kMarginStep * (aLate ? share : share - 1);
  mMargin = std::clamp(mMargin, 1.0, kMaxMargin);
}

void
class_state::OnTimedOut(nanoseconds aElapsed)
{
  mAttemptTime.Add(aElapsed);
}

// The start margin makes a request expire in the queue once it can no longer
// end in time: the slot then goes to a request that still can.
void
class_state::UpdateClassQueue()
{
  const nanoseconds maxStartMargin =
    TargetLatency() - TargetLatency() / kMinWaitDivisor;
  mService.mQueue.SetClassQueue(
    mClassQueue,
    { mWorkClass.mUrgent,
      mAnswerTime.Mean(),
      std::min(EstimatedAnswerTime(), maxStartMargin) });
}

} // namespace mangospan::request
