#include "mangospan/fleet/zone_hosts.h"

#include <chrono>
#include <iterator>
#include <utility>

namespace mangospan::fleet {

namespace {

platform::host_action
ActionOf(host_phase aPhase)
{
  switch (aPhase) {
    case host_phase::kRebooting:
      return platform::host_action::kReboot;
    case host_phase::kStarting:
      return platform::host_action::kStartRunner;
    default:
      return platform::host_action::kStopRunner;
  }
}

} // namespace

zone_hosts::zone_hosts(zone_name aZone, const settings& aSettings)
  : mZone(std::move(aZone))
  , mSettings(aSettings)
  , mRecord(HostsKey(mZone),
            store_purpose::kHosts,
            aSettings.mStoreRetry,
            aSettings.mStoreRetryMax)
{
}

void
zone_hosts::Start(action_queue& aQueue)
{
  Stop();
  mRecord.Load(aQueue);
  mListCall = aQueue.AddListHostsCall(mListRevision);
}

void
zone_hosts::Stop()
{
  mRecord.Reset();
  mConfirmedRecord = {};
  mActions.clear();
  mGoneSince.clear();
  mServingWithoutRunnerSince.clear();
  mListCall = 0;
  mHasList = false;
  mListRevision = 0;
  mList.clear();
  mListIndexes.clear();
}

record_event
zone_hosts::OnResult(call_id aCall,
                     const store_result& aResult,
                     time_point aNow,
                     action_queue& aQueue)
{
  const record_event event = mRecord.OnResult(aCall, aResult, aNow, aQueue);
  if (event != record_event::kNone) {
    auto parsed = ParseHosts(mRecord.Value(), HostsKey(mZone));
    mConfirmedRecord =
      parsed.has_value() ? std::move(parsed).assume_value() : hosts_record{};
    // After a host returns to service, the list may show its earlier state for
    // as long as the list lags, so the time without a runner starts over.
    for (const auto& [host, record] : mConfirmedRecord.mHosts) {
      if (record.mPhase != host_phase::kServing) {
        mServingWithoutRunnerSince.erase(host);
      }
    }
  }
  return event;
}

bool
zone_hosts::OnHostList(call_id aCall,
                       const result<platform::host_list>& aResult,
                       time_point aNow)
{
  if (mListCall == 0 || aCall != mListCall) {
    return false;
  }
  mListCall = 0;
  mNextListAt = aNow + mSettings.mHostListInterval;
  if (aResult.has_error()) {
    return true;
  }
  const platform::host_list& list = aResult.assume_value();
  if (mHasList && list.mRevision <= mListRevision) {
    TrackLiveness(aNow);
    return true;
  }
  mHasList = true;
  mListRevision = list.mRevision;
  mList.clear();
  mListIndexes.clear();
  for (const platform::host_info& host : list.mHosts) {
    if (host.mZone == mZone) {
      mListIndexes[host.mHost] = mList.size();
      mList.push_back(host);
    }
  }
  TrackLiveness(aNow);
  return true;
}

void
zone_hosts::OnTick(time_point aNow, action_queue& aQueue)
{
  mRecord.OnTick(aNow, aQueue);
  if (mListCall == 0 && aNow >= mNextListAt) {
    mListCall = aQueue.AddListHostsCall(mListRevision);
  }
}

void
zone_hosts::Step(const step_inputs& aInputs,
                 std::uint64_t aTerm,
                 write_ids& aIds,
                 time_point aNow,
                 action_queue& aQueue)
{
  if (!mRecord.Idle()) {
    return;
  }
  const bool termStored = mConfirmedRecord.mTerm == aTerm;
  hosts_record next = termStored && mHasList && aInputs.mDocument != nullptr
                        ? NextRecord(aInputs, aNow, aIds)
                        : mConfirmedRecord;
  next.mTerm = aTerm;
  if (termStored && next.mHosts == mConfirmedRecord.mHosts &&
      next.mFailedAt == mConfirmedRecord.mFailedAt &&
      next.mFailuresWave == mConfirmedRecord.mFailuresWave) {
    return;
  }
  next.mWrite = aIds.Next();
  mRecord.Write(ToText(next), aQueue);
}

hosts_record
zone_hosts::NextRecord(const step_inputs& aInputs,
                       time_point aNow,
                       write_ids& aIds) const
{
  hosts_record next = mConfirmedRecord;
  for (auto& [host, record] : next.mHosts) {
    const bool serving = record.mPhase == host_phase::kServing;
    record = NextStep(host, record, aInputs, aNow, aIds);
    if (serving) {
      RestartRunner(host, record, aInputs, aNow, aIds);
    }
  }
  RecordFailures(next, aInputs);
  RemoveGoneHosts(next, aNow);
  AdoptNewHosts(next, aInputs, aIds);
  return next;
}

void
zone_hosts::AdoptNewHosts(hosts_record& aNext,
                          const step_inputs& aInputs,
                          write_ids& aIds) const
{
  for (const platform::host_info& host : mList) {
    if (host.mRole != platform::host_role::kWorker ||
        host.mState != platform::host_state::kLive ||
        aNext.mHosts.count(host.mHost) != 0) {
      continue;
    }
    host_record adopted =
      AdoptHost(*aInputs.mDocument, host, aInputs.mUtcSeconds, aIds);
    if (!adopted.mPool.Empty()) {
      aNext.mHosts[host.mHost] = std::move(adopted);
    }
  }
}

void
zone_hosts::RecordFailures(hosts_record& aNext, const step_inputs& aInputs)
{
  if (aNext.mFailuresWave != aInputs.mRequestedWaveId) {
    aNext.mFailuresWave = aInputs.mRequestedWaveId;
    aNext.mFailedAt.clear();
  }
  const std::int64_t period =
    std::chrono::seconds(aInputs.mDocument->mMaintenance.mPeriod).count();
  for (auto each = aNext.mFailedAt.begin(); each != aNext.mFailedAt.end();) {
    each = each->second + period <= aInputs.mUtcSeconds
             ? aNext.mFailedAt.erase(each)
             : std::next(each);
  }
  for (const auto& [host, record] : aNext.mHosts) {
    if (record.mFailed && record.mPurpose == host_purpose::kMaintenance) {
      aNext.mFailedAt.try_emplace(host, aInputs.mUtcSeconds);
    }
  }
}

void
zone_hosts::RemoveGoneHosts(hosts_record& aNext, time_point aNow) const
{
  for (const auto& [host, since] : mGoneSince) {
    const auto found = aNext.mHosts.find(host);
    if (found == aNext.mHosts.end() || aNow - since < mSettings.mHostFence) {
      continue;
    }
    // A rebooting host may be missing from the list until its reboot limit,
    // after which its record is marked as failed.
    const host_record& record = found->second;
    const bool rebooting = record.mPhase == host_phase::kRebooting ||
                           record.mPhase == host_phase::kStarting;
    if (!rebooting || record.mFailed) {
      aNext.mHosts.erase(found);
    }
  }
}

void
zone_hosts::RestartRunner(const host_name& aHost,
                          host_record& aRecord,
                          const step_inputs& aInputs,
                          time_point aNow,
                          write_ids& aIds) const
{
  const auto since = mServingWithoutRunnerSince.find(aHost);
  const platform::host_info* info = Find(aHost);
  if (aRecord.mPhase != host_phase::kServing || info == nullptr ||
      info->mState != platform::host_state::kLive || !info->mService.Empty() ||
      since == mServingWithoutRunnerSince.end() ||
      aNow - since->second < mSettings.mListLag ||
      FindPool(*aInputs.mDocument, aRecord.mPool) == nullptr) {
    return;
  }
  // The host restarted without a recorded reboot. Its runner is gone, so
  // nothing is in flight there and the runner can be started without a drain.
  aRecord.mPhase = host_phase::kStarting;
  aRecord.mHostActionId = aIds.Next();
}

void
zone_hosts::TrackLiveness(time_point aNow)
{
  std::map<host_name, time_point> gone;
  std::map<host_name, time_point> idle;
  const auto keep = [aNow](const auto& aOld, auto& aNew, const auto& aHost) {
    const auto old = aOld.find(aHost);
    aNew[aHost] = old == aOld.end() ? aNow : old->second;
  };
  for (const auto& [host, record] : mConfirmedRecord.mHosts) {
    const platform::host_info* info = Find(host);
    if (info == nullptr || info->mState == platform::host_state::kGone) {
      keep(mGoneSince, gone, host);
    } else if (record.mPhase == host_phase::kServing &&
               info->mService.Empty()) {
      keep(mServingWithoutRunnerSince, idle, host);
    }
  }
  mGoneSince = std::move(gone);
  mServingWithoutRunnerSince = std::move(idle);
}

void
zone_hosts::StartHostActions(const config::document& aDocument,
                             time_point aNow,
                             action_queue& aQueue)
{
  for (const auto& [host, record] : mConfirmedRecord.mHosts) {
    if (!RequiresHostAction(record.mPhase)) {
      mActions.erase(host);
      continue;
    }
    tracked_action& action = mActions[host];
    if (!(action.mId == record.mHostActionId)) {
      action = {};
      action.mId = record.mHostActionId;
      action.mNextRequestAt = aNow;
      action.mProgress.mStarted = true;
      action.mProgress.mRequestedAt = aNow;
    }
    if (action.mCall != 0 || action.mProgress.mDone ||
        action.mProgress.mFailed || aNow < action.mNextRequestAt) {
      continue;
    }
    const config::pool* pool = FindPool(aDocument, record.mPool);
    action.mCall =
      aQueue.AddHostCall({ host,
                           ActionOf(record.mPhase),
                           pool == nullptr ? service_name() : pool->mService,
                           record.mHostActionId });
  }
}

bool
zone_hosts::OnHostActionResult(call_id aCall,
                               const result<platform::action_status>& aResult,
                               time_point aNow)
{
  for (auto& [host, action] : mActions) {
    if (action.mCall != aCall || aCall == 0) {
      continue;
    }
    action.mCall = 0;
    action.mNextRequestAt = aNow + mSettings.mHostActionPollInterval;
    if (aResult.has_value()) {
      const platform::action_state state = aResult.assume_value().mState;
      action.mProgress.mDone = state == platform::action_state::kDone;
      action.mProgress.mFailed = state == platform::action_state::kFailed;
    }
    return true;
  }
  return false;
}

bool
zone_hosts::IsTermStored(std::uint64_t aTerm) const
{
  return mRecord.Known() && mConfirmedRecord.mTerm == aTerm;
}

const platform::host_info*
zone_hosts::Find(const host_name& aHost) const
{
  const auto index = mListIndexes.find(aHost);
  return index == mListIndexes.end() ? nullptr : &mList[index->second];
}

host_action_progress
zone_hosts::HostActionProgress(const host_name& aHost) const
{
  const auto found = mActions.find(aHost);
  const auto record = mConfirmedRecord.mHosts.find(aHost);
  if (found == mActions.end() || record == mConfirmedRecord.mHosts.end() ||
      !(found->second.mId == record->second.mHostActionId)) {
    return {};
  }
  return found->second.mProgress;
}

} // namespace mangospan::fleet
