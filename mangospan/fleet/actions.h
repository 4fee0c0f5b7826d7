// What the decisions of a zone's fleet process ask its daemon to do.
//
// Each input of `zone_controller` returns a list of actions. The daemon carries
// them out in order and feeds the results of calls back under the call's id:
//
//   for (action& each : controller.OnTick(now, utc)) {
//     std::visit(carrier, each);
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

// Identifies one call of a controller until its result is fed back. Never 0.
using call_id = std::uint64_t;

struct read_call
{
  std::string mKey;
};
struct list_call
{
  std::string mPrefix;
};
struct swap_call
{
  platform::swap_request mRequest;
};
struct delete_call
{
  std::string mKey;
  platform::revision mExpected = 0;
};
struct grant_call
{
  std::chrono::milliseconds mTtl{ 0 };
};
struct renew_call
{
  platform::lease_id mLease;
};
struct revoke_call
{
  platform::lease_id mLease;
};
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

// Why a store call is made: for metrics and logs.
enum class store_purpose
{
  kLeadership,
  kHosts,
  kEntries,
  kBudget,
  kSilentZones,
  kConfiguration,
  kStatus,
};

// The purpose's name as it appears in metrics, for example "budget".
const char*
Name(store_purpose aPurpose);

// A call of the platform's store. Feed its result to `OnStoreResult`.
struct store_call
{
  call_id mId = 0;
  store_purpose mPurpose = store_purpose::kLeadership;
  store_operation mOperation;
};

// What a store call returned; the alternative follows from the operation:
// read, list, (swap or delete), (grant, renew or revoke), watch.
using store_result = std::variant<result<std::optional<platform::record>>,
                                  result<std::vector<platform::record>>,
                                  result<platform::revision>,
                                  result<platform::lease_id>,
                                  result<platform::change_batch>>;

// A call of `platform::hosts::Act`. Feed its result to `OnActionResult`.
struct host_call
{
  call_id mId = 0;
  platform::action_request mRequest;
};

// A call of `platform::hosts::List`. Feed its result to `OnHostList`.
struct list_hosts_call
{
  call_id mId = 0;
  platform::revision mKnown = 0;
};

// Send the view to the connected entries in `mTo` (empty: to all that have said
// hello) and to the zone's other fleet processes. Sent with the term of
// `mView.mVersion` as the sender's.
struct push_view
{
  view::zone_view mView;
  std::vector<view::entry_id> mTo;
};

// Send a configuration, as `wire::config_push` has it, to the connected entries
// in `mTo`: the whole document, or a patch to those that hold its base.
struct push_config
{
  std::uint64_t mRevision = 0;
  std::uint64_t mBaseRevision = 0;
  std::string mText;
  std::vector<view::entry_id> mTo;
};

// Send a heartbeat with this term to every connected process of the zone;
// `wire::heartbeat::mRegistered` is set for the entries in `mRegistered`.
struct send_heartbeat
{
  view::version mView;
  std::uint64_t mConfigRevision = 0;
  std::vector<view::entry_id> mRegistered;
};

// This process has begun to act for its zone, under `mTerm`.
struct start_acting
{
  std::uint64_t mTerm = 0;
};

// This process no longer acts; send nothing more under its term.
struct stop_acting
{
  std::string mReason;
};

// Something operators should find in the log.
struct log_note
{
  std::string mEvent; // "host.step"
  std::vector<std::pair<std::string, std::string>> mFields;
};

using action = std::variant<store_call,
                            host_call,
                            list_hosts_call,
                            push_view,
                            push_config,
                            send_heartbeat,
                            start_acting,
                            stop_acting,
                            log_note>;
using actions = std::vector<action>;

// Collects actions and numbers the calls among them.
class action_queue
{
public:
  call_id Store(store_purpose aPurpose, store_operation aOperation);
  call_id Host(platform::action_request aRequest);
  call_id ListHosts(platform::revision aKnown);
  void Push(action aAction);

  // The actions collected since the last call.
  actions Take();

private:
  call_id mLast = 0;
  actions mActions;
};

} // namespace mangospan::fleet

#endif // MANGOSPAN_FLEET_ACTIONS_H
