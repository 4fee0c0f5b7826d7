#include "mangospan/fleet/zone_controller.h"

#include <algorithm>
#include <set>
#include <utility>

#include "mangospan/fleet/budget_demand.h"
#include "mangospan/fleet/configuration_watch.h"
#include "mangospan/fleet/demand_history.h"
#include "mangospan/fleet/drain_acknowledgements.h"
#include "mangospan/fleet/entry_table.h"
#include "mangospan/fleet/leadership.h"
#include "mangospan/fleet/maintenance_waves.h"
#include "mangospan/fleet/membership.h"
#include "mangospan/fleet/pool_budgets.h"
#include "mangospan/fleet/pool_sizing.h"
#include "mangospan/fleet/records.h"
#include "mangospan/fleet/share_allocation.h"
#include "mangospan/fleet/view_builder.h"
#include "mangospan/fleet/write_ids.h"
#include "mangospan/fleet/zone_hosts.h"
#include "mangospan/fleet/zone_status.h"

namespace mangospan::fleet {

namespace {

// A push that an entry has not acknowledged is repeated after this time.
constexpr std::chrono::milliseconds kRepeatPush{ 2000 };
// Time alone changes plans no faster than this.
constexpr std::chrono::milliseconds kStepEvery{ 100 };

std::string
TextOf(std::uint64_t aValue)
{
  return std::to_string(aValue);
}

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

struct zone_controller::state
{
  state(zone_name aZone,
        const process_identity& aSelf,
        const settings& aSettings,
        parse_function aParse,
        std::uint64_t aSeed)
    : mZone(std::move(aZone))
    , mSettings(aSettings)
    , mIds(aSelf.mBoot)
    , mLeadership(mZone, aSelf, aSettings, aSeed)
    , mMembership(mZone, aSettings)
    , mConfiguration(std::move(aParse), aSettings)
    , mHosts(mZone, aSettings)
    , mBudgets(mZone, aSettings, aSeed)
    , mDemand(aSettings.mSizingEvery)
    , mSizing(aSettings)
    , mStatus(mZone, aSettings)
  {
  }

  // Everything that follows from the inputs so far, in a fixed order.
  actions Step(time_point aNow);

  void BeginActing(time_point aNow);
  void EndActing(const std::string& aReason);
  void CheckSuperseded(time_point aNow);
  void StepRecords(time_point aNow);
  step_inputs StepInputs();
  void PlanIntents(time_point aNow);
  void WriteStatus(time_point aNow);
  void PushView(time_point aNow);
  void PushViewTo(const view::entry_id& aEntry,
                  known_entry& aKnown,
                  time_point aNow);
  void PushConfiguration(time_point aNow);
  void Heartbeat(time_point aNow);
  known_entry& Hear(const view::entry_id& aEntry, time_point aNow);
  std::vector<view::entry_id> RegisteredIds() const;
  void UpdateMembers();

  const zone_name mZone;
  const settings mSettings;
  action_queue mQueue;
  write_ids mIds;
  leadership mLeadership;
  membership mMembership;
  configuration_watch mConfiguration;
  zone_hosts mHosts;
  share_allocation mShares;
  drain_acknowledgements mDrained;
  pool_budgets mBudgets;
  demand_history mDemand;
  pool_sizing mSizing;
  status_writer mStatus;
  entry_table mEntries;

