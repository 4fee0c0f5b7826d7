// One `mangospan-entry` process: callers' server, request pipe, and the link
// to the zone's other processes.
//
//   entry_process process(io, settings, clock, metrics, DrawBootId());
//   BOOST_OUTCOME_TRY(process.Start());
//   ...
//   process.Stop([&io] { io.stop(); });
#ifndef MANGOSPAN_ENTRY_ENTRY_PROCESS_H
#define MANGOSPAN_ENTRY_ENTRY_PROCESS_H

#include <functional>
#include <map>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "mangospan/base/error.h"
#include "mangospan/base/time.h"
#include "mangospan/daemon/metrics.h"
#include "mangospan/daemon/program.h"
#include "mangospan/entry/membership.h"
#include "mangospan/entry/request_pipe.h"
#include "mangospan/entry/suspension_clock.h"
#include "mangospan/entry/ticket_desk.h"
#include "mangospan/http/client.h"
#include "mangospan/http/server.h"
#include "mangospan/request/pipeline.h"
#include "mangospan/settings/settings.h"
#include "mangospan/wire/link.h"

namespace mangospan::entry {

// The process at the other end of a connection, as far as it has said.
struct link_peer
{
  wire::sender mSender;
  std::string mAddress; // of its link listener; empty before its hello
};

class entry_process final : public daemon::process
{
public:
  // All references must outlive the process object.
  entry_process(boost::asio::io_context& aIo,
                settings::process_settings aSettings,
                const clock_source& aClock,
                daemon::metrics& aMetrics,
                boot_id aBoot);

  // Listens for callers and peers, and dials the peers of the settings.
  // Errors: as http::server::Listen and wire::link::Listen.
  status Start() override;

  // Graceful stop: refuses new work, finishes what is open within the stop
  // timeout, says goodbye, then calls `aDone`.
  void Stop(std::function<void()> aDone) override;

  // Whether requests can be served now; false too without a slot at any
  // endpoint.
  bool IsHealthy() const override;

  // The state as JSON, for /state.
  std::string DumpState() const override;

  // Writes the gauges of /metrics.
  void RefreshMetrics() override;

  // POST /test/cut?zone=Z or ?host=H, and /test/heal.
  http::response TestSwitch(const http::request& aRequest) override;

  // The bound ports, once started.
  unsigned short CallerPort() const { return mServer.Port(); }
  unsigned short PeerPort() const { return mLink.Port(); }

private:
  using connection_id = wire::connection_id;

  wire::sender Self() const;
  void OnOpen(connection_id aConnection);
  void OnClose(connection_id aConnection);
  void OnEnvelope(connection_id aConnection, const wire::envelope& aEnvelope);

  void On(connection_id, const wire::sender&, const wire::hello&);
  void On(connection_id, const wire::sender&, const wire::heartbeat&);
  void On(connection_id, const wire::sender&, const wire::view_push&);
  void On(connection_id, const wire::sender&, const wire::config_push&);
  void On(connection_id, const wire::sender&, const wire::state_request&);
  void On(connection_id, const wire::sender&, const wire::grant_request&);
  void On(connection_id, const wire::sender&, const wire::grant_reply&);
  void On(connection_id, const wire::sender&, const wire::ticket_report&);
  // Messages that only fleet processes take.
  void On(connection_id, const wire::sender&, const wire::entry_report&) {}
  void On(connection_id, const wire::sender&, const wire::goodbye&) {}

  void Carry(connection_id aFrom, const membership_effects& aEffects);
  void AdoptView();
  void UpdateDispatching();
  void SayHello(connection_id aConnection);
  void Report();
  bool SendTo(const std::string& aAddress, const wire::message& aMessage);
  void OnSuspended();
  void ScheduleTick();
  void Tick();
  void StopWhenIdle();
  void FinishStop();

  const settings::process_settings mSettings;
  const view::entry_id mOwn;
  suspension_clock mClock;
  daemon::metrics& mMetrics;
  wire::traffic_gate mGate;
  zone_membership mMembership;
  request::pipeline mPipeline;
  ticket_desk mTickets;
  http::client mClient;
  request_pipe mPipe;
  http::server mServer;
  wire::link mLink;
  boost::asio::steady_timer mTickTimer;
  boost::asio::steady_timer mStopTimer;
  std::map<connection_id, link_peer> mPeers;
  connection_id mActing = 0; // to the acting fleet process; 0: none
  time_point mNextReport;
  view::version mReportedView;
  bool mReportDue = false;
  bool mIsStopping = false;
  time_point mStopBegan;
  std::function<void()> mOnStopped;
};

} // namespace mangospan::entry

#endif // MANGOSPAN_ENTRY_ENTRY_PROCESS_H
