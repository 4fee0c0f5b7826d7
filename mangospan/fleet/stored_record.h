// One record of the platform's store that a decision keeps and rewrites.
//
// It holds the last confirmed value and carries out one call at a time. A write
// whose answer was lost is resolved by reading the key back: values carry their
// write id, so an equal text is the writer's own.
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

enum class record_event
{
  kNone,    // not this record's call, or not resolved yet
  kLoaded,  // `Value` and `Revision` are as read
  kWritten, // `Value` is the value written
};

class stored_record
{
public:
  stored_record(std::string aKey,
                store_purpose aPurpose,
                std::chrono::milliseconds aRetry,
                std::chrono::milliseconds aRetryMax);

  // True once the value is known and no call is under way: `Write` may follow.
  bool Idle() const;

  // True if the value has been read or written since the last `Reset`.
  bool Known() const { return mKnown; }

  // The value as last confirmed; empty if the key does not exist.
  const std::string& Value() const { return mValue; }
  platform::revision Revision() const { return mRevision; }

  // Reads the key unless a call is under way.
  void Load(action_queue& aQueue);

  // Writes over the confirmed revision. Requires `Idle`.
  void Write(std::string aValue, action_queue& aQueue);

  // Takes a newer value that a watch has brought; true if it is now held.
  bool Observe(const platform::record& aRecord);

  // Takes the result of a call; a lost swap is followed by a read.
  record_event OnResult(call_id aCall,
                        const store_result& aResult,
                        time_point aNow,
                        action_queue& aQueue);

  // Repeats a failed call when its time has come.
  void OnTick(time_point aNow, action_queue& aQueue);

  // Forgets everything; results of calls under way are ignored.
  void Reset();

private:
  void Retry(time_point aNow);
  record_event OnRead(const platform::record& aRecord, action_queue& aQueue);
  void Send(action_queue& aQueue);

  const std::string mKey;
  const store_purpose mPurpose;
  const std::chrono::milliseconds mRetryFirst;
  const std::chrono::milliseconds mRetryMax;

  bool mKnown = false;
  std::string mValue;
  platform::revision mRevision = 0;

  call_id mCall = 0;     // under way; 0: none
  bool mReading = false; // the call wanted next or under way is a read
  bool mWriting = false; // `mWanted` is not resolved yet
  bool mWaiting = false; // for `mRetryAt`
  std::string mWanted;
  time_point mRetryAt;
  std::chrono::milliseconds mRetry;
};

} // namespace mangospan::fleet

#endif // MANGOSPAN_FLEET_STORED_RECORD_H
