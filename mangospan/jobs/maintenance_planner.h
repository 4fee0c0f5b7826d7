// Maintenance planning: decides which host is drained next and which host goes
// down for maintenance next.
//
// A maintenance wave can take half of the fleet down within half a minute while
// every pool is at its peak.
#ifndef MANGOSPAN_JOBS_MAINTENANCE_PLANNER_H
#define MANGOSPAN_JOBS_MAINTENANCE_PLANNER_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "mangospan/base/identity.h"
#include "mangospan/base/time.h"
#include "mangospan/jobs/spec.h"

namespace mangospan::jobs {

// A host's state as maintenance planning and autoscaling use it, joined from
// the fleet's host listing and the state of the runner on the host.
struct host_view
{
  host_name mHost;
  service_name mPool;
  bool mIsUp = false;    // neither down nor moving to another pool
  bool mIsSpare = false; // in the spare pool, whose hosts are powered off
  // The set of runs on the host is known and its runner gets no new ones, so
  // that `mRunCount` of 0 means that the host is drained.
  bool mAreRunsKnown = false;
  bool mIsInMaintenance = false; // down for maintenance
  // The runner does not answer polls, is draining or is quarantined, or the
  // state of its pool is unknown.
  bool mIsUnschedulable = false;
  // The runner has answered the current owner and is in the stored roster, so
  // that it can get runs.
  bool mCanGetRuns = false;
  resources mCapacity;
  std::size_t mRunCount = 0; // runs that exist or may exist on the runner
  std::size_t mLongRunningCount = 0; // the long-running ones among `mRunCount`
};

// Asks for a host to be taken down for maintenance as part of a wave.
struct maintenance_order
{
  host_name mHost;
  std::uint64_t mWave = 0;
};

// Asks for a host to be moved to another pool.
struct move_order
{
  host_name mHost;
  service_name mPool;
};

// The result of one planning round.
struct maintenance_decision
{
  std::set<host_name> mCordoned;     // hosts that must get no new runs
  std::vector<host_name> mEvictFrom; // hosts that long-running runs must leave
  std::vector<maintenance_order> mOrders; // orders to send now
};

// Limits and delays of a `maintenance_planner`.
struct maintenance_settings
{
  // The number of hosts of each wave that are drained in addition to those that
  // may be down, so that the next host is already drained when another may go
  // down.
  std::size_t mDrainAhead = 2;
  // A host that has been draining for longer than this may go down although it
  // still has runs, unless one of them is long-running.
  std::chrono::milliseconds mDrainTimeout{ 6'000 };
  // A host is uncordoned for this long if no long-running run has left it
  // within the drain timeout: the missing tasks of the same step may fit only
  // there.
  std::chrono::milliseconds mGiveBackTime{ 2'000 };
  // The delay before an order is sent again that was not executed, or that has
  // no result yet.
  std::chrono::milliseconds mRetryDelay{ 300 };
  // A host that was ordered down and has been listed neither as up nor as in
  // maintenance for this long is lost: it is not down for its maintenance. Must
  // be longer than an order without a result may take to be executed.
  std::chrono::milliseconds mLostAfter{ 5'000 };
};

// Plans maintenance waves: drains the hosts of each wave and orders them down
// without exceeding the wave's limit of hosts that are down at the same time.
// Does no I/O: the caller passes the current time, sends the orders and reports
// their results through the On...() methods.
class maintenance_planner
{
public:
  explicit maintenance_planner(maintenance_settings aSettings);

  // Adds a wave that takes each of `aHosts` down once, at most `aMaxDown` of
  // them at a time; 0 counts as 1. `aCompleteBy` is the wave's deadline. If the
  // wave exists, updates its deadline and limit and adds new hosts.
  void AddWave(std::uint64_t aWave,
               const std::vector<host_name>& aHosts,
               time_point aCompleteBy,
               std::size_t aMaxDown);
  // Records that an earlier owner has already taken `aHosts` of the wave down,
  // or that their orders were refused.
  void AddMaintainedHosts(std::uint64_t aWave,
                          const std::vector<host_name>& aHosts);

  // Records that an earlier owner has ordered the host down and that the order
  // may still be executed, in a wave that may be added later. Until an order of
  // this owner has settled it, the host counts as down, and is ordered although
  // the limit is reached. Does nothing if the host has been maintained already.
  void AddUnsettledOrder(const maintenance_order& aOrder);
  // Returns whether such an order to the host is not settled, in any wave.
  bool IsUnsettled(const host_name& aHost) const;

  // Advances all waves and returns what to do now. `aListedAt` is the time at
  // which the fleet's host listing, from which `aHosts` was made, was
  // requested.
  maintenance_decision Decide(const std::vector<host_view>& aHosts,
                              time_point aListedAt,
                              time_point aNow);

  // Uncordons the hosts that are draining and not yet ordered down. The next
  // Decide() may drain them again. For use while no order can be sent.
  void StopDraining();
  // Returns the hosts that were ordered down, or may have been.
  std::set<host_name> OrderedHosts() const;

  // Records that the order was executed, now or by an earlier attempt.
  void OnExecuted(const maintenance_order& aOrder, time_point aNow);
  // Records that the result of the order is unknown. Decide() returns the order
  // again as soon as the host is listed as up.
  void OnResultUnknown(const maintenance_order& aOrder, time_point aNow);
  // Records that the order was not executed. The host is draining again, and
  // Decide() returns the order again after the retry delay at the earliest.
  void OnNotExecuted(const maintenance_order& aOrder, time_point aNow);
  // Records that the order can never be executed, because the host no longer
  // exists or is not part of the wave. The wave counts the host as finished.
  void OnRefused(const maintenance_order& aOrder);

  // Returns true if every host of the wave has returned, was lost after it went
  // down, or was refused. Returns false for an unknown wave.
  bool IsCompleted(std::uint64_t aWave) const;
  // Returns the numbers of all waves.
  std::vector<std::uint64_t> Waves() const;
  // Returns the wave's hosts that went down, including those that have
  // returned, and those whose order was refused.
  std::vector<host_name> MaintainedHosts(std::uint64_t aWave) const;

private:
  enum class phase
  {
    kPending,
    kDraining,
    kOrdered,  // the order has been sent, or its result is unknown
    kDown,     // down for maintenance
    kFinished, // up again or lost after it went down, or the order was refused
  };
  struct member
  {
    phase mPhase = phase::kPending;
    time_point mPhaseSince{};
    time_point mNotBefore{}; // no order is sent, or drain begun, before this
    // The long-running runs on the host, and since when there are so many.
    std::size_t mLongRunningLeft = 0;
    time_point mLongRunningSince{};
    // When it was last listed as up or in maintenance, or first missed.
    time_point mPresentAt{};
  };
  struct wave
  {
    std::map<host_name, member> mMembers;
    time_point mCompleteBy{};
    std::size_t mMaxDown = 1;
  };

  member* Find(const maintenance_order& aOrder);
  void UpdateReturnedHosts(std::uint64_t aNumber,
                           wave& aWave,
                           const std::map<host_name, host_view>& aHosts,
                           time_point aListedAt);
  bool IsLost(const member& aMember, time_point aListedAt) const;
  // The state of one wave's members in the current planning round. The pairs
  // are sorted by the first value: the cheapest host to drain goes first. The
  // drain cost is the number of runs on the host, of which the long-running
  // ones count several times. `mReady` holds the hosts that may be ordered
  // down.
  struct wave_counts
  {
    std::size_t mDown = 0;
    std::size_t mDraining = 0;
    std::vector<std::pair<std::size_t, host_name>> mPending; // drain cost
    std::vector<std::pair<std::size_t, host_name>> mReady;   // runs left
  };
  wave_counts CountHosts(std::uint64_t aNumber,
                         wave& aWave,
                         const std::map<host_name, host_view>& aHosts,
                         time_point aNow,
                         maintenance_decision& aDecision) const;
  static void NoteLongRunningRuns(const host_view& aHost,
                                  time_point aNow,
                                  member& aMember);
  bool IsStuck(const member& aMember, time_point aNow) const;
  void AssessUpHost(const host_view& aHost,
                    std::uint64_t aNumber,
                    time_point aNow,
                    member& aMember,
                    wave_counts& aCounts,
                    maintenance_decision& aDecision) const;
  void OrderMaintenance(std::uint64_t aNumber,
                        wave& aWave,
                        time_point aNow,
                        wave_counts& aCounts,
                        maintenance_decision& aDecision) const;
  void BeginDraining(std::uint64_t aNumber,
                     wave& aWave,
                     time_point aNow,
                     wave_counts& aCounts,
                     maintenance_decision& aDecision) const;

  bool IsUnsettled(std::uint64_t aWave, const host_name& aHost) const
  {
    return mUnsettledOrders.count({ aWave, aHost }) > 0;
  }

  const maintenance_settings mSettings;
  std::map<std::uint64_t, wave> mWaves;
  // Orders of an earlier owner that may still be executed.
  std::set<std::pair<std::uint64_t, host_name>> mUnsettledOrders;
};

} // namespace mangospan::jobs

#endif // MANGOSPAN_JOBS_MAINTENANCE_PLANNER_H
