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

constexpr std::string_view kFleet = "fleet";
constexpr std::string_view kJobs = "jobs/";
constexpr const char* kLeaseSuffix = "/lease";
constexpr const char* kTermSuffix = "/term";

std::string
Encode(const owner_record& aRecord)
{
  return json{
    { "term", aRecord.mTerm },
    { "node", aRecord.mNode },
    { "address", aRecord.mAddress },
    { "lack", aRecord.mLack }
  }.dump();
}

std::optional<owner_record>
Decode(const platform::record& aRecord)
{
  const json body = json::parse(aRecord.mValue, nullptr, false);
  if (!body.is_object() || !body.contains("term")) {
    return std::nullopt;
  }
  return owner_record{ body.value("term", std::uint64_t{ 0 }),
                       body.value("node", std::string()),
                       body.value("address", std::string()),
                       body.value("lack", 0.0),
                       aRecord.mRevision };
}

} // namespace

platform::transaction
term_fence::Begin() const
{
  platform::transaction out;
  out.mExpected.push_back({ mTermKey, mRevision });
  return out;
}

double
LackOf(const election_settings& aSettings)
{
  return std::max(0.0,
                  1.0 - aSettings.mProcessorShare / aSettings.mAmpleProcessor) +
         std::max(0.0, 1.0 - aSettings.mLinkMbps / aSettings.mAmpleLinkMbps);
}

std::string
FleetSubject()
{
  return std::string(kFleet);
}

std::string
JobsSubject(const service_name& aService)
{
  return std::string(kJobs) + aService.Str();
}

