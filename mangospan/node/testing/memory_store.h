// An in-memory store for tests.
#ifndef MANGOSPAN_NODE_TESTING_MEMORY_STORE_H
#define MANGOSPAN_NODE_TESTING_MEMORY_STORE_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "mangospan/platform/store.h"

namespace mangospan::node::testing {

// A store with the transactions and leases of the real one that answers on the
// next turn of the io_context. Watches report no changes, so a test has to put
// its records in before the first listing. Leases end only when they are
// revoked.
class memory_store final : public platform::transactional_store
{
public:
  explicit memory_store(boost::asio::io_context& aIo);

  // Writes a record like another client would, and returns its revision.
  platform::revision Put(const std::string& aKey, std::string aValue);
  // If true, commits are held until `ReleaseCommits()`.
  bool mHoldsCommits = false;
  std::size_t HeldCommits() const { return mHeld.size(); }
  void ReleaseCommits();
  // A commit that writes a larger value fails with kInvalidArgument.
  std::size_t mMaxValueBytes = platform::kMaxValueBytes;
  // Returns the value of the key; empty if the key does not exist.
  std::string Value(const std::string& aKey) const;

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
  struct held_commit
  {
    platform::transaction mTransaction;
    platform::handler<platform::commit_outcome> mHandler;
  };

  std::vector<platform::record> Find(const std::string& aPrefix) const;

  boost::asio::io_context& mIo;
  std::map<std::string, platform::record> mRecords;
  std::map<std::uint64_t, std::vector<std::string>> mLeased; // keys by lease
  std::vector<held_commit> mHeld;
  platform::revision mRevision = 1;
};

} // namespace mangospan::node::testing

#endif // MANGOSPAN_NODE_TESTING_MEMORY_STORE_H
