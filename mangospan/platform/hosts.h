// The platform's lagging list of hosts, and the actions it takes on them.
//
//   hosts.List(revision, timeout, [](result<host_list> aResult) { ... });
//   hosts.Act({ host, host_action::kReboot, service, id }, timeout, ...);
#ifndef MANGOSPAN_PLATFORM_HOSTS_H
#define MANGOSPAN_PLATFORM_HOSTS_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "mangospan/base/error.h"
#include "mangospan/base/identity.h"
#include "mangospan/platform/store.h"

namespace mangospan::platform {

enum class host_state
{
  kLive,
  kLeaving, // the platform is about to take it; no new work
  kGone,
};

enum class host_role
{
  kWorker, // runs one runner, an endpoint of a service
  kEntry,  // runs the system's own processes
};

// One host as the platform last saw it.
struct host_info
{
  host_name mHost;
  zone_name mZone;
  rack_name mRack;
  host_role mRole = host_role::kWorker;
  host_state mState = host_state::kLive;
  std::string mAddress; // "ip:port": a worker's runner, an entry's peer address
  service_name mService; // what the runner serves now; empty: none runs
  std::size_t mSlots = 0;
  std::size_t mConnections = 0;
  std::uint64_t mBootCount = 0; // grows with each restart of the host
  std::size_t mProcessors = 0;
  std::uint64_t mMemoryBytes = 0;
};

// Every host; the list may lag behind the hosts by seconds.
struct host_list
{
  revision mRevision = 0;
  std::vector<host_info> mHosts;
};

enum class host_action
{
  kStopRunner,  // graceful stop is the caller's work: this one cuts
  kStartRunner, // of `mService`
  kReboot,
};

// An action is carried out at most once per `mId`, so a request whose answer
// was lost is repeated unchanged.
struct action_request
{
  host_name mHost;
  host_action mAction = host_action::kStopRunner;
  service_name mService;
  write_id mId;
};

enum class action_state
{
  kPending,
  kDone,
  kFailed,
};

// How far an action has come.
struct action_status
{
  action_state mState = action_state::kPending;
  std::string mMessage; // why it failed
};

class hosts
{
public:
  virtual ~hosts() = default;

  // The list if it is newer than `aKnown`, else an empty one of that revision.
  virtual void List(revision aKnown,
                    std::chrono::milliseconds aTimeout,
                    handler<host_list> aHandler) = 0;

  // Starts the action, or reports on it if `mId` was seen before.
  virtual void Act(action_request aRequest,
                   std::chrono::milliseconds aTimeout,
                   handler<action_status> aHandler) = 0;
};

} // namespace mangospan::platform

#endif // MANGOSPAN_PLATFORM_HOSTS_H
