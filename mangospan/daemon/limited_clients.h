// Counts and logs the clients that a listener's limits have refused or closed.
//
//   limited_clients limited(clock, metrics, "limited_clients_total");
//   options.mOnLimited = limited.Observer("callers");
#ifndef MANGOSPAN_DAEMON_LIMITED_CLIENTS_H
#define MANGOSPAN_DAEMON_LIMITED_CLIENTS_H

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "mangospan/base/time.h"
#include "mangospan/http/connection_limits.h"

namespace mangospan::daemon {

class metrics;

class limited_clients
{
public:
  limited_clients(const clock_source& aClock,
                  metrics& aMetrics,
                  std::string aMetric);

  // Returns a function for `http::server_options::mOnLimited`. It refers to
  // this object.
  std::function<void(http::limit_reason)> Observer(std::string aListener);

private:
  struct reported
  {
    time_point mAt{};
    std::uint64_t mSince = 0; // clients, not logged yet
  };

  void Count(const std::string& aListener, http::limit_reason aReason);

  const clock_source& mClock;
  metrics& mMetrics;
  const std::string mMetric;
  std::map<std::pair<std::string, http::limit_reason>, reported> mReported;
};

} // namespace mangospan::daemon

#endif // MANGOSPAN_DAEMON_LIMITED_CLIENTS_H
