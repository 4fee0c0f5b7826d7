#include "mangospan/node/testing/virtual_store.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include <boost/asio/dispatch.hpp>

namespace mangospan::node::testing {

using platform::change;
using platform::change_batch;
using platform::commit_outcome;
using platform::handler;
using platform::lease_id;
using platform::listing;
using platform::record;
using platform::revision;
using platform::transaction;
using std::chrono::milliseconds;

namespace {

// Added to the wait of a watch for its timeout.
constexpr milliseconds kWatchGrace{ 500 };
// The time after which an attempt to connect fails.
constexpr milliseconds kConnectTimeout{ 1'000 };

void
After(boost::asio::io_context& aIo,
      milliseconds aDelay,
      std::function<void()> aAction)
{
  auto waiting = std::make_shared<timer>(aIo, aDelay);
  waiting->async_wait([waiting, action = std::move(aAction)](
                        const boost::system::error_code& aAbort) {
    if (!aAbort) {
      action();
    }
  });
}

error
NoAnswer(const char* aStep)
{
  return error{
    error_code::kUnknownResult, aStep, "store", "no answer in time"
  };
}

bool
HasPrefix(const std::string& aKey, const std::string& aPrefix)
{
  return aKey.compare(0, aPrefix.size(), aPrefix) == 0;
}

// Passes the first result to a handler and ignores the others.
template<typename T>
class once
{
public:
  explicit once(handler<T> aHandler)
    : mHandler(std::make_shared<handler<T>>(std::move(aHandler)))
  {
  }

  bool IsOver() const { return !*mHandler; }
  void operator()(result<T> aResult) const
  {
    if (const handler<T> first = std::exchange(*mHandler, nullptr)) {
      first(std::move(aResult));
    }
  }

private:
  std::shared_ptr<handler<T>> mHandler;
};

} // namespace

virtual_store::virtual_store(boost::asio::io_context& aIo,
                             const clock_source& aClock)
  : mIo(aIo)
  , mClock(aClock)
{
}

void
virtual_store::Advance()
{
  if (mIsSilent) {
    return;
  }
  std::vector<std::uint64_t> expired;
  for (const auto& [id, each] : mLeases) {
    if (mClock.Now() >= each.mEndsAt) {
      expired.push_back(id);
    }
  }
  for (const std::uint64_t each : expired) {
    EndLease(each);
  }
}

void
virtual_store::SetSilent(bool aIsSilent)
{
  if (aIsSilent && !mIsSilent) {
    mSilentSince = mClock.Now();
    ++mOutages;
  } else if (!aIsSilent && mIsSilent) {
    for (auto& [id, each] : mLeases) {
      each.mEndsAt += mClock.Now() - mSilentSince;
    }
  }
  mIsSilent = aIsSilent;
}

void
virtual_store::Notify(const std::vector<change>& aChanges)
{
  mHistory.insert(mHistory.end(), aChanges.begin(), aChanges.end());
  // A watch that is over may start the next one.
  std::vector<watch> waiting;
  waiting.swap(mWatches);
  for (watch& each : waiting) {
    if (!each()) {
      mWatches.push_back(std::move(each));
    }
  }
}

void
virtual_store::EndLease(std::uint64_t aLease)
{
  mLeases.erase(aLease);
  std::vector<std::string> keys;
  for (const auto& [key, each] : mRecords) {
    if (each.mLease == aLease) {
      keys.push_back(key);
    }
  }
  for (const std::string& each : keys) {
    Delete(each);
  }
}

void
virtual_store::Put(const std::string& aKey, std::string aValue)
{
  transaction put;
  put.mWrites.push_back({ aKey, std::move(aValue), std::nullopt });
  Commit(put);
}

void
virtual_store::Delete(const std::string& aKey)
{
  if (mRecords.erase(aKey) > 0) {
    Notify({ change{ { aKey, "", ++mRevision }, true } });
  }
}

void
virtual_store::RevokeLeaseOf(const std::string& aKey)
{
  const auto found = mRecords.find(aKey);
  if (found != mRecords.end()) {
    EndLease(found->second.mLease);
  }
}

std::string
virtual_store::Value(const std::string& aKey) const
{
  const auto found = mRecords.find(aKey);
  return found == mRecords.end() ? std::string() : found->second.mRecord.mValue;
}

std::vector<record>
virtual_store::Find(const std::string& aPrefix) const
{
  std::vector<record> out;
  for (auto it = mRecords.lower_bound(aPrefix);
       it != mRecords.end() && HasPrefix(it->first, aPrefix);
       ++it) {
    out.push_back(it->second.mRecord);
  }
  return out;
}

bool
virtual_store::HasLeases(const transaction& aChange) const
{
  return std::all_of(aChange.mWrites.begin(),
                     aChange.mWrites.end(),
                     [this](const platform::key_write& aWrite) {
                       return !aWrite.mLease ||
                              mLeases.count(aWrite.mLease->mValue) > 0;
                     });
}

commit_outcome
virtual_store::Commit(const transaction& aChange)
{
  commit_outcome out;
  out.mCommitted = true;
  for (const platform::expectation& each : aChange.mExpectations) {
    const auto found = mRecords.find(each.mKey);
    const record present = found == mRecords.end() ? record{ each.mKey, "", 0 }
                                                   : found->second.mRecord;
    out.mCommitted = out.mCommitted && present.mRevision == each.mRevision;
    if (found != mRecords.end()) {
      out.mCurrentRecords.push_back(present);
    }
  }
  if (!out.mCommitted) {
    return out;
  }
  out.mCurrentRecords.clear();
  out.mRevision = ++mRevision;
  std::vector<change> changes;
  for (const platform::key_write& each : aChange.mWrites) {
    const record written{ each.mKey, each.mValue, out.mRevision };
    mRecords[each.mKey] = { written, each.mLease ? each.mLease->mValue : 0 };
    changes.push_back({ written, false });
  }
  for (const std::string& each : aChange.mDeletes) {
    if (mRecords.erase(each) > 0) {
      changes.push_back({ { each, "", out.mRevision }, true });
    }
  }
  Notify(changes);
  return out;
}

virtual_store_client::virtual_store_client(virtual_store& aStore)
  : virtual_store_client(aStore, aStore.mIo)
{
}

virtual_store_client::virtual_store_client(virtual_store& aStore,
                                           boost::asio::io_context& aIo)
  : mStore(aStore)
  , mIo(aIo)
{
}

void
virtual_store_client::SetCut(bool aIsCut)
{
  mCuts += aIsCut && !mIsCut ? 1 : 0;
  mIsCut = aIsCut;
}

void
virtual_store_client::SetLoss(std::function<bool(const std::string&)> aIsLost)
{
  mIsLost = std::move(aIsLost);
}

void
virtual_store_client::SetCommitFate(
  std::function<commit_fate(const transaction&)> aFate)
{
  mCommitFate = std::move(aFate);
}

void
virtual_store_client::SetAnswerDelay(milliseconds aDelay)
{
  mAnswerDelay = aDelay;
}

std::uint64_t
virtual_store_client::Interruptions() const
{
  return mCuts + mStore.mOutages;
}

template<typename T>
void
virtual_store_client::Send(const char* aStep,
                           milliseconds aTimeout,
                           handler<T> aHandler,
                           std::function<result<T>()> aCall,
                           commit_fate aFate)
{
  const once<T> answer([this, reply = std::move(aHandler)](result<T> aResult) {
    boost::asio::dispatch(mIo, [reply, got = std::move(aResult)]() mutable {
      reply(std::move(got));
    });
  });
  const bool isLost = (mIsLost && mIsLost(aStep)) || !aFate.mIsAnswered;
  const milliseconds back = virtual_store::kLatency + mAnswerDelay;
  After(mStore.mIo,
        virtual_store::kLatency + aFate.mExecutionDelay,
        [this, answer, isLost, back, aFate, call = std::move(aCall)] {
          if (!IsConnected() || !aFate.mIsExecuted) {
            return;
          }
          const result<T> reply = call();
          if (!isLost) {
            After(mStore.mIo, back, [answer, reply] { answer(reply); });
          }
        });
  After(mStore.mIo, aTimeout, [answer, aStep] { answer(NoAnswer(aStep)); });
}

void
virtual_store_client::Read(std::string aKey,
                           milliseconds aTimeout,
                           handler<std::optional<record>> aHandler)
{
  Send<std::optional<record>>(
    "store.read",
    aTimeout,
    std::move(aHandler),
    [this, key = std::move(aKey)]() -> result<std::optional<record>> {
      const auto found = mStore.mRecords.find(key);
      if (found == mStore.mRecords.end()) {
        return std::optional<record>();
      }
      return std::optional<record>(found->second.mRecord);
    });
}

void
virtual_store_client::List(std::string aPrefix,
                           milliseconds aTimeout,
                           handler<std::vector<record>> aHandler)
{
  Send<std::vector<record>>(
    "store.list",
    aTimeout,
    std::move(aHandler),
    [this, prefix = std::move(aPrefix)]() -> result<std::vector<record>> {
      return mStore.Find(prefix);
    });
}

std::shared_ptr<platform::pending_listing>
virtual_store_client::ListForWatch(std::string aPrefix,
                                   milliseconds aTimeout,
                                   handler<listing> aHandler)
{
  Send<listing>("store.list",
                aTimeout,
                std::move(aHandler),
                [this, prefix = std::move(aPrefix)]() -> result<listing> {
                  return listing{ mStore.Find(prefix), mStore.mRevision };
                });
  return nullptr;
}

void
virtual_store_client::GrantLease(milliseconds aTtl,
                                 milliseconds aTimeout,
                                 handler<lease_id> aHandler)
{
  Send<lease_id>(
    "store.grant",
    aTimeout,
    std::move(aHandler),
    [this, aTtl]() -> result<lease_id> {
      const lease_id id{ mStore.mNextLease++ };
      mStore.mLeases[id.mValue] = { aTtl, mStore.mClock.Now() + aTtl };
      return id;
    });
}

void
virtual_store_client::RenewLease(lease_id aLease,
                                 milliseconds aTimeout,
                                 handler<lease_id> aHandler)
{
  Send<lease_id>("store.renew",
                 aTimeout,
                 std::move(aHandler),
                 [this, aLease]() -> result<lease_id> {
                   const auto found = mStore.mLeases.find(aLease.mValue);
                   if (found == mStore.mLeases.end()) {
                     return error{ error_code::kNotFound,
                                   "store.renew",
                                   "store",
                                   "no such lease" };
                   }
                   found->second.mEndsAt =
                     mStore.mClock.Now() + found->second.mTtl;
                   return aLease;
                 });
}

void
virtual_store_client::RevokeLease(lease_id aLease,
                                  milliseconds aTimeout,
                                  handler<lease_id> aHandler)
{
  Send<lease_id>("store.revoke",
                 aTimeout,
                 std::move(aHandler),
                 [this, aLease]() -> result<lease_id> {
                   if (mStore.mLeases.count(aLease.mValue) == 0) {
                     return error{ error_code::kNotFound,
                                   "store.revoke",
                                   "store",
                                   "no such lease" };
                   }
                   mStore.EndLease(aLease.mValue);
                   return aLease;
                 });
}

void
virtual_store_client::Commit(transaction aTransaction,
                             milliseconds aTimeout,
                             handler<commit_outcome> aHandler)
{
  const commit_fate fate =
    mCommitFate ? mCommitFate(aTransaction) : commit_fate{};
  Send<commit_outcome>(
    "store.commit",
    aTimeout,
    std::move(aHandler),
    [this, change = std::move(aTransaction)]() -> result<commit_outcome> {
      if (!mStore.HasLeases(change)) {
        return error{
          error_code::kNotFound, "store.commit", "store", "no such lease"
        };
      }
      return mStore.Commit(change);
    },
    fate);
}

void
virtual_store_client::Watch(std::string aPrefix,
                            revision aAfter,
                            milliseconds aWait,
                            handler<change_batch> aHandler)
{
  const once<change_batch> answer(std::move(aHandler));
  if (!IsConnected()) {
    After(mStore.mIo, kConnectTimeout, [answer] {
      answer(NoAnswer("store.watch"));
    });
    return;
  }
  const std::uint64_t interruptions = Interruptions();
  const auto reply =
    [this, answer, aAfter, prefix = std::move(aPrefix)](bool aIsWaitOver) {
      change_batch batch;
      batch.mRevision = mStore.mRevision;
      const auto first =
        std::partition_point(mStore.mHistory.begin(),
                             mStore.mHistory.end(),
                             [aAfter](const change& aEach) {
                               return aEach.mRecord.mRevision <= aAfter;
                             });
      std::copy_if(first,
                   mStore.mHistory.end(),
                   std::back_inserter(batch.mChanges),
                   [&prefix](const change& aEach) {
                     return HasPrefix(aEach.mRecord.mKey, prefix);
                   });
      if (batch.mChanges.empty() && !aIsWaitOver) {
        return false;
      }
      After(mStore.mIo, virtual_store::kLatency, [answer, batch] {
        answer(batch);
      });
      return true;
    };
  const auto check = [this, answer, interruptions, reply](bool aIsWaitOver) {
    const bool isLost = !IsConnected() || interruptions != Interruptions();
    return answer.IsOver() || (!isLost && reply(aIsWaitOver));
  };
  After(mStore.mIo, virtual_store::kLatency, [this, check] {
    if (!check(false)) {
      mStore.mWatches.push_back([check] { return check(false); });
    }
  });
  After(mStore.mIo, aWait, [check] { check(true); });
  After(mStore.mIo, aWait + kWatchGrace, [answer] {
    answer(NoAnswer("store.watch"));
  });
}

} // namespace mangospan::node::testing
