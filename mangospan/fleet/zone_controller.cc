#include "mangospan/fleet/zone_controller.h"

#include <algorithm>
#include <utility>

#include "mangospan/fleet/internal/controller_state.h"

namespace mangospan::fleet {

namespace {

bool
IsListedDraining(const view::zone_view& aView, const wire::emptied_host& aHost)
{
  return std::any_of(aView.mEndpoints.begin(),
                     aView.mEndpoints.end(),
                     [&](const view::endpoint& aEndpoint) {
                       return aEndpoint.mHost == aHost.mHost &&
                              aEndpoint.mEpoch == aHost.mEpoch &&
                              aEndpoint.mState ==
                                view::endpoint_state::kDraining;
                     });
}

} // namespace

zone_controller::zone_controller(zone_name aZone,
                                 const process_identity& aSelf,
                                 const settings& aSettings,
                                 parse_function aParse,
                                 std::uint64_t aSeed)
  : mState(std::make_unique<state>(std::move(aZone),
                                   aSelf,
                                   aSettings,
                                   std::move(aParse),
                                   aSeed))
{
}

zone_controller::~zone_controller() = default;

actions
zone_controller::OnTick(time_point aNow, wall_time aUtc)
{
  state& self = *mState;
  self.mUtcSeconds =
    std::chrono::duration_cast<std::chrono::seconds>(aUtc.time_since_epoch())
      .count();
  self.mLeadership.OnTick(aNow, self.mQueue);
  if (self.mActing && self.mLeadership.Acting(aNow)) {
    self.mHosts.OnTick(aNow, self.mQueue);
    self.mConfiguration.OnTick(aNow, self.mQueue);
    self.mBudgets.OnTick(aNow, self.mQueue);
    self.mStatus.OnTick(aNow, self.mQueue);
  }
  return self.Step(aNow);
}

actions
zone_controller::OnStoreResult(call_id aCall,
                               const store_result& aResult,
                               time_point aNow)
{
  state& self = *mState;
  self.mInputsChanged = true;
  if (self.mLeadership.OnResult(aCall, aResult, aNow, self.mQueue)) {
    return self.Step(aNow);
  }
  if (!self.mActing || !self.mLeadership.Acting(aNow)) {
    return self.Step(aNow);
  }
  if (self.mConfiguration.OnResult(aCall, aResult, aNow, self.mQueue) ||
      self.mBudgets.OnResult(aCall, aResult, aNow, self.mQueue) ||
      self.mStatus.OnResult(aCall, aResult, aNow, self.mQueue)) {
    return self.Step(aNow);
  }
  const record_event members =
    self.mMembership.OnResult(aCall, aResult, aNow, self.mQueue);
  if (members != record_event::kNone) {
    self.UpdateMembers();
    return self.Step(aNow);
  }
  const hosts_record before = self.mHosts.Record();
  if (self.mHosts.OnResult(aCall, aResult, aNow, self.mQueue) ==
      record_event::kWritten) {
    self.LogPhaseChanges(before);
  }
  return self.Step(aNow);
}

actions
zone_controller::OnHostList(call_id aCall,
                            const result<platform::host_list>& aResult,
                            time_point aNow)
{
  state& self = *mState;
  if (self.mHosts.OnHostList(aCall, aResult, aNow) && aResult.has_value()) {
    self.mMembership.OnHostList(self.mHosts.List(), aNow);
    self.mInputsChanged =
      self.mInputsChanged || !aResult.assume_value().mHosts.empty();
  }
  return self.Step(aNow);
}

actions
zone_controller::OnHostActionResult(
  call_id aCall,
  const result<platform::action_status>& aResult,
  time_point aNow)
{
  mState->mHosts.OnHostActionResult(aCall, aResult, aNow);
  mState->mInputsChanged = true;
  return mState->Step(aNow);
}

actions
zone_controller::OnEntryHello(const view::entry_id& aEntry,
                              const wire::hello& aHello,
                              time_point aNow)
{
  state& self = *mState;
  entry_state& entry = self.RecordContact(aEntry, aNow);
  self.mInputsChanged = true;
  entry.mViewVersion = aHello.mView;
  entry.mConfigRevision = aHello.mConfigRevision;
  entry.mPushedConfigRevision = 0;
  entry.mPushedViewVersion = {};
  self.mMembership.OnHello({ aEntry, aHello.mPeerAddress });
  entry.mTermHeard = aHello.mTermHeard;
  entry.mHeldShares = aHello.mShares;
  self.UpdateMembers();
  return self.Step(aNow);
}

actions
zone_controller::OnEntryReport(const view::entry_id& aEntry,
                               const wire::entry_report& aReport,
                               time_point aNow)
{
  state& self = *mState;
  entry_state& entry = self.RecordContact(aEntry, aNow);
  self.mInputsChanged = self.mInputsChanged ||
                        entry.mViewVersion < aReport.mView ||
                        !aReport.mEmptied.empty();
  entry.mViewVersion = std::max(entry.mViewVersion, aReport.mView);
  entry.mConfigRevision =
    std::max(entry.mConfigRevision, aReport.mConfigRevision);
  if (self.mActing) {
    self.mDemand.OnReport(
      aEntry, aReport.mDemand, self.mConfiguration.Current().mDocument);
    for (const wire::emptied_host& host : aReport.mEmptied) {
      self.mDrainAcknowledgements.OnDrained(aEntry, host, self.mHosts.Record());
      if (IsListedDraining(self.mView, host)) {
        self.mShareAllocation.OnDrained(aEntry, host.mHost);
      }
    }
    if (aReport.mView.mTerm == self.mTerm) {
      self.mShareAllocation.OnAcknowledged(aEntry, aReport.mView.mSequence);
    }
  }
  return self.Step(aNow);
}

actions
zone_controller::OnEntryShutdown(const view::entry_id& aEntry, time_point aNow)
{
  mState->mEntries.erase(aEntry);
  mState->mMembership.OnShutdown(aEntry);
  mState->mInputsChanged = true;
  return mState->Step(aNow);
}

actions
zone_controller::OnEntryDisconnected(const view::entry_id& aEntry,
                                     time_point aNow)
{
  const auto entry = mState->mEntries.find(aEntry);
  if (entry != mState->mEntries.end()) {
    entry->second.mConnected = false;
  }
  return mState->Step(aNow);
}

actions
zone_controller::OnPeerHeartbeat(const wire::sender& aSender,
                                 const wire::heartbeat& /*aHeartbeat*/,
                                 time_point aNow)
{
  mState->mLeadership.OnHeartbeat(aSender.mTerm, aNow);
  mState->mPeerHeartbeatAt = aNow;

  return mState->Step(aNow);
}

actions
zone_controller::OnConfiguration(std::uint64_t aRevision,
                                 const std::string& aText,
                                 time_point aNow)
{
  mState->mInputsChanged =
    mState->mConfiguration.OnPeerConfiguration(aRevision, aText) ||
    mState->mInputsChanged;
  return mState->Step(aNow);
}

actions
zone_controller::OnStop(time_point /*aNow*/)
{
  mState->mLeadership.Retire(mState->mQueue);
  if (mState->mActing) {
    mState->EndActing("the process is stopping");
  }
  return mState->mQueue.Take();
}

bool
zone_controller::Acting() const
{
  return mState->mActing;
}

std::uint64_t
zone_controller::Term() const
{
  return mState->mActing ? mState->mTerm : mState->mLeadership.HighestTerm();
}

const config::revisioned_document&
zone_controller::Configuration() const
{
  return mState->mConfiguration.Current();
}

const view::zone_view&
zone_controller::View() const
{
  return mState->mView;
}

std::string
zone_controller::DumpState() const
{
  const state& self = *mState;
  return "{\"zone\":\"" + self.mZone.Str() +
         "\",\"acting\":" + (self.mActing ? "true" : "false") +
         ",\"term\":" + std::to_string(Term()) + ",\"configuration\":" +
         std::to_string(self.mConfiguration.Current().mRevision) +
         ",\"hosts\":" + ToText(self.mHosts.Record()) +
         ",\"status\":" + ToText(self.mStatus.LastSubmitted()) + "}";
}

} // namespace mangospan::fleet
