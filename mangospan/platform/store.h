// The platform's key-value service: compare-and-swap, leases and watches.
//
// Everything that must outlive a process is kept here and nowhere else. Answers
// arrive through handlers, which are called once, never from inside the call:
//
//   store.CompareAndSwap({ "zones/a/hosts", 7, text, {} }, timeout,
//                        [](result<revision> aResult) { ... });
//
// A write that fails with kUnknownResult may have taken effect: read the key
// and compare before anything else.
#ifndef MANGOSPAN_PLATFORM_STORE_H
#define MANGOSPAN_PLATFORM_STORE_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "mangospan/base/error.h"

namespace mangospan::platform {

// Counts the store's changes, over all keys; 0 stands for "no such key".
using revision = std::uint64_t;

// Names a lease the store has granted.
struct lease_id
{
  std::uint64_t mValue = 0;
};

// One key's value as of `mRevision`, the revision of its last change.
struct record
{
  std::string mKey;
  std::string mValue;
  revision mRevision = 0;
};

// Writes `mValue` only if the key's revision is `mExpected` (0: only if the key
// does not exist). With a lease, the key is deleted when the lease ends.
struct swap_request
{
  std::string mKey;
  revision mExpected = 0;
  std::string mValue;
  std::optional<lease_id> mLease;
};

// One change that a watch reports.
struct change
{
  record mRecord;
  bool mDeleted = false;
};

// All changes after the revision asked for, oldest first, and the revision to
// ask from next.
struct change_batch
{
  std::vector<change> mChanges;
  revision mRevision = 0;
};

template<typename T>
using handler = std::function<void(result<T>)>;

// Values are at most this many bytes; larger ones are refused with kTooLarge
// before anything is sent.
inline constexpr std::size_t kMaxValueBytes = std::size_t{ 1000 } * 1000;

// Errors common to all calls: kUnavailable (certainly not carried out),
// kUnknownResult (sent, no answer), kInvalidArgument.
class record_store
{
public:
  virtual ~record_store() = default;

  // Reads one key; no value if it does not exist.
  virtual void Read(std::string aKey,
                    std::chrono::milliseconds aTimeout,
                    handler<std::optional<record>> aHandler) = 0;

  // Reads every key that begins with `aPrefix`, in order of keys.
  virtual void List(std::string aPrefix,
                    std::chrono::milliseconds aTimeout,
                    handler<std::vector<record>> aHandler) = 0;

  // Grants a lease that lasts `aTtl` unless renewed.
  virtual void GrantLease(std::chrono::milliseconds aTtl,
                          std::chrono::milliseconds aTimeout,
                          handler<lease_id> aHandler) = 0;

  // Extends the lease by its full time; kNotFound once it has ended.
  virtual void RenewLease(lease_id aLease,
                          std::chrono::milliseconds aTimeout,
                          handler<lease_id> aHandler) = 0;

  // Ends the lease and deletes its keys.
  virtual void RevokeLease(lease_id aLease,
                           std::chrono::milliseconds aTimeout,
                           handler<lease_id> aHandler) = 0;

  // Waits up to `aWait` for changes after `aAfter` to keys that begin with
  // `aPrefix`; answers with an empty batch if there were none. kNotFound if
  // the store no longer knows that revision: list, then watch again.
  virtual void Watch(std::string aPrefix,
                     revision aAfter,
                     std::chrono::milliseconds aWait,
                     handler<change_batch> aHandler) = 0;
};

// A store that changes one key at a time.
class store : public record_store
{
public:
  // Returns the new revision; kConflict if the key has another revision.
  virtual void CompareAndSwap(swap_request aRequest,
                              std::chrono::milliseconds aTimeout,
                              handler<revision> aHandler) = 0;

  // Deletes the key if its revision is `aExpected`; kConflict otherwise.
  virtual void Delete(std::string aKey,
                      revision aExpected,
                      std::chrono::milliseconds aTimeout,
                      handler<revision> aHandler) = 0;
};

// A key that must have this revision (0: must not exist) when a transaction is
// carried out.
struct expectation
{
  std::string mKey;
  revision mRevision = 0;
};

// With a lease, the key is deleted when the lease ends.
struct key_write
{
  std::string mKey;
  std::string mValue;
  std::optional<lease_id> mLease;
};

// All writes of a transaction take effect together, and only if every
// expectation holds.
struct transaction
{
  std::vector<expectation> mExpected;
  std::vector<key_write> mWrites;
  std::vector<std::string> mDeletes;
};

// The outcome of a transaction that the store has answered: either the revision
// of its writes, or the present state of the keys whose expectation failed.
struct commit_outcome
{
  bool mCommitted = false;
  revision mRevision = 0;
  std::vector<record> mPresent;
};

// A listing and the revision to watch from so that no change is missed.
struct listing
{
  std::vector<record> mRecords;
  revision mRevision = 0;
};

// A store that changes several keys in one transaction.
class transactional_store : public record_store
{
public:
  // At most `kMaxTransactionKeys` expectations, writes and deletes together.
  virtual void Commit(transaction aTransaction,
                      std::chrono::milliseconds aTimeout,
                      handler<commit_outcome> aHandler) = 0;

  // As `List`, with the revision as of which the first key was read.
  virtual void ListForWatch(std::string aPrefix,
                            std::chrono::milliseconds aTimeout,
                            handler<listing> aHandler) = 0;
};

inline constexpr std::size_t kMaxTransactionKeys = 32;

} // namespace mangospan::platform

#endif // MANGOSPAN_PLATFORM_STORE_H
