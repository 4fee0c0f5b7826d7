#include "mangospan/node/fleet_controller.h"

#include <algorithm>
#include <utility>

#include "mangospan/base/log.h"
#include "mangospan/base/timer.h"
#include "mangospan/node/election.h"

namespace mangospan::node {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kListInterval{ 400 };
// An order usually takes effect within this time.
constexpr milliseconds kOrderPropagationTime{ 150 };
// An order without an answer may still be executed within this time.
constexpr milliseconds kLateOrderTime{ 2'000 };
constexpr milliseconds kReadTimeout{ 1'000 };
// If the latest listing is older than this, no orders are sent, and hosts that
// wait for one are uncordoned.
constexpr milliseconds kMaxListingAge{ 3'000 };
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
    case host_order_outcome::kNotExecuted:
      return "not_done";
    case host_order_outcome::kUnknown:
      return "unknown";
  }
  return "";
}

std::optional<std::uint64_t>
WaveOf(const jobs::maintenance_order& aOrder)
{
  return aOrder.mWave;
}

std::optional<std::uint64_t>
WaveOf(const jobs::move_order& /*aOrder*/)
{
  return std::nullopt;
}

bool
HaveSameCaps(const jobs::catalog& aLeft, const jobs::catalog& aRight)
{
  const auto haveSameCap = [](const auto& aOne, const auto& aOther) {
    const resources& one = aOne.second.mCap;
    const resources& other = aOther.second.mCap;
    return aOne.first == aOther.first && one.FitsIn(other) && other.FitsIn(one);
  };
  return std::equal(aLeft.mCustomers.begin(),
                    aLeft.mCustomers.end(),
                    aRight.mCustomers.begin(),
                    aRight.mCustomers.end(),
                    haveSameCap);
}

} // namespace

fleet_controller::fleet_controller(fleet_controller_dependencies aDependencies,
                                   fleet_controller_settings aSettings,
                                   order_fence aFence,
                                   platform::revision aTermRevision,
                                   std::function<bool()> aIsOwner)
  : mDeps(aDependencies)
  , mSettings(aSettings)
  , mFence(std::move(aFence))
  , mTermFence{ election::TermKey(FleetSubject()), aTermRevision }
  , mIsOwner(std::move(aIsOwner))
  , mTimer(aDependencies.mIo)
  , mPoolWatch(std::make_shared<pool_watch>(mDeps.mClock,
                                            mDeps.mPools,
                                            mFence.mTerm,
                                            [this] { OnPoolStateChanged(); }))
  , mWaveRecords(
      std::make_shared<wave_records>(mDeps.mStore, mDeps.mFormat, mTermFence))
  , mMaintenancePlanner(jobs::maintenance_settings{})
  , mAutoscaler(jobs::autoscaler_settings{})
{
}

void
fleet_controller::Start()
{
  mStartedAt = mDeps.mClock.Now();
  LoadOrders();
  Tick();
}

void
fleet_controller::LoadOrders()
{
  mDeps.mStore.Read(
    kHostOrdersKey,
    kReadTimeout,
    [self = shared_from_this()](
      const result<std::optional<platform::record>>& aResult) {
      if (self->mIsStopped || self->mAreOrdersLoaded) {
        return;
      }
      if (aResult.has_error()) {
        LogError("hosts.orders_unknown", aResult.assume_error());
        return; // the next tick retries
      }
      self->mAreOrdersLoaded = true;
      if (!aResult.assume_value()) {
        return;
      }
      auto orders = DecodeHostOrders(aResult.assume_value()->mValue);
      if (orders.has_error()) {
        LogError("hosts.malformed_orders", orders.assume_error());
        return;
      }
      self->OnOrdersLoaded(orders.assume_value());
    });
}

// The record was written before this node was elected. Its writer may have sent
// the orders until the announcement's timeout.
void
fleet_controller::OnOrdersLoaded(const host_orders& aOrders)
{
  for (const auto& [host, each] : aOrders) {
    const time_point sentBy =
      mStartedAt + kAnnounceTimeout + kOrderPropagationTime;
    mOrders[host] = {
      sentBy + each.mReservedFor, each.mRunner, each.mWave, true
    };
    if (each.mWave) {
      mMaintenancePlanner.AddUnsettledOrder({ host, *each.mWave });
    }
  }
}

bool
fleet_controller::IsOrderAccepted(const host_name& aHost) const
{
  const auto ordered = mOrders.find(aHost);
  return ordered == mOrders.end() || !ordered->second.mIsOfPredecessor ||
         mDeps.mClock.Now() >= ordered->second.mReservedUntil;
}

// The next announcement tells a successor that no order to the host is in
// doubt.
void
fleet_controller::OnOrderSettled(const host_name& aHost)
{
  const auto ordered = mOrders.find(aHost);
  if (ordered != mOrders.end()) {
    ordered->second.mWave.reset();
  }
}

void
fleet_controller::ForgetOldOrders(time_point aNow)
{
  for (auto it = mOrders.begin(); it != mOrders.end();) {
    const time_point forgetAt =
      it->second.mReservedUntil + mSettings.mMinOrderGapBetweenOwners;
    const bool isNeeded =
      aNow < forgetAt || mMaintenancePlanner.IsUnsettled(it->first);
    it = isNeeded ? std::next(it) : mOrders.erase(it);
  }
}

host_orders
fleet_controller::EncodableOrders(time_point aNow) const
{
  host_orders out;
  for (const auto& [host, each] : mOrders) {
    const auto reserved = std::max(each.mReservedUntil, aNow) - aNow;
    out[host] = { std::chrono::ceil<milliseconds>(reserved),
                  each.mRunner,
                  each.mWave };
  }
  return out;
}

std::size_t
fleet_controller::RemainingOrders(time_point aNow)
{
  while (!mRecentOrders.empty() &&
         aNow - mRecentOrders.front() >= std::chrono::seconds(1)) {
    mRecentOrders.pop_front();
  }
  return mSettings.mMaxOrdersPerSecond -
         std::min(mSettings.mMaxOrdersPerSecond, mRecentOrders.size());
}

void
fleet_controller::AnnounceOrders(
  std::vector<jobs::maintenance_order> aMaintenance,
  std::vector<jobs::move_order> aMoves)
{
  const time_point now = mDeps.mClock.Now();
  std::size_t remaining = RemainingOrders(now);
  // The revision of the term key of each pool's owner.
  std::map<std::string, platform::revision> expected;
  const auto admit = [&](const auto& aOrder) {
    const host_entry* const host = FindHost(aOrder.mHost);
    if (remaining == 0 || !IsOrderAccepted(aOrder.mHost) || host == nullptr) {
      return false;
    }
    if (const auto revision = mPoolWatch->TermRevisionOf(host->mPool)) {
      expected[election::TermKey(JobsSubject(host->mPool))] = *revision;
    }
    --remaining;
    mRecentOrders.push_back(now);
    mOrders[aOrder.mHost] = { now + mSettings.mMinOrderGapBetweenOwners,
                              host->mRunner,
                              WaveOf(aOrder),
                              false };
    return true;
  };
  const auto deferred =
    std::stable_partition(aMaintenance.begin(), aMaintenance.end(), admit);
  for (auto it = deferred; it != aMaintenance.end(); ++it) {
    mMaintenancePlanner.OnNotExecuted(*it, now);
  }
  aMaintenance.erase(deferred, aMaintenance.end());
  aMoves.erase(std::stable_partition(aMoves.begin(), aMoves.end(), admit),
               aMoves.end()); // deferred moves stay in `mPendingMoves`
  if (aMaintenance.empty() && aMoves.empty()) {
    return;
  }
  for (const jobs::move_order& each : aMoves) {
    mAutoscaler.OnMovePending(each, now);
    mPendingMoves.erase(each.mHost);
    mUnansweredMoves.insert_or_assign(each.mHost, each);
  }
  ForgetOldOrders(now);
  platform::transaction change = mTermFence.Begin();
  for (const auto& [key, revision] : expected) {
    change.mExpectations.push_back({ key, revision });
  }
  change.mWrites.push_back(
    { kHostOrdersKey, Encode(EncodableOrders(now)), std::nullopt });
  mIsAnnouncementInFlight = true;
  mDeps.mStore.Commit(
    std::move(change),
    kAnnounceTimeout,
    [self = shared_from_this(),
     maintenance = std::move(aMaintenance),
     moves =
       std::move(aMoves)](const result<platform::commit_outcome>& aResult) {
      self->mIsAnnouncementInFlight = false;
      const bool isCommitted =
        aResult.has_value() && aResult.assume_value().mCommitted;
      if (aResult.has_error()) {
        LogError("hosts.announce_failed", aResult.assume_error());
      } else if (!isCommitted) {
        LogEvent(log_level::kInfo, "hosts.announce_superseded", {});
      }
      self->IssueOrders(maintenance, moves, isCommitted);
    });
}

void
fleet_controller::IssueOrders(
  const std::vector<jobs::maintenance_order>& aMaintenance,
  const std::vector<jobs::move_order>& aMoves,
  bool aIsAnnounced)
{
  const bool mayOrder = aIsAnnounced && !mIsStopped && mIsOwner();
  for (const jobs::maintenance_order& each : aMaintenance) {
    if (mayOrder) {
      Maintain(each);
    } else {
      mMaintenancePlanner.OnNotExecuted(each, mDeps.mClock.Now());
    }
  }
  for (const jobs::move_order& each : aMoves) {
    if (mayOrder) {
      Move(each);
    } else {
      mUnansweredMoves.erase(each.mHost);
      mAutoscaler.OnMoveNotExecuted(each.mHost);
    }
  }
}

void
fleet_controller::Stop()
{
  mIsStopped = true;
  mPoolWatch->Stop();
  mWaveRecords->Stop();
  mTimer.cancel();
}

void
fleet_controller::OnWave(const wave_request& aWave)
{
  const time_point now = mDeps.mClock.Now();
  LogEvent(log_level::kInfo,
           "wave.requested",
           { { "wave", aWave.mNumber },
             { "hosts", static_cast<std::uint64_t>(aWave.mHosts.size()) },
             { "max_down", static_cast<std::uint64_t>(aWave.mMaxDown) },
             { "complete_by_ms",
               static_cast<std::int64_t>(aWave.mCompleteWithin.count()) } });
  mMaintenancePlanner.AddWave(
    aWave.mNumber, aWave.mHosts, now + aWave.mCompleteWithin, aWave.mMaxDown);
  mWaveRecords->LoadMaintainedHosts(
    aWave.mNumber,
    [this, number = aWave.mNumber](const std::vector<host_name>& aMaintained) {
      mMaintenancePlanner.AddMaintainedHosts(number, aMaintained);
    });
}

void
fleet_controller::Tick()
{
  if (mIsStopped) {
    return;
  }
  if (mDeps.mClock.Now() >= mNextList && !mIsListing) {
    List();
  }
  mPoolWatch->Tick();
  Reconcile();
  ReportWaves();
  mTimer.expires_after(mSettings.mTickInterval);
  mTimer.async_wait(
    [self = shared_from_this()](const boost::system::error_code& aTimerError) {
      if (!aTimerError) {
        self->Tick();
      }
    });
}

void
fleet_controller::List()
{
  mIsListing = true;
  const time_point sentAt = mDeps.mClock.Now();
  mNextList = sentAt + kListInterval;
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
    for (const host_entry& each :
         self->mEndedRunners.TakeEnded(self->mHosts, sentAt)) {
      self->mPoolWatch->ReportDead(each.mPool, each.mRunner);
    }
  });
}

