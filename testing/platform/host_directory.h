// The stand-in's hosts: what is true now, and the list that lags behind it.
//
//   host_directory hosts(fleet.mHosts, fleet.mListLag);
//   hosts.SetState(host, platform::host_state::kLeaving, clock.Now());
//   const auto list = hosts.List(known, clock.Now()); // shows it after the lag
#ifndef TESTING_PLATFORM_HOST_DIRECTORY_H
#define TESTING_PLATFORM_HOST_DIRECTORY_H

#include <chrono>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "mangospan/base/error.h"
#include "mangospan/base/identity.h"
#include "mangospan/base/time.h"
#include "mangospan/platform/hosts.h"

namespace mangospan::standin {

class host_directory
{
public:
  host_directory(const std::vector<platform::host_info>& aHosts,
                 std::chrono::milliseconds aLag);

  // The true state, or null for an unknown host.
  const platform::host_info* Find(const host_name& aHost) const;

  // Errors: kNotFound for an unknown host.
  status SetState(const host_name& aHost,
                  platform::host_state aState,
                  time_point aNow);
  status SetService(const host_name& aHost,
                    const service_name& aService,
                    time_point aNow);
  status CountBoot(const host_name& aHost, time_point aNow);

  // The list as it shows at `aNow`; no hosts if `aKnown` is its revision.
  platform::host_list List(platform::revision aKnown, time_point aNow);

private:
  struct pending
  {
    time_point mShows;
    platform::host_info mHost;
  };

  template<typename Change>
  status Apply(const host_name& aHost, time_point aNow, Change aChange);

  std::chrono::milliseconds mLag;
  std::map<host_name, platform::host_info> mTrue;
  std::map<host_name, platform::host_info> mShown;
  std::deque<pending> mPending; // in order of mShows
  platform::revision mRevision = 1;
};

// What became of each host action, by its id: an id that is repeated is
// answered, not carried out again.
class action_ledger
{
public:
  // True if the action is new and is now pending.
  bool Begin(const std::string& aId);
  void Finish(const std::string& aId, platform::action_status aStatus);
  platform::action_status Status(const std::string& aId) const;

private:
  std::map<std::string, platform::action_status> mStatuses;
};

} // namespace mangospan::standin

#endif // TESTING_PLATFORM_HOST_DIRECTORY_H
