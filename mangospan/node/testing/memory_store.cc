#include "mangospan/node/testing/memory_store.h"

#include <algorithm>
#include <memory>
#include <utility>

#include <boost/asio/post.hpp>

#include "mangospan/base/timer.h"

namespace mangospan::node::testing {

using platform::handler;
using platform::record;
using platform::revision;
using std::chrono::milliseconds;

namespace {

template<typename T>
void
Answer(boost::asio::io_context& aIo, handler<T> aHandler, result<T> aResult)
{
  boost::asio::post(
    aIo,
    [handler = std::move(aHandler), answer = std::move(aResult)]() mutable {
      handler(std::move(answer));
    });
}

} // namespace

memory_store::memory_store(boost::asio::io_context& aIo)
  : mIo(aIo)
{
}

revision
memory_store::Put(const std::string& aKey, std::string aValue)
{
  mRecords[aKey] = { aKey, std::move(aValue), ++mRevision };
  return mRevision;
}

std::string
memory_store::Value(const std::string& aKey) const
{
  const auto found = mRecords.find(aKey);
  return found == mRecords.end() ? std::string() : found->second.mValue;
}

std::vector<record>
memory_store::Find(const std::string& aPrefix) const
{
  std::vector<record> out;
  for (auto it = mRecords.lower_bound(aPrefix);
       it != mRecords.end() &&
       it->first.compare(0, aPrefix.size(), aPrefix) == 0;
       ++it) {
    out.push_back(it->second);
  }
  return out;
}

void
memory_store::Read(std::string aKey,
                   milliseconds /*aTimeout*/,
                   handler<std::optional<record>> aHandler)
{
  const auto found = mRecords.find(aKey);
  std::optional<record> out;
  if (found != mRecords.end()) {
    out = found->second;
  }
  Answer<std::optional<record>>(mIo, std::move(aHandler), std::move(out));
}

void
memory_store::List(std::string aPrefix,
                   milliseconds /*aTimeout*/,
                   handler<std::vector<record>> aHandler)
{
  Answer<std::vector<record>>(mIo, std::move(aHandler), Find(aPrefix));
}

void
memory_store::GrantLease(milliseconds /*aTtl*/,
                         milliseconds /*aTimeout*/,
                         handler<platform::lease_id> aHandler)
{
  Answer<platform::lease_id>(
    mIo, std::move(aHandler), platform::lease_id{ ++mRevision });
}

void
memory_store::RenewLease(platform::lease_id aLease,
                         milliseconds /*aTimeout*/,
                         handler<platform::lease_id> aHandler)
{
  Answer<platform::lease_id>(mIo, std::move(aHandler), aLease);
}

void
memory_store::RevokeLease(platform::lease_id aLease,
                          milliseconds /*aTimeout*/,
                          handler<platform::lease_id> aHandler)
{
  for (const std::string& each : mLeased[aLease.mValue]) {
    mRecords.erase(each);
  }
  mLeased.erase(aLease.mValue);
  Answer<platform::lease_id>(mIo, std::move(aHandler), aLease);
}

void
memory_store::ReleaseCommits()
{
  std::vector<held_commit> held;
  held.swap(mHeld);
  for (held_commit& each : held) {
    Commit(std::move(each.mTransaction), {}, std::move(each.mHandler));
  }
}

void
memory_store::Watch(std::string /*aPrefix*/,
                    revision aAfter,
                    milliseconds aWait,
                    handler<platform::change_batch> aHandler)
{
  auto waiting = std::make_shared<timer>(mIo, aWait);
  waiting->async_wait([waiting, aAfter, handler = std::move(aHandler)](
                        const boost::system::error_code& aAbort) {
    if (!aAbort) {
      handler(platform::change_batch{ {}, aAfter });
    }
  });
}

void
memory_store::Commit(platform::transaction aTransaction,
                     milliseconds /*aTimeout*/,
                     handler<platform::commit_outcome> aHandler)
{
  if (mHoldsCommits) {
    mHeld.push_back({ std::move(aTransaction), std::move(aHandler) });
    return;
  }
  const bool isTooLarge =
    std::any_of(aTransaction.mWrites.begin(),
                aTransaction.mWrites.end(),
                [this](const platform::key_write& aEach) {
                  return aEach.mValue.size() > mMaxValueBytes;
                });
  if (isTooLarge) {
    Answer<platform::commit_outcome>(mIo,
                                     std::move(aHandler),
                                     error{ error_code::kInvalidArgument,
                                            "store.commit",
                                            "",
                                            "a value is too large" });
    return;
  }
  platform::commit_outcome out;
  out.mCommitted = true;
  for (const platform::expectation& each : aTransaction.mExpectations) {
    const auto found = mRecords.find(each.mKey);
    const record present =
      found == mRecords.end() ? record{ each.mKey, "", 0 } : found->second;
    out.mCommitted = out.mCommitted && present.mRevision == each.mRevision;
    if (found != mRecords.end()) {
      out.mCurrentRecords.push_back(present);
    }
  }
  if (out.mCommitted) {
    out.mCurrentRecords.clear();
    out.mRevision = ++mRevision;
    for (platform::key_write& each : aTransaction.mWrites) {
      if (each.mLease) {
        mLeased[each.mLease->mValue].push_back(each.mKey);
      }
      mRecords[each.mKey] = { each.mKey,
                              std::move(each.mValue),
                              out.mRevision };
    }
    for (const std::string& each : aTransaction.mDeletes) {
      mRecords.erase(each);
    }
  }
  Answer<platform::commit_outcome>(mIo, std::move(aHandler), std::move(out));
}

std::shared_ptr<platform::pending_listing>
memory_store::ListForWatch(std::string aPrefix,
                           milliseconds /*aTimeout*/,
                           handler<platform::listing> aHandler)
{
  Answer<platform::listing>(
    mIo, std::move(aHandler), platform::listing{ Find(aPrefix), mRevision });
  return nullptr;
}

} // namespace mangospan::node::testing
