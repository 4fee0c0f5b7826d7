#include "mangospan/fleet/zone_status.h"

#include <string>
#include <utility>

namespace mangospan::fleet {

namespace {

// Limits the entries that the reason of one host names, to keep the record
// small.
constexpr std::size_t kMaxNamedEntries = 3;

std::string
EntryWaitReason(const std::vector<view::entry_id>& aMissing)
{
  std::string text =
    aMissing.size() == 1 ? "waits for entry " : "waits for entries ";
  for (std::size_t i = 0; i < aMissing.size() && i < kMaxNamedEntries; ++i) {
    text += (i == 0 ? "" : ", ") + aMissing[i].mHost.Str();
  }
  if (aMissing.size() > kMaxNamedEntries) {
    text +=
      " and " + std::to_string(aMissing.size() - kMaxNamedEntries) + " more";
  }
  return text + " to acknowledge";
}

// Returns true if the host is gone. No view lists such a host, so no entry can
// report that it has nothing in flight there.
bool
IsGone(const platform::host_info* aHost)
{
  return aHost == nullptr || aHost->mState == platform::host_state::kGone;
}

// Returns what a host that is not in service waits for, or its phase.
std::string
OutOfServiceReason(const status_inputs& aInputs,
                   const host_name& aHost,
                   const host_record& aRecord)
{
  if (aRecord.mPhase == host_phase::kDraining) {
    if (IsGone(aInputs.mHosts.Find(aHost))) {
      return "waits for the host, which is gone";
    }
    return EntryWaitReason(aInputs.mDrainAcknowledgements.MissingEntries(
      aHost, aRecord.mEpoch, aInputs.mMembership.Registered()));
  }
  if (aRecord.mPhase == host_phase::kDrained) {
    return "drained";
  }
  return std::string(aRecord.mFailed ? "failed, still " : "") +
         Name(aRecord.mPhase);
}

// Returns why a host in service that is to leave it has not begun to drain.
std::string
PermitWaitReason(const status_inputs& aInputs,
                 const host_name& aHost,
                 const host_record& aRecord)
{
  const platform::host_info* info = aInputs.mHosts.Find(aHost);
  if (info == nullptr || info->mState != platform::host_state::kLive) {
    return "waits for the host, which is down";
  }
  const std::string reason = aInputs.mBudgets.WaitReason(aRecord.mPool);
  return reason.empty() ? "waits for its permit from the availability budget"
                        : reason;
}

std::vector<waiting_host>
WaitingHosts(const status_inputs& aInputs)
{
  std::vector<waiting_host> waiting;
  for (const auto& [host, record] : aInputs.mHosts.Record().mHosts) {
    if (record.mPhase != host_phase::kServing) {
      waiting.push_back(
        { host, record.mPurpose, OutOfServiceReason(aInputs, host, record) });
      continue;
    }
    const auto intent = aInputs.mIntents.find(host);
    if (intent == aInputs.mIntents.end()) {
      continue;
    }
    waiting.push_back({ host,
                        intent->second.mPurpose,
                        PermitWaitReason(aInputs, host, record) });
  }
  return waiting;
}

} // namespace

status_record
MakeStatus(const status_inputs& aInputs)
{
  status_record status;
  status.mConfigRevision = aInputs.mConfiguration.Current().mRevision;
  status.mConfigError = aInputs.mConfiguration.RejectionReason();
  if (status.mConfigRevision == 0 && !status.mConfigError.empty()) {
    status.mConfigError +=
      "; no configuration is held, entries keep the view they have";
  }
  for (const view::entry_member& member : aInputs.mMembership.Registered()) {
    const auto entry = aInputs.mEntries.find(member.mId);
    if (entry == aInputs.mEntries.end() ||
        entry->second.mLastHeardAt < aInputs.mUnresponsiveBefore) {
      status.mUnresponsiveEntries.push_back(member.mId.mHost);
    } else if (entry->second.mConfigRevision >= status.mConfigRevision) {
      status.mConfiguredEntries.push_back(member.mId.mHost);
    }
  }
  status.mUnregisteredEntries = aInputs.mMembership.Unregistered();
  status.mWaves = aInputs.mWaves;
  status.mWaiting = WaitingHosts(aInputs);
  return status;
}

status_writer::status_writer(const zone_name& aZone, const settings& aSettings)
  : mSettings(aSettings)
  , mRecord(StatusKey(aZone),
            store_purpose::kStatus,
            aSettings.mStoreRetry,
            aSettings.mStoreRetryMax)
{
}

void
status_writer::Start(action_queue& aQueue)
{
  Stop();
  mRecord.Load(aQueue);
}

void
status_writer::Stop()
{
  mRecord.Reset();
  mLastSubmitted = {};
  mLastContent.clear();
}

bool
status_writer::OnResult(call_id aCall,
                        const store_result& aResult,
                        time_point aNow,
                        action_queue& aQueue)
{
  const record_event event = mRecord.OnResult(aCall, aResult, aNow, aQueue);
  if (event == record_event::kLoaded) {
    // The stored record may be another writer's, so the next status is written
    // even if it equals the last one.
    mLastContent.clear();
  }
  return event != record_event::kNone;
}

void
status_writer::OnTick(time_point aNow, action_queue& aQueue)
{
  mRecord.OnTick(aNow, aQueue);
}

void
status_writer::Step(const std::function<status_record()>& aMake,
                    std::uint64_t aTerm,
                    write_ids& aIds,
                    time_point aNow,
                    action_queue& aQueue)
{
  if (!mRecord.Idle() || aNow < mNextWriteAt) {
    return;
  }
  mNextWriteAt = aNow + mSettings.mStatusInterval;
  status_record status = aMake();
  status.mTerm = aTerm;
  std::string content = ToText(status);
  if (content == mLastContent) {
    return;
  }
  mLastContent = std::move(content);
  status.mWrite = aIds.Next();
  mRecord.Write(ToText(status), aQueue);
  mLastSubmitted = std::move(status);
}

} // namespace mangospan::fleet