std::map<service_name, jobs::pool_load>
fleet_controller::PoolLoads() const
{
  std::map<service_name, jobs::pool_load> loads;
  for (const auto& [service, each] : mCatalog.mServices) {
    const pool_state* const state = mPoolWatch->StateOf(service);
    if (!each.mSpare && state != nullptr) {
      loads[service] = state->mLoad;
    }
  }
  return loads;
}

// Adds what the owner of the host's pool reported of its runner. Without a
// recent report the host is unschedulable and its runs are unknown, so it gets
// no order.
void
fleet_controller::AddRunnerState(jobs::host_view& aView,
                                 const host_entry& aHost) const
{
  if (!mPoolWatch->IsPolled(aHost.mPool)) {
    aView.mAreRunsKnown = true; // a pool without jobs has no runs
    return;
  }
  const pool_state* const state = mPoolWatch->StateOf(aHost.mPool);
  if (state == nullptr) {
    aView.mIsUnschedulable = true;
    return;
  }
  const auto found = state->mRunners.find(aHost.mRunner);
  if (found == state->mRunners.end()) {
    aView.mAreRunsKnown =
      aHost.mRunner.Empty() || state->mAreUnlistedRunnersIdle;
    return;
  }
  const runner_state& runner = found->second;
  aView.mAreRunsKnown = runner.mAreRunsKnown && runner.mIsCordoned;
  aView.mIsUnschedulable = runner.mIsUnschedulable;
  aView.mCanGetRuns = runner.mCanGetRuns;
  aView.mRunCount = runner.mRunCount;
  aView.mLongRunningCount = runner.mLongRunningCount;
}

