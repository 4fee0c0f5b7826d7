// One zone whose pools peak in turn, with a queue for each pool in front of the
// real controller, store and hosts in virtual time.

#include <algorithm>
#include <cstddef>
#include <deque>
#include <iostream>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "bench/fleet/bench_parts.h"
#include "mangospan/fleet/records.h"
#include "mangospan/fleet/testing/fake_platform.h"
#include "mangospan/fleet/zone_controller.h"

namespace mangospan::bench {

namespace {

using fleet::testing::event_queue;
using fleet::testing::fake_hosts;
using fleet::testing::fake_store;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kServiceSeconds = 0.3;
constexpr double kTargetSeconds = 2;
constexpr double kStepSeconds = 0.01;
constexpr double kPeak = 5;        // of the mean
constexpr double kBetween = 0.05;  // of the mean
constexpr double kPeakLoad = 1.25; // of the pool's first hosts
constexpr std::size_t kSlots = 8;
constexpr seconds kWarmUp{ 200 };
constexpr seconds kMeasured{ 1200 };

enum class policy
{
  kFixed,      // pools keep their first hosts
  kFollowMean, // sizes after the mean of the last minute, without delay
  kMangospan,
};

struct zone_shape
{
  const char* mUser;
  std::vector<std::size_t> mPools; // hosts of each; the last is the spare pool
  config::preference mPrefer;
};

struct outcome
{
  double mArrived = 0;
  double mLate = 0; // or refused, since it would have been
  double mIdleSlotSeconds = 0;
  double mSlotSeconds = 0;
  std::size_t mMoves = 0;
  std::size_t mViews = 0;
};

// The requests of one pool.
struct pool_queue
{
  std::deque<double> mWaiting; // arrival times
  std::map<host_name, std::vector<double>> mBusyUntil;
  std::map<host_name, std::size_t> mShares;
  double mMeanRate = 0;
  double mSmoothed = 0;
  wire::class_demand mDemand;
};

class sized_zone
{
public:
  sized_zone(const zone_shape& aShape,
             policy aPolicy,
             seconds aPeak,
             std::uint64_t aSeed)
    : mPolicy(aPolicy)
    , mPeak(std::chrono::duration<double>(aPeak).count())
    , mRandom(static_cast<std::minstd_rand::result_type>(aSeed))
    , mStore(mEvents, aSeed)
    , mHosts(mEvents, aSeed)
    , mController(
        zone_name("a"),
        { host_name("e"), { 1 }, "" },
        Settings(aPolicy),
        [this](std::string_view, std::string_view) {
          return result<config::document>(mDocument);
        },
        aSeed)
  {
    mHosts.mRunnerActionTime = seconds(1);
    mDocument.mPrefer = aShape.mPrefer;
    for (std::size_t i = 0; i < aShape.mPools.size(); ++i) {
      AddPool(i, aShape.mPools[i], i + 1 == aShape.mPools.size());
    }
    mStore.Put(fleet::kConfigKey, R"({"document":{}})");
  }

  outcome Run()
  {
    const double end =
      std::chrono::duration<double>(kWarmUp + kMeasured).count();
    const double warm = std::chrono::duration<double>(kWarmUp).count();
    const auto steps = static_cast<std::size_t>(end / kStepSeconds);
    for (std::size_t step = 0; step < steps; ++step) {
      const double now = static_cast<double>(step) * kStepSeconds;
      mMeasuring = now >= warm;
      mEvents.RunUntil(mEvents.Now() + milliseconds(10));
      Serve(now);
      if (step % 10 == 0) {
        const fleet::wall_time utc{ seconds(1800000000) };
        Carry(mController.OnTick(mEvents.Now(), utc));
      }
      if (step % 100 == 0) {
        Report();
      }
    }
    return mOutcome;
  }

private:
  static fleet::settings Settings(policy aPolicy)
  {
    fleet::settings settings;
    if (aPolicy == policy::kFixed) {
      settings.mAutoscalerWarmUp = std::chrono::hours(24);
    }
    if (aPolicy == policy::kFollowMean) {
      settings.mMinRemainingShortage = milliseconds(0);
      settings.mMinSurplusDuration = seconds(30);
    }
    return settings;
  }

  void AddPool(std::size_t aIndex, std::size_t aHosts, bool aSpare)
  {
    const std::string name = "p" + std::to_string(aIndex);
    config::pool pool;
    pool.mName = pool_name(name);
    pool.mService = service_name(name);
    pool.mMaxUnavailable.mCount = aHosts;
    pool.mSpare = aSpare;
    mDocument.mPools.push_back(pool);
    config::work_class work;
    work.mName = class_name(name);
    work.mMatch.mService = pool.mService;
    work.mTarget = { 0.99, milliseconds(2000) };
    mDocument.mClasses.push_back(work);
    pool_queue& queue = mQueues[name];
    queue.mDemand.mClass = work.mName;
    queue.mMeanRate = static_cast<double>(aHosts * kSlots) / kServiceSeconds *
                      kPeakLoad / kPeak;
    for (std::size_t i = 0; i < aHosts; ++i) {
      platform::host_info host;
      host.mHost = host_name(name + "-" + std::to_string(i));
      host.mZone = zone_name("a");
      host.mService = pool.mService;
      host.mSlots = kSlots;
      mHosts.Add(host);
    }
  }

