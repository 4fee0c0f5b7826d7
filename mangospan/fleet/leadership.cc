#include "mangospan/fleet/leadership.h"

#include <algorithm>
#include <utility>

#include "mangospan/fleet/records.h"

namespace mangospan::fleet {

namespace {

// The number of missed heartbeats after which a standby process tries to
// acquire the lease.
constexpr int kMissedHeartbeatLimit = 2;

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
  return mState == state::kHolding && aNow < mValidUntil;
}

void
leadership::OnTick(time_point aNow, action_queue& aQueue)
{
  if (mRetired) {
    return;
  }
  if (!mStarted) {
    mStarted = true;
    mNextAttemptAt =
      aNow + kMissedHeartbeatLimit * mSettings.mHeartbeatInterval + Jitter();
  }
  if (mState == state::kStandby) {
    if (aNow >= mNextAttemptAt) {
      Grant(aNow, aQueue);
    }
    return;
  }
  if (mState == state::kReadingBack && mCall == 0 && aNow >= mNextReadAt) {
    mCall = aQueue.AddStoreCall(store_purpose::kLeadership,
                                read_call{ LeaderKey(mZone) });
    return;
  }
  if (ExpireIfDue(aNow)) {
    return;
  }
  if (mState == state::kHolding && mCall == 0 && aNow >= mRenewAt) {
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
  if (ExpireIfDue(aNow)) {
    return true;
  }
  mCall = 0;
  switch (mState) {
    case state::kGranting:
      OnGranted(aResult, aNow, aQueue);
      break;
    case state::kClaiming:
      OnClaimed(aResult, aNow, aQueue);
      break;
    case state::kReadingBack:
      OnReadBack(aResult, aNow, aQueue);
      break;
    case state::kHolding:
      OnRenewed(aResult, aNow);
      break;
    case state::kStandby:
      break;
  }
  return true;
}

// The answer to a renewal may arrive after the lease has expired by this
// process's clock. It must not revive the term: view sequence numbers would
// start again under a term whose views entries have already seen.
bool
leadership::ExpireIfDue(time_point aNow)
{
  const bool holds = mState == state::kClaiming ||
                     mState == state::kReadingBack || mState == state::kHolding;
  if (!holds || aNow < mValidUntil) {
    return false;
  }
  BecomeStandby(aNow);
  return true;
}

void
leadership::Grant(time_point aNow, action_queue& aQueue)
{
  mState = state::kGranting;
  mSentAt = aNow;
  mCall = aQueue.AddStoreCall(store_purpose::kLeadership,
                              grant_call{ mSettings.mLeaseTtl });
}

void
leadership::OnGranted(const store_result& aResult,
                      time_point aNow,
                      action_queue& aQueue)
{
  const auto& granted = std::get<result<platform::lease_id>>(aResult);
  if (granted.has_error()) {
    // If the store granted a lease and the answer was lost, nobody renews that
    // lease and it expires.
    BecomeStandby(aNow);
    return;
  }
  mLease = granted.assume_value();
  mValidUntil = mSentAt + mSettings.mLeaseTtl - mSettings.mLeaseMargin;
  if (aNow >= mValidUntil) {
    BecomeStandby(aNow);
    return;
  }
  Claim(aQueue);
}

void
leadership::Claim(action_queue& aQueue)
{
  mState = state::kClaiming;
  mClaimValue = ToText(leader_record{
    mSelf.mHost, mSelf.mPeerAddress, { mSelf.mBoot, ++mWriteSequence } });
  mCall = aQueue.AddStoreCall(
    store_purpose::kLeadership,
    swap_call{ { LeaderKey(mZone), 0, mClaimValue, mLease } });
}

void
leadership::OnClaimed(const store_result& aResult,
                      time_point aNow,
                      action_queue& aQueue)
{
  const auto& claimed = std::get<result<platform::revision>>(aResult);
  if (claimed.has_value()) {
    BecomeLeader(claimed.assume_value());
    return;
  }
  const error_code code = claimed.assume_error().mCode;
  if (code == error_code::kUnknownResult) {
    mState = state::kReadingBack;
    mNextReadAt = aNow;
    OnTick(aNow, aQueue);
    return;
  }
  aQueue.AddStoreCall(store_purpose::kLeadership, revoke_call{ mLease });
  BecomeStandby(aNow);
}

void
leadership::OnReadBack(const store_result& aResult,
                       time_point aNow,
                       action_queue& aQueue)
{
  const auto& read = std::get<result<std::optional<platform::record>>>(aResult);
  if (read.has_error()) {
    mNextReadAt = aNow + mSettings.mStoreRetry + Jitter();
    return;
  }
  const std::optional<platform::record>& found = read.assume_value();
  if (found && found->mValue == mClaimValue) {
    BecomeLeader(found->mRevision);
    return;
  }
  // The claim may still reach the store. It fails there once its lease has been
  // revoked.
  aQueue.AddStoreCall(store_purpose::kLeadership, revoke_call{ mLease });
  BecomeStandby(aNow);
}

void
leadership::BecomeLeader(std::uint64_t aTerm)
{
  mState = state::kHolding;
  mTerm = aTerm;
  mHighestTerm = std::max(mHighestTerm, aTerm);
  mRenewAt = mSentAt + mSettings.mRenewInterval;
}

void
leadership::Renew(time_point aNow, action_queue& aQueue)
{
  mSentAt = aNow;
  mCall = aQueue.AddStoreCall(store_purpose::kLeadership, renew_call{ mLease });
}

void
leadership::OnRenewed(const store_result& aResult, time_point aNow)
{
  const auto& renewed = std::get<result<platform::lease_id>>(aResult);
  if (renewed.has_value()) {
    mValidUntil = std::max(
      mValidUntil, mSentAt + mSettings.mLeaseTtl - mSettings.mLeaseMargin);
    mRenewAt = mSentAt + mSettings.mRenewInterval;
    return;
  }
  if (CodeOf(aResult) == error_code::kNotFound) {
    BecomeStandby(aNow);
    return;
  }
  mRenewAt = aNow + mSettings.mStoreRetry;
}

void
leadership::OnHeartbeat(std::uint64_t aTerm, time_point aNow)
{
  if (aTerm < mHighestTerm) {
    return;
  }
  mHighestTerm = aTerm;
  if (mState == state::kHolding && aTerm > mTerm) {
    BecomeStandby(aNow);
  }
  ScheduleAttempt(aNow, kMissedHeartbeatLimit * mSettings.mHeartbeatInterval);
}

void
leadership::OnSuperseded(time_point aNow)
{
  BecomeStandby(aNow);
}

void
leadership::BecomeStandby(time_point aNow)
{
  mState = state::kStandby;
  mTerm = 0;
  mCall = 0;
  // If another process holds the key, the key exists at least until that
  // process's lease ends, so an attempt at once would fail.
  ScheduleAttempt(aNow, mSettings.mHeartbeatInterval);
}

void
leadership::Retire(action_queue& aQueue)
{
  mRetired = true;
  if (mState == state::kHolding || mState == state::kClaiming ||
      mState == state::kReadingBack) {
    aQueue.AddStoreCall(store_purpose::kLeadership, revoke_call{ mLease });
  }
  mState = state::kStandby;
  mTerm = 0;
  mCall = 0;
}

void
leadership::ScheduleAttempt(time_point aNow,
                            std::chrono::milliseconds aMinDelay)
{
  mNextAttemptAt = aNow + aMinDelay + Jitter();
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
