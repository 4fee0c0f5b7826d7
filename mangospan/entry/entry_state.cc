// What operators see of an entry: /state, /metrics and the test switch.
#include <string>

#include <nlohmann/json.hpp>

#include "mangospan/daemon/command_line.h"
#include "mangospan/daemon/cut_switch.h"
#include "mangospan/entry/entry_process.h"

namespace mangospan::entry {

using nlohmann::json;

namespace {

json
ToJson(const view::version& aVersion)
{
  return { { "term", aVersion.mTerm }, { "sequence", aVersion.mSequence } };
}

json
ToJson(const request::pool_snapshot& aPool)
{
  return { { "service", aPool.mService.Str() },
           { "queued", aPool.mQueued },
           { "slots", aPool.mSlots },
           { "free", aPool.mFree },
           { "predicted_wait_us", aPool.mPredictedWait.count() } };
}

json
ToJson(const request::endpoint_snapshot& aEndpoint)
{
  return { { "host", aEndpoint.mHost.Str() },
           { "address", aEndpoint.mAddress },
           { "service", aEndpoint.mService.Str() },
           { "epoch", aEndpoint.mEpoch },
           { "serving", aEndpoint.mServing },
           { "ejected", aEndpoint.mEjected },
           { "share", aEndpoint.mShare },
           { "in_flight", aEndpoint.mInFlight },
           { "abandoned", aEndpoint.mAbandoned } };
}

json
ToJson(const link_peer& aPeer)
{
  const bool isFleet = aPeer.mSender.mRole == wire::process_role::kFleet;
  return { { "role", isFleet ? "fleet" : "entry" },
           { "host", aPeer.mSender.mHost.Str() },
           { "zone", aPeer.mSender.mZone.Str() },
           { "boot", aPeer.mSender.mBoot.mValue },
           { "term", aPeer.mSender.mTerm },
           { "address", aPeer.mAddress } };
}

json
ToJson(const request::ticket_registry_snapshot& aRegistry,
       const ticket_desk& aDesk)
{
  return { { "issued", aRegistry.mTickets },
           { "used", aRegistry.mUsed },
           { "kept_answers", aRegistry.mKeptAnswers },
           { "kept_bytes", aRegistry.mKeptBytes },
           { "asking", aDesk.Asking() },
           { "waiting_reports", aDesk.WaitingReports() } };
}

template<typename Items>
json
ToJsonList(const Items& aItems)
{
  json list = json::array();
  for (const auto& each : aItems) {
    list.push_back(ToJson(each));
  }
  return list;
}

} // namespace

std::string
entry_process::DumpState() const
{
  const request::pipeline_snapshot snapshot = mPipeline.Snapshot();
  json links = json::array();
  for (const auto& [connection, peer] : mPeers) {
    links.push_back(ToJson(peer));
  }
  const json state{
    { "process", "entry" },
    { "version", daemon::Version() },
    { "host", mOwn.mHost.Str() },
    { "zone", mSettings.mZone.Str() },
    { "boot", mOwn.mBoot.mValue },
    { "registered", mMembership.IsRegistered() },
    { "fresh", mMembership.IsFresh() },
    { "dispatching", snapshot.mDispatching },
    { "stopping", mIsStopping },
    { "term_heard", mMembership.TermHeard() },
    { "view", ToJson(mMembership.View().mVersion) },
    { "applied_view", ToJson(mPipeline.AppliedView()) },
    { "config_revision", mMembership.Configuration().mRevision },
    { "open_requests", mPipe.Open() },
    { "connections", mServer.OpenConnections() },
    { "pools", ToJsonList(snapshot.mPools) },
    { "endpoints", ToJsonList(snapshot.mEndpoints) },
    { "tickets", ToJson(mTickets.Snapshot(), mTickets) },
    { "links", std::move(links) },
  };
  constexpr int kIndent = 2;
  return state.dump(kIndent, ' ', false, json::error_handler_t::replace);
}

void
entry_process::RefreshMetrics()
{
  const auto gauge = [this](const char* aName, std::uint64_t aValue) {
    mMetrics.Set(aName, {}, static_cast<double>(aValue));
  };
  const view::version& held = mMembership.View().mVersion;
  gauge("mangospan_entry_dispatching", mMembership.MayDispatch() ? 1 : 0);
  gauge("mangospan_entry_view_term", held.mTerm);
  gauge("mangospan_entry_view_sequence", held.mSequence);
  gauge("mangospan_entry_config_revision",
        mMembership.Configuration().mRevision);
  gauge("mangospan_entry_open_requests", mPipe.Open());
  gauge("mangospan_entry_connections", mServer.OpenConnections());
  gauge("mangospan_entry_tickets", mTickets.Snapshot().mTickets);
  gauge("mangospan_entry_link_sent_messages", mLink.Counters().mSentMessages);
  gauge("mangospan_entry_link_sent_bytes", mLink.Counters().mSentBytes);
  gauge("mangospan_entry_link_received_messages",
        mLink.Counters().mReceivedMessages);
  gauge("mangospan_entry_link_received_bytes", mLink.Counters().mReceivedBytes);
  gauge("mangospan_entry_link_refused_messages",
        mLink.Counters().mRefusedMessages);
  for (const request::pool_snapshot& each : mPipeline.Snapshot().mPools) {
    const daemon::metric_labels labels{ { "service", each.mService.Str() } };
    mMetrics.Set("mangospan_entry_queued_requests",
                 labels,
                 static_cast<double>(each.mQueued));
    mMetrics.Set(
      "mangospan_entry_slots", labels, static_cast<double>(each.mSlots));
    mMetrics.Set(
      "mangospan_entry_free_slots", labels, static_cast<double>(each.mFree));
  }
}

http::response
entry_process::TestSwitch(const http::request& aRequest)
{
  return daemon::SwitchCut(mGate, aRequest);
}

} // namespace mangospan::entry
