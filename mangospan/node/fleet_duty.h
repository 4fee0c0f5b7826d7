// The owner's duty towards hosts: maintenance waves, and hosts that follow the
// load from pool to pool.
//
// Every order is announced in the store first, by a write that a successor's
// claim fences. So a successor knows which hosts were ordered lately, and none
// is ordered by the predecessor any more.
#ifndef MANGOSPAN_NODE_FLEET_DUTY_H
#define MANGOSPAN_NODE_FLEET_DUTY_H

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "mangospan/base/time.h"
#include "mangospan/jobs/sizing.h"
#include "mangospan/jobs/upkeep.h"
#include "mangospan/node/owner.h"
#include "mangospan/node/ports.h"

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
  const record_format& mFormat;
  daemon::metrics& mMetrics;
};

class fleet_duty : public std::enable_shared_from_this<fleet_duty>
{
public:
  // `aMayOrder` tells whether the ownership certainly holds.
  fleet_duty(fleet_dependencies aDependencies,
             fleet_settings aSettings,
             order_fence aFence,
             std::shared_ptr<owner> aOwner,
             std::function<bool()> aMayOrder);

  void Start();
  void Stop();
  void OnWave(const wave_request& aWave);

private:
  void Tick();
  void List();
  void Act();
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
  void CloseAndEvict(const jobs::upkeep_decision& aUpkeep, time_point aNow);
  service_name SparePool() const; // empty: there is none
  jobs::runner_name RunnerOf(const host_name& aHost) const;
  void KeepRecord(std::uint64_t aWave);
  void ReportWaves();
  std::vector<jobs::host_view> HostViews() const;

  fleet_dependencies mDeps;
  const fleet_settings mSettings;
  const order_fence mFence;
  std::shared_ptr<owner> mOwner;
  const std::function<bool()> mMayOrder;
  boost::asio::steady_timer mTimer;
  // When a host was ordered last, by this holder or an earlier one.
  std::map<host_name, jobs::wall_time> mOrderedAt;
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
  std::map<std::uint64_t, bool> mReported; // wave, completed
  bool mIsListing = false;
  bool mIsReporting = false;
  bool mIsStopped = false;
};

} // namespace mangospan::node

#endif // MANGOSPAN_NODE_FLEET_DUTY_H
