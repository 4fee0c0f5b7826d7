#include "mangospan/fleet/host_steps.h"

#include <algorithm>
#include <chrono>

namespace mangospan::fleet {

namespace {

template<typename T>
bool
Contains(const std::vector<T>& aList, const T& aValue)
{
  return std::find(aList.begin(), aList.end(), aValue) != aList.end();
}

template<typename Predicate>
const config::pool*
FindIf(const config::document& aDocument, Predicate aPredicate)
{
  const auto found =
    std::find_if(aDocument.mPools.begin(), aDocument.mPools.end(), aPredicate);
  return found == aDocument.mPools.end() ? nullptr : &*found;
}

void
EnterPhase(host_record& aRecord, host_phase aPhase, write_ids& aIds)
{
  aRecord.mPhase = aPhase;
  aRecord.mHostActionId = RequiresHostAction(aPhase) ? aIds.Next() : write_id{};
}

// Starts a new epoch, so that entries' acknowledgements of this drain do not
// count for a later one.
void
ReturnToService(host_record& aRecord, write_ids& aIds)
{
  EnterPhase(aRecord, host_phase::kServing, aIds);
  aRecord.mPurpose = host_purpose::kNone;
  aRecord.mTarget = {};
  aRecord.mFailed = false;
  ++aRecord.mEpoch;
}

void
StartDrain(host_record& aRecord, const host_intent& aIntent, write_ids& aIds)
{
  EnterPhase(aRecord, host_phase::kDraining, aIds);
  aRecord.mPurpose = aIntent.mPurpose;
  aRecord.mTarget = aIntent.mTarget;
  if (aIntent.mPurpose == host_purpose::kMaintenance) {
    aRecord.mLastWave = aIntent.mWave;
  }
}

void
StepFromDraining(const host_name& aHost,
                 host_record& aRecord,
                 const step_inputs& aInputs,
                 write_ids& aIds)
{
  if (aRecord.mPurpose == host_purpose::kOperatorDrain &&
      aInputs.mOperatorDrains->count(aHost) == 0) {
    ReturnToService(aRecord, aIds);
    return;
  }
  if (!aInputs.mIsDrained(aHost, aRecord)) {
    return;
  }
  EnterPhase(aRecord,
             aRecord.mPurpose == host_purpose::kMaintenance
               ? host_phase::kRebooting
               : host_phase::kStopping,
             aIds);
}

// Advances the record after the platform has completed the phase's action.
void
StepAfterAction(host_record& aRecord,
                const step_inputs& aInputs,
                write_ids& aIds)
{
  switch (aRecord.mPhase) {
    case host_phase::kStopping:
      if (aRecord.mPurpose == host_purpose::kOperatorDrain) {
        EnterPhase(aRecord, host_phase::kDrained, aIds);
        return;
      }
      if (FindPool(*aInputs.mDocument, aRecord.mTarget) != nullptr) {
        aRecord.mPool = aRecord.mTarget;
      }
      EnterPhase(aRecord, host_phase::kStarting, aIds);
      return;
    case host_phase::kRebooting:
      aRecord.mMaintainedAt = aInputs.mUtcSeconds;
      EnterPhase(aRecord, host_phase::kStarting, aIds);
      return;
    default:
      ReturnToService(aRecord, aIds);
      return;
  }
}

} // namespace

const config::pool*
FindPoolOfService(const config::document& aDocument,
                  const service_name& aService)
{
  return FindIf(aDocument, [&](const config::pool& aPool) {
    return aPool.mService == aService;
  });
}

const config::pool*
FindPool(const config::document& aDocument, const pool_name& aName)
{
  return FindIf(
    aDocument, [&](const config::pool& aPool) { return aPool.mName == aName; });
}

const config::pool*
FindSparePool(const config::document& aDocument)
{
  return FindIf(aDocument,
                [](const config::pool& aPool) { return aPool.mSpare; });
}

bool
Admits(const config::pool& aPool, const platform::host_info& aHost)
{
  return (aPool.mZones.empty() || Contains(aPool.mZones, aHost.mZone)) &&
         (aPool.mRacks.empty() || Contains(aPool.mRacks, aHost.mRack));
}

bool
RequiresHostAction(host_phase aPhase)
{
  return aPhase == host_phase::kStopping || aPhase == host_phase::kRebooting ||
         aPhase == host_phase::kStarting;
}

host_record
AdoptHost(const config::document& aDocument,
          const platform::host_info& aHost,
          std::int64_t aUtcSeconds,
          write_ids& aIds)
{
  host_record record;
  record.mMaintainedAt = aUtcSeconds;
  const config::pool* pool = aHost.mService.Empty()
                               ? nullptr
                               : FindPoolOfService(aDocument, aHost.mService);
  if (pool != nullptr && Admits(*pool, aHost)) {
    record.mPool = pool->mName;
    return record;
  }
  const config::pool* spare = FindSparePool(aDocument);
  if (spare == nullptr || !Admits(*spare, aHost)) {
    return record;
  }
  record.mPool = spare->mName;
  record.mPurpose = host_purpose::kMove;
  record.mTarget = spare->mName;
  EnterPhase(record,
             aHost.mService.Empty() ? host_phase::kStarting
                                    : host_phase::kStopping,
             aIds);
  return record;
}

host_record
NextStep(const host_name& aHost,
         const host_record& aRecord,
         const step_inputs& aInputs,
         time_point aNow,
         write_ids& aIds)
{
  host_record next = aRecord;
  if (RequiresHostAction(aRecord.mPhase)) {
    const host_action_progress progress = aInputs.mHostActionProgress(aHost);
    const bool overdue =
      progress.mStarted && aNow - progress.mRequestedAt >=
                             aInputs.mDocument->mMaintenance.mRebootLimit;
    if (progress.mDone) {
      StepAfterAction(next, aInputs, aIds);
    } else if (progress.mFailed) {
      next.mFailed = true;
      next.mHostActionId = aIds.Next();
    } else if (overdue) {
      next.mFailed = true;
    }
    return next;
  }
  if (aRecord.mPhase == host_phase::kDraining) {
    StepFromDraining(aHost, next, aInputs, aIds);
    return next;
  }
  if (aRecord.mPhase == host_phase::kDrained) {
    if (aInputs.mOperatorDrains->count(aHost) == 0) {
      EnterPhase(next, host_phase::kStarting, aIds);
    }
    return next;
  }
  const auto intent = aInputs.mIntents->find(aHost);
  if (intent != aInputs.mIntents->end() && aInputs.mHasPermit(aHost, aRecord)) {
    StartDrain(next, intent->second, aIds);
  }
  return next;
}

} // namespace mangospan::fleet