  bool mActing = false;
  std::uint64_t mTerm = 0;
  time_point mActingSince;
  time_point mHeartbeatAt;
  std::int64_t mUtc = 0;
  view::zone_view mView;
  host_intents mIntents;
  std::set<host_name> mDrains;
  std::vector<wave_progress> mWaves;
  bool mChanged = false; // something that plans and views are made of
  time_point mStepAt;
};

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
zone_controller::state::Step(time_point aNow)
{
  const bool acting = mLeadership.Acting(aNow);
  const bool due = mChanged || aNow >= mStepAt;
  if (mActing && (!acting || mLeadership.Term() != mTerm)) {
    EndActing("lease lost");
  }
  if (acting && !mActing) {
    BeginActing(aNow);
  }
  if (mActing && due) {
    mChanged = false;
    mStepAt = aNow + kStepEvery;
    StepRecords(aNow);
    if (mActing) {
      PushView(aNow);
    }
  }
  if (mActing) {
    Heartbeat(aNow);
  }
  PushConfiguration(aNow);
  return mQueue.Take();
}

void
zone_controller::state::BeginActing(time_point aNow)
{
  mActing = true;
  mTerm = mLeadership.Term();
  mActingSince = aNow;
  mHeartbeatAt = aNow;
  mView = {};
  mShares.Reset();
  mDrained.Reset();
  mBudgets.Reset();
  mDemand.Reset();
  mSizing.Reset();
  mIntents.clear();
  mQueue.Push(start_acting{ mTerm });
  mHosts.Start(mQueue);
  mMembership.Start(mQueue);
  mConfiguration.Start(mTerm, mQueue);
  mStatus.Start(mQueue);
}

void
zone_controller::state::EndActing(const std::string& aReason)
{
  mActing = false;
  mHosts.Stop();
  mMembership.Stop();
  mConfiguration.Stop();
  mBudgets.Reset();
  mStatus.Stop();
  mQueue.Push(stop_acting{ aReason });
}

void
zone_controller::state::CheckSuperseded(time_point aNow)
{
  const std::uint64_t found =
    std::max(mHosts.Record().mTerm, mMembership.RecordTerm());
  if (mActing && found > mTerm) {
    mLeadership.OnSuperseded(aNow);
    EndActing("a higher term is in the store");
  }
}

step_inputs
zone_controller::state::StepInputs()
{
  step_inputs inputs;
  inputs.mDocument =
    mConfiguration.Ready() && mConfiguration.Held().mRevision != 0
      ? &mConfiguration.Held().mDocument
      : nullptr;
  inputs.mIntents = &mIntents;
  inputs.mDrains = &mDrains;
  inputs.mUtc = mUtc;
  inputs.mWave = mConfiguration.Wave().mId;
  inputs.mPermitted = [this](const host_name& aHost,
                             const host_record& aRecord) {
    return mBudgets.Permitted(aRecord.mPool, aHost, mTerm);
  };
  inputs.mEmptied = [this](const host_name& aHost, const host_record& aRecord) {
    return mMembership.Ready(mTerm) &&
           mDrained.Missing(aHost, aRecord.mEpoch, mMembership.Registered())
             .empty();
  };
  inputs.mProgress = [this](const host_name& aHost) {
    return mHosts.Progress(aHost);
  };
  return inputs;
}

void
zone_controller::state::StepRecords(time_point aNow)
{
  CheckSuperseded(aNow);
  if (!mActing) {
    return;
  }
  mDrained.Prune(mHosts.Record());
  mMembership.Step(mTerm, mIds, aNow, mQueue);
  const config::document& document = mConfiguration.Held().mDocument;
  const bool ready = mHosts.Ready(mTerm) && mHosts.Listed() &&
                     mMembership.Ready(mTerm) && mConfiguration.Ready() &&
                     mConfiguration.Held().mRevision != 0;
  if (ready && mHosts.Settled()) {
    PlanIntents(aNow);
    mBudgets.Step(
      MakeDemands(mHosts, document, mIntents, mUtc), mTerm, mIds, aNow, mQueue);
  }
  mHosts.Step(StepInputs(), mTerm, mIds, aNow, mQueue);
  if (mHosts.Ready(mTerm)) {
    mHosts.Act(document, aNow, mQueue);
  }
  if (ready) {
    WriteStatus(aNow);
  }
}

void
zone_controller::state::PlanIntents(time_point aNow)
{
  const config::document& document = mConfiguration.Held().mDocument;
  mDemand.OnTick(aNow);
  mSizing.OnTick(mHosts, document, mDemand, aNow);
  wave_plan plan = PlanWaves(
    { document,
      mConfiguration.Wave(),
      mHosts,
      mUtc,
      [this](const pool_name& aPool) { return mSizing.Needed(aPool); },
      [this](const pool_name& aPool) { return mBudgets.Failures(aPool); } });
  mWaves = std::move(plan.mProgress);
  // An operator's drain goes before a wave, and a wave before a move.
  mIntents.clear();
  mDrains = { mConfiguration.Drains().begin(), mConfiguration.Drains().end() };
  for (const host_name& host : mDrains) {
    mIntents[host] = { host_purpose::kOperatorDrain, {}, {} };
  }
  mIntents.insert(plan.mIntents.begin(), plan.mIntents.end());
  mIntents.insert(mSizing.Moves().begin(), mSizing.Moves().end());
}

void
zone_controller::state::WriteStatus(time_point aNow)
{
  mStatus.Step(
    [&] {
      return MakeStatus({ mConfiguration,
                          mHosts,
                          mMembership,
                          mDrained,
                          mBudgets,
                          mEntries,
                          mIntents,
                          mWaves,
                          aNow - mSettings.mSilentAfter });
    },
    mTerm,
    mIds,
    aNow,
    mQueue);
}

void
zone_controller::state::PushView(time_point aNow)
{
  const bool ready = mHosts.Ready(mTerm) && mHosts.Listed() &&
                     mMembership.Ready(mTerm) &&
                     mConfiguration.Held().mRevision != 0;
  const bool waited = aNow - mActingSince >= mSettings.mReportWait;
  if (!ready ||
      (mView.mVersion.mSequence == 0 && !waited && !mShares.AllKnown())) {
    return;
  }
  view::zone_view next = BuildView(mZone,
                                   { mTerm, mView.mVersion.mSequence + 1 },
                                   mHosts,
                                   mConfiguration.Held().mDocument,
                                   mMembership.Registered(),
                                   mShares);
  if (mView.mVersion.mSequence == 0 || !SameContent(next, mView)) {
    mView = std::move(next);
    for (auto& [entry, known] : mEntries) {
      known.mPushedView = mView.mVersion;
      known.mPushedViewAt = aNow;
    }
    mQueue.Push(push_view{ mView, {} });
    return;
  }
  for (auto& [entry, known] : mEntries) {
    if (known.mConnected && known.mView < mView.mVersion &&
        (known.mPushedView < mView.mVersion ||
         aNow - known.mPushedViewAt >= kRepeatPush)) {
      PushViewTo(entry, known, aNow);
    }
  }
}

void
zone_controller::state::PushViewTo(const view::entry_id& aEntry,
                                   known_entry& aKnown,
                                   time_point aNow)
{
  aKnown.mPushedView = mView.mVersion;
  aKnown.mPushedViewAt = aNow;
  mQueue.Push(push_view{ mView, { aEntry } });
}

void
zone_controller::state::PushConfiguration(time_point aNow)
{
  const config::revisioned_document& held = mConfiguration.Held();
  push_config whole{ held.mRevision, 0, held.mText, {} };
  push_config patch{
    held.mRevision, mConfiguration.PatchBase(), mConfiguration.Patch(), {}
  };
  for (auto& [entry, known] : mEntries) {
    const bool pushed = known.mPushedConfig == held.mRevision;
    if (!known.mConnected || known.mConfigRevision >= held.mRevision ||
        (pushed && aNow - known.mPushedConfigAt < kRepeatPush)) {
      continue;
    }
    // A patch that is not acknowledged is followed by the whole document.
    const bool patchable = !pushed && patch.mBaseRevision != 0 &&
                           known.mConfigRevision == patch.mBaseRevision;
    (patchable ? patch : whole).mTo.push_back(entry);
    known.mPushedConfig = held.mRevision;
    known.mPushedConfigAt = aNow;
  }
  if (!patch.mTo.empty()) {
    mQueue.Push(std::move(patch));
  }
  if (!whole.mTo.empty()) {
    mQueue.Push(std::move(whole));
  }
}

void
zone_controller::state::Heartbeat(time_point aNow)
{
  if (aNow < mHeartbeatAt) {
    return;
  }
  mHeartbeatAt = aNow + mSettings.mHeartbeatEvery;
  view::version version = mView.mVersion;
  version.mTerm = mTerm;
  mQueue.Push(send_heartbeat{
    version, mConfiguration.Held().mRevision, RegisteredIds() });
}

std::vector<view::entry_id>
zone_controller::state::RegisteredIds() const
{
  std::vector<view::entry_id> ids;
  if (mMembership.Ready(mTerm)) {
    for (const view::entry_member& member : mMembership.Registered()) {
      ids.push_back(member.mId);
    }
  }
  return ids;
}

void
zone_controller::state::UpdateMembers()
{
  if (!mActing) {
    return;
  }
  // Only what was registered before this term's first write is inherited.
  mShares.SetMembers(mMembership.Registered(), !mMembership.Ready(mTerm));
  for (const auto& [entry, known] : mEntries) {
    // An earlier hello may be followed by views of the term before.
    if (known.mTermHeard >= mTerm) {
      mShares.SetHeld(entry, known.mHeld);
    }
  }
}

known_entry&
zone_controller::state::Hear(const view::entry_id& aEntry, time_point aNow)
{
  known_entry& entry = mEntries[aEntry];
  entry.mConnected = true;
  entry.mHeard = aNow;
  mMembership.OnHeard(aEntry);
  return entry;
}

actions
zone_controller::OnTick(time_point aNow, wall_time aUtc)
{
  state& self = *mState;
  self.mUtc =
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
  self.mChanged = true;
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
  self.mHosts.OnResult(aCall, aResult, aNow, self.mQueue);
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
    self.mChanged = self.mChanged || !aResult.assume_value().mHosts.empty();
  }
  return self.Step(aNow);
}

actions
zone_controller::OnActionResult(call_id aCall,
                                const result<platform::action_status>& aResult,
                                time_point aNow)
{
  mState->mHosts.OnActionResult(aCall, aResult, aNow);
  mState->mChanged = true;
  return mState->Step(aNow);
}

actions
zone_controller::OnEntryHello(const view::entry_id& aEntry,
                              const wire::hello& aHello,
                              time_point aNow)
{
  state& self = *mState;
  known_entry& entry = self.Hear(aEntry, aNow);
  self.mChanged = true;
  entry.mView = aHello.mView;
  entry.mConfigRevision = aHello.mConfigRevision;
  entry.mPushedConfig = 0;
  entry.mPushedView = {};
  self.mMembership.OnHello({ aEntry, aHello.mPeerAddress });
  entry.mTermHeard = aHello.mTermHeard;
  entry.mHeld = aHello.mShares;
  self.UpdateMembers();
  return self.Step(aNow);
}

actions
zone_controller::OnEntryReport(const view::entry_id& aEntry,
                               const wire::entry_report& aReport,
                               time_point aNow)
{
  state& self = *mState;
  known_entry& entry = self.Hear(aEntry, aNow);
  self.mChanged =
    self.mChanged || entry.mView < aReport.mView || !aReport.mEmptied.empty();
  entry.mView = std::max(entry.mView, aReport.mView);
  entry.mConfigRevision =
    std::max(entry.mConfigRevision, aReport.mConfigRevision);
  if (self.mActing) {
    self.mDemand.OnReport(
      aEntry, aReport.mDemand, self.mConfiguration.Held().mDocument);
    for (const wire::emptied_host& host : aReport.mEmptied) {
      self.mDrained.OnEmptied(aEntry, host, self.mHosts.Record());
      if (IsListedDraining(self.mView, host)) {
        self.mShares.OnEmptied(aEntry, host.mHost);
      }
    }
    if (aReport.mView.mTerm == self.mTerm) {
      self.mShares.OnAcknowledged(aEntry, aReport.mView.mSequence);
    }
  }
  return self.Step(aNow);
}

actions
zone_controller::OnEntryGoodbye(const view::entry_id& aEntry, time_point aNow)
{
  mState->mEntries.erase(aEntry);
  mState->mMembership.OnGoodbye(aEntry);
  mState->mChanged = true;
  return mState->Step(aNow);
}

actions
zone_controller::OnEntryLost(const view::entry_id& aEntry, time_point aNow)
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
  return mState->Step(aNow);
}

actions
zone_controller::OnConfiguration(std::uint64_t aRevision,
                                 const std::string& aText,
                                 time_point aNow)
{
  mState->mChanged =
    mState->mConfiguration.OnPeer(aRevision, aText) || mState->mChanged;
  return mState->Step(aNow);
}

actions
zone_controller::OnStop(time_point /*aNow*/)
{
  mState->mLeadership.Retire(mState->mQueue);
  if (mState->mActing) {
    mState->EndActing("stopping");
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
  return mState->mConfiguration.Held();
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
         ",\"term\":" + TextOf(Term()) +
         ",\"configuration\":" + TextOf(self.mConfiguration.Held().mRevision) +
         ",\"hosts\":" + ToText(self.mHosts.Record()) +
         ",\"status\":" + ToText(self.mStatus.Last()) + "}";
}

} // namespace mangospan::fleet
