#include "mangospan/daemon/limited_clients.h"

#include <chrono>
#include <utility>

#include "mangospan/base/log.h"
#include "mangospan/daemon/metrics.h"

namespace mangospan::daemon {

namespace {

// Between two lines about the same reason and listener.
constexpr std::chrono::seconds kLogInterval{ 10 };

} // namespace

limited_clients::limited_clients(const clock_source& aClock,
                                 metrics& aMetrics,
                                 std::string aMetric)
  : mClock(aClock)
  , mMetrics(aMetrics)
  , mMetric(std::move(aMetric))
{
}

std::function<void(http::limit_reason)>
limited_clients::Observer(std::string aListener)
{
  return [this, listener = std::move(aListener)](http::limit_reason aReason) {
    Count(listener, aReason);
  };
}

void
limited_clients::Count(const std::string& aListener, http::limit_reason aReason)
{
  mMetrics.Add(
    mMetric, { { "listener", aListener }, { "reason", http::Name(aReason) } });
  const auto [entry, isFirst] =
    mReported.try_emplace({ aListener, aReason }, reported{});
  reported& state = entry->second;
  ++state.mSince;
  const time_point now = mClock.Now();
  if (!isFirst && now - state.mAt < kLogInterval) {
    return;
  }
  LogEvent(log_level::kWarning,
           "clients.limited",
           { { "listener", aListener },
             { "reason", http::Name(aReason) },
             { "count", state.mSince } });
  state = { now, 0 };
}

} // namespace mangospan::daemon
