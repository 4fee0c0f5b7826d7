#include "mangospan/fleetd/action_carrier.h"

#include <chrono>
#include <set>
#include <string>
#include <utility>
#include <variant>

#include "mangospan/base/log.h"
#include "mangospan/view/zone_view.h"
#include "mangospan/wire/message.h"

namespace mangospan::fleetd {

namespace {

// The platform answers in milliseconds; well under a lease's margin for retry.
constexpr std::chrono::milliseconds kCallTimeout{ 1000 };

} // namespace

action_carrier::action_carrier(platform::store& aStore,
                               platform::hosts& aHosts,
                               const zone_hub& aHub,
                               result_feed aFeed,
                               daemon::metrics& aMetrics)
  : mStore(aStore)
  , mHosts(aHosts)
  , mHub(aHub)
  , mFeed(std::move(aFeed))
  , mMetrics(aMetrics)
{
}

void
action_carrier::Carry(const fleet::actions& aActions)
{
  for (const fleet::action& each : aActions) {
    std::visit([this](const auto& aAction) { Do(aAction); }, each);
  }
}

template<typename T>
platform::handler<T>
action_carrier::Feed(fleet::call_id aId) const
{
  return [this, aId](result<T> aResult) {
    mFeed.mStore(aId, fleet::store_result(std::move(aResult)));
  };
}

void
action_carrier::Do(const fleet::store_call& aCall)
{
  mMetrics.Add("mangospan_fleet_store_calls_total",
               { { "purpose", fleet::Name(aCall.mPurpose) } });
  std::visit(
    [this, &aCall](const auto& aOperation) { Run(aCall.mId, aOperation); },
    aCall.mOperation);
}

void
action_carrier::Run(fleet::call_id aId, const fleet::read_call& aCall)
{
  mStore.Read(
    aCall.mKey, kCallTimeout, Feed<std::optional<platform::record>>(aId));
}

void
action_carrier::Run(fleet::call_id aId, const fleet::list_call& aCall)
{
  mStore.List(
    aCall.mPrefix, kCallTimeout, Feed<std::vector<platform::record>>(aId));
}

void
action_carrier::Run(fleet::call_id aId, const fleet::swap_call& aCall)
{
  mStore.CompareAndSwap(
    aCall.mRequest, kCallTimeout, Feed<platform::revision>(aId));
}

void
action_carrier::Run(fleet::call_id aId, const fleet::delete_call& aCall)
{
  mStore.Delete(
    aCall.mKey, aCall.mExpected, kCallTimeout, Feed<platform::revision>(aId));
}

void
action_carrier::Run(fleet::call_id aId, const fleet::grant_call& aCall)
{
  mStore.GrantLease(aCall.mTtl, kCallTimeout, Feed<platform::lease_id>(aId));
}

void
action_carrier::Run(fleet::call_id aId, const fleet::renew_call& aCall)
{
  mStore.RenewLease(aCall.mLease, kCallTimeout, Feed<platform::lease_id>(aId));
}

void
action_carrier::Run(fleet::call_id aId, const fleet::revoke_call& aCall)
{
  mStore.RevokeLease(aCall.mLease, kCallTimeout, Feed<platform::lease_id>(aId));
}

void
action_carrier::Run(fleet::call_id aId, const fleet::watch_call& aCall)
{
  mStore.Watch(aCall.mPrefix,
               aCall.mAfter,
               aCall.mWait,
               Feed<platform::change_batch>(aId));
}

void
action_carrier::Do(const fleet::host_call& aCall)
{
  mMetrics.Add("mangospan_fleet_host_actions_total", {});
  mHosts.StartAction(
    aCall.mRequest,
    kCallTimeout,
    [this, id = aCall.mId](const result<platform::action_status>& aResult) {
      mFeed.mAction(id, aResult);
    });
}

void
action_carrier::Do(const fleet::list_hosts_call& aCall)
{
  mMetrics.Add("mangospan_fleet_host_lists_total", {});
  mHosts.List(
    aCall.mKnownRevision,
    kCallTimeout,
    [this, id = aCall.mId](const result<platform::host_list>& aResult) {
      mFeed.mHosts(id, aResult);
    });
}

void
action_carrier::Do(const fleet::push_view& aPush)
{
  mMetrics.Add("mangospan_fleet_view_pushes_total", {});
  const wire::message message = wire::view_push{ aPush.mView };
  mHub.SendToEntries(message, aPush.mRecipients);
  if (aPush.mRecipients.empty()) {
    mHub.SendToZoneFleets(message);
  }
}

void
action_carrier::Do(const fleet::push_config& aPush)
{
  mMetrics.Add("mangospan_fleet_config_pushes_total", {});
  mHub.SendToEntries(
    wire::config_push{ aPush.mRevision, aPush.mBaseRevision, aPush.mText },
    aPush.mRecipients);
}

void
action_carrier::Do(const fleet::send_heartbeat& aHeartbeat)
{
  wire::heartbeat heartbeat{ aHeartbeat.mViewVersion,
                             aHeartbeat.mConfigRevision,
                             false };
  mHub.SendToZoneFleets(heartbeat);
  const std::set<view::entry_id> registered(aHeartbeat.mRegistered.begin(),
                                            aHeartbeat.mRegistered.end());
  for (const view::entry_id& entry : mHub.Entries()) {
    heartbeat.mRegistered = registered.count(entry) > 0;
    mHub.SendToEntries(heartbeat, { entry });
  }
}

void
action_carrier::Do(const fleet::start_acting& aStart)
{
  mMetrics.Add("mangospan_fleet_terms_total", {});
  LogEvent(log_level::kInfo, "acting.started", { { "term", aStart.mTerm } });
}

void
action_carrier::Do(const fleet::stop_acting& aStop)
{
  LogEvent(log_level::kInfo, "acting.stopped", { { "reason", aStop.mReason } });
}

void
action_carrier::Do(const fleet::log_event& aNote)
{
  std::vector<log_field> fields;
  fields.reserve(aNote.mFields.size());
  for (const auto& [key, value] : aNote.mFields) {
    fields.emplace_back(key, value);
  }
  LogEvent(log_level::kInfo, aNote.mEvent, fields);
}

} // namespace mangospan::fleetd
