// Reads and rewrites one record of the platform's store.
//
// Keeps the last confirmed value and has at most one call under way. A write
// whose answer was lost is resolved by reading the key back: every value
// carries a write id, so a value equal to the written one is the writer's own.
//
//   if (record.Idle()) { record.Write(ToText(hosts), queue); }
//   ...
//   if (record.OnResult(call, result, now, queue) == record_event::kWritten)
#ifndef MANGOSPAN_FLEET_STORED_RECORD_H
#define MANGOSPAN_FLEET_STORED_RECORD_H

#include <chrono>
#include <string>

#include "mangospan/base/time.h"
#include "mangospan/fleet/actions.h"
#include "mangospan/platform/store.h"

namespace mangospan::fleet {

// The effect of a call's result on a stored record.
enum class record_event
{
  kNone,    // the call is not this record's, or its result is not final
  kLoaded,  // `Value` and `Revision` are as read, also after a write that lost
            // to another writer
  kWritten, // `Value` is the value written
};

// A cached copy of one key of the store. Failed calls are repeated with
// exponential backoff.
class stored_record
{
public:
  // The delay between repeated calls begins with `aMinRetryDelay` and doubles
  // with each failure up to `aMaxRetryDelay`.
  stored_record(std::string aKey,
                store_purpose aPurpose,
                std::chrono::milliseconds aMinRetryDelay,
                std::chrono::milliseconds aMaxRetryDelay);

  // Returns true if the value is known and no call is under way or waits to be
  // repeated. `Write` requires this.
  bool Idle() const;

  // Returns true if the value has been read or written since the last `Reset`.
  bool Known() const { return mKnown; }

  // Returns the last confirmed value; empty if the key does not exist.
  const std::string& Value() const { return mValue; }

  // Returns the revision of the value; 0 if the key does not exist.
  platform::revision Revision() const { return mRevision; }

  // Reads the key, unless a call is under way or waits to be repeated.
  void Load(action_queue& aQueue);

  // Writes `aValue` if the key still has revision `Revision`. Requires `Idle`.
  // Ends with kWritten, or with kLoaded if another writer was first; `aValue`
  // is then discarded.
  void Write(std::string aValue, action_queue& aQueue);

  // Takes a value that a watch reported. Returns true if it is newer and is now
  // the confirmed value. Ignored unless `Idle`.
  bool Observe(const platform::record& aRecord);

  // Takes the result of a store call. If a write lost to another writer or its
  // result is unknown, the key is read next.
  record_event OnResult(call_id aCall,
                        const store_result& aResult,
                        time_point aNow,
                        action_queue& aQueue);

  // Repeats a failed call once its retry delay has passed.
  void OnTick(time_point aNow, action_queue& aQueue);

  // Forgets everything; results of calls under way are ignored.
  void Reset();

private:
  void Retry(time_point aNow);
  record_event OnRead(const platform::record& aRecord, action_queue& aQueue);
  void Send(action_queue& aQueue);

  const std::string mKey;
  const store_purpose mPurpose;
  const std::chrono::milliseconds mMinRetryDelay;
  const std::chrono::milliseconds mMaxRetryDelay;

  bool mKnown = false;
  std::string mValue;
  platform::revision mRevision = 0;

  // The call under way; 0 if there is none.
  call_id mCall = 0;
  // True if the call under way, or the next one, is a read.
  bool mCallIsRead = false;
  // True if it is not yet known whether `mPendingValue` was written.
  bool mWriteUnresolved = false;
  // True if a failed call waits to be repeated at `mRetryAt`.
  bool mRetryScheduled = false;
  // The value being written.
  std::string mPendingValue;
  time_point mRetryAt;
  std::chrono::milliseconds mRetryDelay;
};

} // namespace mangospan::fleet

#endif // MANGOSPAN_FLEET_STORED_RECORD_H