std::vector<jobs::host_view>
fleet_controller::HostViews() const
{
  std::vector<jobs::host_view> views;
  for (const host_entry& each : mHosts) {
    jobs::host_view view;
    view.mHost = each.mHost;
    view.mPool = each.mPool;
    view.mIsUp = each.mState == host_state::kUp;
    view.mIsInMaintenance = each.mState == host_state::kMaintenance;
    const auto pool = mCatalog.mServices.find(each.mPool);
    view.mIsSpare = pool != mCatalog.mServices.end() && pool->second.mSpare;
    view.mCapacity = each.mCapacity;
    AddRunnerState(view, each);
    views.push_back(std::move(view));
  }
  return views;
}

void
fleet_controller::Reconcile()
{
  if (!mAreOrdersLoaded) {
    LoadOrders();
    return;
  }
  if (mHosts.empty() || mIsAnnouncementInFlight || !mIsOwner()) {
    return;
  }
  if (mFence.mTerm > 1 && mListedAt < mStartedAt + kOrderPropagationTime) {
    return; // the listing may not show the predecessor's last orders yet
  }
  const time_point now = mDeps.mClock.Now();
  if (now - mListedAt > kMaxListingAge) {
    UncordonWaitingHosts();
    return;
  }
  NoteListingIsCurrent();
  // A listing does not show yet whether these hosts have moved.
  for (const auto* const moves : { &mPendingMoves, &mUnansweredMoves }) {
    for (const auto& [host, each] : *moves) {
      mAutoscaler.OnMovePending(each, now);
    }
  }
  const std::vector<jobs::host_view> views = HostViews();
  const jobs::maintenance_decision maintenance =
    mMaintenancePlanner.Decide(views, mListedAt, now);
  AddPendingMoves(mAutoscaler.Decide(PoolLoads(),
                                     FindSparePool(),
                                     views,
                                     maintenance.mCordoned,
                                     mListedAt,
                                     now));
  SetCordoned(maintenance.mCordoned);
  Evict(maintenance.mEvictFrom);
  AnnounceOrders(maintenance.mOrders, ReadyMoves(views));
}

