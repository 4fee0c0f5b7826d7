// One `mangospan-fleet` process: the zone controller with its clock, its links
// and the platform around it.
//
//   fleet_process process(io, settings, store, hosts, metrics, DrawBootId());
//   BOOST_OUTCOME_TRY(process.Start());
//   ...
//   process.Stop([&io] { io.stop(); });
#ifndef MANGOSPAN_FLEETD_FLEET_PROCESS_H
#define MANGOSPAN_FLEETD_FLEET_PROCESS_H

#include <chrono>
#include <cstdint>
#include <functional>
#include <set>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "mangospan/base/error.h"
#include "mangospan/base/identity.h"
#include "mangospan/base/time.h"
#include "mangospan/daemon/metrics.h"
#include "mangospan/daemon/program.h"
#include "mangospan/fleet/zone_controller.h"
#include "mangospan/fleetd/action_carrier.h"
#include "mangospan/fleetd/zone_hub.h"
#include "mangospan/http/message.h"
#include "mangospan/platform/hosts.h"
#include "mangospan/platform/store.h"
#include "mangospan/settings/settings.h"
#include "mangospan/view/zone_view.h"
#include "mangospan/wire/link.h"
#include "mangospan/wire/message.h"

namespace mangospan::fleetd {

class fleet_process final : public daemon::process
{
public:
  // All references must outlive the process object.
  fleet_process(boost::asio::io_context& aIo,
                settings::process_settings aSettings,
                platform::store& aStore,
                platform::hosts& aHosts,
                const clock_source& aClock,
                daemon::metrics& aMetrics,
                boot_id aBoot);

  // Listens for peers, dials those of the settings and begins to tick. Errors:
  // as wire::link::Listen.
  status Start() override;

  // Graceful stop: gives the lease back, says goodbye, then calls `aDone`.
  void Stop(std::function<void()> aDone) override;

  // Always: a standby process is as good as the acting one.
  bool IsHealthy() const override { return true; }

  // The state as JSON, for /state.
  std::string DumpState() const override;

  // Writes the gauges of /metrics.
  void RefreshMetrics() override;

  // POST /test/cut?zone=Z or ?host=H, and /test/heal.
  http::response TestSwitch(const http::request& aRequest) override;

private:
  wire::link_handlers LinkHandlers();
  result_feed ResultFeed();
  wire::sender Self() const;
  wire::hello Hello() const;
  void ScheduleTick();
  void Tick();
  void Carry(const fleet::actions& aActions);
  void PassOnConfiguration();
  void DialEntries();
  void TellOtherZones();
  void FinishStop();

  void OnOpen(wire::connection_id aConnection);
  void OnEnvelope(wire::connection_id aConnection,
                  const wire::envelope& aEnvelope);
  void OnClose(wire::connection_id aConnection);

  // One handler for each type of message; those that only entries exchange
  // are ignored.
  void On(wire::connection_id, const wire::sender&, const wire::hello&);
  void On(wire::connection_id, const wire::sender&, const wire::heartbeat&);
  void On(wire::connection_id, const wire::sender&, const wire::view_push&);
  void On(wire::connection_id, const wire::sender&, const wire::config_push&);
  void On(wire::connection_id, const wire::sender&, const wire::state_request&);
  void On(wire::connection_id, const wire::sender&, const wire::entry_report&);
  void On(wire::connection_id, const wire::sender&, const wire::goodbye&);
  template<typename Other>
  void On(wire::connection_id, const wire::sender&, const Other&);

  bool IsZoneEntry(const wire::sender& aSender) const;

  settings::process_settings mSettings;
  const clock_source& mClock;
  daemon::metrics& mMetrics;
  boot_id mBoot;
  wire::traffic_gate mGate;
  fleet::zone_controller mController;
  wire::link mLink;
  zone_hub mHub;
  action_carrier mCarrier;
  boost::asio::steady_timer mTimer;
  std::uint64_t mPassedOnRevision = 0; // to other fleet processes
  std::string mPassedOnText;
  view::zone_view mHeardView; // of the acting process, while it is another
  std::set<std::string> mDialled;
  time_point mNextDial;
  time_point mNextTelling;
  time_point mStopBy;
  std::function<void()> mOnStopped; // set while stopping
};

} // namespace mangospan::fleetd

#endif // MANGOSPAN_FLEETD_FLEET_PROCESS_H
