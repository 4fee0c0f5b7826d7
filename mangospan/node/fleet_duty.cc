#include "mangospan/node/fleet_duty.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "mangospan/base/log.h"
#include "mangospan/daemon/metrics.h"

namespace mangospan::node {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kBusyListPeriod{ 400 };
// An order takes effect within this time, as a rule.
constexpr milliseconds kOrderTransit{ 150 };
// Hosts' clocks differ by less than this.
constexpr milliseconds kClockSlack{ 300 };
constexpr const char* kOrdersKey = "mangospan/orders";
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
                       std::shared_ptr<owner> aOwner,
                       std::function<bool()> aMayOrder)
  : mDeps(aDependencies)
  , mSettings(aSettings)
  , mFence(std::move(aFence))
  , mOwner(std::move(aOwner))
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
    kOrdersKey,
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
      const json orders =
        json::parse(aResult.assume_value()->mValue, nullptr, false);
      for (const auto& [host, at] : orders.items()) {
        if (at.is_number_integer()) {
          self->mOrderedAt[host_name{ host }] =
            jobs::wall_time(milliseconds(at.get<std::int64_t>()));
          self->mForeign.insert(host_name{ host });
        }
      }
    });
}

// The platform takes orders of two holders for one host only some time apart.
bool
fleet_duty::MayOrder(const host_name& aHost) const
{
  if (mForeign.count(aHost) == 0) {
    return true;
  }
  return std::chrono::system_clock::now() - mOrderedAt.at(aHost) >=
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
  const auto keep = [this, now, &allowance](const auto& aOrder) {
    if (allowance == 0 || !MayOrder(aOrder.mHost)) {
      return false;
    }
    --allowance;
    mRecentOrders.push_back(mDeps.mClock.Now());
    mOrderedAt[aOrder.mHost] = now;
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
               aMoves.end());
  if (aUpkeep.empty() && aMoves.empty()) {
    return;
  }
  for (const jobs::move_order& each : aMoves) {
    mSizing.OnMoving(each, mDeps.mClock.Now());
  }
  json orders = json::object();
  for (const auto& [host, at] : mOrderedAt) {
    if (now - at < 2 * mSettings.mHostLease) {
      orders[host.Str()] =
        std::chrono::duration_cast<milliseconds>(at.time_since_epoch()).count();
    }
  }
  platform::transaction change;
  change.mExpected.push_back({ election::TermKey(), mOwner->Term().mRevision });
  change.mWrites.push_back({ kOrdersKey, 0, orders.dump(), std::nullopt });
  mIsAnnouncing = true;
  mDeps.mStore.Commit(
    std::move(change),
    kAnnounceTimeout,
    [self = shared_from_this(),
     upkeep = std::move(aUpkeep),
     moves =
       std::move(aMoves)](const result<platform::commit_outcome>& aResult) {
      self->mIsAnnouncing = false;
      if (aResult.has_error()) {
        LogError("hosts.announce_failed", aResult.assume_error());
      }
      self->Issue(upkeep,
                  moves,
                  aResult.has_value() && aResult.assume_value().mCommitted);
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

std::vector<jobs::host_view>
fleet_duty::HostViews() const
{
  std::vector<jobs::host_view> views;
  const auto& runners = mOwner->Scheduler().Runners();
  const auto& services = mOwner->Scheduler().Catalog().mServices;
  for (const host_entry& each : mHosts) {
    jobs::host_view view;
    view.mHost = each.mHost;
    view.mPool = each.mPool;
    view.mIsUp = each.mState == host_state::kUp;
    view.mIsInUpkeep = each.mState == host_state::kUpkeep;
    const auto pool = services.find(each.mPool);
    view.mIsSpare = pool != services.end() && pool->second.mSpare;
    view.mCapacity = each.mCapacity;
    view.mIsKnown = each.mRunner.Empty() || mOwner->Scheduler().KnowsRunsOf(
                                              each.mRunner, mDeps.mClock.Now());
    const auto found = runners.find(each.mRunner);
    if (found != runners.end()) {
      view.mIsUnfit = found->second.mFailedLooks > 0 ||
                      found->second.mInfo.mDraining ||
                      mDeps.mClock.Now() < found->second.mShunUntil;
      view.mIsSettled = found->second.mContacted && found->second.mIsInRoster;
      for (const auto& [key, run] : found->second.Runs()) {
        ++view.mRuns;
        view.mLasting += run.mLasting ? 1 : 0;
      }
    }
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
  if (mHosts.empty() || !mOwner->IsServing() || mIsAnnouncing || !mMayOrder()) {
    return;
  }
  if (mFence.mTerm > 1 && mListedAt < mStartedAt + kOrderTransit) {
    return; // an order of the predecessor may not show in the listing yet
  }
  const time_point now = mDeps.mClock.Now();
  const std::vector<jobs::host_view> views = HostViews();
  const jobs::upkeep_decision upkeep = mPlan.Decide(views, mListedAt, now);
  auto moves =
    mSizing.Decide(mOwner->Scheduler().Loads(std::chrono::system_clock::now()),
                   SparePool(),
                   views,
                   upkeep.mClosed,
                   mListedAt,
                   now);
  Announce(upkeep.mOrders, std::move(moves));
  CloseAndEvict(upkeep, now);
  mOwner->Wake();
}

service_name
fleet_duty::SparePool() const
{
  for (const auto& [service, each] : mOwner->Scheduler().Catalog().mServices) {
    if (each.mSpare) {
      return service;
    }
  }
  return {};
}

jobs::runner_name
fleet_duty::RunnerOf(const host_name& aHost) const
{
  const auto found = std::find_if(
    mHosts.begin(), mHosts.end(), [&aHost](const host_entry& aEntry) {
      return aEntry.mHost == aHost;
    });
  return found == mHosts.end() ? jobs::runner_name() : found->mRunner;
}

void
fleet_duty::CloseAndEvict(const jobs::upkeep_decision& aUpkeep, time_point aNow)
{
  std::set<jobs::runner_name> closed;
  for (const host_name& each : aUpkeep.mClosed) {
    closed.insert(RunnerOf(each));
  }
  for (const host_name& each : mSizing.Leaving()) {
    closed.insert(RunnerOf(each));
  }
  mOwner->Scheduler().SetClosed(closed);
  for (const host_name& each : aUpkeep.mEvict) {
    mOwner->Scheduler().Evict(RunnerOf(each), aNow);
  }
}

void
fleet_duty::Move(const jobs::move_order& aOrder)
{
  const jobs::runner_name runner = RunnerOf(aOrder.mHost);
  mDeps.mHosts.Move(
    mFence,
    aOrder.mHost,
    aOrder.mPool,
    [self = shared_from_this(), aOrder, runner](host_order_outcome aOutcome) {
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
        self->mOwner->Scheduler().OnRunnerDead(runner, now);
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
  const jobs::runner_name runner = RunnerOf(aOrder.mHost);
  mDeps.mHosts.Maintain(
    mFence,
    aOrder.mHost,
    aOrder.mWave,
    [self = shared_from_this(), aOrder, runner](host_order_outcome aOutcome) {
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
          self->mOwner->Scheduler().OnRunnerDead(runner, now);
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
      self->mOwner->Wake();
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
  change.mExpected.push_back({ election::TermKey(), mOwner->Term().mRevision });
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
    change.mExpected.push_back(
      { election::TermKey(), mOwner->Term().mRevision });
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
