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
  , mRetries(aOptions.mRetryBudget)
{
}

class_queue_index
service_state::AllocateClassQueue()
{
  if (mFreeLanes.empty()) {
    return mClassQueueCount++;
  }
  const class_queue_index index = mFreeLanes.back();
  mFreeLanes.pop_back();
  return index;
}

class_state::class_state(const config::work_class& aWork,
                         service_state& aService)
  : mWork(aWork)
  , mService(aService)
  , mLane(aService.AllocateClassQueue())
  , mAnswerTime(aWork.mTarget.mWithin / kPriorDivisor)
  , mAttemptTime(aWork.mTarget.mWithin / kPriorDivisor)
{
  UpdateLane();
}

nanoseconds
class_state::EstimatedAnswerTime() const
{
  const auto quantile = mAnswerTime.Quantile(mWork.mTarget.mShare);
  return std::chrono::duration_cast<nanoseconds>(quantile * mMargin);
}

bool
class_state::IsSlow(nanoseconds aElapsed) const
{
  return aElapsed > mAnswerTime.Quantile(kSlowQuantile);
}

nanoseconds
class_state::Patience() const
{
  return mAttemptTime.Quantile(kAttemptTimeoutQuantile) * kAttemptTimeoutFactor;
}

nanoseconds
class_state::WaitBudget(nanoseconds aRemaining) const
{
  return std::max(aRemaining - EstimatedAnswerTime(),
                  Within() / kMinWaitDivisor);
}

void
class_state::OnAnswered(nanoseconds aElapsed)
{
  mAnswerTime.Add(aElapsed);
  mAttemptTime.Add(aElapsed);
  UpdateLane();
}

// Keeps the share of late answers at what the target allows, where the estimate
// of the slot times alone is too low: one late answer raises the margin by as
// much as the number of timely answers that the target demands per late one
// lowers it.
void
class_state::OnDelivered(bool aLate)
{
  mDemand.OnDelivered(aLate);
  const double share = mWork.mTarget.mShare;
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
class_state::UpdateLane()
{
  const nanoseconds maxStartMargin = Within() - Within() / kMinWaitDivisor;
  mService.mQueue.SetClassQueue(
    mLane,
    { mWork.mUrgent,
      mAnswerTime.Mean(),
      std::min(EstimatedAnswerTime(), maxStartMargin) });
}

} // namespace mangospan::request
