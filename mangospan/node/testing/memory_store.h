// A store in memory for tests: transactions and leases are those of the real
// one, answers come at once. Watches hear nothing: what they would report is
// put in before the first listing.
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

class memory_store final : public platform::transactional_store
{
public:
  explicit memory_store(boost::asio::io_context& aIo);

  // As another client would; returns the revision.
  platform::revision Put(const std::string& aKey, std::string aValue);
  // Commits wait until they are released.
  bool mHoldsCommits = false;
  std::size_t HeldCommits() const { return mHeld.size(); }
  void ReleaseCommits();
  // Empty if there is none.
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
  void ListForWatch(std::string aPrefix,
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
  std::map<std::uint64_t, std::vector<std::string>> mLeased; // keys
  std::vector<held_commit> mHeld;
  platform::revision mRevision = 1;
};

} // namespace mangospan::node::testing

#endif // MANGOSPAN_NODE_TESTING_MEMORY_STORE_H