  double Rate(std::size_t aPool, double aNow) const
  {
    const auto turn = static_cast<std::size_t>(aNow / mPeak) % mQueues.size();
    return turn == aPool ? kPeak : kBetween;
  }

  void Serve(double aNow)
  {
    std::size_t index = 0;
    for (auto& [name, queue] : mQueues) {
      const double rate = queue.mMeanRate * Rate(index++, aNow);
      const auto arrivals = static_cast<std::size_t>(
        std::poisson_distribution<int>(rate * kStepSeconds)(mRandom));
      queue.mDemand.mArrivals += arrivals;
      Finish(queue, aNow);
      for (std::size_t i = 0; i < arrivals; ++i) {
        Admit(queue, aNow);
      }
      Dispatch(queue, aNow);
      Account(queue, name == "p" + std::to_string(mQueues.size() - 1));
    }
  }

  void Finish(pool_queue& aQueue, double aNow)
  {
    for (auto& [host, until] : aQueue.mBusyUntil) {
      const auto done = std::remove_if(
        until.begin(), until.end(), [&](double aEnd) { return aEnd <= aNow; });
      const auto count =
        static_cast<std::size_t>(std::distance(done, until.end()));
      aQueue.mDemand.mAnswered += count;
      until.erase(done, until.end());
    }
  }

  // Refuses at once what is not expected to be answered in time.
  void Admit(pool_queue& aQueue, double aNow)
  {
    std::size_t slots = 0;
    for (const auto& [host, share] : aQueue.mShares) {
      slots += share;
    }
    const double wait = static_cast<double>(aQueue.mWaiting.size()) *
                        kServiceSeconds / static_cast<double>(slots);
    mOutcome.mArrived += mMeasuring ? 1 : 0;
    if (slots == 0 || wait > kTargetSeconds - 3 * kServiceSeconds) {
      ++aQueue.mDemand.mRefused;
      mOutcome.mLate += mMeasuring ? 1 : 0;
      return;
    }
    aQueue.mWaiting.push_back(aNow);
  }

  void Dispatch(pool_queue& aQueue, double aNow)
  {
    for (const auto& [host, share] : aQueue.mShares) {
      std::vector<double>& until = aQueue.mBusyUntil[host];
      while (until.size() < share && !aQueue.mWaiting.empty()) {
        const double service =
          std::exponential_distribution<double>(1 / kServiceSeconds)(mRandom);
        const double end = aNow + service;
        until.push_back(end);
        aQueue.mDemand.mBusy +=
          std::chrono::microseconds(static_cast<std::int64_t>(service * 1e6));
        if (mMeasuring && end - aQueue.mWaiting.front() > kTargetSeconds) {
          mOutcome.mLate += 1;
        }
        aQueue.mWaiting.pop_front();
      }
    }
  }

  void Account(const pool_queue& aQueue, bool aSpare)
  {
    if (!mMeasuring) {
      return;
    }
    std::size_t slots = 0;
    std::size_t busy = 0;
    for (const auto& [host, share] : aQueue.mShares) {
      const auto found = aQueue.mBusyUntil.find(host);
      slots += share;
      busy += found == aQueue.mBusyUntil.end()
                ? 0
                : std::min(share, found->second.size());
    }
    const auto held = static_cast<double>(slots) * kStepSeconds;
    const auto used = static_cast<double>(busy) * kStepSeconds;
    mOutcome.mSlotSeconds += held;
    mOutcome.mIdleSlotSeconds += aSpare ? 0 : held - used;
  }

  void Report()
  {
    wire::entry_report report;
    report.mView = mView.mVersion;
    for (const view::endpoint& endpoint : mView.mEndpoints) {
      const auto& busy = mQueues.at(endpoint.mService.Str()).mBusyUntil;
      const auto found = busy.find(endpoint.mHost);
      if (endpoint.mState == view::endpoint_state::kDraining &&
          (found == busy.end() || found->second.empty())) {
        report.mEmptied.push_back({ endpoint.mHost, endpoint.mEpoch });
      }
    }
    for (auto& [name, queue] : mQueues) {
      constexpr double kMinute = 1.0 / 60;
      const auto arrivals = static_cast<double>(queue.mDemand.mArrivals);
      queue.mSmoothed += (arrivals - queue.mSmoothed) * kMinute;
      wire::class_demand demand = queue.mDemand;
      if (mPolicy == policy::kFollowMean) {
        demand.mArrivals = static_cast<std::uint64_t>(queue.mSmoothed);
        demand.mAnswered = demand.mArrivals;
        demand.mBusy = std::chrono::microseconds(
          static_cast<std::int64_t>(queue.mSmoothed * kServiceSeconds * 1e6));
      }
      report.mDemand.push_back(demand);
      queue.mDemand = {};
      queue.mDemand.mClass = demand.mClass;
    }
    Carry(mController.OnEntryReport(mEntry, report, mEvents.Now()));
  }

