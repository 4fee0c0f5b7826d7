// Exchanges messages with the owners of the pools' jobs on behalf of the fleet
// controller: keeps the last state that each owner reported, and the reports of
// dead runners that each owner has yet to receive.
#ifndef MANGOSPAN_NODE_POOL_WATCH_H
#define MANGOSPAN_NODE_POOL_WATCH_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "mangospan/base/time.h"
#include "mangospan/customers/quota_allocator.h"
#include "mangospan/node/pool_link.h"

namespace mangospan::node {

// The names of runners, by the pool that they are in.
using runners_by_pool = std::map<service_name, std::set<jobs::runner_name>>;

// Polls the owner of each pool's jobs for the state of the pool. Must be owned
// by a std::shared_ptr.
class pool_watch : public std::enable_shared_from_this<pool_watch>
{
public:
  // `aOnStateChanged` is called after each successful exchange. The references
  // must outlive this object.
  pool_watch(const clock_source& aClock,
             pool_link& aLink,
             std::uint64_t aFleetTerm,
             std::function<void()> aOnStateChanged);

  // Sets how many pools share the customers' caps, and the version of the
  // configuration that has changed caps last.
  void SetCaps(std::size_t aPools, std::uint64_t aVersion)
  {
    mSharingPools = aPools;
    mQuota.SetCapsVersion(aVersion);
  }
  // Starts an exchange with every owner if the interval has passed.
  void Tick();
  // After this call, no handler is called.
  void Stop() { mIsStopped = true; }

  // Sets all runners that get no new runs. Starts an exchange at once with each
  // owner that has to cordon further runners.
  void SetCordoned(runners_by_pool aCordoned);
  // Asks the owner, with the next exchange, to move the long-running runs of
  // the runner elsewhere. Asks once: if that exchange fails, the request is
  // lost. Ignored unless `IsPolled(aPool)`.
  void Evict(const service_name& aPool, const jobs::runner_name& aRunner);
  // Tells the owner that nothing runs on the runner any more. Starts an
  // exchange at once, or requests one after the current one, and repeats the
  // report until an exchange succeeds. Ignored unless `IsPolled(aPool)`.
  void ReportDead(const service_name& aPool, const jobs::runner_name& aRunner);

  // Returns whether an exchange with the owner of the pool's jobs has been
  // started.
  bool IsPolled(const service_name& aPool) const;
  // Returns the state that the owner reported, or null if there is no recent
  // report.
  const pool_state* StateOf(const service_name& aPool) const;
  // Returns the term revision in the last report, however old; nullopt if there
  // was no report, or if an exchange failed while the report was still recent
  // (see `StateOf`).
  std::optional<std::uint64_t> TermRevisionOf(const service_name& aPool) const;

private:
  struct pool
  {
    std::optional<pool_state> mState;
    time_point mRequestedAt{}; // when the exchange that returned `mState` began
    bool mIsSilent = false;    // a failure was logged, and no success since
    bool mIsExchanging = false;
    bool mIsExchangeRequested = false; // another one follows the current one
    std::vector<jobs::runner_name> mDeadRunners;
    std::vector<jobs::runner_name> mEvictFrom;
  };

  void StartExchange(const service_name& aPool);
  void OnExchanged(const service_name& aPool,
                   time_point aSentAt,
                   const std::vector<jobs::runner_name>& aDeadRunners,
                   const result<pool_state>& aResult);

  const clock_source& mClock;
  pool_link& mLink;
  const std::uint64_t mFleetTerm;
  const std::function<void()> mOnStateChanged;
  std::map<service_name, pool> mPools;
  runners_by_pool mCordoned;
  customers::quota_allocator mQuota;
  std::size_t mSharingPools = 0;
  time_point mNextExchange{};
  bool mIsStopped = false;
};

} // namespace mangospan::node

#endif // MANGOSPAN_NODE_POOL_WATCH_H
