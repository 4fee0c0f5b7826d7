// All decisions of one fleet process for its availability zone.
//
// The daemon owns one controller, feeds it what happens, and carries out the
// actions that each input returns. The controller reads no clock, starts no
// thread and makes no call; a process that is killed loses nothing that another
// can not rebuild from the store and the zone's entries.
//
//   zone_controller controller(zone, self, settings, config::Parse, seed);
//   Carry(controller.OnTick(clock.Now(), std::chrono::system_clock::now()));
//   ...
//   Carry(controller.OnStoreResult(call.mId, result, clock.Now()));
//
// Rules for the daemon:
//  * Call `OnTick` every 50 to 100 ms, in a standby process too.
//  * Feed back each call's result exactly once; a call that timed out after it
//    was sent is kUnknownResult.
//  * `aNow` never goes back; it counts the time for which the host slept.
//
// Rules for an entry, which the safety of shares and moves rests on:
//  * On the first message of a higher term it adopts no view of a lower one any
//    more, and sends a hello with `mTermHeard` and the shares it holds.
//  * It reports a view's version once what it has in flight at each endpoint is
//    within the shares of that view (draining endpoints excepted).
//  * Each report names every endpoint that the reported view lists as draining
//    and at which the entry has nothing in flight.
#ifndef MANGOSPAN_FLEET_ZONE_CONTROLLER_H
#define MANGOSPAN_FLEET_ZONE_CONTROLLER_H

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "mangospan/base/error.h"
#include "mangospan/base/identity.h"
#include "mangospan/base/time.h"
#include "mangospan/config/document.h"
#include "mangospan/fleet/actions.h"
#include "mangospan/fleet/settings.h"
#include "mangospan/platform/hosts.h"
#include "mangospan/view/zone_view.h"
#include "mangospan/wire/message.h"

namespace mangospan::fleet {

// Wall-clock time, for allowed hours and maintenance periods only.
using wall_time = std::chrono::system_clock::time_point;

// Parses and checks a configuration: `config::Parse`.
using parse_function =
  std::function<result<config::document>(std::string_view aText,
                                         std::string_view aSource)>;

class zone_controller
{
public:
  // `aSeed` drives the jitter of elections and retries.
  zone_controller(zone_name aZone,
                  const process_identity& aSelf,
                  const settings& aSettings,
                  parse_function aParse,
                  std::uint64_t aSeed);
  zone_controller(const zone_controller&) = delete;
  zone_controller& operator=(const zone_controller&) = delete;
  ~zone_controller();

  // Time has passed: leases, heartbeats, retries, waits.
  actions OnTick(time_point aNow, wall_time aUtc);

  // The result of the store call `aCall`, watches included. Results of calls
  // that no longer matter are ignored.
  actions OnStoreResult(call_id aCall,
                        const store_result& aResult,
                        time_point aNow);

  // The result of a `list_hosts_call`. An empty list of the known revision
  // means that nothing has changed.
  actions OnHostList(call_id aCall,
                     const result<platform::host_list>& aResult,
                     time_point aNow);

  // The result of a `host_call`.
  actions OnActionResult(call_id aCall,
                         const result<platform::action_status>& aResult,
                         time_point aNow);

  // Messages of the zone's entries. Standby processes may be fed them too.
  actions OnEntryHello(const view::entry_id& aEntry,
                       const wire::hello& aHello,
                       time_point aNow);
  actions OnEntryReport(const view::entry_id& aEntry,
                        const wire::entry_report& aReport,
                        time_point aNow);
  actions OnEntryGoodbye(const view::entry_id& aEntry, time_point aNow);

  // The connection to the entry is gone. It stays registered.
  actions OnEntryLost(const view::entry_id& aEntry, time_point aNow);

  // A heartbeat of the zone's acting process reached this one.
  actions OnPeerHeartbeat(const wire::sender& aSender,
                          const wire::heartbeat& aHeartbeat,
                          time_point aNow);

  // A whole configuration from a peer in this zone or another. Adopted and
  // pushed on if it is newer than the one held, also by a standby process.
  actions OnConfiguration(std::uint64_t aRevision,
                          const std::string& aText,
                          time_point aNow);

  // Graceful stop: gives the lease back. Only results of its calls are fed in
  // after that.
  actions OnStop(time_point aNow);

  // True while this process acts for the zone, as of the last input.
  bool Acting() const;

  // The term it acts under, else the highest heard; 0: none.
  std::uint64_t Term() const;

  // The configuration held; revision 0 if none.
  const config::revisioned_document& Configuration() const;

  // The last view pushed by this process; version {0, 0} if none.
  const view::zone_view& View() const;

  // The whole state as JSON text, for the operators' /state.
  std::string DumpState() const;

private:
  struct state;
  std::unique_ptr<state> mState;
};

} // namespace mangospan::fleet

#endif // MANGOSPAN_FLEET_ZONE_CONTROLLER_H