  void Adopt(const view::zone_view& aView)
  {
    for (const view::endpoint& endpoint : aView.mEndpoints) {
      const auto old = mPoolOf.find(endpoint.mHost);
      if (old != mPoolOf.end() && old->second != endpoint.mPool && mMeasuring) {
        ++mOutcome.mMoves;
      }
      mPoolOf[endpoint.mHost] = endpoint.mPool;
    }
    mView = aView;
    mOutcome.mViews += mMeasuring ? 1 : 0;
    for (auto& [name, queue] : mQueues) {
      queue.mShares.clear();
    }
    for (const view::endpoint& endpoint : aView.mEndpoints) {
      for (const view::slot_share& share : endpoint.mShares) {
        if (endpoint.mState == view::endpoint_state::kServing) {
          mQueues[endpoint.mService.Str()].mShares[endpoint.mHost] =
            share.mSlots;
        }
      }
    }
  }

  void Carry(const fleet::actions& aActions)
  {
    for (const fleet::action& each : aActions) {
      if (const auto* call = std::get_if<fleet::store_call>(&each)) {
        mStore.Call(call->mOperation,
                    [this, id = call->mId](const fleet::store_result& aResult) {
                      Carry(
                        mController.OnStoreResult(id, aResult, mEvents.Now()));
                    });
      } else if (const auto* list =
                   std::get_if<fleet::list_hosts_call>(&each)) {
        mHosts.List(list->mKnownRevision,
                    [this, id = list->mId](const auto& aResult) {
                      Carry(mController.OnHostList(id, aResult, mEvents.Now()));
                    });
      } else if (const auto* act = std::get_if<fleet::host_call>(&each)) {
        mHosts.StartAction(
          act->mRequest, [this, id = act->mId](const auto& aResult) {
            Carry(mController.OnHostActionResult(id, aResult, mEvents.Now()));
          });
      } else if (const auto* push = std::get_if<fleet::push_view>(&each)) {
        mEvents.After(milliseconds(2),
                      [this, view = push->mView] { Adopt(view); });
      } else if (std::holds_alternative<fleet::start_acting>(each)) {
        wire::hello hello;
        Carry(mController.OnEntryHello(mEntry, hello, mEvents.Now()));
      }
    }
  }

  const policy mPolicy;
  const double mPeak;
  std::minstd_rand mRandom;
  event_queue mEvents;
  fake_store mStore;
  fake_hosts mHosts;
  config::document mDocument;
  fleet::zone_controller mController;
  const view::entry_id mEntry{ host_name("e"), { 2 } };
  view::zone_view mView;
  std::map<std::string, pool_queue> mQueues;
  std::map<host_name, pool_name> mPoolOf;
  bool mMeasuring = false;
  outcome mOutcome;
};

} // namespace

void
BenchSizing(std::uint64_t aSeed)
{
  const std::vector<zone_shape> shapes{
    { "ramcharan", { 3, 3, 2, 2, 3 }, config::preference::kLowBuffer },
    { "authority", { 4, 3, 3, 3, 4 }, config::preference::kFastRollOut },
  };
  std::cout << "\nsizing, one zone: user peak_s policy idle_% late_% "
               "moves/min views/min\n";
  for (const zone_shape& shape : shapes) {
    for (const seconds peak : { seconds(10), seconds(30) }) {
      for (const auto& [name, each] :
           { std::pair("fixed", policy::kFixed),
             std::pair("follow-mean", policy::kFollowMean),
             std::pair("mangospan", policy::kMangospan) }) {
        const outcome result = sized_zone(shape, each, peak, aSeed).Run();
        std::cout << shape.mUser << "\t" << peak.count() << "\t" << name << "\t"
                  << result.mIdleSlotSeconds / result.mSlotSeconds * 100 << "\t"
                  << result.mLate / result.mArrived * 100 << "\t"
                  << static_cast<double>(result.mMoves) * 60 /
                       static_cast<double>(kMeasured.count())
                  << "\t"
                  << static_cast<double>(result.mViews) * 60 /
                       static_cast<double>(kMeasured.count())
                  << "\n";
      }
    }
  }
}

} // namespace mangospan::bench
