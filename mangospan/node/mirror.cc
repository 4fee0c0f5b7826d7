#include "mangospan/node/mirror.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

#include "mangospan/base/log.h"

namespace mangospan::node {

namespace {

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
  , mNextListTimeout(aSettings.mListTimeout)
  , mNextRetryDelay(aSettings.mRetryDelay)
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
  if (mListing) {
    mListing->Cancel();
    mListing.reset();
  }
}

void
mirror::OnStoreAnswersAgain()
{
  const bool isArriving = mListing && mListing->HasBegun();
  if (mIsFailing && !mIsStopped && !isArriving) {
    mTimer.cancel();
    List();
  }
}

void
mirror::List()
{
  if (mListing) {
    mListing->Cancel(); // its response would use the link for nothing
  }
  const time_point sentAt = mClock.Now();
  const std::uint64_t attempt = ++mAttempt;
  mListing = mStore.ListForWatch(
    mPrefix,
    mNextListTimeout,
    [self = shared_from_this(), sentAt, attempt](
      const result<platform::listing>& aResult) {
      if (self->mIsStopped || attempt != self->mAttempt) {
        return;
      }
      self->mListing.reset();
      if (aResult.has_error()) {
        self->mNextListTimeout =
          std::min(2 * self->mNextListTimeout, self->mSettings.mMaxListTimeout);
        self->Retry(aResult.assume_error(), sentAt);
      } else {
        self->OnListing(aResult.assume_value(), sentAt);
      }
    });
}

void
mirror::OnListing(const platform::listing& aListing, time_point aSentAt)
{
  mConfirmedAt = aSentAt;
  mRevision = aListing.mRevision;
  mNextListTimeout = mSettings.mListTimeout;
  mNextRetryDelay = mSettings.mRetryDelay;
  LogListing(aListing, aSentAt);
  LogRegained();
  std::set<std::string_view> present;
  for (const platform::record& each : aListing.mRecords) {
    present.insert(each.mKey);
    OnChange({ each, false });
    if (mIsStopped) {
      return;
    }
  }
  std::vector<std::string> missing;
  for (const auto& [key, each] : mKnown) {
    if (present.count(key) == 0) {
      missing.push_back(key);
    }
  }
  for (const std::string& each : missing) {
    mKnown.erase(each);
    mHandlers.mOnDeleted(each, mRevision);
  }
  mIsSynced = true;
  if (mHandlers.mOnSynced) {
    mHandlers.mOnSynced();
  }
  if (!mIsStopped) {
    Watch();
  }
}

void
mirror::OnChange(const platform::change& aChange)
{
  const platform::record& changed = aChange.mRecord;
  if (aChange.mDeleted) {
    if (mKnown.erase(changed.mKey) > 0) {
      mHandlers.mOnDeleted(changed.mKey, changed.mRevision);
    }
    return;
  }
  known_record& known = mKnown[changed.mKey];
  if (changed.mRevision > known.mRevision) {
    known = { changed.mRevision, changed.mValue.size() };
    mHandlers.mOnRecord(changed);
  }
}

void
mirror::Watch()
{
  const time_point sentAt = mClock.Now();
  const std::uint64_t attempt = ++mAttempt;
  mStore.Watch(mPrefix,
               mRevision,
               mSettings.mWatchWait,
               [self = shared_from_this(), sentAt, attempt](
                 const result<platform::change_batch>& aResult) {
                 if (self->mIsStopped || attempt != self->mAttempt) {
                   return;
                 }
                 if (aResult.has_value()) {
                   self->mConfirmedAt = sentAt;
                   self->OnWatched(aResult.assume_value());
                 } else if (aResult.assume_error().mCode ==
                            error_code::kNotFound) {
                   self->List(); // the store has dropped that history
                 } else {
                   self->Retry(aResult.assume_error(), sentAt);
                 }
               });
}

// Reports the newest change of each key only. If the others were most of the
// answer, changes come faster than this copy reads them.
void
mirror::OnWatched(const platform::change_batch& aBatch)
{
  std::map<std::string_view, const platform::change*> newest;
  for (const platform::change& each : aBatch.mChanges) {
    newest[each.mRecord.mKey] = &each;
  }
  std::size_t replacedBytes = 0;
  for (const platform::change& each : aBatch.mChanges) {
    if (newest[each.mRecord.mKey] != &each) {
      replacedBytes += each.mRecord.mValue.size();
      continue;
    }
    OnChange(each);
    if (mIsStopped) {
      return;
    }
  }
  mRevision = aBatch.mRevision;
  if (replacedBytes > CopyBytes() / 2) {
    List();
  } else {
    Watch();
  }
}

std::size_t
mirror::CopyBytes() const
{
  std::size_t out = 0;
  for (const auto& [key, each] : mKnown) {
    out += each.mBytes;
  }
  return out;
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
      { "took_ms", CountMilliseconds(mClock.Now() - aSentAt) },
      { "unconfirmed_ms", CountMilliseconds(mClock.Now() - mConfirmedAt) } });
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
             { "lost_ms", CountMilliseconds(mClock.Now() - mFailingSince) } });
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
      { "took_ms", CountMilliseconds(mClock.Now() - aSentAt) } });
}

void
mirror::Retry(const error& aError, time_point aSentAt)
{
  OnFailure(aError, aSentAt);
  mTimer.expires_after(mNextRetryDelay);
  mNextRetryDelay = std::min(2 * mNextRetryDelay, mSettings.mMaxRetryDelay);
  mTimer.async_wait(
    [self = shared_from_this()](const boost::system::error_code& aTimerError) {
      if (!aTimerError && !self->mIsStopped) {
        self->List();
      }
    });
}

} // namespace mangospan::node
