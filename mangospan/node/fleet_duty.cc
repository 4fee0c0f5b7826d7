#include "mangospan/node/fleet_duty.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "mangospan/base/log.h"
#include "mangospan/daemon/metrics.h"
#include "mangospan/node/election.h"

namespace mangospan::node {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kBusyListPeriod{ 400 };
// An order takes effect within this time, as a rule.
constexpr milliseconds kOrderTransit{ 150 };
// Hosts' clocks differ by less than this.
constexpr milliseconds kClockSlack{ 300 };
// Of what the owners of the pools tell, when nothing is urgent.
constexpr milliseconds kAskPeriod{ 100 };
// What a pool's owner told longer ago is not acted on.
constexpr milliseconds kStateAge{ 1'000 };
constexpr milliseconds kStatusTimeout{ 1'000 };
constexpr milliseconds kAnnounceTimeout{ 500 };

const char*
Name(host_order_outcome aOutcome)
{
  switch (aOutcome) {
    case host_order_outcome::kDone:
      return "done";
    case host_order_outcome::kFenced:
      return "fenced";
    case host_order_outcome::kBusy:
      return "busy";
    case host_order_outcome::kRefused:
      return "refused";
    case host_order_outcome::kNotDone:
      return "not_done";
    case host_order_outcome::kUnknown:
      return "unknown";
  }
  return "";
}

std::string
WaveRecordKey(std::uint64_t aWave)
{
  return "mangospan/waves/" + std::to_string(aWave);
}

} // namespace

fleet_duty::fleet_duty(fleet_dependencies aDependencies,
                       fleet_settings aSettings,
                       order_fence aFence,
                       platform::revision aTermRevision,
                       std::function<bool()> aMayOrder)
  : mDeps(aDependencies)
  , mSettings(aSettings)
  , mFence(std::move(aFence))
  , mTermKey(election::TermKey(FleetSubject()))
  , mTermRevision(aTermRevision)
  , mMayOrder(std::move(aMayOrder))
  , mTimer(aDependencies.mIo)
  , mPlan(jobs::upkeep_settings{})
  , mSizing(jobs::sizing_settings{})
{
}

void
fleet_duty::Start()
{
  mStartedAt = mDeps.mClock.Now();
  LoadOrders();
  Tick();
}

void
fleet_duty::LoadOrders()
{
  mDeps.mStore.Read(
    kHostOrdersKey,
    kStatusTimeout,
    [self = shared_from_this()](
      const result<std::optional<platform::record>>& aResult) {
      if (self->mIsStopped || self->mIsLoaded) {
        return;
      }
      if (aResult.has_error()) {
        LogError("hosts.orders_unknown", aResult.assume_error());
        return; // asked again at the next tick
      }
      self->mIsLoaded = true;
      if (!aResult.assume_value()) {
        return;
      }
      auto orders = DecodeHostOrders(aResult.assume_value()->mValue);
      if (orders.has_error()) {
        LogError("hosts.malformed_orders", orders.assume_error());
        return;
      }
      self->mOrders = std::move(orders).assume_value();
      for (const auto& [host, each] : self->mOrders) {
        self->mForeign.insert(host);
      }
    });
}

// The platform takes orders of two holders for one host only some time apart.
bool
fleet_duty::MayOrder(const host_name& aHost) const
{
  const auto ordered = mOrders.find(aHost);
  if (mForeign.count(aHost) == 0 || ordered == mOrders.end()) {
    return true;
  }
  return std::chrono::system_clock::now() - ordered->second.mAt >=
         mSettings.mHostLease + kClockSlack;
}

std::size_t
fleet_duty::Allowance(time_point aNow)
{
  while (!mRecentOrders.empty() &&
         aNow - mRecentOrders.front() >= std::chrono::seconds(1)) {
    mRecentOrders.pop_front();
  }
  return mSettings.mOrdersPerSecond -
         std::min(mSettings.mOrdersPerSecond, mRecentOrders.size());
}

void
fleet_duty::Announce(std::vector<jobs::upkeep_order> aUpkeep,
                     std::vector<jobs::move_order> aMoves)
{
  const auto now = std::chrono::system_clock::now();
  std::size_t allowance = Allowance(mDeps.mClock.Now());
  std::map<std::string, platform::revision> expected{ { mTermKey,
                                                        mTermRevision } };
  const auto keep = [&](const auto& aOrder) {
    const host_entry* const host = Find(aOrder.mHost);
    if (allowance == 0 || !MayOrder(aOrder.mHost) || host == nullptr) {
      return false;
    }
    const auto owner = mPools.find(host->mPool);
    if (owner != mPools.end() && owner->second.mState) {
      expected[election::TermKey(JobsSubject(host->mPool))] =
        owner->second.mState->mTermRevision;
    }
    --allowance;
    mRecentOrders.push_back(mDeps.mClock.Now());
    mOrders[aOrder.mHost] = { now, host->mRunner };
    mForeign.erase(aOrder.mHost);
    return true;
  };
  const auto refused =
    std::stable_partition(aUpkeep.begin(), aUpkeep.end(), keep);
  for (auto it = refused; it != aUpkeep.end(); ++it) {
    mPlan.OnNotDone(*it, mDeps.mClock.Now());
  }
  aUpkeep.erase(refused, aUpkeep.end());
  aMoves.erase(std::stable_partition(aMoves.begin(), aMoves.end(), keep),
               aMoves.end()); // the others stay in `mEmptying`
  if (aUpkeep.empty() && aMoves.empty()) {
    return;
  }
  for (const jobs::move_order& each : aMoves) {
    mSizing.OnMoving(each, mDeps.mClock.Now());
    mEmptying.erase(each.mHost);
  }
  for (auto it = mOrders.begin(); it != mOrders.end();) {
    it = now - it->second.mAt < 2 * mSettings.mHostLease ? std::next(it)
                                                         : mOrders.erase(it);
  }
  platform::transaction change;
  for (const auto& [key, revision] : expected) {
    change.mExpected.push_back({ key, revision });
  }
  change.mWrites.push_back(
    { kHostOrdersKey, 0, Encode(mOrders), std::nullopt });
  mIsAnnouncing = true;
  mDeps.mStore.Commit(
    std::move(change),
    kAnnounceTimeout,
    [self = shared_from_this(),
     upkeep = std::move(aUpkeep),
     moves =
       std::move(aMoves)](const result<platform::commit_outcome>& aResult) {
      self->mIsAnnouncing = false;
      const bool isDone =
        aResult.has_value() && aResult.assume_value().mCommitted;
      if (aResult.has_error()) {
        LogError("hosts.announce_failed", aResult.assume_error());
      } else if (!isDone) {
        LogEvent(log_level::kInfo, "hosts.announce_superseded", {});
      }
      self->Issue(upkeep, moves, isDone);
    });
}

void
fleet_duty::Issue(const std::vector<jobs::upkeep_order>& aUpkeep,
                  const std::vector<jobs::move_order>& aMoves,
                  bool aIsAnnounced)
{
  const bool mayOrder = aIsAnnounced && !mIsStopped && mMayOrder();
  for (const jobs::upkeep_order& each : aUpkeep) {
    if (mayOrder) {
      Maintain(each);
    } else {
      mPlan.OnNotDone(each, mDeps.mClock.Now());
    }
  }
  for (const jobs::move_order& each : aMoves) {
    if (mayOrder) {
      Move(each);
    } else {
      mSizing.OnNotMoved(each.mHost);
    }
  }
}

void
fleet_duty::Stop()
{
  mIsStopped = true;
  mTimer.cancel();
}

void
fleet_duty::OnWave(const wave_request& aWave)
{
  const time_point now = mDeps.mClock.Now();
  LogEvent(log_level::kInfo,
           "wave.requested",
           { { "wave", aWave.mNumber },
             { "hosts", static_cast<std::uint64_t>(aWave.mHosts.size()) },
             { "max_down", static_cast<std::uint64_t>(aWave.mMaxDown) },
             { "complete_by_ms",
               static_cast<std::int64_t>(aWave.mCompleteBy.count()) } });
  mPlan.AddWave(
    aWave.mNumber, aWave.mHosts, now + aWave.mCompleteBy, aWave.mMaxDown);
  mDeps.mStore.Read(
    WaveRecordKey(aWave.mNumber),
    kStatusTimeout,
    [self = shared_from_this(), number = aWave.mNumber](
      const result<std::optional<platform::record>>& aResult) {
      if (self->mIsStopped || aResult.has_error() || !aResult.assume_value()) {
        return; // repeated upkeep of a host is no harm
      }
      const json hosts =
        json::parse(aResult.assume_value()->mValue, nullptr, false);
      std::vector<host_name> maintained;
      for (const json& each : hosts) {
        if (each.is_string()) {
          maintained.push_back(host_name{ each.get<std::string>() });
        }
      }
      self->mPlan.AddMaintained(number, maintained);
    });
}

void
fleet_duty::Tick()
{
  if (mIsStopped) {
    return;
  }
  if (mDeps.mClock.Now() >= mNextList && !mIsListing) {
    List();
  }
  AskPools();
  Act();
  ReportWaves();
  mTimer.expires_after(mSettings.mTick);
  mTimer.async_wait(
    [self = shared_from_this()](const boost::system::error_code& aAbort) {
      if (!aAbort) {
        self->Tick();
      }
    });
}

void
fleet_duty::List()
{
  mIsListing = true;
  const time_point sentAt = mDeps.mClock.Now();
  mNextList = sentAt + kBusyListPeriod;
  mDeps.mHosts.List([self = shared_from_this(),
                     sentAt](result<std::vector<host_entry>> aResult) {
    self->mIsListing = false;
    if (self->mIsStopped) {
      return;
    }
    if (aResult.has_error()) {
      LogError("hosts.list_failed", aResult.assume_error());
      return;
    }
    self->mHosts = std::move(aResult).assume_value();
    self->mListedAt = sentAt;
  });
}

const pool_state*
fleet_duty::StateOf(const service_name& aPool) const
{
  const auto found = mPools.find(aPool);
  const bool isKnown = found != mPools.end() && found->second.mState &&
                       mDeps.mClock.Now() - found->second.mStateAt < kStateAge;
  return isKnown ? &*found->second.mState : nullptr;
}

void
fleet_duty::AskPools()
{
  const time_point now = mDeps.mClock.Now();
  if (now < mNextAsk) {
    return;
  }
  mNextAsk = now + kAskPeriod;
  for (const service_name& each : mDeps.mPools.Pools()) {
    Ask(each);
  }
}

void
fleet_duty::Ask(const service_name& aPool)
{
  pool& asked = mPools[aPool];
  if (asked.mIsAsking) {
    asked.mIsAskedAgain = true;
    return;
  }
  asked.mIsAsking = true;
  pool_instructions instructions;
  instructions.mFleetTerm = mFence.mTerm;
  for (const host_entry& each : mHosts) {
    if (each.mPool == aPool && mClosed.count(each.mRunner) > 0) {
      instructions.mClosed.insert(each.mRunner);
    }
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
  mDeps.mPools.Exchange(
    aPool,
    std::move(instructions),
    [self = shared_from_this(),
     aPool,
     dead = asked.mDead,
     sentAt = mDeps.mClock.Now()](const result<pool_state>& aResult) {
      if (!self->mIsStopped) {
        self->OnState(aPool, sentAt, dead, aResult);
      }
    });
}

void
fleet_duty::OnState(const service_name& aPool,
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
  if (!mEmptying.empty()) {
    Act();
  }
}

std::map<service_name, jobs::pool_load>
fleet_duty::Loads() const
{
  std::map<service_name, jobs::pool_load> loads;
  for (const auto& [service, each] : mCatalog.mServices) {
    const pool_state* const state = StateOf(service);
    if (!each.mSpare && state != nullptr) {
      loads[service] = state->mLoad;
    }
  }
  return loads;
}

// A host of a pool whose owner does not tell is left alone.
void
fleet_duty::AddRunnerState(jobs::host_view& aView,
                           const host_entry& aHost) const
{
  if (mPools.count(aHost.mPool) == 0) {
    aView.mIsKnown = true; // a pool without jobs
    return;
  }
  const pool_state* const state = StateOf(aHost.mPool);
  if (state == nullptr) {
    aView.mIsUnfit = true;
    return;
  }
  const auto found = state->mRunners.find(aHost.mRunner);
  if (found == state->mRunners.end()) {
    aView.mIsKnown = aHost.mRunner.Empty() || state->mKnowsOthers;
    return;
  }
  const runner_state& runner = found->second;
  aView.mIsKnown = runner.mIsKnown && runner.mIsClosed;
  aView.mIsUnfit = runner.mIsUnfit;
  aView.mIsSettled = runner.mIsSettled;
  aView.mRuns = runner.mRuns;
  aView.mLasting = runner.mLasting;
}

std::vector<jobs::host_view>
fleet_duty::HostViews() const
{
  std::vector<jobs::host_view> views;
  for (const host_entry& each : mHosts) {
    jobs::host_view view;
    view.mHost = each.mHost;
    view.mPool = each.mPool;
    view.mIsUp = each.mState == host_state::kUp;
    view.mIsInUpkeep = each.mState == host_state::kUpkeep;
    const auto pool = mCatalog.mServices.find(each.mPool);
    view.mIsSpare = pool != mCatalog.mServices.end() && pool->second.mSpare;
    view.mCapacity = each.mCapacity;
    AddRunnerState(view, each);
    views.push_back(std::move(view));
  }
  return views;
}

void
fleet_duty::Act()
{
  if (!mIsLoaded) {
    LoadOrders();
    return;
  }
  if (mHosts.empty() || mIsAnnouncing || !mMayOrder()) {
    return;
  }
  if (mFence.mTerm > 1 && mListedAt < mStartedAt + kOrderTransit) {
    return; // an order of the predecessor may not show in the listing yet
  }
  const time_point now = mDeps.mClock.Now();
  for (const auto& [host, each] : mEmptying) {
    mSizing.OnMoving(each, now); // not ordered yet, so it can not have arrived
  }
  const std::vector<jobs::host_view> views = HostViews();
  const jobs::upkeep_decision upkeep = mPlan.Decide(views, mListedAt, now);
  BeginMoves(mSizing.Decide(
    Loads(), SparePool(), views, upkeep.mClosed, mListedAt, now));
  SetClosed(upkeep.mClosed);
  Evict(upkeep.mEvict);
  Announce(upkeep.mOrders, MovesThatMayGo(views));
}

// A host that holds nothing can not be moved before its runner is closed.
void
fleet_duty::BeginMoves(const std::vector<jobs::move_order>& aMoves)
{
  for (const jobs::move_order& each : aMoves) {
    if (MayOrder(each.mHost)) {
      mEmptying.emplace(each.mHost, each);
      mSizing.OnMoving(each, mDeps.mClock.Now());
    }
  }
}

std::vector<jobs::move_order>
fleet_duty::MovesThatMayGo(const std::vector<jobs::host_view>& aHosts)
{
  std::map<host_name, const jobs::host_view*> views;
  for (const jobs::host_view& each : aHosts) {
    views.emplace(each.mHost, &each);
  }
  std::vector<jobs::move_order> out;
  for (auto it = mEmptying.begin(); it != mEmptying.end();) {
    const auto view = views.find(it->first);
    const bool isGone = view == views.end() || !view->second->mIsUp;
    if (isGone || view->second->mRuns > 0) { // or was given something meanwhile
      mSizing.OnNotMoved(it->first);
      it = mEmptying.erase(it);
      continue;
    }
    if (view->second->mIsKnown) {
      out.push_back(it->second);
    }
    ++it;
  }
  return out;
}

// The owners are told at once of what has changed.
void
fleet_duty::SetClosed(const std::set<host_name>& aUpkeep)
{
  std::set<host_name> hosts = mSizing.Leaving();
  hosts.insert(aUpkeep.begin(), aUpkeep.end());
  std::set<jobs::runner_name> closed;
  std::set<service_name> changed;
  for (const host_entry& each : mHosts) {
    const bool isClosed = !each.mRunner.Empty() && hosts.count(each.mHost) > 0;
    if (isClosed) {
      closed.insert(each.mRunner);
    }
    if (isClosed && mClosed.count(each.mRunner) == 0 &&
        mPools.count(each.mPool) > 0) {
      changed.insert(each.mPool);
    }
  }
  mClosed = std::move(closed);
  for (const service_name& each : changed) {
    Ask(each);
  }
}

void
fleet_duty::SetCatalog(const jobs::catalog& aCatalog)
{
  mCatalog = aCatalog;
}

const host_entry*
fleet_duty::Find(const host_name& aHost) const
{
  const auto found = std::find_if(
    mHosts.begin(), mHosts.end(), [&aHost](const host_entry& aEntry) {
      return aEntry.mHost == aHost;
    });
  return found == mHosts.end() ? nullptr : &*found;
}

void
fleet_duty::Evict(const std::vector<host_name>& aHosts)
{
  for (const host_name& each : aHosts) {
    const host_entry* const host = Find(each);
    const auto pool = host == nullptr ? mPools.end() : mPools.find(host->mPool);
    if (pool != mPools.end()) {
      auto& evict = pool->second.mEvict;
      if (std::find(evict.begin(), evict.end(), host->mRunner) == evict.end()) {
        evict.push_back(host->mRunner);
      }
    }
  }
}

// Nothing runs there any more: the order has ended the runner's life.
void
fleet_duty::TellDead(const host_entry& aHost)
{
  const auto pool = mPools.find(aHost.mPool);
  if (pool != mPools.end() && !aHost.mRunner.Empty()) {
    pool->second.mDead.push_back(aHost.mRunner);
    Ask(aHost.mPool);
  }
}

service_name
fleet_duty::SparePool() const
{
  for (const auto& [service, each] : mCatalog.mServices) {
    if (each.mSpare) {
      return service;
    }
  }
  return {};
}

void
fleet_duty::Move(const jobs::move_order& aOrder)
{
  const host_entry* const found = Find(aOrder.mHost);
  const host_entry host = found == nullptr ? host_entry() : *found;
  mDeps.mHosts.Move(
    mFence,
    aOrder.mHost,
    aOrder.mPool,
    [self = shared_from_this(), aOrder, host](host_order_outcome aOutcome) {
      LogEvent(log_level::kInfo,
               "host.move",
               { { "host", aOrder.mHost.Str() },
                 { "pool", aOrder.mPool.Str() },
                 { "outcome", Name(aOutcome) } });
      if (self->mIsStopped) {
        return;
      }
      const time_point now = self->mDeps.mClock.Now();
      if (aOutcome == host_order_outcome::kDone) {
        self->mSizing.OnMoving(aOrder, now);
        self->TellDead(host);
      } else if (aOutcome != host_order_outcome::kUnknown) {
        self->mSizing.OnNotMoved(aOrder.mHost);
      }
    });
}

void
fleet_duty::Maintain(const jobs::upkeep_order& aOrder)
{
  if (!mInFlight.insert(aOrder.mHost).second) {
    return;
  }
  const host_entry* const found = Find(aOrder.mHost);
  const host_entry host = found == nullptr ? host_entry() : *found;
  mDeps.mHosts.Maintain(
    mFence,
    aOrder.mHost,
    aOrder.mWave,
    [self = shared_from_this(), aOrder, host](host_order_outcome aOutcome) {
      self->mInFlight.erase(aOrder.mHost);
      LogEvent(log_level::kInfo,
               "host.upkeep",
               { { "host", aOrder.mHost.Str() },
                 { "wave", aOrder.mWave },
                 { "outcome", Name(aOutcome) } });
      if (self->mIsStopped) {
        return;
      }
      const time_point now = self->mDeps.mClock.Now();
      switch (aOutcome) {
        case host_order_outcome::kDone:
          self->mPlan.OnBegun(aOrder, now);
          self->TellDead(host);
          self->KeepRecord(aOrder.mWave);
          break;
        case host_order_outcome::kRefused:
          self->mPlan.OnRefused(aOrder);
          break;
        case host_order_outcome::kUnknown:
          self->mPlan.OnUnknown(aOrder, now);
          break;
        default:
          self->mPlan.OnNotDone(aOrder, now);
          break;
      }
    });
}

// Tells a later owner which hosts need no second upkeep.
void
fleet_duty::KeepRecord(std::uint64_t aWave)
{
  json hosts = json::array();
  for (const host_name& each : mPlan.Maintained(aWave)) {
    hosts.push_back(each.Str());
  }
  platform::transaction change;
  change.mExpected.push_back({ mTermKey, mTermRevision });
  change.mWrites.push_back(
    { WaveRecordKey(aWave), 0, hosts.dump(), std::nullopt });
  mDeps.mStore.Commit(std::move(change),
                      kStatusTimeout,
                      [](const result<platform::commit_outcome>& aResult) {
                        if (aResult.has_error()) {
                          LogError("wave.record_failed",
                                   aResult.assume_error());
                        }
                      });
}

void
fleet_duty::ReportWaves()
{
  if (mIsReporting) {
    return;
  }
  for (const std::uint64_t each : mPlan.Waves()) {
    const bool isCompleted = mPlan.IsCompleted(each);
    const auto reported = mReported.find(each);
    if (reported != mReported.end() && reported->second == isCompleted) {
      continue;
    }
    platform::transaction change;
    change.mExpected.push_back({ mTermKey, mTermRevision });
    change.mWrites.push_back(
      { mDeps.mFormat.WaveStatusKey(each),
        0,
        mDeps.mFormat.EncodeWaveStatus(each, isCompleted),
        std::nullopt });
    mIsReporting = true;
    mDeps.mStore.Commit(
      std::move(change),
      kStatusTimeout,
      [self = shared_from_this(), each, isCompleted](
        const result<platform::commit_outcome>& aResult) {
        self->mIsReporting = false;
        if (aResult.has_value() && aResult.assume_value().mCommitted) {
          self->mReported[each] = isCompleted;
          LogEvent(log_level::kInfo,
                   "wave.reported",
                   { { "wave", each }, { "completed", isCompleted } });
        } else if (aResult.has_error()) {
          LogError("wave.status_failed", aResult.assume_error());
        }
      });
    return;
  }
}

} // namespace mangospan::node