// Uncordons the hosts whose order is not announced yet: a host service that
// does not answer listings is taken not to execute orders either. Hosts with an
// announced order stay cordoned, since it may be executed late.
void
fleet_controller::UncordonWaitingHosts()
{
  if (!mAreHostsGivenBack) {
    mAreHostsGivenBack = true;
    LogEvent(log_level::kWarning,
             "hosts.given_back",
             { { "moves", static_cast<std::uint64_t>(mPendingMoves.size()) },
               { "listing_age_ms",
                 CountMilliseconds(mDeps.mClock.Now() - mListedAt) } });
  }
  for (const auto& [host, each] : mPendingMoves) {
    mAutoscaler.OnMoveNotExecuted(host);
  }
  mPendingMoves.clear();
  mMaintenancePlanner.StopDraining();
  SetCordoned(mMaintenancePlanner.OrderedHosts());
}

void
fleet_controller::NoteListingIsCurrent()
{
  if (mAreHostsGivenBack) {
    mAreHostsGivenBack = false;
    LogEvent(log_level::kInfo, "hosts.listed_again", {});
  }
}

// Queues the moves. A host cannot move before its runner is cordoned, even if
// nothing runs on it.
void
fleet_controller::AddPendingMoves(const std::vector<jobs::move_order>& aMoves)
{
  for (const jobs::move_order& each : aMoves) {
    if (IsOrderAccepted(each.mHost)) {
      mPendingMoves.emplace(each.mHost, each);
      mAutoscaler.OnMovePending(each, mDeps.mClock.Now());
    }
  }
}

std::vector<jobs::move_order>
fleet_controller::ReadyMoves(const std::vector<jobs::host_view>& aHosts)
{
  std::map<host_name, const jobs::host_view*> views;
  for (const jobs::host_view& each : aHosts) {
    views.emplace(each.mHost, &each);
  }
  std::vector<jobs::move_order> out;
  for (auto it = mPendingMoves.begin(); it != mPendingMoves.end();) {
    const auto view = views.find(it->first);
    const bool isGone = view == views.end() || !view->second->mIsUp;
    if (isGone ||
        view->second->mRunCount > 0) { // the runner has got runs meanwhile
      mAutoscaler.OnMoveNotExecuted(it->first);
      it = mPendingMoves.erase(it);
      continue;
    }
    if (view->second->mAreRunsKnown) {
      out.push_back(it->second);
    }
    ++it;
  }
  return out;
}

