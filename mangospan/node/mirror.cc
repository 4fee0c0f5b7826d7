#include "mangospan/node/mirror.h"

#include <set>
#include <utility>
#include <vector>

#include "mangospan/base/log.h"

namespace mangospan::node {

namespace {

std::int64_t
ToMilliseconds(time_point::duration aTime)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count();
}

} // namespace

mirror::mirror(boost::asio::io_context& aIo,
               const clock_source& aClock,
               platform::transactional_store& aStore,
               std::string aPrefix,
               mirror_settings aSettings,
               mirror_handlers aHandlers)
  : mTimer(aIo)
  , mClock(aClock)
  , mStore(aStore)
  , mPrefix(std::move(aPrefix))
  , mSettings(aSettings)
  , mHandlers(std::move(aHandlers))
{
}

void
mirror::Start()
{
  List();
}

void
mirror::Stop()
{
  mIsStopped = true;
  mTimer.cancel();
}

void
mirror::OnStoreAnswersAgain()
{
  if (mIsFailing && !mIsStopped) {
    mTimer.cancel();
    Resume(mMustList);
  }
}

void
mirror::Resume(bool aMustList)
{
  if (aMustList || !mIsSynced) {
    List();
  } else {
    Watch();
  }
}

void
mirror::List()
{
  const time_point sentAt = mClock.Now();
  const std::uint64_t attempt = ++mAttempt;
  mMustList = true;
  mStore.ListForWatch(mPrefix,
                      mSettings.mListTimeout,
                      [self = shared_from_this(), sentAt, attempt](
                        result<platform::listing> aResult) {
                        if (self->mIsStopped || attempt != self->mAttempt) {
                          return;
                        }
                        if (aResult.has_error()) {
                          self->Retry(true, aResult.assume_error(), sentAt);
                          return;
                        }
                        self->mConfirmedAt = sentAt;
                        self->LogListing(aResult.assume_value(), sentAt);
                        self->OnListing(aResult.assume_value());
                        self->Watch();
                      });
}

void
mirror::OnListing(const platform::listing& aListing)
{
  mRevision = aListing.mRevision;
  std::set<std::string> present;
  for (const platform::record& each : aListing.mRecords) {
    present.insert(each.mKey);
    OnChange({ each, false });
  }
  std::vector<std::string> missing;
  for (const auto& [key, revision] : mKnownRevisions) {
    if (present.count(key) == 0) {
      missing.push_back(key);
    }
  }
  for (const std::string& each : missing) {
    mKnownRevisions.erase(each);
    mHandlers.mOnDeleted(each, mRevision);
  }
  mIsSynced = true;
  if (mHandlers.mOnSynced) {
    mHandlers.mOnSynced();
  }
}

void
mirror::OnChange(const platform::change& aChange)
{
  const platform::record& changed = aChange.mRecord;
  if (aChange.mDeleted) {
    if (mKnownRevisions.erase(changed.mKey) > 0) {
      mHandlers.mOnDeleted(changed.mKey, changed.mRevision);
    }
    return;
  }
  platform::revision& known = mKnownRevisions[changed.mKey];
  if (changed.mRevision > known) {
    known = changed.mRevision;
    mHandlers.mOnRecord(changed);
  }
}

// After a failure the first watch does not wait for a change, so that its
// answer shows at once that the copy is current.
void
mirror::Watch()
{
  const time_point sentAt = mClock.Now();
  const std::uint64_t attempt = ++mAttempt;
  mMustList = false;
  mStore.Watch(mPrefix,
               mRevision,
               mIsFailing ? std::chrono::milliseconds(0) : mSettings.mWatchWait,
               [self = shared_from_this(), sentAt, attempt](
                 result<platform::change_batch> aResult) {
                 if (self->mIsStopped || attempt != self->mAttempt) {
                   return;
                 }
                 if (aResult.has_error()) {
                   const bool isHistoryGone =
                     aResult.assume_error().mCode == error_code::kNotFound;
                   self->Retry(isHistoryGone, aResult.assume_error(), sentAt);
                   return;
                 }
                 self->LogRegained();
                 self->mConfirmedAt = sentAt;
                 for (const platform::change& each :
                      aResult.assume_value().mChanges) {
                   self->OnChange(each);
                   if (self->mIsStopped) {
                     return;
                   }
                 }
                 self->mRevision = aResult.assume_value().mRevision;
                 self->Watch();
               });
}

void
mirror::OnFailure(const error& aError, time_point aSentAt)
{
  if (!mIsFailing) {
    mIsFailing = true;
    mFailingSince = aSentAt;
    mFailedCalls = 0;
  }
  ++mFailedCalls;
  LogEvent(
    log_level::kWarning,
    mFailedCalls == 1 ? "store.lost" : "store.still_lost",
    { { "prefix", mPrefix },
      { "code", Name(aError.mCode) },
      { "step", aError.mStep },
      { "peer", aError.mPeer },
      { "message", aError.mMessage },
      { "failed_calls", mFailedCalls },
      { "took_ms", ToMilliseconds(mClock.Now() - aSentAt) },
      { "unconfirmed_ms", ToMilliseconds(mClock.Now() - mConfirmedAt) } });
}

void
mirror::LogRegained()
{
  if (!mIsFailing) {
    return;
  }
  mIsFailing = false;
  LogEvent(log_level::kInfo,
           "store.regained",
           { { "prefix", mPrefix },
             { "failed_calls", mFailedCalls },
             { "lost_ms", ToMilliseconds(mClock.Now() - mFailingSince) } });
}

void
mirror::LogListing(const platform::listing& aListing, time_point aSentAt) const
{
  std::size_t bytes = 0;
  for (const platform::record& each : aListing.mRecords) {
    bytes += each.mValue.size();
  }
  LogEvent(
    log_level::kInfo,
    "store.listed",
    { { "prefix", mPrefix },
      { "records", static_cast<std::uint64_t>(aListing.mRecords.size()) },
      { "bytes", static_cast<std::uint64_t>(bytes) },
      { "revision", aListing.mRevision },
      { "took_ms", ToMilliseconds(mClock.Now() - aSentAt) } });
}

void
mirror::Retry(bool aMustList, const error& aError, time_point aSentAt)
{
  OnFailure(aError, aSentAt);
  mMustList = aMustList;
  mTimer.expires_after(mSettings.mRetryDelay);
  mTimer.async_wait([self = shared_from_this(),
                     aMustList](const boost::system::error_code& aTimerError) {
    if (aTimerError || self->mIsStopped) {
      return;
    }
    self->Resume(aMustList);
  });
}

} // namespace mangospan::node
