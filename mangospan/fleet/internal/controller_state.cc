#include "mangospan/fleet/internal/controller_state.h"

#include <algorithm>
#include <chrono>

namespace mangospan::fleet {

namespace {

// A push that an entry has not acknowledged is repeated after this time.
constexpr std::chrono::milliseconds kRepeatPush{ 2000 };
// Heartbeats after which nobody is taken to act.
constexpr int kSilentHeartbeats = 4;
// Time alone changes plans no faster than this.
constexpr std::chrono::milliseconds kStepEvery{ 100 };

} // namespace

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
                     mMembership.Ready(mTerm) && mConfiguration.Ready();
  // A stored configuration that is refused may leave a new holder with none.
  // Without one nothing is decided, and entries keep the view they have.
  const bool configured = mConfiguration.Held().mRevision != 0;
  if (ready && configured && mHosts.Settled()) {
    PlanIntents(aNow);
    mBudgets.Step(
      MakeDemands(mHosts, document, mIntents, mUtc), mTerm, mIds, aNow, mQueue);
  }
  mHosts.Step(StepInputs(), mTerm, mIds, aNow, mQueue);
  if (mHosts.Ready(mTerm) && configured) {
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
  // The first view waits for what the entries hold and for the adoption of new
  // hosts, but not for long.
  const bool first = mView.mVersion.mSequence == 0;
  const bool waited = aNow - mActingSince >= mSettings.mReportWait;
  const bool complete = mShares.AllKnown() && mHosts.Settled();
  if (!ready || (first && !waited && !complete)) {
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

// Entries report to the acting process only, so a standby process does not
// learn what they hold: it stays silent while another acts, and pushes once
// where none does, as in a zone that is cut from the platform.
bool
zone_controller::state::ServesConfiguration(time_point aNow) const
{
  return mActing ||
         aNow - mHolderHeardAt >= kSilentHeartbeats * mSettings.mHeartbeatEvery;
}

void
zone_controller::state::PushConfiguration(time_point aNow)
{
  if (!ServesConfiguration(aNow)) {
    return;
  }
  const config::revisioned_document& held = mConfiguration.Held();
  push_config whole{ held.mRevision, 0, held.mText, {} };
  push_config patch{
    held.mRevision, mConfiguration.PatchBase(), mConfiguration.Patch(), {}
  };
  for (auto& [entry, known] : mEntries) {
    const bool pushed = known.mPushedConfig == held.mRevision;
    if (!known.mConnected || known.mConfigRevision >= held.mRevision ||
        (pushed && (!mActing || aNow - known.mPushedConfigAt < kRepeatPush))) {
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
  // Before the membership is known, a heartbeat would tell registered entries
  // that they are not.
  if (aNow < mHeartbeatAt || !mMembership.Ready(mTerm)) {
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
zone_controller::state::NoteSteps(const hosts_record& aBefore)
{
  for (const auto& [host, record] : mHosts.Record().mHosts) {
    const auto old = aBefore.mHosts.find(host);
    if (old == aBefore.mHosts.end() || old->second.mPhase != record.mPhase) {
      mQueue.Push(log_note{ "host.step",
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

} // namespace mangospan::fleet
