#include "mangospan/request/internal/pool_state.h"

#include <algorithm>
#include <utility>

namespace mangospan::request {

namespace {

using std::chrono::nanoseconds;

// Until the first answer, a request is taken to need this part of its target.
constexpr int kPriorPart = 8;
// However slow the answers, a request may wait for this part of its target.
constexpr int kSmallestWaitPart = 8;
constexpr double kPatienceShare = 0.99;
constexpr double kSlowShare = 0.98;
constexpr int kPatienceFactor = 3;
constexpr double kMarginStep = 0.1;
constexpr double kLargestMargin = 3;

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

lane_index
service_state::NewLane()
{
  if (mFreeLanes.empty()) {
    return mLanes++;
  }
  const lane_index lane = mFreeLanes.back();
  mFreeLanes.pop_back();
  return lane;
}

class_state::class_state(const config::work_class& aWork,
                         service_state& aService)
  : mWork(aWork)
  , mService(aService)
  , mLane(aService.NewLane())
  , mAnswerTime(aWork.mTarget.mWithin / kPriorPart)
  , mAttemptTime(aWork.mTarget.mWithin / kPriorPart)
{
  UpdateLane();
}

nanoseconds
class_state::Likely() const
{
  const auto quantile = mAnswerTime.Quantile(mWork.mTarget.mShare);
  return std::chrono::duration_cast<nanoseconds>(quantile * mMargin);
}

bool
class_state::IsSlow(nanoseconds aElapsed) const
{
  return aElapsed > mAnswerTime.Quantile(kSlowShare);
}

nanoseconds
class_state::Patience() const
{
  return mAttemptTime.Quantile(kPatienceShare) * kPatienceFactor;
}

nanoseconds
class_state::WaitBudget(nanoseconds aLeft) const
{
  return std::max(aLeft - Likely(), Within() / kSmallestWaitPart);
}

void
class_state::OnAnswered(nanoseconds aElapsed)
{
  mAnswerTime.Add(aElapsed);
  mAttemptTime.Add(aElapsed);
  UpdateLane();
}

// Holds the late share at what the target allows, where the estimate of the
// slot times alone falls short: late answers raise the margin by as much as
// the allowed number of answers in time lowers it.
void
class_state::OnDelivered(bool aLate)
{
  mDemand.OnDelivered(aLate);
  const double share = mWork.mTarget.mShare;
  mMargin += kMarginStep * (aLate ? share : share - 1);
  mMargin = std::clamp(mMargin, 1.0, kLargestMargin);
}

void
class_state::OnTimedOut(nanoseconds aElapsed)
{
  mAttemptTime.Add(aElapsed);
}

// A request that is still queued when it must have been sent to end in time
// is not sent at all: the slot goes to one that can still make it.
void
class_state::UpdateLane()
{
  const nanoseconds longest = Within() - Within() / kSmallestWaitPart;
  mService.mQueue.SetLane(
    mLane, { mWork.mUrgent, mAnswerTime.Mean(), std::min(Likely(), longest) });
}

} // namespace mangospan::request
