// Random schedules of allocators, owners and runners in virtual time: takeovers
// of both, lost and late messages, runners that a new owner does not reach.
#include <algorithm>
#include <array>
#include <deque>
#include <list>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "mangospan/customers/pool_quota.h"
#include "mangospan/customers/quota_allocator.h"

namespace mangospan::customers {
namespace {

constexpr int kPools = 5;
constexpr int kRunners = 12;        // of each pool
constexpr int kRunnerCapacity = 40; // more in one pool than the cap
constexpr int kCap = 300;
constexpr int kNeed = 4;
// Times in steps of 50 ms.
constexpr int kStepsPerSecond = 20;
constexpr int kFaultySteps = 25 * kStepsPerSecond;
constexpr int kCalmSteps = 20 * kStepsPerSecond;
constexpr int kExchangeInterval = 2;
constexpr int kExchangeTimeout = 12;
constexpr int kGrace = 50;  // for which a superseded owner acts on
constexpr int kLease = 130; // of the runs on a runner that nobody polls

struct live_run
{
  int mNeed = 0;
  int mEndsAt = 0;
};

struct fake_runner
{
  std::uint64_t mHighestTerm = 0;
  int mPolledAt = 0;
  std::list<live_run> mRuns;

  int Used() const
  {
    int used = 0;
    for (const live_run& each : mRuns) {
      used += each.mNeed;
    }
    return used;
  }
};

struct fake_owner
{
  std::uint64_t mTerm = 0;
  std::uint64_t mFleetTerm = 0;
  int mElectedAt = 0;
  int mActsUntil = 1'000'000;
  int mReachesAllAt = 0; // until then only the runners of `mReached`
  std::set<int> mReached;
  pool_quota mQuota;
};

struct exchange
{
  int mSentAt = 0;
  int mExecutedAt = -1; // -1: never
  int mAnsweredAt = -1;
  std::optional<quota_instructions> mInstructions;
  std::shared_ptr<fake_owner> mOwner;
  quota_report mReport;
  bool mIsExecuted = false;
  bool mIsRefused = false;
};

struct fake_controller
{
  explicit fake_controller(std::uint64_t aTerm)
    : mTerm(aTerm)
    , mAllocator(aTerm)
  {
  }
  std::uint64_t mTerm;
  int mActsUntil = 1'000'000;
  quota_allocator mAllocator;
  std::vector<std::deque<exchange>> mExchanges{ kPools };
};

const customer_name kCustomer{ "rinks" };

service_name
Pool(int aIndex)
{
  return service_name{ "pool-" + std::to_string(aIndex) };
}

class quota_world
{
public:
  explicit quota_world(unsigned aSeed)
    : mRandom(aSeed)
  {
    for (int p = 0; p < kPools; ++p) {
      Elect(p);
    }
    ReplaceController();
  }

  void Run()
  {
    for (mNow = 0; mNow < kFaultySteps + kCalmSteps; ++mNow) {
      const bool isCalm = mNow >= kFaultySteps;
      if (!isCalm) {
        InjectFaults();
      } else if (mNow == kFaultySteps) {
        mDemand.fill(0);
        mDemand[0] = 2 * kCap;
      }
      EndRuns();
      for (int p = 0; p < kPools; ++p) {
        for (const auto& each : mOwners[p]) {
          Act(p, *each);
        }
      }
      for (const auto& each : mControllers) {
        if (mNow < each->mActsUntil) {
          Exchange(*each);
        }
      }
      mMost = std::max(mMost, Total());
    }
  }

  int Most() const { return mMost; }
  int Total() const
  {
    int total = 0;
    for (const auto& pool : mRunners) {
      for (const fake_runner& each : pool) {
        total += each.Used();
      }
    }
    return total;
  }

private:
  bool Chance(double aProbability)
  {
    return std::uniform_real_distribution<>(0, 1)(mRandom) < aProbability;
  }
  int Between(int aLow, int aHigh)
  {
    return std::uniform_int_distribution<>(aLow, aHigh)(mRandom);
  }

  void Elect(int aPool)
  {
    for (const auto& each : mOwners[aPool]) {
      each->mActsUntil = std::min(each->mActsUntil, mNow + Between(0, kGrace));
    }
    auto added = std::make_shared<fake_owner>();
    added->mTerm = ++mTerms;
    added->mElectedAt = mNow;
    added->mReachesAllAt = mNow + (Chance(0.5) ? Between(0, kLease) : 0);
    for (int r = 0; r < kRunners; ++r) {
      if (Chance(0.7)) {
        added->mReached.insert(r);
      }
    }
    customer_policy policy;
    policy.mName = kCustomer;
    policy.mCap.mCpu = kCap;
    added->mQuota.SetCustomers({ { kCustomer, policy } }, kPools);
    mOwners[aPool].push_back(added);
  }

  void ReplaceController()
  {
    for (const auto& each : mControllers) {
      each->mActsUntil = std::min(each->mActsUntil, mNow + Between(0, kGrace));
    }
    mControllers.push_back(std::make_shared<fake_controller>(++mTerms));
    std::vector<service_name> pools;
    pools.reserve(kPools);
    for (int p = 0; p < kPools; ++p) {
      pools.push_back(Pool(p));
    }
    mControllers.back()->mAllocator.SetPools(pools, kPools);
  }

  void InjectFaults()
  {
    if (Chance(0.01)) {
      Elect(Between(0, kPools - 1));
    }
    if (Chance(0.008)) {
      ReplaceController();
    }
    if (Chance(0.05)) {
      mDemand[Between(0, kPools - 1)] = Chance(0.5) ? 0 : Between(0, 2 * kCap);
    }
  }