std::optional<service_name>
ServiceOf(std::string_view aSubject)
{
  if (aSubject.substr(0, kJobs.size()) != kJobs) {
    return std::nullopt;
  }
  return service_name{ std::string(aSubject.substr(kJobs.size())) };
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
  : mTryTimer(aIo)
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
{
}

bool
election::IsValidFor(milliseconds aSince) const
{
  return mIsOwner && mClock.Now() <
                       mRenewedAt + mSettings.mTtl - mSettings.mMargin + aSince;
}

std::optional<owner_record>
election::Owner() const
{
  if (mLeaseHolder.empty() || mTerm.mTerm == 0) {
    return std::nullopt;
  }
  return mTerm;
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
  if (aRecord.mRevision < mTerm.mRevision) {
    return; // older than the own claim, which the watch has yet to report
  }
  if (aRecord.mKey == mTermKey) {
    if (record->mTerm != mTerm.mTerm) {
      LogEvent(log_level::kInfo,
               "owner.changed",
               { { "subject", mSubject },
                 { "term", record->mTerm },
                 { "node", record->mNode },
                 { "revision", record->mRevision } });
      mOwnerSince = mClock.Now();
    }
    mTerm = *record;
  } else if (aRecord.mKey == mLeaseKey) {
    mLeaseHolder = aRecord.mValue;
  }
  if (mIsOwner && mTerm.mNode + mTerm.mAddress != mNode + mAddress) {
    Lose("superseded");
  }
}

void
election::OnDeleted(const std::string& aKey)
{
  if (aKey != mLeaseKey) {
    return;
  }
  mLeaseHolder.clear();
  if (mIsOwner) {
    Lose("lease_gone");
  }
  ScheduleTry();
}

void
election::OnSynced()
{
  if (mLeaseHolder.empty()) {
    ScheduleTry();
  }
}

void
election::ScheduleTry()
{
  if (mIsRetired || mIsTrying || mIsOwner) {
    return;
  }
  mIsTrying = true;
  mBurdenAtTry = mHandlers.mBurden();
  mTryTimer.expires_after(Patience());
  mTryTimer.async_wait(
    [self = shared_from_this()](const boost::system::error_code& aAbort) {
      if (!aAbort) {
        self->Try();
      }
    });
}

// Who may be best waits the least.
milliseconds
election::Patience()
{
  const bool wasOwner =
    mTerm.mTerm > 0 && mTerm.mNode == mNode && mTerm.mAddress == mAddress;
  if (wasOwner && mClock.Now() >= mNotBefore) {
    return milliseconds(0);
  }
  const auto yielded = std::chrono::duration_cast<milliseconds>(
    std::max(time_point::duration(0), mNotBefore - mClock.Now()));
  const milliseconds handicap =
    milliseconds(static_cast<std::int64_t>(
      LackOf(mSettings) * static_cast<double>(mSettings.mHandicap.count()))) +
    mSettings.mBurden * mBurdenAtTry + yielded;
  if (mTerm.mTerm == 0) {
    return handicap + mSettings.mStagger; // nobody is missed yet
  }
  const auto patience = mSettings.mPatience.count();
  std::uniform_int_distribution<std::int64_t> jitter(patience, 2 * patience);
  const bool isRecent = mClock.Now() - mStartedAt < mSettings.mRecentStart;
  return milliseconds(jitter(mRandom)) +
         (isRecent ? milliseconds(0) : mSettings.mPatience) + handicap;
}

void
election::Try()
{
  if (mIsRetired || mIsOwner || !mLeaseHolder.empty()) {
    mIsTrying = false;
    return;
  }
  if (mHandlers.mBurden() > mBurdenAtTry) {
    mIsTrying = false; // it has won another subject since
    ScheduleTry();
    return;
  }
  mIsClaiming = true;
  mStore.GrantLease(
    mSettings.mTtl,
    mSettings.mCallTimeout,
    [self = shared_from_this()](result<platform::lease_id> aResult) {
      if (aResult.has_error()) {
        self->mIsTrying = false;
        self->mIsClaiming = false;
        LogError("election.no_lease", aResult.assume_error());
        self->ScheduleTry();
        return;
      }
      self->Claim(aResult.assume_value());
    });
}

void
election::Claim(platform::lease_id aLease)
{
  const owner_record claim{
    mTerm.mTerm + 1, mNode, mAddress, LackOf(mSettings), 0
  };
  platform::transaction change;
  change.mExpected = { { mLeaseKey, 0 }, { mTermKey, mTerm.mRevision } };
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
  mIsTrying = false;
  mIsClaiming = false;
  if (aResult.has_error() || !aResult.assume_value().mCommitted) {
    // An unknown result shows in the mirror as a lease that nobody renews; it
    // lapses, and everybody tries again.
    if (aResult.has_error()) {
      LogError("election.claim_failed", aResult.assume_error());
    }
    mLease = aLease;
    EndLease();
    mTryTimer.expires_after(mSettings.mPatience);
    mTryTimer.async_wait(
      [self = shared_from_this()](const boost::system::error_code& aAbort) {
        if (!aAbort && self->mLeaseHolder.empty()) {
          self->ScheduleTry();
        }
      });
    return;
  }
  mTerm = aClaim;
  mTerm.mRevision = aResult.assume_value().mRevision;
  mLeaseHolder = Encode(aClaim);
  mLease = aLease;
  mRenewedAt = aSentAt;
  mIsOwner = true;
  LogEvent(log_level::kInfo,
           "owner.elected",
           { { "subject", mSubject },
             { "term", mTerm.mTerm },
             { "node", mNode },
             { "revision", mTerm.mRevision } });
  if (mIsRetired) {
    Lose("retired");
    EndLease();
    return;
  }
  ScheduleRenewal();
  mHandlers.mOnElected(mTerm);
}

void
election::ScheduleRenewal()
{
  mRenewTimer.expires_after(mSettings.mRenewal);
  mRenewTimer.async_wait(
    [self = shared_from_this()](const boost::system::error_code& aAbort) {
      if (!aAbort && self->mIsOwner) {
        self->Renew();
      }
    });
}

void
election::Renew()
{
  const time_point sentAt = mClock.Now();
  mStore.RenewLease(
    *mLease,
    mSettings.mCallTimeout,
    [self = shared_from_this(),
     sentAt](const result<platform::lease_id>& aResult) {
      if (!self->mIsOwner) {
        return;
      }
      if (aResult.has_value()) {
        self->mRenewedAt = sentAt;
      } else if (aResult.assume_error().mCode == error_code::kNotFound) {
        self->Lose("lease_ended");
        self->mLeaseHolder.clear();
        self->ScheduleTry();
        return;
      } else {
        LogError("election.renewal_failed", aResult.assume_error());
      }
      self->ScheduleRenewal();
    });
}

void
election::Lose(const char* aReason)
{
  if (!mIsOwner) {
    return;
  }
  mIsOwner = false;
  LogEvent(log_level::kInfo,
           "owner.lost",
           { { "subject", mSubject },
             { "term", mTerm.mTerm },
             { "reason", aReason } });
  mRenewTimer.cancel();
  mHandlers.mOnLost();
}

void
election::StepDown()
{
  Lose("fenced");
  EndLease();
}

void
election::Yield()
{
  mNotBefore = mClock.Now() + mSettings.mYieldTime;
  Lose("yielded");
  EndLease();
}

void
election::EndLease()
{
  if (mLease) {
    mStore.RevokeLease(*mLease,
                       mSettings.mCallTimeout,
                       [](const result<platform::lease_id>& aResult) {
                         if (aResult.has_error()) { // it lapses by itself
                           LogError("election.revoke_failed",
                                    aResult.assume_error());
                         }
                       });
    mLease.reset();
  }
}

void
election::Retire(std::function<void()> aDone)
{
  mIsRetired = true;
  mTryTimer.cancel();
  Lose("retired");
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
