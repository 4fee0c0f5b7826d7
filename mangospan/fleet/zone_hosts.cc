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
  mListCall = aQueue.ListHosts(mListRevision);
}

void
zone_hosts::Stop()
{
  mRecord.Reset();
  mConfirmed = {};
  mActions.clear();
  mGoneSince.clear();
  mServingSince.clear();
  mListCall = 0;
  mListed = false;
  mListRevision = 0;
  mList.clear();
  mPlaces.clear();
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
    mConfirmed =
      parsed.has_value() ? std::move(parsed).assume_value() : hosts_record{};
    // A host that has just returned is given the list's lag anew.
    for (const auto& [host, record] : mConfirmed.mHosts) {
      if (record.mPhase != host_phase::kServing) {
        mServingSince.erase(host);
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
  mListAt = aNow + mSettings.mHostListEvery;
  if (aResult.has_error()) {
    return true;
  }
  const platform::host_list& list = aResult.assume_value();
  if (mListed && list.mRevision <= mListRevision) {
    TrackPresence(aNow);
    return true;
  }
  mListed = true;
  mListRevision = list.mRevision;
  mList.clear();
  mPlaces.clear();
  for (const platform::host_info& host : list.mHosts) {
    if (host.mZone == mZone) {
      mPlaces[host.mHost] = mList.size();
      mList.push_back(host);
    }
  }
  TrackPresence(aNow);
  return true;
}

void
zone_hosts::OnTick(time_point aNow, action_queue& aQueue)
{
  mRecord.OnTick(aNow, aQueue);
  if (mListCall == 0 && aNow >= mListAt) {
    mListCall = aQueue.ListHosts(mListRevision);
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
  const bool fenced = mConfirmed.mTerm == aTerm;
  hosts_record next = fenced && mListed && aInputs.mDocument != nullptr
                        ? Next(aInputs, aNow, aIds)
                        : mConfirmed;
  next.mTerm = aTerm;
  if (fenced && next.mHosts == mConfirmed.mHosts &&
      next.mFailures == mConfirmed.mFailures &&
      next.mFailuresWave == mConfirmed.mFailuresWave) {
    return;
  }
  next.mWrite = aIds.Next();
  mRecord.Write(ToText(next), aQueue);
}

hosts_record
zone_hosts::Next(const step_inputs& aInputs,
                 time_point aNow,
                 write_ids& aIds) const
{
  hosts_record next = mConfirmed;
  for (auto& [host, record] : next.mHosts) {
    const bool serving = record.mPhase == host_phase::kServing;
    record = NextStep(host, record, aInputs, aNow, aIds);
    if (serving) {
      RestartRunner(host, record, aInputs, aNow, aIds);
    }
  }
  NoteFailures(next, aInputs);
  RemoveGone(next, aNow);
  AdoptNew(next, aInputs, aIds);
  return next;
}

void
zone_hosts::AdoptNew(hosts_record& aNext,
                     const step_inputs& aInputs,
                     write_ids& aIds) const
{
  for (const platform::host_info& host : mList) {
    if (host.mRole != platform::host_role::kWorker ||
        host.mState != platform::host_state::kLive ||
        aNext.mHosts.count(host.mHost) != 0) {
      continue;
    }
    host_record adopted = Adopt(*aInputs.mDocument, host, aInputs.mUtc, aIds);
    if (!adopted.mPool.Empty()) {
      aNext.mHosts[host.mHost] = std::move(adopted);
    }
  }
}

void
zone_hosts::NoteFailures(hosts_record& aNext, const step_inputs& aInputs)
{
  if (aNext.mFailuresWave != aInputs.mWave) {
    aNext.mFailuresWave = aInputs.mWave;
    aNext.mFailures.clear();
  }
  const std::int64_t period =
    std::chrono::seconds(aInputs.mDocument->mMaintenance.mPeriod).count();
  for (auto each = aNext.mFailures.begin(); each != aNext.mFailures.end();) {
    each = each->second + period <= aInputs.mUtc ? aNext.mFailures.erase(each)
                                                 : std::next(each);
  }
  for (const auto& [host, record] : aNext.mHosts) {
    if (record.mFailed && record.mPurpose == host_purpose::kMaintenance) {
      aNext.mFailures.try_emplace(host, aInputs.mUtc);
    }
  }
}

void
zone_hosts::RemoveGone(hosts_record& aNext, time_point aNow) const
{
  for (const auto& [host, since] : mGoneSince) {
    const auto found = aNext.mHosts.find(host);
    if (found == aNext.mHosts.end() || aNow - since < mSettings.mHostFence) {
      continue;
    }
    // A host that reboots may be off the list for as long as the limit allows.
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
  const auto since = mServingSince.find(aHost);
  const platform::host_info* info = Find(aHost);
  if (aRecord.mPhase != host_phase::kServing || info == nullptr ||
      info->mState != platform::host_state::kLive || !info->mService.Empty() ||
      since == mServingSince.end() ||
      aNow - since->second < mSettings.mListLag ||
      FindPool(*aInputs.mDocument, aRecord.mPool) == nullptr) {
    return;
  }
  // The host has restarted by itself: nothing is in flight there.
  aRecord.mPhase = host_phase::kStarting;
  aRecord.mAction = aIds.Next();
}

void
zone_hosts::TrackPresence(time_point aNow)
{
  std::map<host_name, time_point> gone;
  std::map<host_name, time_point> idle;
  const auto keep = [aNow](const auto& aOld, auto& aNew, const auto& aHost) {
    const auto old = aOld.find(aHost);
    aNew[aHost] = old == aOld.end() ? aNow : old->second;
  };
  for (const auto& [host, record] : mConfirmed.mHosts) {
    const platform::host_info* info = Find(host);
    if (info == nullptr || info->mState == platform::host_state::kGone) {
      keep(mGoneSince, gone, host);
    } else if (record.mPhase == host_phase::kServing &&
               info->mService.Empty()) {
      keep(mServingSince, idle, host);
    }
  }
  mGoneSince = std::move(gone);
  mServingSince = std::move(idle);
}

void
zone_hosts::Act(const config::document& aDocument,
                time_point aNow,
                action_queue& aQueue)
{
  for (const auto& [host, record] : mConfirmed.mHosts) {
    if (!HasAction(record.mPhase)) {
      mActions.erase(host);
      continue;
    }
    tracked_action& action = mActions[host];
    if (!(action.mId == record.mAction)) {
      action = {};
      action.mId = record.mAction;
      action.mNext = aNow;
      action.mProgress.mStarted = true;
      action.mProgress.mSince = aNow;
    }
    if (action.mCall != 0 || action.mProgress.mDone ||
        action.mProgress.mFailed || aNow < action.mNext) {
      continue;
    }
    const config::pool* pool = FindPool(aDocument, record.mPool);
    action.mCall =
      aQueue.Host({ host,
                    ActionOf(record.mPhase),
                    pool == nullptr ? service_name() : pool->mService,
                    record.mAction });
  }
}

bool
zone_hosts::OnActionResult(call_id aCall,
                           const result<platform::action_status>& aResult,
                           time_point aNow)
{
  for (auto& [host, action] : mActions) {
    if (action.mCall != aCall || aCall == 0) {
      continue;
    }
    action.mCall = 0;
    action.mNext = aNow + mSettings.mActionPollEvery;
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
zone_hosts::Ready(std::uint64_t aTerm) const
{
  return mRecord.Known() && mConfirmed.mTerm == aTerm;
}

const platform::host_info*
zone_hosts::Find(const host_name& aHost) const
{
  const auto place = mPlaces.find(aHost);
  return place == mPlaces.end() ? nullptr : &mList[place->second];
}

action_progress
zone_hosts::Progress(const host_name& aHost) const
{
  const auto found = mActions.find(aHost);
  const auto record = mConfirmed.mHosts.find(aHost);
  if (found == mActions.end() || record == mConfirmed.mHosts.end() ||
      !(found->second.mId == record->second.mAction)) {
    return {};
  }
  return found->second.mProgress;
}

} // namespace mangospan::fleet
