#include "mangospan/fleet/stored_record.h"

#include <algorithm>
#include <utility>

namespace mangospan::fleet {

stored_record::stored_record(std::string aKey,
                             store_purpose aPurpose,
                             std::chrono::milliseconds aRetry,
                             std::chrono::milliseconds aRetryMax)
  : mKey(std::move(aKey))
  , mPurpose(aPurpose)
  , mRetryFirst(aRetry)
  , mRetryMax(aRetryMax)
  , mRetry(aRetry)
{
}

bool
stored_record::Idle() const
{
  return mKnown && mCall == 0 && !mWaiting && !mWriting;
}

void
stored_record::Load(action_queue& aQueue)
{
  if (mCall != 0 || mWaiting || mWriting) {
    return;
  }
  mReading = true;
  Send(aQueue);
}

void
stored_record::Write(std::string aValue, action_queue& aQueue)
{
  mWanted = std::move(aValue);
  mWriting = true;
  mReading = false;
  Send(aQueue);
}

void
stored_record::Send(action_queue& aQueue)
{
  if (mReading) {
    mCall = aQueue.Store(mPurpose, read_call{ mKey });
    return;
  }
  mCall = aQueue.Store(mPurpose, swap_call{ { mKey, mRevision, mWanted, {} } });
}

bool
stored_record::Observe(const platform::record& aRecord)
{
  if (!Idle() || aRecord.mRevision <= mRevision) {
    return false;
  }
  mValue = aRecord.mValue;
  mRevision = aRecord.mRevision;
  return true;
}

record_event
stored_record::OnResult(call_id aCall,
                        const store_result& aResult,
                        time_point aNow,
                        action_queue& aQueue)
{
  if (mCall == 0 || aCall != mCall) {
    return record_event::kNone;
  }
  mCall = 0;
  if (const auto* read =
        std::get_if<result<std::optional<platform::record>>>(&aResult)) {
    if (read->has_error()) {
      Retry(aNow);
      return record_event::kNone;
    }
    mRetry = mRetryFirst;
    return OnRead(read->assume_value().value_or(platform::record{}), aQueue);
  }
  const auto& swap = std::get<result<platform::revision>>(aResult);
  if (swap.has_value()) {
    mRetry = mRetryFirst;
    mWriting = false;
    mValue = std::move(mWanted);
    mRevision = swap.assume_value();
    return record_event::kWritten;
  }
  if (swap.assume_error().mCode == error_code::kConflict) {
    // Either another writer was first, or an earlier try of ours took effect.
    mReading = true;
    Send(aQueue);
    return record_event::kNone;
  }
  if (swap.assume_error().mCode != error_code::kUnavailable) {
    mReading = true;
  }
  Retry(aNow);
  return record_event::kNone;
}

record_event
stored_record::OnRead(const platform::record& aRecord, action_queue& aQueue)
{
  mReading = false;
  if (mWriting && mKnown && aRecord.mRevision == mRevision) {
    // The write has not taken effect, but still may: only a write over the
    // same revision settles which of the two counts.
    Send(aQueue);
    return record_event::kNone;
  }
  const bool wrote = mWriting && aRecord.mValue == mWanted;
  mWriting = false;
  mKnown = true;
  mValue = aRecord.mValue;
  mRevision = aRecord.mRevision;
  return wrote ? record_event::kWritten : record_event::kLoaded;
}

void
stored_record::OnTick(time_point aNow, action_queue& aQueue)
{
  if (mWaiting && aNow >= mRetryAt) {
    mWaiting = false;
    Send(aQueue);
  }
}

void
stored_record::Retry(time_point aNow)
{
  mWaiting = true;
  mRetryAt = aNow + mRetry;
  mRetry = std::min(mRetry * 2, mRetryMax);
}

void
stored_record::Reset()
{
  mKnown = false;
  mValue.clear();
  mRevision = 0;
  mCall = 0;
  mReading = false;
  mWriting = false;
  mWaiting = false;
  mRetry = mRetryFirst;
}

} // namespace mangospan::fleet
