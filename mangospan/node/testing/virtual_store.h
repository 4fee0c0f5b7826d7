// The platform's store in virtual time, for tests: with leases, watches,
// latency, outages, and clients that are cut off.
#ifndef MANGOSPAN_NODE_TESTING_VIRTUAL_STORE_H
#define MANGOSPAN_NODE_TESTING_VIRTUAL_STORE_H

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "mangospan/base/time.h"
#include "mangospan/base/timer.h"
#include "mangospan/platform/store.h"

namespace mangospan::node::testing {

// The store itself. It executes a call of a client `kLatency` after the call,
// unless it is silent or the client is cut off at that time: then the call has
// no effect and no answer. While the store is silent, leases pause.
class virtual_store
{
public:
  static constexpr std::chrono::milliseconds kLatency{ 2 }; // one way

  virtual_store(boost::asio::io_context& aIo, const clock_source& aClock);

  // Ends expired leases. Call it whenever the clock has been advanced.
  void Advance();
  void SetSilent(bool aIsSilent);
  bool IsSilent() const { return mIsSilent; }
  // Writes or deletes a record like another client would.
  void Put(const std::string& aKey, std::string aValue);
  void Delete(const std::string& aKey);
  // Ends the lease of the key, as the store may do at any time.
  void RevokeLeaseOf(const std::string& aKey);
  // Returns the value of the key; empty if the key does not exist.
  std::string Value(const std::string& aKey) const;
  std::vector<platform::record> Find(const std::string& aPrefix) const;

private:
  friend class virtual_store_client;

  struct lease
  {
    std::chrono::milliseconds mTtl{ 0 };
    time_point mEndsAt{};
  };
  struct stored_record
  {
    platform::record mRecord;
    std::uint64_t mLease = 0; // 0: none
  };
  // A watch that waits for a change. `mOnChange` returns whether it is over.
  using watch = std::function<bool()>;

  // Reports the changes of one revision to the watches.
  void Notify(const std::vector<platform::change>& aChanges);
  void EndLease(std::uint64_t aLease);
  // Returns whether every lease that the change names exists.
  bool HasLeases(const platform::transaction& aChange) const;
  platform::commit_outcome Commit(const platform::transaction& aChange);

  boost::asio::io_context& mIo;
  const clock_source& mClock;
  std::map<std::string, stored_record> mRecords;
  std::map<std::uint64_t, lease> mLeases;
  std::vector<platform::change> mHistory;
  std::vector<watch> mWatches;
  platform::revision mRevision = 1;
  std::uint64_t mNextLease = 1;
  bool mIsSilent = false;
  std::uint64_t mOutages = 0;
  time_point mSilentSince{};
};

// What becomes of a transaction. By default it is executed and answered.
struct commit_fate
{
  bool mIsAnswered = true;
  bool mIsExecuted = true;
  // The store executes it so much later than other calls, if its expectations
  // still hold then.
  std::chrono::milliseconds mExecutionDelay{ 0 };
};

// One node's connection to a `virtual_store`. A call without an answer fails
// with kUnknownResult after its timeout.
class virtual_store_client final : public platform::transactional_store
{
public:
  explicit virtual_store_client(virtual_store& aStore);
  // The answers to calls other than watches arrive in the work of `aIo`, which
  // may be that of a process that is late.
  virtual_store_client(virtual_store& aStore, boost::asio::io_context& aIo);

  // Cuts the client off from the store, or reconnects it. A watch that waits
  // meanwhile is lost.
  void SetCut(bool aIsCut);
  // From now on, the store executes a call and gives no answer if `aIsLost`
  // returns true. It is called once per call other than a watch, with the step
  // that errors of the call name.
  void SetLoss(std::function<bool(const std::string&)> aIsLost);
  // From now on, decides what becomes of each transaction.
  void SetCommitFate(
    std::function<commit_fate(const platform::transaction&)> aFate);
  // Answers take this much longer.
  void SetAnswerDelay(std::chrono::milliseconds aDelay);

  void Read(
    std::string aKey,
    std::chrono::milliseconds aTimeout,
    platform::handler<std::optional<platform::record>> aHandler) override;
  void List(std::string aPrefix,
            std::chrono::milliseconds aTimeout,
            platform::handler<std::vector<platform::record>> aHandler) override;
  void GrantLease(std::chrono::milliseconds aTtl,
                  std::chrono::milliseconds aTimeout,
                  platform::handler<platform::lease_id> aHandler) override;
  void RenewLease(platform::lease_id aLease,
                  std::chrono::milliseconds aTimeout,
                  platform::handler<platform::lease_id> aHandler) override;
  void RevokeLease(platform::lease_id aLease,
                   std::chrono::milliseconds aTimeout,
                   platform::handler<platform::lease_id> aHandler) override;
  void Watch(std::string aPrefix,
             platform::revision aAfter,
             std::chrono::milliseconds aWait,
             platform::handler<platform::change_batch> aHandler) override;
  void Commit(platform::transaction aTransaction,
              std::chrono::milliseconds aTimeout,
              platform::handler<platform::commit_outcome> aHandler) override;
  std::shared_ptr<platform::pending_listing> ListForWatch(
    std::string aPrefix,
    std::chrono::milliseconds aTimeout,
    platform::handler<platform::listing> aHandler) override;

private:
  // Executes `aCall` at the store and passes its result to `aHandler`, or an
  // error after `aTimeout`.
  template<typename T>
  void Send(const char* aStep,
            std::chrono::milliseconds aTimeout,
            platform::handler<T> aHandler,
            std::function<result<T>()> aCall,
            commit_fate aFate = {});
  // Returns how often the connection has been interrupted so far.
  std::uint64_t Interruptions() const;
  bool IsConnected() const { return !mIsCut && !mStore.mIsSilent; }

  virtual_store& mStore;
  boost::asio::io_context& mIo;
  bool mIsCut = false;
  std::uint64_t mCuts = 0;
  std::function<bool(const std::string&)> mIsLost;
  std::function<commit_fate(const platform::transaction&)> mCommitFate;
  std::chrono::milliseconds mAnswerDelay{ 0 };
};

} // namespace mangospan::node::testing

#endif // MANGOSPAN_NODE_TESTING_VIRTUAL_STORE_H
