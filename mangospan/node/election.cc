#include "mangospan/node/election.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "mangospan/base/identity.h"
#include "mangospan/base/log.h"

namespace mangospan::node {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr std::string_view kFleetSubject = "fleet";
constexpr std::string_view kJobsPrefix = "jobs/";
constexpr const char* kLeaseSuffix = "/lease";
constexpr const char* kTermSuffix = "/term";

// The time after which a renewal counts as unanswered before the first answer.
constexpr milliseconds kInitialRepeatDelay{ 100 };
// A renewal and its repetition.
constexpr std::size_t kMaxRenewalsInFlight = 2;
// After this many renewals without an answer the store is taken to be away, and
// renewals are not repeated at once.
constexpr std::size_t kMaxQuickRenewals = 5;

std::string
Encode(const owner_record& aRecord)
{
  return json{
    { "term", aRecord.mTerm },        { "node", aRecord.mNode },
    { "address", aRecord.mAddress },  { "lack", aRecord.mCapacityShortfall },
    { "boot", aRecord.mBoot.mValue }, { "lease", aRecord.mLease.mValue }
  }.dump();
}

// Returns nothing if the record is malformed.
std::optional<owner_record>
Decode(const platform::record& aRecord)
{
  try {
    const json body = json::parse(aRecord.mValue);
    return owner_record{ body.at("term").get<std::uint64_t>(),
                         body.value("node", std::string()),
                         body.value("address", std::string()),
                         body.value("lack", 0.0),
                         aRecord.mRevision,
                         boot_id{ body.value("boot", std::uint64_t{ 0 }) },
                         platform::lease_id{
                           body.value("lease", std::uint64_t{ 0 }) } };
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

} // namespace

platform::transaction
term_fence::Begin() const
{
  platform::transaction out;
  out.mExpectations.push_back({ mTermKey, mRevision });
  return out;
}

double
CapacityShortfall(const election_settings& aSettings)
{
  return std::max(
           0.0, 1.0 - aSettings.mProcessorCores / aSettings.mSufficientCores) +
         std::max(0.0,
                  1.0 - aSettings.mLinkMbps / aSettings.mSufficientLinkMbps);
}

std::string
FleetSubject()
{
  return std::string(kFleetSubject);
}

std::string
JobsSubject(const service_name& aService)
{
  return std::string(kJobsPrefix) + aService.Str();
}

std::optional<service_name>
ServiceOfSubject(std::string_view aSubject)
{
  if (aSubject.substr(0, kJobsPrefix.size()) != kJobsPrefix) {
    return std::nullopt;
  }
  return service_name{ std::string(aSubject.substr(kJobsPrefix.size())) };
}

std::string
SubjectOf(std::string_view aKey)
{
  const std::string_view prefix = election::kPrefix;
  const std::size_t last = aKey.rfind('/');
  if (aKey.substr(0, prefix.size()) != prefix || last < prefix.size()) {
    return {};
  }
  return std::string(aKey.substr(prefix.size(), last - prefix.size()));
}

std::string
election::TermKey(const std::string& aSubject)
{
  return kPrefix + aSubject + kTermSuffix;
}

election::election(boost::asio::io_context& aIo,
                   const clock_source& aClock,
                   platform::transactional_store& aStore,
                   std::string aSubject,
                   std::string aNode,
                   std::string aAddress,
                   election_settings aSettings,
                   election_handlers aHandlers)
  : mClaimTimer(aIo)
  , mRenewTimer(aIo)
  , mClock(aClock)
  , mStore(aStore)
  , mSubject(std::move(aSubject))
  , mLeaseKey(kPrefix + mSubject + kLeaseSuffix)
  , mTermKey(TermKey(mSubject))
  , mNode(std::move(aNode))
  , mAddress(std::move(aAddress))
  , mSettings(aSettings)
  , mHandlers(std::move(aHandlers))
  , mRandom(static_cast<std::minstd_rand::result_type>(DrawBootId().mValue))
  , mStartedAt(aClock.Now())
  , mRenewalTimes({ mSettings.mMinRepeatDelay,
                    mSettings.mCallTimeout,
                    kInitialRepeatDelay })
{
}

bool
election::WasLeaseValid(milliseconds aAge) const
{
  return mIsOwner && mClock.Now() < mRenewedAt + mSettings.mTtl -
                                      mSettings.mExpiryMargin + aAge;
}

std::optional<owner_record>
election::CurrentOwner() const
{
  if (mLeaseHolder.empty() || mLatestOwner.mTerm == 0) {
    return std::nullopt;
  }
  return mLatestOwner;
}

void
election::OnRecord(const platform::record& aRecord)
{
  const auto record = Decode(aRecord);
  if (!record) {
    LogEvent(log_level::kWarning,
             "election.malformed_record",
             { { "key", aRecord.mKey } });
    return;
  }
  if (aRecord.mRevision < mLatestOwner.mRevision) {
    return; // older than this node's claim, which the watch reports later
  }
  if (aRecord.mKey == mTermKey) {
    if (record->mTerm != mLatestOwner.mTerm) {
      LogEvent(log_level::kInfo,
               "owner.changed",
               { { "subject", mSubject },
                 { "term", record->mTerm },
                 { "node", record->mNode },
                 { "revision", record->mRevision } });
      mTermObservedAt = mClock.Now();
    }
    mLatestOwner = *record;
  } else if (aRecord.mKey == mLeaseKey) {
    mLeaseHolder = aRecord.mValue;
  }
  if (mIsOwner &&
      mLatestOwner.mNode + mLatestOwner.mAddress != mNode + mAddress) {
    LoseOwnership("superseded");
  }
}

void
election::OnDeleted(const std::string& aKey, platform::revision aRevision)
{
  if (aKey != mLeaseKey || aRevision < mLatestOwner.mRevision) {
    return; // a deletion before the latest claim is that of an earlier lease
  }
  mLeaseHolder.clear();
  if (mIsOwner) {
    LoseOwnership("lease_gone");
  }
  ScheduleClaim();
}

void
election::OnSynced()
{
  if (mLeaseHolder.empty()) {
    ScheduleClaim();
  } else if (IsLatestOwnerEarlierProcess()) {
    EndLeaseAfter(milliseconds(0));
  }
}

// The earlier process has ended, since this one listens at its address: a
// process that stops closes its listener only once it owns nothing any more.
bool
election::IsLatestOwnerEarlierProcess() const
{
  return !mIsOwner && mLatestOwner.mNode == mNode &&
         mLatestOwner.mAddress == mAddress && mLatestOwner.mBoot.mValue != 0 &&
         mLatestOwner.mBoot != mBoot;
}

std::optional<ended_owner>
election::EndedPredecessor() const
{
  if (IsLatestOwnerEarlierProcess()) {
    return ended_owner{ mLatestOwner.mRevision, mStartedAt };
  }
  if (mLatestOwner.mBoot == mBoot) {
    return ended_owner{ mLatestOwner.mRevision, mLostAt };
  }
  return std::nullopt;
}

void
election::ReplaceOwner()
{
  if (mLeaseHolder.empty() || mIsClaimPending) {
    return;
  }
  const auto baseDelay = mSettings.mClaimDelay.count();
  std::uniform_int_distribution<std::int64_t> jitter(0, baseDelay);
  mOwnedSubjectsAtSchedule = mHandlers.mCountOwnedSubjects();
  EndLeaseAfter(
    milliseconds(jitter(mRandom)) +
    PreferenceDelay(std::max(
      0.0, CapacityShortfall(mSettings) - mLatestOwner.mCapacityShortfall)));
}

void
election::EndLeaseAfter(milliseconds aDelay)
{
  if (mIsRetired || mIsClaimPending || mIsOwner ||
      mLatestOwner.mLease.mValue == 0) {
    return;
  }
  mIsClaimPending = true;
  mClaimTimer.expires_after(aDelay);
  mClaimTimer.async_wait(
    [self = shared_from_this(), replaced = mLatestOwner.mRevision](
      const boost::system::error_code& aError) {
      if (!aError) {
        self->EndLease(replaced);
      }
    });
}

// Ends the lease of the owner whose claim has the revision `aReplaced`.
void
election::EndLease(platform::revision aReplaced)
{
  if (mIsRetired || mLeaseHolder.empty() ||
      mLatestOwner.mRevision != aReplaced) {
    mIsClaimPending = false;
    if (mLeaseHolder.empty()) {
      ScheduleClaim();
    }
    return;
  }
  LogEvent(log_level::kInfo,
           "owner.replacing",
           { { "subject", mSubject },
             { "term", mLatestOwner.mTerm },
             { "node", mLatestOwner.mNode } });
  mStore.RevokeLease(mLatestOwner.mLease,
                     mSettings.mCallTimeout,
                     [self = shared_from_this(), replaced = mLatestOwner](
                       const result<platform::lease_id>& aResult) {
                       self->OnLeaseEnded(replaced, aResult);
                     });
}

// If the result is unknown and the lease was ended, the mirror reports that.
void
election::OnLeaseEnded(const owner_record& aReplaced,
                       const result<platform::lease_id>& aResult)
{
  mIsClaimPending = false;
  const bool isEnded = aResult.has_value() ||
                       aResult.assume_error().mCode == error_code::kNotFound;
  if (!isEnded) {
    LogError("election.lease_not_ended", aResult.assume_error());
    if (IsLatestOwnerEarlierProcess()) {
      EndLeaseAfter(mSettings.mClaimDelay);
    }
    return;
  }
  if (mIsRetired || aReplaced.mRevision != mLatestOwner.mRevision) {
    return; // another node has been faster
  }
  mLeaseHolder.clear();
  mIsClaimPending = true;
  mOwnedSubjectsAtSchedule = mHandlers.mCountOwnedSubjects();
  StartClaim();
}

void
election::ScheduleClaim()
{
  if (mIsRetired || mIsClaimPending || mIsOwner) {
    return;
  }
  mIsClaimPending = true;
  mOwnedSubjectsAtSchedule = mHandlers.mCountOwnedSubjects();
  mClaimTimer.expires_after(ClaimDelay());
  mClaimTimer.async_wait(
    [self = shared_from_this()](const boost::system::error_code& aError) {
      if (!aError) {
        self->StartClaim();
      }
    });
}

// Returns how long to wait before the claim. The node best suited to be the
// owner waits the shortest time.
milliseconds
election::ClaimDelay()
{
  const bool wasOwner = mLatestOwner.mTerm > 0 && mLatestOwner.mNode == mNode &&
                        mLatestOwner.mAddress == mAddress;
  if (wasOwner && mClock.Now() >= mNoClaimBefore) {
    return milliseconds(0);
  }
  const auto yieldDelay = std::chrono::duration_cast<milliseconds>(
    std::max(time_point::duration(0), mNoClaimBefore - mClock.Now()));
  const milliseconds preferenceDelay =
    PreferenceDelay(CapacityShortfall(mSettings)) + yieldDelay;
  if (mLatestOwner.mTerm == 0) {
    return preferenceDelay +
           mSettings
             .mFirstClaimDelay; // there was no owner yet, so none can return
  }
  const auto baseDelay = mSettings.mClaimDelay.count();
  std::uniform_int_distribution<std::int64_t> jitter(baseDelay, 2 * baseDelay);
  const bool isRecent =
    mClock.Now() - mStartedAt < mSettings.mRecentStartWindow;
  return milliseconds(jitter(mRandom)) +
         (isRecent ? milliseconds(0) : mSettings.mClaimDelay) + preferenceDelay;
}

// Returns the part of the delay of a claim that depends on how well this node
// is suited.
milliseconds
election::PreferenceDelay(double aShortfall) const
{
  return milliseconds(static_cast<std::int64_t>(
           aShortfall *
           static_cast<double>(mSettings.mShortfallDelay.count()))) +
         mSettings.mOwnedSubjectDelay * mOwnedSubjectsAtSchedule;
}

void
election::StartClaim()
{
  if (mIsRetired || mIsOwner || !mLeaseHolder.empty()) {
    mIsClaimPending = false;
    return;
  }
  if (mHandlers.mCountOwnedSubjects() > mOwnedSubjectsAtSchedule) {
    mIsClaimPending = false; // this node has won another subject meanwhile
    ScheduleClaim();
    return;
  }
  mIsClaiming = true;
  mStore.GrantLease(
    mSettings.mTtl,
    mSettings.mCallTimeout,
    [self = shared_from_this()](result<platform::lease_id> aResult) {
      if (aResult.has_error()) {
        self->mIsClaimPending = false;
        self->mIsClaiming = false;
        LogError("election.no_lease", aResult.assume_error());
        self->ScheduleClaim();
        return;
      }
      self->Claim(aResult.assume_value());
    });
}

void
election::Claim(platform::lease_id aLease)
{
  const owner_record claim{ mLatestOwner.mTerm + 1,
                            mNode,
                            mAddress,
                            CapacityShortfall(mSettings),
                            0,
                            mBoot,
                            aLease,
                            EndedPredecessor() };
  platform::transaction change;
  change.mExpectations = { { mLeaseKey, 0 },
                           { mTermKey, mLatestOwner.mRevision } };
  change.mWrites = { { mLeaseKey, Encode(claim), aLease },
                     { mTermKey, Encode(claim), std::nullopt } };
  const time_point sentAt = mClock.Now();
  mStore.Commit(std::move(change),
                mSettings.mCallTimeout,
                [self = shared_from_this(), claim, aLease, sentAt](
                  const result<platform::commit_outcome>& aResult) {
                  self->OnClaimed(claim, aLease, sentAt, aResult);
                });
}

void
election::OnClaimed(const owner_record& aClaim,
                    platform::lease_id aLease,
                    time_point aSentAt,
                    const result<platform::commit_outcome>& aResult)
{
  mIsClaimPending = false;
  mIsClaiming = false;
  if (aResult.has_error() || !aResult.assume_value().mCommitted) {
    // If the result is unknown and the claim was committed, the mirror shows a
    // lease that no node renews. It expires, and all nodes claim again.
    if (aResult.has_error()) {
      LogError("election.claim_failed", aResult.assume_error());
    }
    mLease = aLease;
    ReleaseLease();
    mClaimTimer.expires_after(mSettings.mClaimDelay);
    mClaimTimer.async_wait(
      [self = shared_from_this()](const boost::system::error_code& aError) {
        if (!aError && self->mLeaseHolder.empty()) {
          self->ScheduleClaim();
        }
      });
    return;
  }
  mLatestOwner = aClaim;
  mLatestOwner.mRevision = aResult.assume_value().mRevision;
  mLeaseHolder = Encode(aClaim);
  mLease = aLease;
  mRenewedAt = aSentAt;
  mIsRenewalDue = false;
  mRenewalsInFlight = 0;
  mRenewalsSinceAnswer = 0;
  mIsOwner = true;
  LogEvent(log_level::kInfo,
           "owner.elected",
           { { "subject", mSubject },
             { "term", mLatestOwner.mTerm },
             { "node", mNode },
             { "revision", mLatestOwner.mRevision } });
  if (mIsRetired) {
    LoseOwnership("retired");
    ReleaseLease();
    return;
  }
  ScheduleRenewal();
  mHandlers.mOnElected(mLatestOwner);
}

// After a renewal without an answer, the next one is due as soon as the answer
// is overdue, unless the store seems to be away.
void
election::ScheduleRenewal()
{
  const bool isRepetition =
    mRenewalsSinceAnswer > 0 && mRenewalsSinceAnswer < kMaxQuickRenewals;
  const auto delay =
    isRepetition
      ? std::max(std::chrono::nanoseconds(0),
                 mRenewalSentAt + mRenewalTimes.ResendDelay() - mClock.Now())
      : mSettings.mRenewalInterval;
  mRenewTimer.expires_after(delay);
  mRenewTimer.async_wait(
    [self = shared_from_this()](const boost::system::error_code& aError) {
      if (!aError && self->mIsOwner) {
        self->Renew();
      }
    });
}

// The calls that wait may have been sent to a store that was away.
void
election::OnStoreAnswersAgain()
{
  if (mIsOwner && mHasRenewalFailed) {
    mRenewalsSinceAnswer = 0;
    SendRenewal();
  }
}

void
election::Renew()
{
  if (mRenewalsInFlight < kMaxRenewalsInFlight) {
    SendRenewal();
  } else {
    mIsRenewalDue = true;
  }
}

void
election::SendRenewal()
{
  mRenewalSentAt = mClock.Now();
  mIsRenewalDue = false;
  ++mRenewalsInFlight;
  ++mRenewalsSinceAnswer;
  mStore.RenewLease(
    *mLease,
    mSettings.mCallTimeout,
    [self = shared_from_this(), lease = *mLease, sentAt = mRenewalSentAt](
      const result<platform::lease_id>& aResult) {
      self->OnRenewed(lease, sentAt, aResult);
    });
  if (mRenewalsSinceAnswer < kMaxQuickRenewals) {
    ScheduleRenewal();
  } else {
    mRenewTimer.cancel();
  }
}

// A renewal proves only that the lease was valid when it was sent, and an
// earlier one may be answered after the one that repeats it.
void
election::OnRenewed(platform::lease_id aLease,
                    time_point aSentAt,
                    const result<platform::lease_id>& aResult)
{
  if (!mIsOwner || !mLease || mLease->mValue != aLease.mValue) {
    return;
  }
  --mRenewalsInFlight;
  if (aResult.has_value()) {
    mRenewalTimes.Add(mClock.Now() - aSentAt);
    mRenewedAt = std::max(mRenewedAt, aSentAt);
    mHasRenewalFailed = false;
    mRenewalsSinceAnswer = 0;
    mIsRenewalDue = false;
    ScheduleRenewal();
    return;
  }
  if (aResult.assume_error().mCode == error_code::kNotFound) {
    LoseOwnership("lease_ended");
    mLeaseHolder.clear();
    ScheduleClaim();
    return;
  }
  LogError("election.renewal_failed", aResult.assume_error());
  if (aSentAt > mRenewedAt) { // otherwise its repetition was answered
    mHasRenewalFailed = true;
  }
  if (mIsRenewalDue) {
    Renew();
  } else if (mRenewalsSinceAnswer >= kMaxQuickRenewals &&
             mRenewalsInFlight == 0) {
    ScheduleRenewal();
  }
}

void
election::LoseOwnership(const char* aReason)
{
  if (!mIsOwner) {
    return;
  }
  mIsOwner = false;
  mLostAt = mClock.Now();
  LogEvent(log_level::kInfo,
           "owner.lost",
           { { "subject", mSubject },
             { "term", mLatestOwner.mTerm },
             { "reason", aReason } });
  mRenewTimer.cancel();
  mHandlers.mOnLost();
}

void
election::StepDown()
{
  LoseOwnership("fenced");
  ReleaseLease();
}

void
election::Yield()
{
  mNoClaimBefore = mClock.Now() + mSettings.mNoClaimAfterYield;
  LoseOwnership("yielded");
  ReleaseLease();
}

void
election::ReleaseLease()
{
  if (mLease) {
    mStore.RevokeLease(
      *mLease,
      mSettings.mCallTimeout,
      [](const result<platform::lease_id>& aResult) {
        if (aResult.has_error()) { // the lease expires by itself
          LogError("election.revoke_failed", aResult.assume_error());
        }
      });
    mLease.reset();
  }
}

void
election::Retire(std::function<void()> aDone)
{
  mIsRetired = true;
  mClaimTimer.cancel();
  LoseOwnership("retired");
  if (!mLease) {
    aDone();
    return;
  }
  mStore.RevokeLease(
    *mLease,
    mSettings.mCallTimeout,
    [done = std::move(aDone)](const result<platform::lease_id>& aResult) {
      if (aResult.has_error()) {
        LogError("election.revoke_failed", aResult.assume_error());
      }
      done();
    });
  mLease.reset();
}

} // namespace mangospan::node
