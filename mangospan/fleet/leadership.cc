#include "mangospan/fleet/leadership.h"

#include <algorithm>
#include <utility>

#include "mangospan/fleet/records.h"

namespace mangospan::fleet {

namespace {

// Heartbeats a standby process misses before it tries for the lease.
constexpr int kMissedHeartbeats = 2;

error_code
CodeOf(const store_result& aResult)
{
  return std::visit(
    [](const auto& aEach) {
      return aEach.has_error() ? aEach.assume_error().mCode
                               : error_code::kInternal;
    },
    aResult);
}

} // namespace

leadership::leadership(zone_name aZone,
                       process_identity aSelf,
                       const settings& aSettings,
                       std::uint64_t aSeed)
  : mZone(std::move(aZone))
  , mSelf(std::move(aSelf))
  , mSettings(aSettings)
  , mRandom(static_cast<std::minstd_rand::result_type>(aSeed))
{
}

bool
leadership::Acting(time_point aNow) const
{
  return mStep == step::kHolding && aNow < mValidUntil;
}

void
leadership::OnTick(time_point aNow, action_queue& aQueue)
{
  if (mRetired) {
    return;
  }
  if (!mStarted) {
    mStarted = true;
    mTryAt = aNow + kMissedHeartbeats * mSettings.mHeartbeatEvery + Jitter();
  }
  if (mStep == step::kStandby) {
    if (aNow >= mTryAt) {
      Grant(aNow, aQueue);
    }
    return;
  }
  if (mStep == step::kReadingBack && mCall == 0 && aNow >= mReadAt) {
    mCall =
      aQueue.Store(store_purpose::kLeadership, read_call{ LeaderKey(mZone) });
    return;
  }
  if (Expire(aNow)) {
    return;
  }
  if (mStep == step::kHolding && mCall == 0 && aNow >= mRenewAt) {
    Renew(aNow, aQueue);
  }
}

bool
leadership::OnResult(call_id aCall,
                     const store_result& aResult,
                     time_point aNow,
                     action_queue& aQueue)
{
  if (mCall == 0 || aCall != mCall) {
    return false;
  }
  if (Expire(aNow)) {
    return true;
  }
  mCall = 0;
  switch (mStep) {
    case step::kGranting:
      OnGranted(aResult, aNow, aQueue);
      break;
    case step::kClaiming:
      OnClaimed(aResult, aNow, aQueue);
      break;
    case step::kReadingBack:
      OnReadBack(aResult, aNow, aQueue);
      break;
    case step::kHolding:
      OnRenewed(aResult, aNow);
      break;
    case step::kStandby:
      break;
  }
  return true;
}

// A renewal that is answered after the lease has lapsed here must not revive
// it: views would be numbered anew under a term that entries have heard.
bool
leadership::Expire(time_point aNow)
{
  const bool holds = mStep == step::kClaiming || mStep == step::kReadingBack ||
                     mStep == step::kHolding;
  if (!holds || aNow < mValidUntil) {
    return false;
  }
  Lose(aNow);
  return true;
}

void
leadership::Grant(time_point aNow, action_queue& aQueue)
{
  mStep = step::kGranting;
  mSentAt = aNow;
  mCall =
    aQueue.Store(store_purpose::kLeadership, grant_call{ mSettings.mLeaseTtl });
}

void
leadership::OnGranted(const store_result& aResult,
                      time_point aNow,
                      action_queue& aQueue)
{
  const auto& granted = std::get<result<platform::lease_id>>(aResult);
  if (granted.has_error()) {
    // A lease granted without our knowledge ends by itself.
    Lose(aNow);
    return;
  }
  mLease = granted.assume_value();
  mValidUntil = mSentAt + mSettings.mLeaseTtl - mSettings.mLeaseMargin;
  if (aNow >= mValidUntil) {
    Lose(aNow);
    return;
  }
  Claim(aQueue);
}

void
leadership::Claim(action_queue& aQueue)
{
  mStep = step::kClaiming;
  mClaim = ToText(leader_record{
    mSelf.mHost, mSelf.mPeerAddress, { mSelf.mBoot, ++mSequence } });
  mCall = aQueue.Store(store_purpose::kLeadership,
                       swap_call{ { LeaderKey(mZone), 0, mClaim, mLease } });
}

void
leadership::OnClaimed(const store_result& aResult,
                      time_point aNow,
                      action_queue& aQueue)
{
  const auto& claimed = std::get<result<platform::revision>>(aResult);
  if (claimed.has_value()) {
    Win(claimed.assume_value());
    return;
  }
  const error_code code = claimed.assume_error().mCode;
  if (code == error_code::kUnknownResult) {
    mStep = step::kReadingBack;
    mReadAt = aNow;
    OnTick(aNow, aQueue);
    return;
  }
  aQueue.Store(store_purpose::kLeadership, revoke_call{ mLease });
  Lose(aNow);
}

void
leadership::OnReadBack(const store_result& aResult,
                       time_point aNow,
                       action_queue& aQueue)
{
  const auto& read = std::get<result<std::optional<platform::record>>>(aResult);
  if (read.has_error()) {
    mReadAt = aNow + mSettings.mStoreRetry + Jitter();
    return;
  }
  const std::optional<platform::record>& found = read.assume_value();
  if (found && found->mValue == mClaim) {
    Win(found->mRevision);
    return;
  }
  // The claim may still reach the store; ending its lease makes it fail.
  aQueue.Store(store_purpose::kLeadership, revoke_call{ mLease });
  Lose(aNow);
}

void
leadership::Win(std::uint64_t aTerm)
{
  mStep = step::kHolding;
  mTerm = aTerm;
  mHighest = std::max(mHighest, aTerm);
  mRenewAt = mSentAt + mSettings.mRenewEvery;
}

void
leadership::Renew(time_point aNow, action_queue& aQueue)
{
  mSentAt = aNow;
  mCall = aQueue.Store(store_purpose::kLeadership, renew_call{ mLease });
}

void
leadership::OnRenewed(const store_result& aResult, time_point aNow)
{
  const auto& renewed = std::get<result<platform::lease_id>>(aResult);
  if (renewed.has_value()) {
    mValidUntil = std::max(
      mValidUntil, mSentAt + mSettings.mLeaseTtl - mSettings.mLeaseMargin);
    mRenewAt = mSentAt + mSettings.mRenewEvery;
    return;
  }
  if (CodeOf(aResult) == error_code::kNotFound) {
    Lose(aNow);
    return;
  }
  mRenewAt = aNow + mSettings.mStoreRetry;
}

void
leadership::OnHeartbeat(std::uint64_t aTerm, time_point aNow)
{
  if (aTerm < mHighest) {
    return;
  }
  mHighest = aTerm;
  if (mStep == step::kHolding && aTerm > mTerm) {
    Lose(aNow);
  }
  WaitToTry(aNow, kMissedHeartbeats * mSettings.mHeartbeatEvery);
}

void
leadership::OnSuperseded(time_point aNow)
{
  Lose(aNow);
}

void
leadership::Lose(time_point aNow)
{
  mStep = step::kStandby;
  mTerm = 0;
  mCall = 0;
  // The key of another holder lapses with its lease at the earliest.
  WaitToTry(aNow, mSettings.mHeartbeatEvery);
}

void
leadership::Retire(action_queue& aQueue)
{
  mRetired = true;
  if (mStep == step::kHolding || mStep == step::kClaiming ||
      mStep == step::kReadingBack) {
    aQueue.Store(store_purpose::kLeadership, revoke_call{ mLease });
  }
  mStep = step::kStandby;
  mTerm = 0;
  mCall = 0;
}

void
leadership::WaitToTry(time_point aNow, std::chrono::milliseconds aAtLeast)
{
  mTryAt = aNow + aAtLeast + Jitter();
}

std::chrono::milliseconds
leadership::Jitter()
{
  const auto span =
    std::max<std::int64_t>(1, mSettings.mElectionJitter.count());
  return std::chrono::milliseconds(
    std::uniform_int_distribution<std::int64_t>(0, span)(mRandom));
}

} // namespace mangospan::fleet
