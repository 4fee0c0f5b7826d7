// The platform's host service: lists the hosts and starts actions on them.
//
//   hosts.List(revision, timeout, [](result<host_list> aResult) { ... });
//   hosts.StartAction({ host, host_action::kReboot, service, id }, timeout,
//   ...);
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

// The state of a host as the platform reports it.
enum class host_state
{
  kLive,
  kLeaving, // the platform will remove it soon; it gets no new work
  kGone,
};

// The purpose that the platform assigns to a host.
enum class host_role
{
  kWorker, // runs one runner, an endpoint of a service
  kEntry,  // runs the system's own processes
};

// One host as the platform last observed it.
struct host_info
{
  host_name mHost;
  zone_name mZone;
  rack_name mRack;
  host_role mRole = host_role::kWorker;
  host_state mState = host_state::kLive;
  std::string mAddress;  // "ip:port" of the runner, or an entry's peer address
  service_name mService; // the runner's current service; empty if none runs
  std::size_t mSlots = 0;
  std::size_t mConnections = 0;
  std::uint64_t mBootCount = 0; // increases with each restart of the host
  std::size_t mProcessors = 0;
  std::uint64_t mMemoryBytes = 0;
};

// All hosts as of `mRevision`. The list may be seconds out of date.
struct host_list
{
  revision mRevision = 0;
  std::vector<host_info> mHosts;
};

// An action that the platform can take on a host.
enum class host_action
{
  kStopRunner,  // stops at once; the caller drains the runner beforehand
  kStartRunner, // starts a runner of `action_request::mService`
  kReboot,
};

// A request for one action. The platform executes it at most once per `mId`, so
// a request whose response was lost can be repeated unchanged.
struct action_request
{
  host_name mHost;
  host_action mAction = host_action::kStopRunner;
  service_name mService;
  write_id mId;
};

// The progress of an action.
enum class action_state
{
  kPending,
  kDone,
  kFailed,
};

// The progress of an action, with the cause of a failure.
struct action_status
{
  action_state mState = action_state::kPending;
  std::string mMessage; // why the action failed; may be empty
};

// Lists hosts and starts actions on them. Handlers are called once, never from
// inside the call.
class hosts
{
public:
  virtual ~hosts() = default;

  // Returns the list if it is newer than `aKnownRevision`, else an empty list
  // of that revision.
  virtual void List(revision aKnownRevision,
                    std::chrono::milliseconds aTimeout,
                    handler<host_list> aHandler) = 0;

  // Starts the action and returns its status. If the platform has already seen
  // the request's `mId`, only returns the status.
  virtual void StartAction(action_request aRequest,
                           std::chrono::milliseconds aTimeout,
                           handler<action_status> aHandler) = 0;
};

} // namespace mangospan::platform

#endif // MANGOSPAN_PLATFORM_HOSTS_H
