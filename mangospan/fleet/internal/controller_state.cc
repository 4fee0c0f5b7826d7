#include "mangospan/fleet/internal/controller_state.h"

#include <algorithm>
#include <chrono>

namespace mangospan::fleet {

namespace {

// Interval at which a push that an entry has not acknowledged is repeated.
constexpr std::chrono::milliseconds kPushRetryInterval{ 2000 };
// Number of missed heartbeats after which no process is assumed to act.
constexpr int kMissedHeartbeats = 4;
// Interval at which plans are recomputed while no input changes them.
constexpr std::chrono::milliseconds kStepInterval{ 100 };

} // namespace

actions
zone_controller::state::Step(time_point aNow)
{
  const bool acting = mLeadership.Acting(aNow);
  const bool due = mInputsChanged || aNow >= mNextStepAt;
  if (mActing && (!acting || mLeadership.Term() != mTerm)) {
    EndActing("the lease was lost");
  }
  if (acting && !mActing) {
    BeginActing(aNow);
  }
  if (mActing && due) {
    mInputsChanged = false;
    mNextStepAt = aNow + kStepInterval;
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
  mNextHeartbeatAt = aNow;
  mView = {};
  mShareAllocation.Reset();
  mDrainAcknowledgements.Reset();
  mBudgets.Reset();
  mDemand.Reset();
  mAutoscaler.Reset();
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
    EndActing("a record in the store has a higher term");
  }
}

step_inputs
zone_controller::state::StepInputs()
{
  step_inputs inputs;
  inputs.mDocument =
    mConfiguration.IsLoaded() && mConfiguration.Current().mRevision != 0
      ? &mConfiguration.Current().mDocument
      : nullptr;
  inputs.mIntents = &mIntents;
  inputs.mOperatorDrains = &mOperatorDrains;
  inputs.mUtcSeconds = mUtcSeconds;
  inputs.mRequestedWaveId = mConfiguration.RequestedWave().mId;
  inputs.mHasPermit = [this](const host_name& aHost,
                             const host_record& aRecord) {
    return mBudgets.HasPermit(aRecord.mPool, aHost, mTerm);
  };
  inputs.mIsDrained = [this](const host_name& aHost,
                             const host_record& aRecord) {
    return mMembership.IsTermStored(mTerm) &&
           mDrainAcknowledgements
             .MissingEntries(aHost, aRecord.mEpoch, mMembership.Registered())
             .empty();
  };
  inputs.mHostActionProgress = [this](const host_name& aHost) {
    return mHosts.HostActionProgress(aHost);
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
  mDrainAcknowledgements.Prune(mHosts.Record());
  mMembership.Step(mTerm, mIds, aNow, mQueue);
  const config::document& document = mConfiguration.Current().mDocument;
  const bool ready = mHosts.IsTermStored(mTerm) && mHosts.HasList() &&
                     mMembership.IsTermStored(mTerm) &&
                     mConfiguration.IsLoaded();
  // If the stored configuration is refused, a new acting process may hold none.
  // Without a configuration it plans nothing, and entries keep their view.
  const bool configured = mConfiguration.Current().mRevision != 0;
  if (ready && configured && mHosts.Idle()) {
    PlanIntents(aNow);
    mBudgets.Step(ComputePermitDemands(mHosts, document, mIntents, mUtcSeconds),
                  mTerm,
                  mIds,
                  aNow,
                  mQueue);
  }
  mHosts.Step(StepInputs(), mTerm, mIds, aNow, mQueue);
  if (mHosts.IsTermStored(mTerm) && configured) {
    mHosts.StartHostActions(document, aNow, mQueue);
  }
  if (ready) {
    WriteStatus(aNow);
  }
}

void
zone_controller::state::PlanIntents(time_point aNow)
{
  const config::document& document = mConfiguration.Current().mDocument;
  mDemand.OnTick(aNow);
  mAutoscaler.OnTick(mHosts, document, mDemand, aNow);
  wave_plan plan = PlanWaves(
    { document,
      mConfiguration.RequestedWave(),
      mHosts,
      mUtcSeconds,
      [this](const pool_name& aPool) { return mAutoscaler.NeededHosts(aPool); },
      [this](const pool_name& aPool) {
        return mBudgets.CountFailedHosts(aPool);
      } });
  mWaves = std::move(plan.mProgress);
  // `insert` keeps existing intents, so an operator's drain takes precedence
  // over a maintenance wave, and a wave over a move.
  mIntents.clear();
  mOperatorDrains = { mConfiguration.RequestedDrains().begin(),
                      mConfiguration.RequestedDrains().end() };
  for (const host_name& host : mOperatorDrains) {
    mIntents[host] = { host_purpose::kOperatorDrain, {}, {} };
  }
  mIntents.insert(plan.mIntents.begin(), plan.mIntents.end());
  mIntents.insert(mAutoscaler.Moves().begin(), mAutoscaler.Moves().end());
}

void
zone_controller::state::WriteStatus(time_point aNow)
{
  mStatus.Step(
    [&] {
      return MakeStatus({ mConfiguration,
                          mHosts,
                          mMembership,
                          mDrainAcknowledgements,
                          mBudgets,
                          mEntries,
                          mIntents,
                          mWaves,
                          aNow - mSettings.mEntryUnresponsiveAfter });
    },
    mTerm,
    mIds,
    aNow,
    mQueue);
}

void
zone_controller::state::PushView(time_point aNow)
{
  const bool ready = mHosts.IsTermStored(mTerm) && mHosts.HasList() &&
                     mMembership.IsTermStored(mTerm) &&
                     mConfiguration.Current().mRevision != 0;
  // The first view of a term waits for the entries to report the shares they
  // hold and for the adoption of new hosts, at most
  // `settings::mMaxFirstViewDelay`.
  const bool first = mView.mVersion.mSequence == 0;
  const bool waited = aNow - mActingSince >= mSettings.mMaxFirstViewDelay;
  const bool complete = mShareAllocation.AreAllHoldingsKnown() && mHosts.Idle();
  if (!ready || (first && !waited && !complete)) {
    return;
  }
  view::zone_view next = BuildView(mZone,
                                   { mTerm, mView.mVersion.mSequence + 1 },
                                   mHosts,
                                   mConfiguration.Current().mDocument,
                                   mMembership.Registered(),
                                   mShareAllocation);
  if (mView.mVersion.mSequence == 0 || !SameContent(next, mView)) {
    mView = std::move(next);
    for (auto& [entry, known] : mEntries) {
      known.mPushedViewVersion = mView.mVersion;
      known.mPushedViewAt = aNow;
    }
    mQueue.Push(push_view{ mView, {} });
    return;
  }
  for (auto& [entry, known] : mEntries) {
    if (known.mConnected && known.mViewVersion < mView.mVersion &&
        (known.mPushedViewVersion < mView.mVersion ||
         aNow - known.mPushedViewAt >= kPushRetryInterval)) {
      PushViewTo(entry, known, aNow);
    }
  }
}

void
zone_controller::state::PushViewTo(const view::entry_id& aEntry,
                                   entry_state& aKnown,
                                   time_point aNow)
{
  aKnown.mPushedViewVersion = mView.mVersion;
  aKnown.mPushedViewAt = aNow;
  mQueue.Push(push_view{ mView, { aEntry } });
}

// Returns true if this process may push its configuration to entries. Entries
// report to the acting process only, so a standby process does not learn which
// configuration they hold. It pushes none while another process acts, and each
// revision once if none does, as in a zone that is disconnected from the
// platform.
bool
zone_controller::state::MayPushConfiguration(time_point aNow) const
{
  return mActing || aNow - mPeerHeartbeatAt >=
                      kMissedHeartbeats * mSettings.mHeartbeatInterval;
}

void
zone_controller::state::PushConfiguration(time_point aNow)
{
  if (!MayPushConfiguration(aNow)) {
    return;
  }
  const config::revisioned_document& held = mConfiguration.Current();
  push_config whole{ held.mRevision, 0, held.mText, {} };
  push_config patch{
    held.mRevision, mConfiguration.PatchBase(), mConfiguration.Patch(), {}
  };
  for (auto& [entry, known] : mEntries) {
    const bool pushed = known.mPushedConfigRevision == held.mRevision;
    if (!known.mConnected || known.mConfigRevision >= held.mRevision ||
        (pushed &&
         (!mActing || aNow - known.mPushedConfigAt < kPushRetryInterval))) {
      continue;
    }
    // After a push that was not acknowledged, the whole document is sent.
    const bool patchable = !pushed && patch.mBaseRevision != 0 &&
                           known.mConfigRevision == patch.mBaseRevision;
    (patchable ? patch : whole).mRecipients.push_back(entry);
    known.mPushedConfigRevision = held.mRevision;
    known.mPushedConfigAt = aNow;
  }
  if (!patch.mRecipients.empty()) {
    mQueue.Push(std::move(patch));
  }
  if (!whole.mRecipients.empty()) {
    mQueue.Push(std::move(whole));
  }
}

void
zone_controller::state::Heartbeat(time_point aNow)
{
  // Before the membership is known, a heartbeat would list registered entries
  // as unregistered.
  if (aNow < mNextHeartbeatAt || !mMembership.IsTermStored(mTerm)) {
    return;
  }
  mNextHeartbeatAt = aNow + mSettings.mHeartbeatInterval;
  view::version version = mView.mVersion;
  version.mTerm = mTerm;
  mQueue.Push(send_heartbeat{
    version, mConfiguration.Current().mRevision, RegisteredIds() });
}

std::vector<view::entry_id>
zone_controller::state::RegisteredIds() const
{
  std::vector<view::entry_id> ids;
  if (mMembership.IsTermStored(mTerm)) {
    for (const view::entry_member& member : mMembership.Registered()) {
      ids.push_back(member.mId);
    }
  }
  return ids;
}

void
zone_controller::state::LogPhaseChanges(const hosts_record& aBefore)
{
  for (const auto& [host, record] : mHosts.Record().mHosts) {
    const auto old = aBefore.mHosts.find(host);
    if (old == aBefore.mHosts.end() || old->second.mPhase != record.mPhase) {
      mQueue.Push(log_event{ "host.step",
                             { { "host", host.Str() },
                               { "phase", Name(record.mPhase) },
                               { "pool", record.mPool.Str() },
                               { "purpose", Name(record.mPurpose) },
                               { "epoch", std::to_string(record.mEpoch) } } });
    }
  }
}

void
zone_controller::state::UpdateMembers()
{
  if (!mActing) {
    return;
  }
  // Entries that appear before this term's first write were registered under an
  // earlier term and may hold shares of it.
  mShareAllocation.SetMembers(mMembership.Registered(),
                              !mMembership.IsTermStored(mTerm));
  for (const auto& [entry, known] : mEntries) {
    // An entry that had not heard of this term at its last hello may have
    // adopted views of an earlier term since.
    if (known.mTermHeard >= mTerm) {
      mShareAllocation.SetHeldShares(entry, known.mHeldShares);
    }
  }
}

entry_state&
zone_controller::state::RecordContact(const view::entry_id& aEntry,
                                      time_point aNow)
{
  entry_state& entry = mEntries[aEntry];
  entry.mConnected = true;
  entry.mLastHeardAt = aNow;
  mMembership.OnMessage(aEntry);
  return entry;
}

} // namespace mangospan::fleet
