#include "mangospan/fleet/configuration_watch.h"

#include <algorithm>
#include <utility>

#include "mangospan/config/parser.h"
#include "mangospan/config/patch.h"

namespace mangospan::fleet {

configuration_watch::configuration_watch(parse_function aParse,
                                         const settings& aSettings)
  : mParse(std::move(aParse))
  , mSettings(aSettings)
  , mRetryDelay(aSettings.mStoreRetry)
{
}

void
configuration_watch::Start(platform::revision aRecent, action_queue& aQueue)
{
  Stop();
  mActive = true;
  // If the watch begins at a revision before the list, some changes arrive
  // twice, which is harmless. If it began later, a change between the list and
  // the watch would be lost.
  mWatchRevision = aRecent;
  List(aQueue);
}

void
configuration_watch::Stop()
{
  mActive = false;
  mIsLoaded = false;
  mCall = 0;
  mRetryDelay = mSettings.mStoreRetry;
  mDrains = {};
  mWave = {};
}

void
configuration_watch::List(action_queue& aQueue)
{
  mCallIsList = true;
  mCall = aQueue.AddStoreCall(store_purpose::kConfiguration,
                              list_call{ kConfigPrefix });
}

void
configuration_watch::Watch(action_queue& aQueue)
{
  mCallIsList = false;
  mCall = aQueue.AddStoreCall(
    store_purpose::kConfiguration,
    watch_call{ kConfigPrefix, mWatchRevision, mSettings.mWatchWait });
}

bool
configuration_watch::OnResult(call_id aCall,
                              const store_result& aResult,
                              time_point aNow,
                              action_queue& aQueue)
{
  if (mCall == 0 || aCall != mCall) {
    return false;
  }
  mCall = 0;
  if (mCallIsList) {
    OnListed(
      std::get<result<std::vector<platform::record>>>(aResult), aNow, aQueue);
  } else {
    OnWatched(std::get<result<platform::change_batch>>(aResult), aNow, aQueue);
  }
  return true;
}

void
configuration_watch::OnTick(time_point aNow, action_queue& aQueue)
{
  if (!mActive || mCall != 0 || aNow < mRetryAt) {
    return;
  }
  if (mCallIsList) {
    List(aQueue);
  } else {
    Watch(aQueue);
  }
}

void
configuration_watch::OnListed(
  const result<std::vector<platform::record>>& aResult,
  time_point aNow,
  action_queue& aQueue)
{
  if (aResult.has_error()) {
    Retry(aNow);
    return;
  }
  mDrains = {};
  mWave = {};
  for (const platform::record& record : aResult.assume_value()) {
    Apply(record, false);
    mWatchRevision = std::max(mWatchRevision, record.mRevision);
  }
  mIsLoaded = true;
  Watch(aQueue);
}

void
configuration_watch::OnWatched(const result<platform::change_batch>& aResult,
                               time_point aNow,
                               action_queue& aQueue)
{
  if (aResult.has_error()) {
    // kNotFound means that the store no longer knows the watched revision, so
    // the records are listed again. After any other error, the watch is
    // repeated; a new list would be correct there too but is not needed.
    mCallIsList = aResult.assume_error().mCode == error_code::kNotFound;
    Retry(aNow);
    return;
  }
  mRetryDelay = mSettings.mStoreRetry;
  const platform::change_batch& batch = aResult.assume_value();
  for (const platform::change& change : batch.mChanges) {
    Apply(change.mRecord, change.mDeleted);
  }
  mWatchRevision = std::max(mWatchRevision, batch.mRevision);
  Watch(aQueue);
}

void
configuration_watch::Retry(time_point aNow)
{
  mRetryAt = aNow + mRetryDelay;
  mRetryDelay = std::min(mRetryDelay * 2, mSettings.mStoreRetryMax);
}

void
configuration_watch::Apply(const platform::record& aRecord, bool aDeleted)
{
  if (aRecord.mKey == kDrainsKey) {
    auto drains = ParseDrains(aRecord.mValue, kDrainsKey);
    if (aDeleted) {
      mDrains = {};
    } else if (drains.has_value()) {
      mDrains = std::move(drains).assume_value();
    }
  } else if (aRecord.mKey == kWaveKey) {
    auto wave = ParseWave(aRecord.mValue, kWaveKey);
    if (aDeleted) {
      mWave = {};
    } else if (wave.has_value()) {
      mWave = std::move(wave).assume_value();
    }
  } else if (aRecord.mKey == kConfigKey && !aDeleted &&
             aRecord.mRevision > mCurrent.mRevision) {
    auto record = ParseConfigRecord(aRecord.mValue, kConfigKey);
    if (record.has_value()) {
      Adopt(aRecord.mRevision, record.assume_value().mDocument);
    } else {
      mRejectedRevision = aRecord.mRevision;
      mRejectionReason = Describe(record.assume_error());
    }
  }
}

bool
configuration_watch::Adopt(std::uint64_t aRevision, const std::string& aText)
{
  auto document = mParse(aText, kConfigKey);
  if (document.has_error()) {
    if (aRevision > mRejectedRevision) {
      mRejectedRevision = aRevision;
      mRejectionReason = Describe(document.assume_error());
    }
    return false;
  }
  if (aRevision > mRejectedRevision) {
    mRejectionReason.clear();
  }
  std::string text = config::ToText(document.assume_value());
  const auto patch = config::MakePatch(mCurrent.mText, text);
  const bool shorter = mCurrent.mRevision != 0 && patch.has_value() &&
                       patch.assume_value().size() < text.size();
  mPatch = shorter ? patch.assume_value() : std::string();
  mPatchBase = shorter ? mCurrent.mRevision : 0;
  mCurrent = { aRevision, std::move(text), std::move(document).assume_value() };
  return true;
}

bool
configuration_watch::OnPeerConfiguration(std::uint64_t aRevision,
                                         const std::string& aText)
{
  return aRevision > mCurrent.mRevision && Adopt(aRevision, aText);
}

} // namespace mangospan::fleet
