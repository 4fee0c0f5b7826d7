#include "mangospan/node/pool_watch.h"

#include <algorithm>
#include <utility>

#include "mangospan/base/log.h"

namespace mangospan::node {

using std::chrono::milliseconds;

namespace {

// Of the questions, when nothing is urgent.
constexpr milliseconds kAskPeriod{ 100 };
// What an owner told longer ago is not acted on.
constexpr milliseconds kStateAge{ 1'000 };

} // namespace

pool_watch::pool_watch(const clock_source& aClock,
                       pool_link& aLink,
                       std::uint64_t aFleetTerm,
                       std::function<void()> aOnState)
  : mClock(aClock)
  , mLink(aLink)
  , mFleetTerm(aFleetTerm)
  , mOnState(std::move(aOnState))
{
}

void
pool_watch::Tick()
{
  const time_point now = mClock.Now();
  if (now < mNextAsk) {
    return;
  }
  mNextAsk = now + kAskPeriod;
  for (const service_name& each : mLink.Pools()) {
    Ask(each);
  }
}

bool
pool_watch::HasJobs(const service_name& aPool) const
{
  return mPools.count(aPool) > 0;
}

const pool_state*
pool_watch::StateOf(const service_name& aPool) const
{
  const auto found = mPools.find(aPool);
  const bool isKnown = found != mPools.end() && found->second.mState &&
                       mClock.Now() - found->second.mStateAt < kStateAge;
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
pool_watch::SetClosed(runners_of_pools aClosed)
{
  const runners_of_pools before = std::exchange(mClosed, std::move(aClosed));
  for (const auto& [service, runners] : mClosed) {
    const auto known = before.find(service);
    const bool hasMore =
      known == before.end() || !std::includes(known->second.begin(),
                                              known->second.end(),
                                              runners.begin(),
                                              runners.end());
    if (hasMore && HasJobs(service)) {
      Ask(service);
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
  auto& evict = found->second.mEvict;
  if (std::find(evict.begin(), evict.end(), aRunner) == evict.end()) {
    evict.push_back(aRunner);
  }
}

void
pool_watch::TellDead(const service_name& aPool,
                     const jobs::runner_name& aRunner)
{
  const auto found = mPools.find(aPool);
  if (found != mPools.end() && !aRunner.Empty()) {
    found->second.mDead.push_back(aRunner);
    Ask(aPool);
  }
}

void
pool_watch::Ask(const service_name& aPool)
{
  pool& asked = mPools[aPool];
  if (asked.mIsAsking) {
    asked.mIsAskedAgain = true;
    return;
  }
  asked.mIsAsking = true;
  pool_instructions instructions;
  instructions.mFleetTerm = mFleetTerm;
  const auto closed = mClosed.find(aPool);
  if (closed != mClosed.end()) {
    instructions.mClosed = closed->second;
  }
  if (asked.mState) {
    // The owner may start something on the others from now on, whatever it has
    // told before.
    for (auto& [runnerName, each] : asked.mState->mRunners) {
      each.mIsClosed =
        each.mIsClosed && instructions.mClosed.count(runnerName) > 0;
    }
  }
  instructions.mEvict = std::move(asked.mEvict);
  asked.mEvict.clear();
  instructions.mDead = asked.mDead;
  mLink.Exchange(aPool,
                 std::move(instructions),
                 [self = shared_from_this(),
                  aPool,
                  dead = asked.mDead,
                  sentAt = mClock.Now()](const result<pool_state>& aResult) {
                   if (!self->mIsStopped) {
                     self->OnState(aPool, sentAt, dead, aResult);
                   }
                 });
}

void
pool_watch::OnState(const service_name& aPool,
                    time_point aSentAt,
                    const std::vector<jobs::runner_name>& aDead,
                    const result<pool_state>& aResult)
{
  pool& asked = mPools[aPool];
  asked.mIsAsking = false;
  if (aResult.has_error()) {
    const bool wasKnown = StateOf(aPool) != nullptr;
    if (wasKnown) { // told once for each time that it is lost
      LogError("pool.not_told", aResult.assume_error());
      asked.mState.reset();
    }
    return;
  }
  asked.mState = aResult.assume_value();
  asked.mStateAt = aSentAt;
  for (const jobs::runner_name& each : aDead) {
    asked.mDead.erase(std::remove(asked.mDead.begin(), asked.mDead.end(), each),
                      asked.mDead.end());
  }
  if (asked.mIsAskedAgain) {
    asked.mIsAskedAgain = false;
    Ask(aPool);
  }
  mOnState();
}

} // namespace mangospan::node
