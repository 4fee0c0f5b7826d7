// Carries out what the zone controller decides: calls of the platform, and
// messages to the zone.
//
//   action_carrier carrier(store, hosts, hub, feed, metrics);
//   carrier.Carry(controller.OnTick(now, utc));
#ifndef MANGOSPAN_FLEETD_ACTION_CARRIER_H
#define MANGOSPAN_FLEETD_ACTION_CARRIER_H

#include <cstdint>
#include <functional>

#include "mangospan/base/error.h"
#include "mangospan/daemon/metrics.h"
#include "mangospan/fleet/actions.h"
#include "mangospan/fleetd/zone_hub.h"
#include "mangospan/platform/hosts.h"
#include "mangospan/platform/store.h"

namespace mangospan::fleetd {

// Where results of calls go; each is called once per call, never from inside
// `Carry`.
struct result_feed
{
  std::function<void(fleet::call_id, const fleet::store_result&)> mStore;
  std::function<void(fleet::call_id, const result<platform::host_list>&)>
    mHosts;
  std::function<void(fleet::call_id, const result<platform::action_status>&)>
    mAction;
};

class action_carrier
{
public:
  // All references must outlive the carrier and the calls under way.
  action_carrier(platform::store& aStore,
                 platform::hosts& aHosts,
                 const zone_hub& aHub,
                 result_feed aFeed,
                 daemon::metrics& aMetrics);

  // Carries the actions out in their order.
  void Carry(const fleet::actions& aActions);

private:
  void Do(const fleet::store_call& aCall);
  void Do(const fleet::host_call& aCall);
  void Do(const fleet::list_hosts_call& aCall);
  void Do(const fleet::push_view& aPush);
  void Do(const fleet::push_config& aPush);
  void Do(const fleet::send_heartbeat& aHeartbeat);
  void Do(const fleet::start_acting& aStart);
  void Do(const fleet::stop_acting& aStop);
  void Do(const fleet::log_event& aNote);

  void Run(fleet::call_id aId, const fleet::read_call& aCall);
  void Run(fleet::call_id aId, const fleet::list_call& aCall);
  void Run(fleet::call_id aId, const fleet::swap_call& aCall);
  void Run(fleet::call_id aId, const fleet::delete_call& aCall);
  void Run(fleet::call_id aId, const fleet::grant_call& aCall);
  void Run(fleet::call_id aId, const fleet::renew_call& aCall);
  void Run(fleet::call_id aId, const fleet::revoke_call& aCall);
  void Run(fleet::call_id aId, const fleet::watch_call& aCall);

  // A handler that passes its result on under `aId`.
  template<typename T>
  platform::handler<T> Feed(fleet::call_id aId) const;

  platform::store& mStore;
  platform::hosts& mHosts;
  const zone_hub& mHub;
  result_feed mFeed;
  daemon::metrics& mMetrics;
};

} // namespace mangospan::fleetd

#endif // MANGOSPAN_FLEETD_ACTION_CARRIER_H
