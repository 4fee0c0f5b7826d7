// The duty towards hosts: maintenance waves, and hosts that follow the load
// from pool to pool. One node has it for all hosts; the owners of the pools'
// jobs, here and on other nodes, tell what their pools need and keep runners
// closed.
//
// A host is ordered away only after the owner of its pool has said that it
// gives the runner nothing new and that nothing runs there. Every order is
// announced in the store first, by a write that fails once that owner or this
// node has a successor; each successor reads the announcement.
#ifndef MANGOSPAN_NODE_FLEET_DUTY_H
#define MANGOSPAN_NODE_FLEET_DUTY_H

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "mangospan/base/time.h"
#include "mangospan/jobs/sizing.h"
#include "mangospan/jobs/upkeep.h"
#include "mangospan/node/election.h"
#include "mangospan/node/host_orders.h"
#include "mangospan/node/pool_link.h"
#include "mangospan/node/pool_watch.h"
#include "mangospan/node/ports.h"
#include "mangospan/node/wave_records.h"
#include "mangospan/platform/store.h"

namespace mangospan::node {

struct fleet_settings
{
  // The platform takes orders of two holders only this far apart.
  std::chrono::milliseconds mHostLease{ 3'000 };
  // Of all nodes together; the platform refuses more.
  std::size_t mOrdersPerSecond = 60;
  std::chrono::milliseconds mTick{ 60 };
};

// What the duty uses. The references must outlive it.
struct fleet_dependencies
{
  boost::asio::io_context& mIo;
  const clock_source& mClock;
  platform::transactional_store& mStore;
  host_port& mHosts;
  pool_link& mPools;
  const record_format& mFormat;
};

class fleet_duty : public std::enable_shared_from_this<fleet_duty>
{
public:
  // `aMayOrder` tells whether the ownership certainly holds.
  fleet_duty(fleet_dependencies aDependencies,
             fleet_settings aSettings,
             order_fence aFence,
             platform::revision aTermRevision,
             std::function<bool()> aMayOrder);

  void Start();
  void Stop();
  void OnWave(const wave_request& aWave);
  void SetCatalog(const jobs::catalog& aCatalog);

private:
  void Tick();
  void List();
  void Act();
  void OnPoolState();
  std::map<service_name, jobs::pool_load> Loads() const;
  void AddRunnerState(jobs::host_view& aView, const host_entry& aHost) const;
  void BeginMoves(const std::vector<jobs::move_order>& aMoves);
  std::vector<jobs::move_order> MovesThatMayGo(
    const std::vector<jobs::host_view>& aHosts);
  void SetClosed(const std::set<host_name>& aUpkeep);
  const host_entry* Find(const host_name& aHost) const;
  host_entry HostOf(const host_name& aHost) const;
  void Maintain(const jobs::upkeep_order& aOrder);
  void Announce(std::vector<jobs::upkeep_order> aUpkeep,
                std::vector<jobs::move_order> aMoves);
  void Issue(const std::vector<jobs::upkeep_order>& aUpkeep,
             const std::vector<jobs::move_order>& aMoves,
             bool aIsAnnounced);
  void LoadOrders();
  bool MayOrder(const host_name& aHost) const;
  // Orders that may still be given within this second.
  std::size_t Allowance(time_point aNow);
  void Move(const jobs::move_order& aOrder);
  void Evict(const std::vector<host_name>& aHosts);
  service_name SparePool() const; // empty: there is none
  void ReportWaves();
  std::vector<jobs::host_view> HostViews() const;

  fleet_dependencies mDeps;
  const fleet_settings mSettings;
  const order_fence mFence;
  const term_fence mTermFence;
  const std::function<bool()> mMayOrder;
  boost::asio::steady_timer mTimer;
  jobs::catalog mCatalog;
  const std::shared_ptr<pool_watch> mPools;
  const std::shared_ptr<wave_records> mWaves;
  // Chosen to move, but its runner may still get or hold runs.
  std::map<host_name, jobs::move_order> mEmptying;
  // How each host was ordered last, by this holder or an earlier one.
  host_orders mOrders;
  std::set<host_name> mForeign; // ordered last by an earlier holder
  std::deque<time_point> mRecentOrders;
  bool mIsLoaded = false;
  bool mIsAnnouncing = false;
  time_point mStartedAt{};
  time_point mNextList{};
  time_point mListedAt{};
  std::vector<host_entry> mHosts;
  std::set<host_name> mInFlight;
  jobs::upkeep_plan mPlan;
  jobs::pool_sizing mSizing;
  bool mIsListing = false;
  bool mIsStopped = false;
};

} // namespace mangospan::node

#endif // MANGOSPAN_NODE_FLEET_DUTY_H