  void EndRuns()
  {
    for (auto& pool : mRunners) {
      for (fake_runner& each : pool) {
        const bool isLapsed = mNow - each.mPolledAt > kLease;
        each.mRuns.remove_if([&](const live_run& aRun) {
          return isLapsed || mNow >= aRun.mEndsAt;
        });
      }
    }
  }

  bool IsReached(const fake_owner& aOwner, int aRunner) const
  {
    return mNow >= aOwner.mReachesAllAt || aOwner.mReached.count(aRunner) > 0;
  }

  // Polls the runners that the owner reaches, and returns what it counts.
  int Used(int aPool, const fake_owner& aOwner)
  {
    int used = 0;
    for (int r = 0; r < kRunners; ++r) {
      fake_runner& each = mRunners[aPool][r];
      if (IsReached(aOwner, r)) {
        if (aOwner.mTerm >= each.mHighestTerm) {
          each.mHighestTerm = aOwner.mTerm;
          each.mPolledAt = mNow;
        }
        used += each.Used();
      } else if (mNow - aOwner.mElectedAt <= kLease + kGrace) {
        used += kRunnerCapacity;
      }
    }
    return used;
  }

  void Act(int aPool, fake_owner& aOwner)
  {
    if (mNow >= aOwner.mActsUntil) {
      return;
    }
    int used = Used(aPool, aOwner);
    for (int r = 0; r < kRunners; ++r) {
      fake_runner& each = mRunners[aPool][r];
      while (
        IsReached(aOwner, r) && aOwner.mTerm >= each.mHighestTerm &&
        each.Used() + kNeed <= kRunnerCapacity &&
        used + kNeed <= mDemand[aPool] &&
        aOwner.mQuota.MayStart(kCustomer, { kNeed, 0, 0 }, { used, 0, 0 })) {
        each.mRuns.push_back({ kNeed, mNow + Between(5, 60) });
        used += kNeed;
      }
    }
  }

  void Exchange(fake_controller& aController)
  {
    for (int p = 0; p < kPools; ++p) {
      auto& sent = aController.mExchanges[p];
      for (exchange& each : sent) {
        Execute(aController, p, each);
      }
      const bool isIdle =
        sent.empty() || sent.back().mSentAt + kExchangeTimeout <= mNow ||
        (sent.back().mAnsweredAt >= 0 && sent.back().mAnsweredAt < mNow);
      if (mNow % kExchangeInterval == 0 && isIdle) {
        Send(aController, p);
      }
    }
  }

  void Send(fake_controller& aController, int aPool)
  {
    const bool isCalm = mNow >= kFaultySteps;
    exchange added;
    added.mSentAt = mNow;
    added.mInstructions = aController.mAllocator.Instruct(Pool(aPool));
    // An allocator that is behind may still ask the owner before the last.
    const auto& owners = mOwners[aPool];
    const bool asksFormer = !isCalm && owners.size() > 1 && Chance(0.1);
    added.mOwner = asksFormer ? owners[owners.size() - 2] : owners.back();
    const bool isLost = !isCalm && Chance(0.1);
    const bool isLate = !isCalm && Chance(0.05);
    added.mExecutedAt =
      isLost ? -1 : mNow + (isLate ? Between(kExchangeTimeout, 120) : 1);
    const bool isAnswerLost = !isCalm && Chance(0.1);
    added.mAnsweredAt = isLost || isLate || isAnswerLost ? -1 : mNow + 2;
    aController.mExchanges[aPool].push_back(added);
  }

  void Execute(fake_controller& aController, int aPool, exchange& aExchange)
  {
    if (aExchange.mExecutedAt == mNow && !aExchange.mIsExecuted) {
      aExchange.mIsExecuted = true;
      fake_owner& at = *aExchange.mOwner;
      aExchange.mIsRefused =
        aController.mTerm < at.mFleetTerm || mNow >= at.mActsUntil;
      if (!aExchange.mIsRefused) {
        at.mFleetTerm = aController.mTerm;
        if (aExchange.mInstructions) {
          at.mQuota.Apply(*aExchange.mInstructions);
        }
        aExchange.mReport =
          at.mQuota.Report({ { kCustomer, { Used(aPool, at), 0, 0 } } },
                           { { kCustomer, { mDemand[aPool], 0, 0 } } });
      }
    }
    const bool isAnswered =
      aExchange.mAnsweredAt == mNow && aExchange.mIsExecuted;
    if (isAnswered && !aExchange.mIsRefused) {
      aController.mAllocator.OnReport(Pool(aPool), aExchange.mReport);
    }
  }

  std::mt19937 mRandom;
  int mNow = 0;
  std::uint64_t mTerms = 0;
  int mMost = 0;
  std::array<int, kPools> mDemand{};
  std::array<std::array<fake_runner, kRunners>, kPools> mRunners{};
  std::array<std::vector<std::shared_ptr<fake_owner>>, kPools> mOwners{};
  std::vector<std::shared_ptr<fake_controller>> mControllers;
};

// A share that two pools had at the same time would break the customer's cap.
TEST(quota_schedules_test, CapIsNeverBrokenAndOnePoolMayUseNearlyAll)
{
  constexpr unsigned kSeeds = 1'000;
  for (unsigned seed = 0; seed < kSeeds; ++seed) {
    quota_world world(seed);
    world.Run();
    // The limit that customers rely on: the cap, a tenth and one task more.
    ASSERT_LE(world.Most(), kCap * 11 / 10 + kNeed) << "seed " << seed;
    // One pool alone has had demand for twenty seconds without a fault.
    ASSERT_GE(world.Total(), kCap * 9 / 10) << "seed " << seed;
  }
}

} // namespace
} // namespace mangospan::customers
