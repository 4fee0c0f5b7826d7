// The intervals and timeouts of a zone's fleet controller.
//
// The defaults suit production; tests shorten them:
//
//   fleet::settings settings;
//   settings.mLeaseTtl = std::chrono::seconds(2);
#ifndef MANGOSPAN_FLEET_SETTINGS_H
#define MANGOSPAN_FLEET_SETTINGS_H

#include <chrono>
#include <string>

#include "mangospan/base/identity.h"

namespace mangospan::fleet {

// The settings of one zone's controller.
struct settings
{
  // TTL of the lease that the acting process holds.
  std::chrono::milliseconds mLeaseTtl{ 5000 };
  // Subtracted from the TTL after each grant and renewal: for this long before
  // the lease may end, the process no longer acts.
  std::chrono::milliseconds mLeaseMargin{ 500 };
  // Interval at which the acting process renews its lease.
  std::chrono::milliseconds mRenewInterval{ 1500 };
  // Interval at which the acting process sends heartbeats. A standby process
  // derives from it when to try to take the lease.
  std::chrono::milliseconds mHeartbeatInterval{ 500 };
  // Upper bound of the random delay before a process tries to take the lease.
  std::chrono::milliseconds mElectionJitter{ 500 };
  // Delay before a failed store call is repeated. It doubles with each failure,
  // up to `mStoreRetryMax`.
  std::chrono::milliseconds mStoreRetry{ 200 };
  std::chrono::milliseconds mStoreRetryMax{ 3000 };
  // Time for which a watch of the store waits for a change.
  std::chrono::milliseconds mWatchWait{ 20000 };
  // Interval at which the platform's host list is requested.
  std::chrono::milliseconds mHostListInterval{ 1000 };
  // Interval at which a host action in progress is polled.
  std::chrono::milliseconds mHostActionPollInterval{ 500 };
  // Minimum time between two writes of the zone's status.
  std::chrono::milliseconds mStatusInterval{ 1000 };
  // Maximum time for which the first view of a term waits for the entries'
  // hellos and for the adoption of new hosts.
  std::chrono::milliseconds mMaxFirstViewDelay{ 1000 };
  // Time without a hello or report after which a registered entry is listed as
  // unresponsive.
  std::chrono::milliseconds mEntryUnresponsiveAfter{ 2500 };
  // Time after which a gone host's entry is no longer registered. It covers the
  // lag of the platform's list and the longest request deadline.
  std::chrono::milliseconds mEntryFence{ 60000 };
  // Time after which the record of a host is deleted that the platform lists as
  // gone or does not list. In phase kRebooting or kStarting the record is kept
  // until it is marked as failed.
  std::chrono::milliseconds mHostFence{ 60000 };
  // Maximum lag of the platform's host list.
  std::chrono::milliseconds mListLag{ 10000 };
  // Maximum delay before a pool's budget is read again while a permit is
  // refused, and delay before a failed watch of the budgets is restarted.
  std::chrono::milliseconds mBudgetRetryInterval{ 30000 };
  // Time for which the check that a zone is unresponsive remains valid.
  std::chrono::milliseconds mZoneCheckValidity{ 3000 };
  // Interval at which the autoscaler recomputes the sizes of the pools.
  std::chrono::milliseconds mAutoscalerInterval{ 1000 };
  // Time for which the demand of a pool must be observed before the autoscaler
  // moves hosts.
  std::chrono::milliseconds mAutoscalerWarmUp{ 30000 };
  // Beyond the minimum of a pool, a host is moved to it only if the shortage is
  // expected to continue for at least this long.
  std::chrono::milliseconds mMinRemainingShortage{ 15000 };
  // Minimum time after a move before a pool gives a host away. Also the time
  // for which a surplus must last before a borrowed host is returned.
  std::chrono::milliseconds mMoveInterval{ 10000 };
  // Time for which a surplus must last before a pool gives away a host of its
  // own.
  std::chrono::milliseconds mMinSurplusDuration{ 600000 };
};

// Identifies one run of a fleet process on an entry host.
struct process_identity
{
  host_name mHost;
  boot_id mBoot;
  std::string mPeerAddress; // "ip:port" on which it accepts links
};

} // namespace mangospan::fleet

#endif // MANGOSPAN_FLEET_SETTINGS_H
