#include "mangospan/fleet/testing/fake_platform.h"

#include <algorithm>
#include <utility>

namespace mangospan::fleet::testing {

namespace {

constexpr milliseconds kCallTimeout{ 400 };

bool
HasPrefix(const std::string& aKey, const std::string& aPrefix)
{
  return aKey.compare(0, aPrefix.size(), aPrefix) == 0;
}

// Returns the error as a result of the type that the operation answers with.
store_result
FailureResult(const store_operation& aOperation, error_code aCode)
{
  const error failure = FakeFailure(aCode);
  if (std::holds_alternative<read_call>(aOperation)) {
    return result<std::optional<platform::record>>(failure);
  }
  if (std::holds_alternative<list_call>(aOperation)) {
    return result<std::vector<platform::record>>(failure);
  }
  if (std::holds_alternative<watch_call>(aOperation)) {
    return result<platform::change_batch>(failure);
  }
  if (std::holds_alternative<swap_call>(aOperation) ||
      std::holds_alternative<delete_call>(aOperation)) {
    return result<platform::revision>(failure);
  }
  return result<platform::lease_id>(failure);
}

} // namespace

error
FakeFailure(error_code aCode)
{
  return { aCode, "fake", "platform", "injected by the test" };
}

fake_store::fake_store(event_queue& aEvents, std::uint64_t aSeed)
  : mEvents(aEvents)
  , mRandom(static_cast<std::minstd_rand::result_type>(aSeed))
{
}

milliseconds
fake_store::RandomDelay()
{
  return milliseconds(1 + mRandom() % 20);
}

bool
fake_store::RandomBool(double aProbability)
{
  return aProbability > 0 &&
         static_cast<double>(mRandom() % 10000) < aProbability * 10000;
}

void
fake_store::Call(const store_operation& aOperation, const answer& aAnswer)
{
  ++mCalls;
  if (const auto* swap = std::get_if<swap_call>(&aOperation)) {
    mBytes += swap->mRequest.mValue.size();
  }
  if (mDown || RandomBool(mLostRequestRate)) {
    mEvents.After(kCallTimeout, [aOperation, aAnswer] {
      aAnswer(FailureResult(aOperation, error_code::kUnknownResult));
    });
    return;
  }
  const bool isAnswerLost = RandomBool(mLostAnswerRate);
  // A delayed request may take effect after its caller has timed out.
  const milliseconds extraDelay(isAnswerLost ? mRandom() % 1500 : 0);
  if (isAnswerLost) {
    mEvents.After(kCallTimeout, [aOperation, aAnswer] {
      aAnswer(FailureResult(aOperation, error_code::kUnknownResult));
    });
  }
  mEvents.After(
    RandomDelay() + extraDelay, [this, aOperation, aAnswer, isAnswerLost] {
      if (const auto* watch = std::get_if<watch_call>(&aOperation)) {
        if (!isAnswerLost) {
          Watch(*watch, aAnswer);
        }
        return;
      }
      store_result applied = Apply(aOperation);
      if (!isAnswerLost) {
        mEvents.After(RandomDelay(), [aAnswer, applied = std::move(applied)] {
          aAnswer(applied);
        });
      }
    });
}

store_result
fake_store::Apply(const store_operation& aOperation)
{
  if (const auto* read = std::get_if<read_call>(&aOperation)) {
    const auto found = mRecords.find(read->mKey);
    std::optional<platform::record> record;
    if (found != mRecords.end()) {
      record = found->second;
    }
    return result<std::optional<platform::record>>(record);
  }
  if (const auto* list = std::get_if<list_call>(&aOperation)) {
    std::vector<platform::record> records;
    for (const auto& [key, record] : mRecords) {
      if (HasPrefix(key, list->mPrefix)) {
        records.push_back(record);
      }
    }
    return result<std::vector<platform::record>>(records);
  }
  if (const auto* swap = std::get_if<swap_call>(&aOperation)) {
    return Swap(swap->mRequest);
  }
  if (const auto* grant = std::get_if<grant_call>(&aOperation)) {
    mLeases[++mLastLease] = { mEvents.Now() + grant->mTtl, grant->mTtl, {} };
    ScheduleExpiry(mLastLease);
    return result<platform::lease_id>(platform::lease_id{ mLastLease });
  }
  if (const auto* renew = std::get_if<renew_call>(&aOperation)) {
    const auto found = mLeases.find(renew->mLease.mValue);
    if (found == mLeases.end()) {
      return FailureResult(aOperation, error_code::kNotFound);
    }
    found->second.mExpiresAt = mEvents.Now() + found->second.mTtl;
    ScheduleExpiry(found->first);
    return result<platform::lease_id>(renew->mLease);
  }
  if (const auto* revoke = std::get_if<revoke_call>(&aOperation)) {
    EndLease(revoke->mLease.mValue);
    return result<platform::lease_id>(revoke->mLease);
  }
  return FailureResult(aOperation, error_code::kInvalidArgument);
}

result<platform::revision>
fake_store::Swap(const platform::swap_request& aRequest)
{
  if (RevisionOf(aRequest.mKey) != aRequest.mExpected) {
    return FakeFailure(error_code::kConflict);
  }
  if (aRequest.mLease) {
    const auto found = mLeases.find(aRequest.mLease->mValue);
    if (found == mLeases.end()) {
      return FakeFailure(error_code::kNotFound);
    }
    found->second.mKeys.push_back(aRequest.mKey);
  }
  Change(aRequest.mKey, aRequest.mValue, false);
  return mRevision;
}

void
fake_store::Put(const std::string& aKey, const std::string& aValue)
{
  Change(aKey, aValue, false);
}

void
fake_store::Remove(const std::string& aKey)
{
  Change(aKey, {}, true);
}

void
fake_store::Change(const std::string& aKey,
                   const std::string& aValue,
                   bool aDelete)
{
  ++mRevision;
  if (aDelete) {
    mRecords.erase(aKey);
  } else {
    mRecords[aKey] = { aKey, aValue, mRevision };
  }
  mHistory.push_back({ { aKey, aValue, mRevision }, aDelete });
  if (mOnChange) {
    mOnChange(mHistory.back());
  }
  for (auto each = mWatches.begin(); each != mWatches.end();) {
    if (!HasPrefix(aKey, each->second.mPrefix)) {
      ++each;
      continue;
    }
    mEvents.After(
      RandomDelay(),
      [answer = each->second.mAnswer,
       batch = ChangesSince(each->second.mPrefix, each->second.mAfter)] {
        answer(result<platform::change_batch>(batch));
      });
    each = mWatches.erase(each);
  }
}

void
fake_store::Watch(const watch_call& aCall, const answer& aAnswer)
{
  platform::change_batch batch = ChangesSince(aCall.mPrefix, aCall.mAfter);
  if (!batch.mChanges.empty()) {
    aAnswer(result<platform::change_batch>(batch));
    return;
  }
  const std::uint64_t number = ++mLastWatch;
  mWatches[number] = { aCall.mPrefix, aCall.mAfter, aAnswer };
  mEvents.After(aCall.mWait, [this, number] {
    const auto found = mWatches.find(number);
    if (found == mWatches.end()) {
      return;
    }
    const auto answer = found->second.mAnswer;
    mWatches.erase(found);
    answer(
      result<platform::change_batch>(platform::change_batch{ {}, mRevision }));
  });
}

platform::change_batch
fake_store::ChangesSince(const std::string& aPrefix,
                         platform::revision aAfter) const
{
  platform::change_batch batch;
  batch.mRevision = mRevision;
  const auto first = std::find_if(
    mHistory.rbegin(), mHistory.rend(), [&](const platform::change& aChange) {
      return aChange.mRecord.mRevision <= aAfter;
    });
  for (auto each = first.base(); each != mHistory.end(); ++each) {
    if (HasPrefix(each->mRecord.mKey, aPrefix)) {
      batch.mChanges.push_back(*each);
    }
  }
  return batch;
}

void
fake_store::ScheduleExpiry(std::uint64_t aLease)
{
  mEvents.After(mLeases.at(aLease).mTtl, [this, aLease] {
    const auto found = mLeases.find(aLease);
    if (found != mLeases.end() && mEvents.Now() >= found->second.mExpiresAt) {
      EndLease(aLease);
    }
  });
}

void
fake_store::EndLease(std::uint64_t aLease)
{
  const auto found = mLeases.find(aLease);
  if (found == mLeases.end()) {
    return;
  }
  const std::vector<std::string> keys = found->second.mKeys;
  mLeases.erase(found);
  for (const std::string& key : keys) {
    Change(key, {}, true);
  }
}

std::string
fake_store::Get(const std::string& aKey) const
{
  const auto found = mRecords.find(aKey);
  return found == mRecords.end() ? std::string() : found->second.mValue;
}

platform::revision
fake_store::RevisionOf(const std::string& aKey) const
{
  const auto found = mRecords.find(aKey);
  return found == mRecords.end() ? 0 : found->second.mRevision;
}

fake_hosts::fake_hosts(event_queue& aEvents, std::uint64_t aSeed)
  : mEvents(aEvents)
  , mRandom(static_cast<std::minstd_rand::result_type>(aSeed))
{
}

void
fake_hosts::Add(platform::host_info aHost)
{
  mPublishedHosts[aHost.mHost] = aHost;
  mHosts[aHost.mHost] = std::move(aHost);
  ++mRevision;
}

void
fake_hosts::PublishAfterLag()
{
  mEvents.After(mPublicationLag, [this, hosts = mHosts] {
    mPublishedHosts = hosts;
    ++mRevision;
  });
}

void
fake_hosts::List(
  platform::revision aKnown,
  const std::function<void(result<platform::host_list>)>& aAnswer)
{
  if (mDown) {
    mEvents.After(kCallTimeout, [aAnswer] {
      aAnswer(FakeFailure(error_code::kUnknownResult));
    });
    return;
  }
  platform::host_list list;
  list.mRevision = mRevision;
  if (mRevision > aKnown) {
    for (const auto& [host, info] : mPublishedHosts) {
      if (mListsRebooting || mRebooting.count(host) == 0) {
        list.mHosts.push_back(info);
      }
    }
  }
  mEvents.After(milliseconds(5),
                [aAnswer, list = std::move(list)] { aAnswer(list); });
}

void
fake_hosts::StartAction(
  const platform::action_request& aRequest,
  const std::function<void(result<platform::action_status>)>& aAnswer)
{
  if (mDown) {
    mEvents.After(kCallTimeout, [aAnswer] {
      aAnswer(FakeFailure(error_code::kUnknownResult));
    });
    return;
  }
  const std::string id = std::to_string(aRequest.mId.mBoot.mValue) + "/" +
                         std::to_string(aRequest.mId.mSequence);
  if (mActions.try_emplace(id, started_action{ aRequest, {} }).second) {
    const bool reboot = aRequest.mAction == platform::host_action::kReboot;
    const bool failed = reboot && static_cast<double>(mRandom() % 1000) <
                                    mRebootFailureRate * 1000;
    if (aRequest.mAction != platform::host_action::kStartRunner) {
      if (mOnRunnerStop) {
        mOnRunnerStop(aRequest);
      }
      mHosts[aRequest.mHost].mService = {};
      PublishAfterLag();
    }
    if (reboot) {
      mRebooting.insert(aRequest.mHost);
    }
    mEvents.After(reboot ? mRebootTime : mRunnerActionTime,
                  [this, id, failed] { Finish(id, failed); });
  }
  platform::action_status status;
  status.mState = mActions.at(id).mState;
  mEvents.After(milliseconds(5), [aAnswer, status] { aAnswer(status); });
}

void
fake_hosts::Finish(const std::string& aId, bool aFailed)
{
  started_action& action = mActions.at(aId);
  mRebooting.erase(action.mRequest.mHost);
  platform::host_info& host = mHosts[action.mRequest.mHost];
  if (aFailed) {
    action.mState = platform::action_state::kFailed;
    return;
  }
  action.mState = platform::action_state::kDone;
  if (action.mRequest.mAction == platform::host_action::kStartRunner) {
    host.mService = action.mRequest.mService;
  }
  if (action.mRequest.mAction == platform::host_action::kReboot) {
    ++host.mBootCount;
  }
  PublishAfterLag();
}

void
fake_hosts::SetState(const host_name& aHost, platform::host_state aState)
{
  mHosts[aHost].mState = aState;
  if (aState == platform::host_state::kGone) {
    mHosts[aHost].mService = {};
  }
  PublishAfterLag();
}

const platform::host_info&
fake_hosts::At(const host_name& aHost) const
{
  return mHosts.at(aHost);
}

} // namespace mangospan::fleet::testing
