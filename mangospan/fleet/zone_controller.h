// Makes the decisions of one fleet process for its availability zone.
//
// The daemon owns one controller, feeds it events, and executes the actions
// that each input returns. The controller reads no clock, starts no thread and
// makes no call. If its process is killed, another process rebuilds the state
// from the store and the zone's entries.
//
//   zone_controller controller(zone, self, settings, config::Parse, seed);
//   Execute(controller.OnTick(clock.Now(), std::chrono::system_clock::now()));
//   ...
//   Execute(controller.OnStoreResult(call.mId, result, clock.Now()));
//
// Rules for the daemon:
//  * Call `OnTick` every 50 to 100 ms, in a standby process too.
//  * Feed back the result of each call exactly once. The result of a call that
//    timed out after it was sent is kUnknownResult.
//  * `aNow` never decreases, and it includes the time for which the host was
//    suspended.
//
// Rules for an entry, on which the safety of shares and moves depends:
//  * After the first message of a higher term, an entry adopts no view of a
//    lower term. It sends a hello with `mTermHeard` and the shares it holds.
//  * An entry reports the version of a view once its requests in flight at each
//    endpoint are within its share in that view, except at draining endpoints.
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

// Wall-clock time, used only for allowed hours and maintenance periods.
using wall_time = std::chrono::system_clock::time_point;

// Parses and validates a configuration, as `config::Parse` does.
using parse_function =
  std::function<result<config::document>(std::string_view aText,
                                         std::string_view aSource)>;

// The controller of one zone in one fleet process. Not thread-safe.
//
// The `On...` methods are its inputs. Each returns the actions to execute.
class zone_controller
{
public:
  // `aSeed` seeds the jitter of elections and retries.
  zone_controller(zone_name aZone,
                  const process_identity& aSelf,
                  const settings& aSettings,
                  parse_function aParse,
                  std::uint64_t aSeed);
  zone_controller(const zone_controller&) = delete;
  zone_controller& operator=(const zone_controller&) = delete;
  ~zone_controller();

  // Handles the passing of time: leases, heartbeats, retries and timeouts.
  actions OnTick(time_point aNow, wall_time aUtc);

  // Handles the result of a `store_call`, watches included. The results of
  // calls that are no longer needed are ignored.
  actions OnStoreResult(call_id aCall,
                        const store_result& aResult,
                        time_point aNow);

  // Handles the result of a `list_hosts_call`. An empty list of the known
  // revision means that nothing has changed.
  actions OnHostList(call_id aCall,
                     const result<platform::host_list>& aResult,
                     time_point aNow);

  // Handles the result of a `host_call`.
  actions OnHostActionResult(call_id aCall,
                             const result<platform::action_status>& aResult,
                             time_point aNow);

  // Handle messages of the zone's entries, also in a standby process.
  actions OnEntryHello(const view::entry_id& aEntry,
                       const wire::hello& aHello,
                       time_point aNow);
  actions OnEntryReport(const view::entry_id& aEntry,
                        const wire::entry_report& aReport,
                        time_point aNow);
  actions OnEntryShutdown(const view::entry_id& aEntry, time_point aNow);

  // Handles the loss of the connection to the entry, which stays registered.
  actions OnEntryDisconnected(const view::entry_id& aEntry, time_point aNow);

  // Handles a heartbeat from another process that acts for the zone.
  actions OnPeerHeartbeat(const wire::sender& aSender,
                          const wire::heartbeat& aHeartbeat,
                          time_point aNow);

  // Handles a whole configuration from a peer in this zone or another. If it is
  // newer than the one in force, it is adopted and pushed to the entries, also
  // by a standby process if no other process acts.
  actions OnConfiguration(std::uint64_t aRevision,
                          const std::string& aText,
                          time_point aNow);

  // Stops acting and revokes the lease. After this only results of the
  // controller's calls may be fed in.
  actions OnStop(time_point aNow);

  // Returns true if this process acts for the zone, as of the last input.
  bool Acting() const;

  // Returns the term under which this process acts. If it does not act, returns
  // the highest term it has heard of, or 0 if there is none.
  std::uint64_t Term() const;

  // Returns the configuration in force; its revision is 0 if there is none.
  const config::revisioned_document& Configuration() const;

  // Returns the view that this process last pushed; its version is {0, 0} if
  // there is none.
  const view::zone_view& View() const;

  // Returns the zone's state as JSON text for the operators' endpoint /state.
  std::string DumpState() const;

private:
  struct state;
  std::unique_ptr<state> mState;
};

} // namespace mangospan::fleet

#endif // MANGOSPAN_FLEET_ZONE_CONTROLLER_H
