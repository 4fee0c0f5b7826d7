#include "mangospan/node/pool_watch.h"

#include <algorithm>
#include <utility>

#include "mangospan/base/log.h"

namespace mangospan::node {

using std::chrono::milliseconds;

namespace {

// The interval of regular exchanges. Urgent ones start at once.
constexpr milliseconds kExchangeInterval{ 100 };
// A state reported longer ago than this is not used.
constexpr milliseconds kMaxStateAge{ 1'000 };

} // namespace

pool_watch::pool_watch(const clock_source& aClock,
                       pool_link& aLink,
                       std::uint64_t aFleetTerm,
                       std::function<void()> aOnStateChanged)
  : mClock(aClock)
  , mLink(aLink)
  , mFleetTerm(aFleetTerm)
  , mOnStateChanged(std::move(aOnStateChanged))
  , mQuota(aFleetTerm)
{
}

void
pool_watch::Tick()
{
  const time_point now = mClock.Now();
  if (now < mNextExchange) {
    return;
  }
  mNextExchange = now + kExchangeInterval;
  const std::vector<service_name> pools = mLink.Pools();
  mQuota.SetPools(pools, mSharingPools);
  for (const service_name& each : pools) {
    StartExchange(each);
  }
}

bool
pool_watch::IsPolled(const service_name& aPool) const
{
  return mPools.count(aPool) > 0;
}

const pool_state*
pool_watch::StateOf(const service_name& aPool) const
{
  const auto found = mPools.find(aPool);
  const bool isKnown = found != mPools.end() && found->second.mState &&
                       mClock.Now() - found->second.mRequestedAt < kMaxStateAge;
  return isKnown ? &*found->second.mState : nullptr;
}

std::optional<std::uint64_t>
pool_watch::TermRevisionOf(const service_name& aPool) const
{
  const auto found = mPools.find(aPool);
  if (found == mPools.end() || !found->second.mState) {
    return std::nullopt;
  }
  return found->second.mState->mTermRevision;
}

void
pool_watch::SetCordoned(runners_by_pool aCordoned)
{
  const runners_by_pool before = std::exchange(mCordoned, std::move(aCordoned));
  for (const auto& [service, runners] : mCordoned) {
    const auto previous = before.find(service);
    const bool hasNewRunners =
      previous == before.end() || !std::includes(previous->second.begin(),
                                                 previous->second.end(),
                                                 runners.begin(),
                                                 runners.end());
    if (hasNewRunners && IsPolled(service)) {
      StartExchange(service);
    }
  }
}

void
pool_watch::Evict(const service_name& aPool, const jobs::runner_name& aRunner)
{
  const auto found = mPools.find(aPool);
  if (found == mPools.end()) {
    return;
  }
  auto& evictFrom = found->second.mEvictFrom;
  if (std::find(evictFrom.begin(), evictFrom.end(), aRunner) ==
      evictFrom.end()) {
    evictFrom.push_back(aRunner);
  }
}

void
pool_watch::ReportDead(const service_name& aPool,
                       const jobs::runner_name& aRunner)
{
  const auto found = mPools.find(aPool);
  if (found != mPools.end() && !aRunner.Empty()) {
    found->second.mDeadRunners.push_back(aRunner);
    StartExchange(aPool);
  }
}

void
pool_watch::StartExchange(const service_name& aPool)
{
  pool& target = mPools[aPool];
  if (target.mIsExchanging) {
    target.mIsExchangeRequested = true;
    return;
  }
  target.mIsExchanging = true;
  pool_instructions instructions;
  instructions.mFleetTerm = mFleetTerm;
  const auto cordoned = mCordoned.find(aPool);
  if (cordoned != mCordoned.end()) {
    instructions.mCordoned = cordoned->second;
  }
  if (target.mState) {
    // From now on the owner may start runs on runners that are not in the
    // instructions, even if it has reported them as cordoned before.
    for (auto& [runnerName, each] : target.mState->mRunners) {
      each.mIsCordoned =
        each.mIsCordoned && instructions.mCordoned.count(runnerName) > 0;
    }
  }
  instructions.mEvictFrom = std::move(target.mEvictFrom);
  target.mEvictFrom.clear();
  instructions.mDeadRunners = target.mDeadRunners;
  instructions.mQuota = mQuota.Instruct(aPool);
  mLink.Exchange(aPool,
                 std::move(instructions),
                 [self = shared_from_this(),
                  aPool,
                  deadRunners = target.mDeadRunners,
                  sentAt = mClock.Now()](const result<pool_state>& aResult) {
                   if (!self->mIsStopped) {
                     self->OnExchanged(aPool, sentAt, deadRunners, aResult);
                   }
                 });
}

void
pool_watch::OnExchanged(const service_name& aPool,
                        time_point aSentAt,
                        const std::vector<jobs::runner_name>& aDeadRunners,
                        const result<pool_state>& aResult)
{
  pool& target = mPools[aPool];
  target.mIsExchanging = false;
  if (aResult.has_error()) {
    const bool wasKnown = StateOf(aPool) != nullptr;
    if (wasKnown) { // logs only the first of consecutive failures
      LogError("pool.not_told", aResult.assume_error());
      target.mState.reset();
      target.mIsSilent = true;
    }
    return;
  }
  if (target.mIsSilent) {
    target.mIsSilent = false;
    const auto silence = mClock.Now() - target.mRequestedAt;
    LogEvent(log_level::kInfo,
             "pool.told_again",
             { { "service", aPool.Str() },
               { "silent_ms", CountMilliseconds(silence) } });
  }
  target.mState = aResult.assume_value();
  mQuota.OnReport(aPool, target.mState->mQuota);
  target.mRequestedAt = aSentAt;
  for (const jobs::runner_name& each : aDeadRunners) {
    target.mDeadRunners.erase(
      std::remove(target.mDeadRunners.begin(), target.mDeadRunners.end(), each),
      target.mDeadRunners.end());
  }
  if (target.mIsExchangeRequested) {
    target.mIsExchangeRequested = false;
    StartExchange(aPool);
  }
  mOnStateChanged();
}

} // namespace mangospan::node
