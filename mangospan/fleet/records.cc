#include "mangospan/fleet/records.h"

#include <tuple>

namespace mangospan::fleet {

namespace {

std::string
ZoneKey(const zone_name& aZone, const char* aRecord)
{
  return "zones/" + aZone.Str() + "/" + aRecord;
}

} // namespace

std::string
LeaderKey(const zone_name& aZone)
{
  return ZoneKey(aZone, "leader");
}

std::string
HostsKey(const zone_name& aZone)
{
  return ZoneKey(aZone, "hosts");
}

std::string
EntriesKey(const zone_name& aZone)
{
  return ZoneKey(aZone, "entries");
}

std::string
StatusKey(const zone_name& aZone)
{
  return ZoneKey(aZone, "status");
}

std::string
BudgetKey(const pool_name& aPool)
{
  return "pools/" + aPool.Str() + "/budget";
}

bool
operator==(const host_record& aLeft, const host_record& aRight)
{
  return std::tie(aLeft.mPool,
                  aLeft.mPhase,
                  aLeft.mPurpose,
                  aLeft.mTarget,
                  aLeft.mEpoch,
                  aLeft.mHostActionId,
                  aLeft.mMaintainedAt,
                  aLeft.mLastWave,
                  aLeft.mFailed) == std::tie(aRight.mPool,
                                             aRight.mPhase,
                                             aRight.mPurpose,
                                             aRight.mTarget,
                                             aRight.mEpoch,
                                             aRight.mHostActionId,
                                             aRight.mMaintainedAt,
                                             aRight.mLastWave,
                                             aRight.mFailed);
}

bool
operator==(const permit& aLeft, const permit& aRight)
{
  return std::tie(
           aLeft.mHost, aLeft.mPurpose, aLeft.mRecordedAt, aLeft.mFailed) ==
         std::tie(
           aRight.mHost, aRight.mPurpose, aRight.mRecordedAt, aRight.mFailed);
}

bool
operator==(const zone_budget_part& aLeft, const zone_budget_part& aRight)
{
  return std::tie(
           aLeft.mTerm, aLeft.mHostCount, aLeft.mDownHosts, aLeft.mPermits) ==
         std::tie(
           aRight.mTerm, aRight.mHostCount, aRight.mDownHosts, aRight.mPermits);
}

} // namespace mangospan::fleet
