#include "mangospan/node/partition.h"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>

#include "mangospan/base/log.h"
#include "mangospan/daemon/metrics.h"

namespace mangospan::node {

using std::chrono::milliseconds;

namespace {

// The owner may start runs until this long after its lease was last certainly
// valid.
constexpr milliseconds kStartGracePeriod{ 2'300 };
// The longest time between two plans.
constexpr milliseconds kMaxPlanInterval{ 200 };
// A successor waits for what its predecessor may do after the election, also if
// the store has revoked the predecessor's lease just after a renewal.
static_assert(election_settings{}.mTtl - election_settings{}.mExpiryMargin +
                kStartGracePeriod + kMaxPlanInterval <=
              jobs::scheduler_settings{}.mMaxUnconfirmedTime);
// An owner that has not been seen serving for longer counts as missing.
constexpr milliseconds kOwnerMissingAfter{ 1'000 };

// The reply while the owner is known and can not be reached: nothing has been
// sent, and another owner is elected within a second or so.
job_reply
UnreachableOwnerReply()
{
  job_reply out;
  out.mKind = reply_kind::kUnavailable;
  out.mReason = refusal_reason::kOwnerUnreachable;
  out.mRetryAfter = kUnavailableRetryAfter;
  return out;
}

} // namespace

partition::partition(partition_dependencies aDependencies,
                     service_name aService,
                     const election_candidate& aCandidate,
                     std::function<const jobs::catalog*()> aCatalog)
  : mDeps(std::move(aDependencies))
  , mService(std::move(aService))
  , mAddress(aCandidate.mAddress)
  , mCatalog(std::move(aCatalog))
  , mStartedAt(mDeps.mOwner.mClock.Now())
  , mElection(std::make_shared<election>(
      mDeps.mOwner.mIo,
      mDeps.mOwner.mClock,
      mDeps.mOwner.mStore,
      JobsSubject(mService),
      aCandidate.mNode,
      aCandidate.mAddress,
      aCandidate.mSettings,
      election_handlers{
        [this](const owner_record& aOwnerRecord) { OnElected(aOwnerRecord); },
        [this] { OnLost(); },
        aCandidate.mCountOwnedSubjects }))
  , mForwarder(std::make_unique<unavailable_job_service>(UnavailableReply()))
  , mUnreachableOwner(UnreachableOwnerReply())
{
}

void
partition::OnElected(const owner_record& aOwnerRecord)
{
  mOwner = std::make_shared<owner>(
    mDeps.mOwner,
    owner_settings{},
    mDeps.mScheduling,
    mService,
    aOwnerRecord,
    [this] {
      return ownership_status{ mElection->WasLeaseValid(kStartGracePeriod),
                               mElection->IsLeaseValid(),
                               mElection->ConfirmedAt() };
    },
    [this] { mElection->StepDown(); });
  const jobs::catalog* const known = mCatalog();
  mOwner->Start(known == nullptr ? jobs::catalog{} : *known);
}

void
partition::OnLost()
{
  if (mOwner) {
    mOwner->Stop();
    mOwner.reset();
  }
}

bool
partition::IsServing() const
{
  return mOwner && mOwner->IsLoaded() && mOwner->CanWrite() &&
         mElection->IsLeaseValid();
}

bool
partition::IsOwnerServing(time_point aNow) const
{
  return aNow - mOwnerServingAt < kOwnerMissingAfter;
}

void
partition::ReportOwnerServing(time_point aNow)
{
  const auto known = mElection->CurrentOwner();
  if (!IsOwnerServing(aNow)) {
    if (!mOwnerMissingSince) {
      mOwnerMissingSince = std::max(mOwnerServingAt, mStartedAt);
      mMissingCountedUntil = *mOwnerMissingSince;
      LogEvent(log_level::kWarning,
               "owner.missing",
               { { "service", mService.Str() },
                 { "owner", known ? known->mNode : "" } });
    }
    mDeps.mOwner.mMetrics.Add(
      "mangospan_node_owner_missing_seconds_total",
      { { "service", mService.Str() } },
      std::chrono::duration<double>(aNow - mMissingCountedUntil).count());
    mMissingCountedUntil = aNow;
  } else if (mOwnerMissingSince) {
    LogEvent(log_level::kInfo,
             "owner.serves_again",
             { { "service", mService.Str() },
               { "owner", known ? known->mNode : "" },
               { "missing_ms",
                 CountMilliseconds(mOwnerServingAt - *mOwnerMissingSince) } });
    mOwnerMissingSince.reset();
  }
}

job_service&
partition::Jobs()
{
  if (mOwner) {
    return *mOwner;
  }
  const auto known = mElection->CurrentOwner();
  const std::string address = known ? known->mAddress : std::string();
  if (known && mDeps.mIsUnreachable(address)) {
    return mUnreachableOwner;
  }
  if (address != mForwardAddress) {
    mForwardAddress = address;
    if (address.empty() || address == mAddress) {
      mForwarder =
        std::make_unique<unavailable_job_service>(UnavailableReply());
    } else {
      mForwarder = mDeps.mPeers.JobsAt(address, mService);
    }
  }
  return *mForwarder;
}

void
partition::Exchange(pool_instructions aInstructions,
                    pool_state_handler aHandler)
{
  const auto known = mElection->CurrentOwner();
  const bool isRemote = !mOwner && known && known->mAddress != mAddress;
  if (isRemote && !mDeps.mIsUnreachable(known->mAddress)) {
    mDeps.mPeers.Exchange(
      known->mAddress, mService, aInstructions, std::move(aHandler));
    return;
  }
  if (isRemote) {
    boost::asio::post(
      mDeps.mOwner.mIo,
      [address = known->mAddress, handler = std::move(aHandler)] {
        handler(error{ error_code::kUnavailable,
                       "pool.exchange",
                       address,
                       "the owner of the pool's jobs does not answer" });
      });
    return;
  }
  boost::asio::post(mDeps.mOwner.mIo,
                    [this,
                     instructions = std::move(aInstructions),
                     handler = std::move(aHandler)] {
                      handler(ExchangeLocally(instructions));
                    });
}

result<pool_state>
partition::ExchangeLocally(const pool_instructions& aInstructions)
{
  if (!mOwner) {
    return error{ error_code::kUnavailable,
                  "pool.exchange",
                  mService.Str(),
                  "this node does not own the pool's jobs" };
  }
  auto state = mOwner->Exchange(aInstructions);
  if (state.has_value()) {
    state.assume_value().mLoad.mIsAcceptingJobs = IsServing();
  }
  return state;
}

void
partition::OnStoreAnswersAgain()
{
  mElection->OnStoreAnswersAgain();
  if (mOwner) {
    mOwner->OnStoreAnswersAgain();
  }
}

void
partition::Yield()
{
  if (mOwner && mOwner->IsLoaded() && !mOwner->IsHandingOver()) {
    LogEvent(
      log_level::kInfo, "owner.yields", { { "service", mService.Str() } });
    mOwner->HandOver([this] { mElection->Yield(); });
  }
}

void
partition::Retire(std::function<void()> aDone)
{
  auto retire = [this, done = std::move(aDone)] { mElection->Retire(done); };
  if (mOwner && mOwner->IsLoaded()) {
    mOwner->HandOver(std::move(retire));
  } else {
    retire();
  }
}

} // namespace mangospan::node
