#include "mangospan/node/overload_guard.h"

#include <algorithm>
#include <deque>
#include <map>
#include <vector>

#include <gtest/gtest.h>

namespace mangospan::node {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

const time_point kStart{ std::chrono::hours(1) };

// How the callers of a simulated owner fared.
struct outcome
{
  std::size_t mAccepted = 0; // in time, first tries and later ones
  std::size_t mRefusals = 0;
  std::vector<nanoseconds> mAnswerTimes; // of all tries
  std::map<std::int64_t, std::size_t> mAcceptedBySecond;
  std::map<std::int64_t, std::size_t> mSentBySecond; // first tries

  nanoseconds AnswerTime(double aShare)
  {
    std::sort(mAnswerTimes.begin(), mAnswerTimes.end());
    return mAnswerTimes.at(static_cast<std::size_t>(
      aShare * static_cast<double>(mAnswerTimes.size() - 1)));
  }
};

// One thread that handles calls and the owner's own timer in the order of their
// arrival. Its callers give each try up after a while, and try again while
// their patience lasts.
class simulated_owner
{
public:
  static constexpr milliseconds kJobCost{ 5 };
  static constexpr int kBearablePerSecond = 200;
  static constexpr microseconds kRefusalCost{ 60 };
  static constexpr milliseconds kTickInterval{ 10 };
  static constexpr milliseconds kTryTimeout{ 2'500 };
  static constexpr milliseconds kPatience{ 3'000 };

  // Sends `aFactor(second)` times what the owner bears for the given time.
  template<typename Factor>
  outcome Play(seconds aTime, const Factor& aFactor)
  {
    const time_point end = kStart + aTime;
    for (time_point at = kStart; at < end;) {
      mDue.emplace(at, call{ false, at, at });
      ++mOutcome.mSentBySecond[SecondOf(at)];
      const double perSecond = kBearablePerSecond * aFactor(SecondOf(at));
      at += nanoseconds(static_cast<std::int64_t>(1e9 / perSecond));
    }
    for (time_point at = kStart; at < end + kPatience; at += kTickInterval) {
      mDue.emplace(at, call{ true, at, at });
    }
    for (time_point now = kStart; !mDue.empty();) {
      const auto next = mDue.begin();
      now = std::max(now, next->first);
      const call each = next->second;
      mDue.erase(next);
      now += Handle(each, now);
    }
    return mOutcome;
  }

  static std::int64_t SecondOf(time_point aAt)
  {
    return (aAt - kStart) / seconds(1);
  }

private:
  struct call
  {
    bool mIsTick = false;
    time_point mSentAt{};
    time_point mFirstTryAt{};
  };

  // Returns the time that it takes to handle the call.
  nanoseconds Handle(const call& aCall, time_point aNow)
  {
    if (aCall.mIsTick) {
      mGuard.OnWait(aNow, aNow - aCall.mSentAt);
      return nanoseconds(0);
    }
    nanoseconds cost = kJobCost;
    if (mGuard.IsOverloaded()) {
      ++mOutcome.mRefusals;
      cost = kRefusalCost;
      SendAgain(aCall, aNow + mGuard.OnRefused(aNow));
    } else {
      mGuard.OnAccepted(aNow);
      const time_point answeredAt = aNow + cost;
      if (answeredAt - aCall.mSentAt <= kTryTimeout) {
        ++mOutcome.mAccepted;
        ++mOutcome.mAcceptedBySecond[SecondOf(answeredAt)];
      } else {
        SendAgain(aCall, aCall.mSentAt + kTryTimeout);
      }
    }
    mOutcome.mAnswerTimes.push_back(aNow + cost - aCall.mSentAt);
    return cost;
  }

  void SendAgain(const call& aCall, time_point aAt)
  {
    if (aAt - aCall.mFirstTryAt < kPatience) {
      mDue.emplace(aAt, call{ false, aAt, aCall.mFirstTryAt });
    }
  }

  overload_guard mGuard{ overload_settings{} };
  std::multimap<time_point, call> mDue; // by the time of the arrival
  outcome mOutcome;
};

TEST(OverloadGuard, NothingIsRefusedAtTheLoadThatTheOwnerBears)
{
  simulated_owner owner;
  const outcome seen =
    owner.Play(seconds(20), [](std::int64_t /*aSecond*/) { return 0.95; });
  EXPECT_EQ(seen.mRefusals, 0U);
}

TEST(OverloadGuard, ThreeTimesTheLoadTakesLittleOfTheGoodput)
{
  simulated_owner borne;
  const outcome before =
    borne.Play(seconds(14), [](std::int64_t /*aSecond*/) { return 1.0; });
  simulated_owner overloaded;
  outcome seen =
    overloaded.Play(seconds(14), [](std::int64_t /*aSecond*/) { return 3.0; });
  EXPECT_GE(static_cast<double>(seen.mAccepted),
            0.9 * static_cast<double>(before.mAccepted));
  EXPECT_LE(seen.AnswerTime(0.5), milliseconds(50));
  EXPECT_LE(seen.AnswerTime(0.95), milliseconds(200));
}

TEST(OverloadGuard, ServiceIsBackTwoSecondsAfterABurst)
{
  simulated_owner owner;
  outcome seen = owner.Play(seconds(30), [](std::int64_t aSecond) {
    return aSecond >= 5 && aSecond < 19 ? 3.0 : 0.5;
  });
  for (std::int64_t second = 22; second < 30; ++second) {
    EXPECT_GE(seen.mAcceptedBySecond[second] + 1, seen.mSentBySecond[second])
      << second;
  }
}

TEST(OverloadGuard, WorkThatWaitsForLessThanAnIntervalIsTaken)
{
  const overload_settings settings;
  overload_guard guard(settings);
  guard.OnWait(kStart, 3 * settings.mTarget);
  guard.OnWait(kStart + settings.mInterval / 2, 3 * settings.mTarget);
  EXPECT_FALSE(guard.IsOverloaded());
  guard.OnWait(kStart + settings.mInterval, 3 * settings.mTarget);
  EXPECT_TRUE(guard.IsOverloaded());
  guard.OnWait(kStart + 2 * settings.mInterval, settings.mTarget);
  EXPECT_FALSE(guard.IsOverloaded());
}

TEST(OverloadGuard, CallersReturnAtDifferentTimesWhenThereIsRoom)
{
  overload_guard guard{ overload_settings{} };
  guard.OnAccepted(kStart);
  std::map<std::int64_t, int> returns;
  constexpr int kCountEach = 100;
  for (int i = 0; i < 3 * kCountEach; ++i) {
    ++returns[guard.OnRefused(kStart).count()];
  }
  EXPECT_EQ(returns.size(), 3U);
  for (const auto& [after, count] : returns) {
    EXPECT_NEAR(count, kCountEach, 20) << after;
  }
}

// As many as there is room for within the second return after it.
TEST(OverloadGuard, FewRefusedCallersReturnAfterASecond)
{
  overload_guard guard{ overload_settings{} };
  for (int i = 0; i < 100; ++i) {
    guard.OnAccepted(kStart);
  }
  std::map<std::int64_t, int> returns;
  for (int i = 0; i < 10; ++i) {
    ++returns[guard.OnRefused(kStart).count()];
  }
  EXPECT_GE(returns[1], 9);
}

} // namespace
} // namespace mangospan::node
