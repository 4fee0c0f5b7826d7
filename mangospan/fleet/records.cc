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
                  aLeft.mAction,
                  aLeft.mMaintained,
                  aLeft.mWave,
                  aLeft.mFailed) == std::tie(aRight.mPool,
                                             aRight.mPhase,
                                             aRight.mPurpose,
                                             aRight.mTarget,
                                             aRight.mEpoch,
                                             aRight.mAction,
                                             aRight.mMaintained,
                                             aRight.mWave,
                                             aRight.mFailed);
}

bool
operator==(const permit& aLeft, const permit& aRight)
{
  return std::tie(aLeft.mHost, aLeft.mReason, aLeft.mSince, aLeft.mFailed) ==
         std::tie(aRight.mHost, aRight.mReason, aRight.mSince, aRight.mFailed);
}

bool
operator==(const zone_share& aLeft, const zone_share& aRight)
{
  return std::tie(aLeft.mTerm, aLeft.mHosts, aLeft.mDown, aLeft.mPermits) ==
         std::tie(aRight.mTerm, aRight.mHosts, aRight.mDown, aRight.mPermits);
}

} // namespace mangospan::fleet
