// Autoscaling of pools: decides which hosts move to which pool.
//
// Queues peak at different times. A peak lasts for some seconds and asks for
// several times the queue's mean, which is more than its pool holds, while the
// other pools idle. Hosts therefore move to the pools under load. Hosts that no
// pool needs wait in the spare pool.
#ifndef MANGOSPAN_JOBS_POOL_AUTOSCALER_H
#define MANGOSPAN_JOBS_POOL_AUTOSCALER_H

#include <chrono>
#include <cstddef>
#include <map>
#include <set>
#include <vector>

#include "mangospan/base/identity.h"
#include "mangospan/base/time.h"
#include "mangospan/jobs/maintenance_planner.h"
#include "mangospan/jobs/spec.h"

namespace mangospan::jobs {

// The resources that a pool's service would use now if its capacity were
// unlimited.
struct pool_load
{
  // Reserved by live runs and by tasks that are ready to start.
  resources mRequested;
  // Reserved by tasks that are expected to arrive before a host that is ordered
  // now joins the pool.
  resources mForecast;
  // The minimum number of hosts for the limits per runner of long-running
  // steps, and for tasks that fit on no host in use although the total free
  // capacity of these hosts would suffice. The largest of these requirements
  // counts.
  std::size_t mMinHosts = 0;
  // Whether the pool's owner can accept jobs. If it can not, the other figures
  // lack those that callers keep back, and idle hosts may be needed at once.
  bool mIsAcceptingJobs = true;
};

// Limits and delays of a `pool_autoscaler`.
struct autoscaler_settings
{
  // A pool is sized for its requested resources multiplied by this factor.
  double mHeadroomFactor = 1.15;
  std::size_t mMinHosts = 2; // in each pool
  // A host moves to the spare pool only after it has been idle for this long,
  // while the pool's owner could accept jobs.
  std::chrono::milliseconds mMinIdleTime{ 800 };
  std::size_t mMaxConcurrentMoves = 240; // pending moves in all pools
};

// Moves hosts between pools so that each pool has the hosts that its load
// requires. Never moves a host that has runs. Does no I/O: the caller passes
// the current time and sends the orders.
class pool_autoscaler
{
public:
  explicit pool_autoscaler(autoscaler_settings aSettings);

  // Returns the moves to order now. Hosts that no pool needs go to
  // `aSparePool`, unless it is empty. `aReservedHosts` are reserved for
  // maintenance and don't move. `aListedAt` is the time at which the fleet's
  // host listing, from which `aHosts` was made, was requested.
  std::vector<move_order> Decide(
    const std::map<service_name, pool_load>& aLoads,
    const service_name& aSparePool,
    const std::vector<host_view>& aHosts,
    const std::set<host_name>& aReservedHosts,
    time_point aListedAt,
    time_point aNow);

  // Records a move that is being prepared or was ordered, also if the result of
  // the order is unknown. The move is pending until a listing that was
  // requested after `aNow` shows the host as up, or until OnMoveNotExecuted().
  // Meanwhile the host counts as part of the destination pool.
  void OnMovePending(const move_order& aOrder, time_point aNow);
  // Forgets the pending move of the host, because it was not executed.
  void OnMoveNotExecuted(const host_name& aHost);

  // Returns the hosts that are being moved. They must get no new runs.
  std::set<host_name> MovingHosts() const;

private:
  struct pending_move
  {
    service_name mDestination;
    time_point mOrderedAt{};
  };
  struct pool
  {
    std::size_t mHostCount = 0; // usable hosts, and hosts moving to this pool
    std::size_t mRequiredHosts = 0;
    resources mHostCapacity;
    std::vector<host_name> mIdleHosts; // the one that is idle longest is first
  };

  void EraseCompletedMoves(const std::vector<host_view>& aHosts,
                           time_point aListedAt);
  void UpdateIdleTimes(const std::map<service_name, pool_load>& aLoads,
                       const std::vector<host_view>& aHosts,
                       time_point aNow);
  struct autoscaling_state
  {
    std::map<service_name, pool> mPools;
    std::vector<host_name> mSpareHosts;
    std::vector<move_order> mMoves;
  };

  autoscaling_state AssessPools(
    const std::map<service_name, pool_load>& aLoads,
    const std::vector<host_view>& aHosts,
    const std::set<host_name>& aReservedHosts) const;
  void ComputeRequiredHosts(const std::map<service_name, pool_load>& aLoads,
                            autoscaling_state& aState) const;
  void FillDeficits(autoscaling_state& aState) const;
  void ReleaseIdleHosts(const service_name& aSparePool,
                        time_point aNow,
                        autoscaling_state& aState) const;
  bool HasReachedMoveLimit(const autoscaling_state& aCurrentState) const;
  std::size_t RequiredHosts(const pool_load& aLoad,
                            const resources& aHostCapacity) const;

  const autoscaler_settings mSettings;
  std::map<host_name, pending_move> mPendingMoves;
  std::map<host_name, time_point> mIdleSince;
};

} // namespace mangospan::jobs

#endif // MANGOSPAN_JOBS_POOL_AUTOSCALER_H
