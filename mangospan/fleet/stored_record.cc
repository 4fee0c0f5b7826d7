#include "mangospan/fleet/stored_record.h"

#include <algorithm>
#include <utility>

namespace mangospan::fleet {

stored_record::stored_record(std::string aKey,
                             store_purpose aPurpose,
                             std::chrono::milliseconds aMinRetryDelay,
                             std::chrono::milliseconds aMaxRetryDelay)
  : mKey(std::move(aKey))
  , mPurpose(aPurpose)
  , mMinRetryDelay(aMinRetryDelay)
  , mMaxRetryDelay(aMaxRetryDelay)
  , mRetryDelay(aMinRetryDelay)
{
}

bool
stored_record::Idle() const
{
  return mKnown && mCall == 0 && !mRetryScheduled && !mWriteUnresolved;
}

void
stored_record::Load(action_queue& aQueue)
{
  if (mCall != 0 || mRetryScheduled || mWriteUnresolved) {
    return;
  }
  mCallIsRead = true;
  Send(aQueue);
}

void
stored_record::Write(std::string aValue, action_queue& aQueue)
{
  mPendingValue = std::move(aValue);
  mWriteUnresolved = true;
  mCallIsRead = false;
  Send(aQueue);
}

void
stored_record::Send(action_queue& aQueue)
{
  if (mCallIsRead) {
    mCall = aQueue.AddStoreCall(mPurpose, read_call{ mKey });
    return;
  }
  mCall = aQueue.AddStoreCall(
    mPurpose, swap_call{ { mKey, mRevision, mPendingValue, {} } });
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
    mRetryDelay = mMinRetryDelay;
    return OnRead(read->assume_value().value_or(platform::record{}), aQueue);
  }
  const auto& swap = std::get<result<platform::revision>>(aResult);
  if (swap.has_value()) {
    mRetryDelay = mMinRetryDelay;
    mWriteUnresolved = false;
    mValue = std::move(mPendingValue);
    mRevision = swap.assume_value();
    return record_event::kWritten;
  }
  if (swap.assume_error().mCode == error_code::kConflict) {
    // Either another writer was first, or an earlier attempt at this write took
    // effect.
    mCallIsRead = true;
    Send(aQueue);
    return record_event::kNone;
  }
  if (swap.assume_error().mCode != error_code::kUnavailable) {
    mCallIsRead = true;
  }
  Retry(aNow);
  return record_event::kNone;
}

record_event
stored_record::OnRead(const platform::record& aRecord, action_queue& aQueue)
{
  mCallIsRead = false;
  if (mWriteUnresolved && mKnown && aRecord.mRevision == mRevision) {
    // The write has not taken effect but may still reach the store. A repeated
    // write over the same revision resolves this: at most one of the two
    // succeeds, and both carry the same value.
    Send(aQueue);
    return record_event::kNone;
  }
  const bool wrote = mWriteUnresolved && aRecord.mValue == mPendingValue;
  mWriteUnresolved = false;
  mKnown = true;
  mValue = aRecord.mValue;
  mRevision = aRecord.mRevision;
  return wrote ? record_event::kWritten : record_event::kLoaded;
}

void
stored_record::OnTick(time_point aNow, action_queue& aQueue)
{
  if (mRetryScheduled && aNow >= mRetryAt) {
    mRetryScheduled = false;
    Send(aQueue);
  }
}

void
stored_record::Retry(time_point aNow)
{
  mRetryScheduled = true;
  mRetryAt = aNow + mRetryDelay;
  mRetryDelay = std::min(mRetryDelay * 2, mMaxRetryDelay);
}

void
stored_record::Reset()
{
  mKnown = false;
  mValue.clear();
  mRevision = 0;
  mCall = 0;
  mCallIsRead = false;
  mWriteUnresolved = false;
  mRetryScheduled = false;
  mRetryDelay = mMinRetryDelay;
}

} // namespace mangospan::fleet
