#include "mangospan/node/stop_schedule.h"

#include <algorithm>

namespace mangospan::node {

using std::chrono::milliseconds;

namespace {

// The load balancer stops sending callers after two failed readiness checks, a
// second apart.
constexpr milliseconds kLoadBalancerDelay{ 2'500 };
// The exit itself takes a moment, and a busy host runs timers late.
constexpr milliseconds kExitReserve{ 300 };
// The time to send the last responses.
constexpr milliseconds kSendTime{ 300 };
// The time that a request is given at least.
constexpr milliseconds kMinRequestTimeout{ 300 };
// A request that another node handles is answered a little after its timeout.
constexpr milliseconds kForwardReserve{ 100 };
// In a short stop, connections are accepted until most requests that come over
// them still have enough time.
constexpr milliseconds kUsualRequestTime{ 1'000 };

} // namespace

stop_schedule::stop_schedule(time_point aBegin, milliseconds aStopTimeout)
  : mBegin(aBegin)
  , mExitBy(aBegin + std::max(milliseconds(0), aStopTimeout - kExitReserve))
  , mAnswerBy(std::max(aBegin, mExitBy - kSendTime))
  , mAcceptUntil(std::clamp(mAnswerBy - kUsualRequestTime,
                            aBegin,
                            aBegin + kLoadBalancerDelay))
{
}

std::optional<milliseconds>
stop_schedule::LimitTimeout(milliseconds aTimeout, time_point aNow) const
{
  const auto left = std::chrono::duration_cast<milliseconds>(
    mAnswerBy - kForwardReserve - aNow);
  if (left < kMinRequestTimeout) {
    return std::nullopt;
  }
  return std::min(aTimeout, left);
}

} // namespace mangospan::node
