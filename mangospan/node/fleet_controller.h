// Controls the hosts of the fleet: takes them down in maintenance waves, and
// moves them between pools as the load changes. One node, the owner of the
// fleet, runs the controller for all hosts. The owners of the pools' jobs, on
// this and other nodes, report what their pools need and keep runners cordoned.
//
// A host is ordered to move only after the owner of its pool has reported that
// the host's runner is cordoned and that nothing runs on it. Every order is
// first announced in the store, by a write that fails once the pool's jobs or
// the fleet have a new owner. A new owner of either reads the announcement
// before it acts.
#ifndef MANGOSPAN_NODE_FLEET_CONTROLLER_H
#define MANGOSPAN_NODE_FLEET_CONTROLLER_H

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "mangospan/base/time.h"
#include "mangospan/base/timer.h"
#include "mangospan/jobs/maintenance_planner.h"
#include "mangospan/jobs/pool_autoscaler.h"
#include "mangospan/node/election.h"
#include "mangospan/node/ended_runners.h"
#include "mangospan/node/host_orders.h"
#include "mangospan/node/pool_link.h"
#include "mangospan/node/pool_watch.h"
#include "mangospan/node/ports.h"
#include "mangospan/node/wave_records.h"
#include "mangospan/platform/store.h"

namespace mangospan::node {

// Limits for orders, and the interval of the control loop.
struct fleet_controller_settings
{
  // Minimum time, per host, from the last order of one fleet owner to the first
  // order of the next. The host service refuses earlier orders.
  std::chrono::milliseconds mMinOrderGapBetweenOwners{ 3'000 };
  // The most orders per second that this controller sends. It is less than the
  // host service's limit for all nodes together
  // (`node_settings::mHostOrdersPerSecond`), so that orders of the preceding
  // controller still fit.
  std::size_t mMaxOrdersPerSecond = 60;
  std::chrono::milliseconds mTickInterval{ 60 };
};

// Objects that the controller uses. The references must outlive the controller.
struct fleet_controller_dependencies
{
  boost::asio::io_context& mIo;
  const clock_source& mClock;
  platform::transactional_store& mStore;
  host_port& mHosts;
  pool_link& mPools;
  const record_format& mFormat;
};

// Runs while this node owns the fleet; one object serves one term. Must be
// owned by a std::shared_ptr.
class fleet_controller : public std::enable_shared_from_this<fleet_controller>
{
public:
  // `aIsOwner` returns whether this node certainly owns the fleet.
  fleet_controller(fleet_controller_dependencies aDependencies,
                   fleet_controller_settings aSettings,
                   order_fence aFence,
                   platform::revision aTermRevision,
                   std::function<bool()> aIsOwner);

  // Loads the announced orders and begins the control loop. Call once.
  void Start();
  // Ends the control loop and the exchanges with the pools. Call when this node
  // no longer owns the fleet.
  void Stop();
  // Adds a wave that the operators have requested. Its time to complete begins
  // now.
  void OnWave(const wave_request& aWave);
  // Sets the services, among them the spare pool.
  void SetCatalog(const jobs::catalog& aCatalog);

private:
  // The last order to a host.
  struct announced_order
  {
    time_point mReservedUntil; // no other fleet owner may order the host before
    jobs::runner_name mRunner; // as in `host_order`
    // As in `host_order`; unset once the order is settled.
    std::optional<std::uint64_t> mWave;
    bool mIsOfPredecessor = false;
  };

  void Tick();
  void List();
  void Reconcile();
  void OnPoolStateChanged();
  std::map<service_name, jobs::pool_load> PoolLoads() const;
  void AddRunnerState(jobs::host_view& aView, const host_entry& aHost) const;
  void AddPendingMoves(const std::vector<jobs::move_order>& aMoves);
  std::vector<jobs::move_order> ReadyMoves(
    const std::vector<jobs::host_view>& aHosts);
  void UncordonWaitingHosts();
  void NoteListingIsCurrent();
  void SetCordoned(const std::set<host_name>& aMaintenance);
  const host_entry* FindHost(const host_name& aHost) const;
  host_entry LastListedHost(const host_name& aHost) const;
  void Maintain(const jobs::maintenance_order& aOrder);
  void AnnounceOrders(std::vector<jobs::maintenance_order> aMaintenance,
                      std::vector<jobs::move_order> aMoves);
  void IssueOrders(const std::vector<jobs::maintenance_order>& aMaintenance,
                   const std::vector<jobs::move_order>& aMoves,
                   bool aIsAnnounced);
  void LoadOrders();
  void OnOrdersLoaded(const host_orders& aOrders);
  void OnOrderSettled(const host_name& aHost);
  void ForgetOldOrders(time_point aNow);
  host_orders EncodableOrders(time_point aNow) const;
  // Returns whether the host service accepts an order for the host, as far as
  // `mMinOrderGapBetweenOwners` decides it.
  bool IsOrderAccepted(const host_name& aHost) const;
  // Returns how many orders may still be sent within this second.
  std::size_t RemainingOrders(time_point aNow);
  void Move(const jobs::move_order& aOrder);
  void Evict(const std::vector<host_name>& aHosts);
  service_name FindSparePool() const; // empty if there is none
  void ReportWaves();
  std::vector<jobs::host_view> HostViews() const;

  fleet_controller_dependencies mDeps;
  const fleet_controller_settings mSettings;
  const order_fence mFence;
  const term_fence mTermFence;
  const std::function<bool()> mIsOwner;
  timer mTimer;
  jobs::catalog mCatalog;
  std::uint64_t mCapsVersion = 0; // of the catalog that has changed caps last
  const std::shared_ptr<pool_watch> mPoolWatch;
  const std::shared_ptr<wave_records> mWaveRecords;
  // Hosts chosen to move whose runner may still get or hold runs.
  std::map<host_name, jobs::move_order> mPendingMoves;
  // Moves that are announced or sent and have no answer yet.
  std::map<host_name, jobs::move_order> mUnansweredMoves;
  // The last order to each host, by this fleet owner or an earlier one.
  std::map<host_name, announced_order> mOrders;
  std::deque<time_point> mRecentOrders;
  bool mAreOrdersLoaded = false;
  bool mIsAnnouncementInFlight = false;
  time_point mStartedAt{};
  time_point mNextList{};
  bool mAreHostsGivenBack = false; // since the listing is too old
  time_point mListedAt{};
  std::vector<host_entry> mHosts;
  std::set<host_name> mMaintenanceInFlight;
  ended_runners mEndedRunners;
  jobs::maintenance_planner mMaintenancePlanner;
  jobs::pool_autoscaler mAutoscaler;
  bool mIsListing = false;
  bool mIsStopped = false;
};

} // namespace mangospan::node

#endif // MANGOSPAN_NODE_FLEET_CONTROLLER_H
