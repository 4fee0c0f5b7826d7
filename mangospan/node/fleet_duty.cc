#include "mangospan/node/fleet_duty.h"

#include <algorithm>
#include <utility>

#include "mangospan/base/log.h"
#include "mangospan/node/election.h"
#include "mangospan/node/wall_clock.h"

namespace mangospan::node {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kBusyListPeriod{ 400 };
// An order takes effect within this time, as a rule.
constexpr milliseconds kOrderTransit{ 150 };
// Hosts' clocks differ by less than this.
constexpr milliseconds kClockSlack{ 300 };
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

} // namespace

fleet_duty::fleet_duty(fleet_dependencies aDependencies,
                       fleet_settings aSettings,
                       order_fence aFence,
                       platform::revision aTermRevision,
                       std::function<bool()> aMayOrder)
  : mDeps(aDependencies)
  , mSettings(aSettings)
  , mFence(std::move(aFence))
  , mTermFence{ election::TermKey(FleetSubject()), aTermRevision }
  , mMayOrder(std::move(aMayOrder))
  , mTimer(aDependencies.mIo)
  , mPools(std::make_shared<pool_watch>(mDeps.mClock,
                                        mDeps.mPools,
                                        mFence.mTerm,
                                        [this] { OnPoolState(); }))
  , mWaves(
      std::make_shared<wave_records>(mDeps.mStore, mDeps.mFormat, mTermFence))
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
  return WallNow() - ordered->second.mAt >= mSettings.mHostLease + kClockSlack;
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
  const auto now = WallNow();
  std::size_t allowance = Allowance(mDeps.mClock.Now());
  std::map<std::string, platform::revision> expected; // of the pools' owners
  const auto keep = [&](const auto& aOrder) {
    const host_entry* const host = Find(aOrder.mHost);
    if (allowance == 0 || !MayOrder(aOrder.mHost) || host == nullptr) {
      return false;
    }
    if (const auto revision = mPools->TermRevisionOf(host->mPool)) {
      expected[election::TermKey(JobsSubject(host->mPool))] = *revision;
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
  platform::transaction change = mTermFence.Begin();
  for (const auto& [key, revision] : expected) {
    change.mExpected.push_back({ key, revision });
  }
  change.mWrites.push_back({ kHostOrdersKey, Encode(mOrders), std::nullopt });
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
  mPools->Stop();
  mWaves->Stop();
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
  mWaves->Load(
    aWave.mNumber,
    [this, number = aWave.mNumber](const std::vector<host_name>& aMaintained) {
      mPlan.AddMaintained(number, aMaintained);
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
  mPools->Tick();
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

std::map<service_name, jobs::pool_load>
fleet_duty::Loads() const
{
  std::map<service_name, jobs::pool_load> loads;
  for (const auto& [service, each] : mCatalog.mServices) {
    const pool_state* const state = mPools->StateOf(service);
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
  if (!mPools->HasJobs(aHost.mPool)) {
    aView.mIsKnown = true; // a pool without jobs
    return;
  }
  const pool_state* const state = mPools->StateOf(aHost.mPool);
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

void
fleet_duty::SetClosed(const std::set<host_name>& aUpkeep)
{
  std::set<host_name> hosts = mSizing.Leaving();
  hosts.insert(aUpkeep.begin(), aUpkeep.end());
  runners_of_pools closed;
  for (const host_entry& each : mHosts) {
    if (!each.mRunner.Empty() && hosts.count(each.mHost) > 0) {
      closed[each.mPool].insert(each.mRunner);
    }
  }
  mPools->SetClosed(std::move(closed));
}

// A host that waits for its runner to be closed may go now.
void
fleet_duty::OnPoolState()
{
  if (!mEmptying.empty()) {
    Act();
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

// As it was listed last; the order may outlast the listing.
host_entry
fleet_duty::HostOf(const host_name& aHost) const
{
  const host_entry* const found = Find(aHost);
  return found == nullptr ? host_entry() : *found;
}

void
fleet_duty::Evict(const std::vector<host_name>& aHosts)
{
  for (const host_name& each : aHosts) {
    if (const host_entry* const host = Find(each)) {
      mPools->Evict(host->mPool, host->mRunner);
    }
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
  const host_entry host = HostOf(aOrder.mHost);
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
        self->mPools->TellDead(host.mPool, host.mRunner);
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
  const host_entry host = HostOf(aOrder.mHost);
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
          self->mPools->TellDead(host.mPool, host.mRunner);
          self->mWaves->Keep(aOrder.mWave,
                             self->mPlan.Maintained(aOrder.mWave));
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

void
fleet_duty::ReportWaves()
{
  for (const std::uint64_t each : mPlan.Waves()) {
    const bool isCompleted = mPlan.IsCompleted(each);
    if (mWaves->IsReportDue(each, isCompleted)) {
      mWaves->Report(each, isCompleted);
      return;
    }
  }
}

} // namespace mangospan::node
