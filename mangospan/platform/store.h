// The platform's key-value service: reads, writes, leases and watches.
//
// All state that must survive a process is kept in this store and nowhere else.
// Results are passed to handlers, which are called once, never from inside the
// call:
//
//   store.CompareAndSwap({ "zones/a/hosts", 7, text, {} }, timeout,
//                        [](result<revision> aResult) { ... });
//
// A write that fails with kUnknownResult may have taken effect: read the key
// and compare its value before any further write.
#ifndef MANGOSPAN_PLATFORM_STORE_H
#define MANGOSPAN_PLATFORM_STORE_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "mangospan/base/error.h"

namespace mangospan::platform {

// The number of changes to the store so far, over all keys. As the revision of
// a key, 0 means that the key does not exist.
using revision = std::uint64_t;

// Identifies a lease that the store has granted.
struct lease_id
{
  std::uint64_t mValue = 0;
};

// A key and its value. `mRevision` is the revision of the key's last change.
struct record
{
  std::string mKey;
  std::string mValue;
  revision mRevision = 0;
};

// A request to write `mValue` if the key's revision is `mExpected` (0: if the
// key does not exist). With a lease, the key is deleted when the lease ends.
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

// All changes after the revision that a watch started from, oldest first, and
// the revision to start the next watch from.
struct change_batch
{
  std::vector<change> mChanges;
  revision mRevision = 0;
};

// Receives the result of a call.
template<typename T>
using handler = std::function<void(result<T>)>;

// The largest value in bytes that `store::CompareAndSwap` writes. A larger one
// fails with kTooLarge before anything is sent.
inline constexpr std::size_t kMaxValueBytes = std::size_t{ 1000 } * 1000;

// The calls that all stores have in common: reads, leases and watches.
//
// Every call can fail with kUnavailable (it had no effect), kUnknownResult (it
// was sent but got no response, so it may have taken effect) or
// kInvalidArgument; `List` and `Watch` also with kIncomplete (the response
// began and did not arrive whole).
class record_store
{
public:
  virtual ~record_store() = default;

  // Reads one key. Returns no record if the key does not exist.
  virtual void Read(std::string aKey,
                    std::chrono::milliseconds aTimeout,
                    handler<std::optional<record>> aHandler) = 0;

  // Reads every key that begins with `aPrefix`, ordered by key.
  virtual void List(std::string aPrefix,
                    std::chrono::milliseconds aTimeout,
                    handler<std::vector<record>> aHandler) = 0;

  // Grants a lease that ends after `aTtl` unless it is renewed.
  virtual void GrantLease(std::chrono::milliseconds aTtl,
                          std::chrono::milliseconds aTimeout,
                          handler<lease_id> aHandler) = 0;

  // Extends the lease by its full duration and returns `aLease`. Fails with
  // kNotFound once the lease has ended.
  virtual void RenewLease(lease_id aLease,
                          std::chrono::milliseconds aTimeout,
                          handler<lease_id> aHandler) = 0;

  // Ends the lease, deletes the keys written with it, and returns `aLease`.
  virtual void RevokeLease(lease_id aLease,
                           std::chrono::milliseconds aTimeout,
                           handler<lease_id> aHandler) = 0;

  // Waits up to `aWait` for changes after `aAfter` to keys that begin with
  // `aPrefix`. Returns an empty batch if there were none. Fails with kNotFound
  // if the store no longer has the changes after that revision: list the keys,
  // then watch again.
  virtual void Watch(std::string aPrefix,
                     revision aAfter,
                     std::chrono::milliseconds aWait,
                     handler<change_batch> aHandler) = 0;
};

// A store that changes one key at a time.
class store : public record_store
{
public:
  // Writes the key and returns its new revision. Fails with kConflict if the
  // key's revision is not the expected one.
  virtual void CompareAndSwap(swap_request aRequest,
                              std::chrono::milliseconds aTimeout,
                              handler<revision> aHandler) = 0;

  // Deletes the key if its revision is `aExpected`. Fails with kConflict
  // otherwise.
  virtual void Delete(std::string aKey,
                      revision aExpected,
                      std::chrono::milliseconds aTimeout,
                      handler<revision> aHandler) = 0;
};

// Requires the key to have this revision (0: not to exist) when a transaction
// is executed.
struct expectation
{
  std::string mKey;
  revision mRevision = 0;
};

// One write of a transaction. With a lease, the key is deleted when the lease
// ends.
struct key_write
{
  std::string mKey;
  std::string mValue;
  std::optional<lease_id> mLease;
};

// Writes and deletes that take effect together, and only if every expectation
// holds.
struct transaction
{
  std::vector<expectation> mExpectations;
  std::vector<key_write> mWrites;
  std::vector<std::string> mDeletes;
};

// The store's response to a transaction: the revision of its writes if it was
// committed, else the current records of the keys whose expectation failed.
struct commit_outcome
{
  bool mCommitted = false;
  revision mRevision = 0;
  std::vector<record> mCurrentRecords;
};

// The listed records and the revision to start a watch from so that no change
// is missed.
struct listing
{
  std::vector<record> mRecords;
  revision mRevision = 0;
};

// A listing that is under way.
class pending_listing
{
public:
  virtual ~pending_listing() = default;
  // Returns whether a part of the response has arrived.
  virtual bool HasBegun() const = 0;
  // Gives the listing up. Its handler is not called any more.
  virtual void Cancel() = 0;
};

// A store that changes several keys in one transaction.
class transactional_store : public record_store
{
public:
  // Commits the transaction if every expectation holds, else succeeds with
  // `mCommitted` false. The caller has to observe `kMaxTransactionKeys`.
  virtual void Commit(transaction aTransaction,
                      std::chrono::milliseconds aTimeout,
                      handler<commit_outcome> aHandler) = 0;

  // Like `List`, and also returns the revision as of which the first key was
  // read. `aTimeout` bounds the time until the response begins and each pause
  // in it: the whole takes as long as its size and the link demand. The result
  // may be null if the listing can not be given up.
  virtual std::shared_ptr<pending_listing> ListForWatch(
    std::string aPrefix,
    std::chrono::milliseconds aTimeout,
    handler<listing> aHandler) = 0;
};

// The most expectations, writes and deletes of one transaction in total.
inline constexpr std::size_t kMaxTransactionKeys = 32;

} // namespace mangospan::platform

#endif // MANGOSPAN_PLATFORM_STORE_H
