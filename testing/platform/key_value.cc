#include "testing/platform/key_value.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "mangospan/base/error.h"
#include "mangospan/base/time.h"
#include "mangospan/platform/store.h"

namespace mangospan::standin {

namespace {

using platform::change;
using platform::change_batch;
using platform::lease_id;
using platform::record;
using platform::revision;

bool
HasPrefix(std::string_view aKey, std::string_view aPrefix)
{
  return aKey.substr(0, aPrefix.size()) == aPrefix;
}

error
Conflict(const char* aStep, const std::string& aKey, revision aCurrent)
{
  return { error_code::kConflict,
           aStep,
           aKey,
           "revision is " + std::to_string(aCurrent) };
}

error
LeaseEnded(const char* aStep, std::uint64_t aLease)
{
  return {
    error_code::kNotFound, aStep, std::to_string(aLease), "the lease has ended"
  };
}

} // namespace

key_value::key_value(std::size_t aWatchableChanges)
  : mWatchableChanges(aWatchableChanges)
{
}

std::optional<record>
key_value::Read(const std::string& aKey) const
{
  const auto found = mRecords.find(aKey);
  if (found == mRecords.end()) {
    return std::nullopt;
  }
  return found->second.mRecord;
}

std::vector<record>
key_value::List(std::string_view aPrefix) const
{
  std::vector<record> records;
  for (auto each = mRecords.lower_bound(std::string(aPrefix));
       each != mRecords.end() && HasPrefix(each->first, aPrefix);
       ++each) {
    records.push_back(each->second.mRecord);
  }
  return records;
}

result<revision>
key_value::CompareAndSwap(platform::swap_request aRequest)
{
  if (aRequest.mValue.size() > platform::kMaxValueBytes) {
    return error{
      error_code::kTooLarge, "kv.put", aRequest.mKey, "over 1000000 bytes"
    };
  }
  const revision current = RevisionOf(aRequest.mKey);
  if (current != aRequest.mExpected) {
    return Conflict("kv.put", aRequest.mKey, current);
  }
  const std::uint64_t lease = aRequest.mLease.value_or(lease_id{ 0 }).mValue;
  if (lease != 0 && mLeases.count(lease) == 0) {
    return LeaseEnded("kv.put", lease);
  }
  const revision written = Append(aRequest.mKey, aRequest.mValue, false);
  mRecords[aRequest.mKey] =
    stored{ { aRequest.mKey, std::move(aRequest.mValue), written }, lease };
  return written;
}

result<revision>
key_value::Delete(const std::string& aKey, revision aExpected)
{
  const revision current = RevisionOf(aKey);
  if (current == 0 || current != aExpected) {
    return Conflict("kv.delete", aKey, current);
  }
  mRecords.erase(aKey);
  return Append(aKey, "", true);
}

revision
key_value::RevisionOf(const std::string& aKey) const
{
  const auto found = mRecords.find(aKey);
  return found == mRecords.end() ? 0 : found->second.mRecord.mRevision;
}

revision
key_value::LastRevision() const
{
  return mHistory.size();
}

lease_id
key_value::GrantLease(time_point aNow, std::chrono::milliseconds aTtl)
{
  const std::uint64_t id = mNextLease++;
  mLeases[id] = lease{ aTtl, aNow + aTtl };
  return lease_id{ id };
}

status
key_value::RenewLease(lease_id aLease, time_point aNow)
{
  ExpireLeases(aNow);
  const auto found = mLeases.find(aLease.mValue);
  if (found == mLeases.end()) {
    return LeaseEnded("lease.renew", aLease.mValue);
  }
  found->second.mEnds = aNow + found->second.mTtl;
  return boost::outcome_v2::success();
}

status
key_value::RevokeLease(lease_id aLease)
{
  if (mLeases.count(aLease.mValue) == 0) {
    return LeaseEnded("lease.revoke", aLease.mValue);
  }
  EndLease(aLease.mValue);
  return boost::outcome_v2::success();
}

void
key_value::ExpireLeases(time_point aNow)
{
  std::vector<std::uint64_t> ended;
  for (const auto& [id, each] : mLeases) {
    if (each.mEnds <= aNow) {
      ended.push_back(id);
    }
  }
  for (const std::uint64_t id : ended) {
    EndLease(id);
  }
}

result<change_batch>
key_value::ChangesAfter(std::string_view aPrefix, revision aAfter) const
{
  if (aAfter > mHistory.size() ||
      mHistory.size() - aAfter > mWatchableChanges) {
    return error{ error_code::kNotFound,
                  "watch",
                  std::string(aPrefix),
                  "revision " + std::to_string(aAfter) + " is not known" };
  }
  change_batch batch;
  batch.mRevision = mHistory.size();
  for (std::size_t i = aAfter; i < mHistory.size(); ++i) {
    if (HasPrefix(mHistory[i].mRecord.mKey, aPrefix)) {
      batch.mChanges.push_back(mHistory[i]);
    }
  }
  return batch;
}

std::vector<change>
key_value::History(std::string_view aPrefix) const
{
  std::vector<change> changes;
  std::copy_if(mHistory.begin(),
               mHistory.end(),
               std::back_inserter(changes),
               [&](const change& aChange) {
                 return HasPrefix(aChange.mRecord.mKey, aPrefix);
               });
  return changes;
}

revision
key_value::Append(std::string aKey, std::string aValue, bool aDeleted)
{
  const revision next = mHistory.size() + 1;
  mHistory.push_back(
    { { std::move(aKey), std::move(aValue), next }, aDeleted });
  return next;
}

void
key_value::EndLease(std::uint64_t aLease)
{
  mLeases.erase(aLease);
  for (auto each = mRecords.begin(); each != mRecords.end();) {
    if (each->second.mLease == aLease) {
      Append(each->first, "", true);
      each = mRecords.erase(each);
    } else {
      ++each;
    }
  }
}

} // namespace mangospan::standin
