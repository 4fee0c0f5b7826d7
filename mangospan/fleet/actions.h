// The actions that a zone's fleet controller requests from its daemon.
//
// Each input of `zone_controller` returns a list of actions. The daemon
// executes them in order and feeds the result of each call back under the
// call's id:
//
//   for (action& each : controller.OnTick(now, utc)) {
//     std::visit(executor, each);
//   }
#ifndef MANGOSPAN_FLEET_ACTIONS_H
#define MANGOSPAN_FLEET_ACTIONS_H

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "mangospan/base/error.h"
#include "mangospan/platform/hosts.h"
#include "mangospan/platform/store.h"
#include "mangospan/view/zone_view.h"

namespace mangospan::fleet {

// Identifies a call from its request until its result is fed back. Never 0.
using call_id = std::uint64_t;

// Reads one key.
struct read_call
{
  std::string mKey;
};
// Lists the records whose keys begin with `mPrefix`.
struct list_call
{
  std::string mPrefix;
};
// Writes a record if its revision is the expected one.
struct swap_call
{
  platform::swap_request mRequest;
};
// Deletes a record if its revision is `mExpected`.
struct delete_call
{
  std::string mKey;
  platform::revision mExpected = 0;
};
// Requests a new lease.
struct grant_call
{
  std::chrono::milliseconds mTtl{ 0 };
};
// Extends a lease by its TTL.
struct renew_call
{
  platform::lease_id mLease;
};
// Ends a lease.
struct revoke_call
{
  platform::lease_id mLease;
};
// Waits at most `mWait` for changes after revision `mAfter` to the records
// whose keys begin with `mPrefix`.
struct watch_call
{
  std::string mPrefix;
  platform::revision mAfter = 0;
  std::chrono::milliseconds mWait{ 0 };
};

// One call of `platform::store`.
using store_operation = std::variant<read_call,
                                     list_call,
                                     swap_call,
                                     delete_call,
                                     grant_call,
                                     renew_call,
                                     revoke_call,
                                     watch_call>;

// The reason for a store call, a label in metrics and logs.
enum class store_purpose
{
  kLeadership,
  kHosts,
  kEntries,
  kBudget,
  kZoneLiveness,
  kConfiguration,
  kStatus,
};

// Returns the name of the purpose in metrics, for example "budget".
const char*
Name(store_purpose aPurpose);

// A call of the platform's store. Its result goes to
// `zone_controller::OnStoreResult`.
struct store_call
{
  call_id mId = 0;
  store_purpose mPurpose = store_purpose::kLeadership;
  store_operation mOperation;
};

// The result of a store call. The operation determines the alternative, in this
// order: read, list, (swap or delete), (grant, renew or revoke), watch.
using store_result = std::variant<result<std::optional<platform::record>>,
                                  result<std::vector<platform::record>>,
                                  result<platform::revision>,
                                  result<platform::lease_id>,
                                  result<platform::change_batch>>;

// A call of `platform::hosts::Act`. Its result goes to
// `zone_controller::OnHostActionResult`.
struct host_call
{
  call_id mId = 0;
  platform::action_request mRequest;
};

// A call of `platform::hosts::List`. Its result goes to
// `zone_controller::OnHostList`.
struct list_hosts_call
{
  call_id mId = 0;
  platform::revision mKnownRevision = 0;
};

// Sends the view to the connected entries in `mRecipients` (if empty, to all
// entries that have sent a hello) and to the zone's other fleet processes. The
// sender's term in the message is that of `mView.mVersion`.
struct push_view
{
  view::zone_view mView;
  std::vector<view::entry_id> mRecipients;
};

// Sends a `wire::config_push` to the connected entries in `mRecipients`. If
// `mBaseRevision` is 0, `mText` is the whole document, else a patch for entries
// that hold the revision `mBaseRevision`.
struct push_config
{
  std::uint64_t mRevision = 0;
  std::uint64_t mBaseRevision = 0;
  std::string mText;
  std::vector<view::entry_id> mRecipients;
};

// Sends a heartbeat under the term of the view version to every connected
// process of the zone. `wire::heartbeat::mRegistered` is set for the entries in
// `mRegistered`.
struct send_heartbeat
{
  view::version mViewVersion;
  std::uint64_t mConfigRevision = 0;
  std::vector<view::entry_id> mRegistered;
};

// Reports that this process has begun to act for its zone, under `mTerm`.
struct start_acting
{
  std::uint64_t mTerm = 0;
};

// Reports that this process no longer acts. After it the daemon must send
// nothing under the ended term.
struct stop_acting
{
  std::string mReason;
};

// An event for the operators' log.
struct log_event
{
  std::string mEvent; // the event's name, for example "host.step"
  std::vector<std::pair<std::string, std::string>> mFields;
};

// One thing for the daemon to execute. Not to be confused with a host action, a
// reboot of a host or a start or stop of its runner, which the daemon requests
// by a `host_call`.
using action = std::variant<store_call,
                            host_call,
                            list_hosts_call,
                            push_view,
                            push_config,
                            send_heartbeat,
                            start_acting,
                            stop_acting,
                            log_event>;
using actions = std::vector<action>;

// Collects actions and assigns ids to the calls among them. The methods that
// add a call return its id.
class action_queue
{
public:
  call_id AddStoreCall(store_purpose aPurpose, store_operation aOperation);
  call_id AddHostCall(platform::action_request aRequest);
  call_id AddListHostsCall(platform::revision aKnown);
  void Push(action aAction);

  // Returns and removes the actions collected since the last `Take`.
  actions Take();

private:
  call_id mLastCallId = 0;
  actions mActions;
};

} // namespace mangospan::fleet

#endif // MANGOSPAN_FLEET_ACTIONS_H
