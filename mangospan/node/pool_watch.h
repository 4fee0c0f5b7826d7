// What the owners of the pools' jobs tell the duty for hosts, and what they
// have yet to be told.
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
#include "mangospan/node/pool_link.h"

namespace mangospan::node {

using runners_of_pools = std::map<service_name, std::set<jobs::runner_name>>;

class pool_watch : public std::enable_shared_from_this<pool_watch>
{
public:
  // `aOnState` is called after each answer. The references must outlive it.
  pool_watch(const clock_source& aClock,
             pool_link& aLink,
             std::uint64_t aFleetTerm,
             std::function<void()> aOnState);

  // Asks every owner if it is time.
  void Tick();
  // No handler is called any more.
  void Stop() { mIsStopped = true; }

  // Runners that get no new runs; owners are asked at once to close further
  // ones.
  void SetClosed(runners_of_pools aClosed);
  // Their lasting runs go elsewhere. With the next exchange.
  void Evict(const service_name& aPool, const jobs::runner_name& aRunner);
  // Nothing runs there any more.
  void TellDead(const service_name& aPool, const jobs::runner_name& aRunner);

  // Whether the pool's jobs have an owner, or should have.
  bool HasJobs(const service_name& aPool) const;
  // Null unless the owner has told lately.
  const pool_state* StateOf(const service_name& aPool) const;
  // Of the owner that told last, also if that is long ago.
  std::optional<std::uint64_t> TermRevisionOf(const service_name& aPool) const;

private:
  struct pool
  {
    std::optional<pool_state> mState;
    time_point mStateAt{}; // when it was asked for
    bool mIsAsking = false;
    bool mIsAskedAgain = false;
    std::vector<jobs::runner_name> mDead;
    std::vector<jobs::runner_name> mEvict;
  };

  void Ask(const service_name& aPool);
  void OnState(const service_name& aPool,
               time_point aSentAt,
               const std::vector<jobs::runner_name>& aDead,
               const result<pool_state>& aResult);

  const clock_source& mClock;
  pool_link& mLink;
  const std::uint64_t mFleetTerm;
  const std::function<void()> mOnState;
  std::map<service_name, pool> mPools;
  runners_of_pools mClosed;
  time_point mNextAsk{};
  bool mIsStopped = false;
};

} // namespace mangospan::node

#endif // MANGOSPAN_NODE_POOL_WATCH_H
