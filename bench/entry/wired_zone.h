// One real entry on a thread of its own, with endpoints and a fake acting
// fleet process on another, at the target size: 75 hosts, 43 pools, 540 teams,
// shares for 8 entries. Only the endpoints that are asked here listen.
//
//   wired_zone zone;
//   if (!zone.BecomesReady()) { ... }
//   client.Send(zone.EntryAddress(), request, timeout, handler);
#ifndef MANGOSPAN_BENCH_ENTRY_WIRED_ZONE_H
#define MANGOSPAN_BENCH_ENTRY_WIRED_ZONE_H

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "bench/entry/io_thread.h"
#include "mangospan/base/time.h"
#include "mangospan/daemon/metrics.h"
#include "mangospan/entry/entry_process.h"
#include "mangospan/http/server.h"
#include "mangospan/view/zone_view.h"
#include "mangospan/wire/link.h"

namespace mangospan::bench {

// Answered at once, by four endpoints of 8 slots.
inline constexpr const char* kQuickTarget = "/service-0/x";
// Answered after 200 ms, by one endpoint of 8 slots.
inline constexpr const char* kSlowTarget = "/service-1/x";

class wired_zone
{
public:
  wired_zone();
  ~wired_zone();
  wired_zone(const wired_zone&) = delete;
  wired_zone& operator=(const wired_zone&) = delete;

  // Waits until the entry is registered and has view and configuration; false
  // if that takes over 10 s.
  bool BecomesReady();

  std::string EntryAddress() const;
  unsigned short EntryPort() const { return mEntryPort; }
  // Of the endpoints that answer at once.
  const std::vector<std::string>& QuickAddresses() const { return mQuick; }

  io_thread& EntryThread() { return mEntryThread; }

  // What the fleet process sent to and received from the entry.
  wire::link_counters LinkCounters();

private:
  void StartEndpoints();
  void StartFleet();
  void StartEntry();
  void Welcome();
  void ScheduleHeartbeat();
  view::zone_view View() const;

  io_thread mEntryThread;
  io_thread mZoneThread; // endpoints and fleet process
  system_clock_source mClock;
  daemon::metrics mMetrics;
  wire::traffic_gate mGate;
  wire::connection_id mConnection = 0;
  bool mIsWelcome = false;
  std::vector<std::string> mQuick;
  std::string mSlow;
  std::string mPeerAddress;
  unsigned short mEntryPort = 0;
  std::vector<std::unique_ptr<http::server>> mEndpoints;
  std::optional<wire::link> mFleet;
  std::optional<boost::asio::steady_timer> mHeartbeatTimer;
  std::optional<entry::entry_process> mEntry;
};

} // namespace mangospan::bench

#endif // MANGOSPAN_BENCH_ENTRY_WIRED_ZONE_H
