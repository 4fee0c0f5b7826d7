#include "mangospan/jobs/answer_times.h"

#include <algorithm>

namespace mangospan::jobs {

namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

// The weights of a new answer in the mean and in the deviation are one divided
// by these, and the deviation counts this often, as in a TCP retransmission
// timeout (RFC 6298).
constexpr int kMeanWeight = 8;
constexpr int kDeviationWeight = 4;
constexpr int kDeviations = 4;

// Each unanswered order takes this many answers to be forgotten, and no more
// than the maximum are needed in total.
constexpr int kAnswersPerLoss = 4;
constexpr int kMaxAnswersNeeded = 12;
// An unanswered order says nothing of the runner any more after this time.
constexpr milliseconds kLossMemory{ 5'000 };

} // namespace

answer_time_estimator::answer_time_estimator(answer_time_bounds aBounds)
  : mBounds(aBounds)
{
}

void
answer_time_estimator::Add(nanoseconds aTime)
{
  if (!mHasAnswer) {
    mHasAnswer = true;
    mMean = aTime;
    mDeviation = aTime / 2;
    return;
  }
  const nanoseconds error = aTime - mMean;
  mDeviation += (std::chrono::abs(error) - mDeviation) / kDeviationWeight;
  mMean += error / kMeanWeight;
}

nanoseconds
answer_time_estimator::ResendDelay() const
{
  if (!mHasAnswer) {
    return mBounds.mInitial;
  }
  return std::clamp<nanoseconds>(
    mMean + kDeviations * mDeviation, mBounds.mMin, mBounds.mMax);
}

void
answer_record::OnAnswered()
{
  mAnswersNeeded = std::max(0, mAnswersNeeded - 1);
}

void
answer_record::OnUnanswered(time_point aNow)
{
  mAnswersNeeded =
    std::min(mAnswersNeeded + kAnswersPerLoss, kMaxAnswersNeeded);
  mLastUnansweredAt = aNow;
}

bool
answer_record::IsUnreliable(time_point aNow) const
{
  return mAnswersNeeded > 0 && aNow - mLastUnansweredAt < kLossMemory;
}

} // namespace mangospan::jobs
