// A store that tells its users when it answers again.
//
// While the store does not answer, each of its users finds that out by the
// timeout of its own call, and learns of the store's return only with a call
// that was sent after it: up to a timeout and a retry delay late. This store
// probes the platform's one while calls fail, and reports the first answer.
#ifndef MANGOSPAN_NODE_MONITORED_STORE_H
#define MANGOSPAN_NODE_MONITORED_STORE_H

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "mangospan/base/timer.h"
#include "mangospan/platform/store.h"

namespace mangospan::node {

class monitored_store final : public platform::transactional_store
{
public:
  // Passes all calls on to `aStore`. Calls `aOnAnswersAgain` when a probe has
  // been answered after a call without an answer. The references must outlive
  // this object, and this object the calls to it.
  monitored_store(boost::asio::io_context& aIo,
                  platform::transactional_store& aStore,
                  std::function<void()> aOnAnswersAgain);

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
  // Returns a handler that notes whether the store has answered and then calls
  // `aHandler`.
  template<typename T>
  platform::handler<T> Observe(platform::handler<T> aHandler);
  void OnNoAnswer();
  void ScheduleProbe(std::chrono::milliseconds aDelay);
  void Probe();
  void OnProbeAnswered();

  platform::transactional_store& mStore;
  const std::function<void()> mOnAnswersAgain;
  timer mTimer;
  bool mIsProbing = false;
};

} // namespace mangospan::node

#endif // MANGOSPAN_NODE_MONITORED_STORE_H