void
fleet_controller::SetCordoned(const std::set<host_name>& aMaintenance)
{
  std::set<host_name> hosts = mAutoscaler.MovingHosts();
  hosts.insert(aMaintenance.begin(), aMaintenance.end());
  runners_by_pool cordoned;
  for (const host_entry& each : mHosts) {
    if (!each.mRunner.Empty() && hosts.count(each.mHost) > 0) {
      cordoned[each.mPool].insert(each.mRunner);
    }
  }
  mPoolWatch->SetCordoned(std::move(cordoned));
}

// Checks pending moves: a runner that delayed one may be cordoned now.
void
fleet_controller::OnPoolStateChanged()
{
  if (!mPendingMoves.empty()) {
    Reconcile();
  }
}

void
fleet_controller::SetCatalog(const jobs::catalog& aCatalog)
{
  if (!HaveSameCaps(mCatalog, aCatalog)) {
    mCapsVersion = aCatalog.mVersion;
  }
  mCatalog = aCatalog;
  mPoolWatch->SetCaps(mCatalog.CountPools(), mCapsVersion);
}

const host_entry*
fleet_controller::FindHost(const host_name& aHost) const
{
  const auto found = std::find_if(
    mHosts.begin(), mHosts.end(), [&aHost](const host_entry& aEntry) {
      return aEntry.mHost == aHost;
    });
  return found == mHosts.end() ? nullptr : &*found;
}

// Returns the host as listed last, or an empty entry if it is no longer listed.
// An order to a host can take longer than the host stays listed.
host_entry
fleet_controller::LastListedHost(const host_name& aHost) const
{
  const host_entry* const found = FindHost(aHost);
  return found == nullptr ? host_entry() : *found;
}

void
fleet_controller::Evict(const std::vector<host_name>& aHosts)
{
  for (const host_name& each : aHosts) {
    if (const host_entry* const host = FindHost(each)) {
      mPoolWatch->Evict(host->mPool, host->mRunner);
    }
  }
}

service_name
fleet_controller::FindSparePool() const
{
  for (const auto& [service, each] : mCatalog.mServices) {
    if (each.mSpare) {
      return service;
    }
  }
  return {};
}

void
fleet_controller::Move(const jobs::move_order& aOrder)
{
  const host_entry host = LastListedHost(aOrder.mHost);
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
      self->mUnansweredMoves.erase(aOrder.mHost);
      if (self->mIsStopped) {
        return;
      }
      const time_point now = self->mDeps.mClock.Now();
      if (aOutcome == host_order_outcome::kDone) {
        self->mAutoscaler.OnMovePending(aOrder, now);
        self->mEndedRunners.OnOrderDone(host, now);
      } else if (aOutcome == host_order_outcome::kUnknown) {
        self->mAutoscaler.OnMovePending(aOrder, now + kLateOrderTime);
      } else {
        self->mAutoscaler.OnMoveNotExecuted(aOrder.mHost);
      }
    });
}

void
fleet_controller::Maintain(const jobs::maintenance_order& aOrder)
{
  if (!mMaintenanceInFlight.insert(aOrder.mHost).second) {
    return;
  }
  const host_entry host = LastListedHost(aOrder.mHost);
  mDeps.mHosts.Maintain(
    mFence,
    aOrder.mHost,
    aOrder.mWave,
    [self = shared_from_this(), aOrder, host](host_order_outcome aOutcome) {
      self->mMaintenanceInFlight.erase(aOrder.mHost);
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
          self->mMaintenancePlanner.OnExecuted(aOrder, now);
          self->OnOrderSettled(aOrder.mHost);
          self->mEndedRunners.OnOrderDone(host, now);
          self->mWaveRecords->StoreMaintainedHosts(
            aOrder.mWave,
            self->mMaintenancePlanner.MaintainedHosts(aOrder.mWave));
          break;
        case host_order_outcome::kRefused:
          self->mMaintenancePlanner.OnRefused(aOrder);
          self->OnOrderSettled(aOrder.mHost);
          break;
        case host_order_outcome::kUnknown:
          self->mMaintenancePlanner.OnResultUnknown(aOrder, now);
          break;
        default:
          self->mMaintenancePlanner.OnNotExecuted(aOrder, now);
          break;
      }
    });
}

void
fleet_controller::ReportWaves()
{
  for (const std::uint64_t each : mMaintenancePlanner.Waves()) {
    const bool isCompleted = mMaintenancePlanner.IsCompleted(each);
    if (mWaveRecords->IsStatusReportDue(each, isCompleted)) {
      mWaveRecords->ReportStatus(each, isCompleted);
      return;
    }
  }
}

} // namespace mangospan::node
