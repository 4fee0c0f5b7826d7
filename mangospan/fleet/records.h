// The records that the fleet processes and operators keep in the platform's
// store, and the conversion of these records to and from JSON text.
//
// Every record that a fleet process writes carries the term that it was written
// under (for the leader record, the revision of the key is the term; in a
// budget record, each zone's part carries its own) and a write id. A writer
// that lost the answer to its write reads the key back and recognises its own
// value by the write id:
//
//   std::string text = ToText(hosts);
//   BOOST_OUTCOME_TRY(auto hosts, ParseHosts(text, key));
#ifndef MANGOSPAN_FLEET_RECORDS_H
#define MANGOSPAN_FLEET_RECORDS_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "mangospan/base/error.h"
#include "mangospan/base/identity.h"
#include "mangospan/view/zone_view.h"

namespace mangospan::fleet {

// Each function returns the store key of one record of a zone or pool, for
// example "zones/a/hosts".
std::string
LeaderKey(const zone_name& aZone);
std::string
HostsKey(const zone_name& aZone);
std::string
EntriesKey(const zone_name& aZone);
std::string
StatusKey(const zone_name& aZone);
std::string
BudgetKey(const pool_name& aPool);

// Prefix of the keys of all budget records.
inline constexpr const char* kPoolsPrefix = "pools/";
// Prefix of the keys of all records that operators write.
inline constexpr const char* kConfigPrefix = "config/";
inline constexpr const char* kConfigKey = "config/current";
inline constexpr const char* kDrainsKey = "config/drains";
inline constexpr const char* kWaveKey = "config/wave";

// The record `zones/<zone>/leader`: the process that acts for the zone. The key
// is attached to the lease of that process and is deleted when the lease ends.
struct leader_record
{
  host_name mHost;
  std::string mPeerAddress; // "ip:port" of the process's link listener
  write_id mWrite;
};

// The phases that a host passes through when it leaves service and returns.
enum class host_phase
{
  kServing,
  kDraining,  // gets no new work; entries still have requests in flight
  kStopping,  // the runner is being stopped
  kRebooting, // the host is being rebooted
  // An operator's drain is complete: the host has no runner until the operator
  // cancels the drain. Hosts that are moved or rebooted skip this phase.
  kDrained,
  kStarting, // the runner of the host's pool is being started
};

// Returns the phase's name in JSON text, for example "draining".
const char*
Name(host_phase aPhase);

// The reason why a host leaves service.
enum class host_purpose
{
  kNone,
  kMove,          // the host moves to another pool, or joins the spare pool
                  // when it is adopted
  kMaintenance,   // the host is rebooted in a maintenance wave
  kOperatorDrain, // an operator asked for the drain
};

// Returns the purpose's name in JSON text, for example "operator-drain".
const char*
Name(host_purpose aPurpose);

// The state of one worker host of the zone. A host is in exactly one pool.
struct host_record
{
  // During a move, the old pool until the runner is stopped, then `mTarget`.
  pool_name mPool;
  host_phase mPhase = host_phase::kServing;
  // Also kNone while the runner of a host that restarted by itself is started.
  host_purpose mPurpose = host_purpose::kNone;
  // The pool that the host moves to; empty unless `mPurpose` is kMove.
  pool_name mTarget;
  // Increases each time the host returns to service, also when a drain is
  // cancelled, so that acknowledgements of one drain do not count for a later
  // one.
  std::uint64_t mEpoch = 1;
  // Identifies the host action that the current phase requires; empty if the
  // phase requires none.
  write_id mHostActionId;
  // When the host was adopted or last maintained, in seconds since 1970 (UTC).
  std::int64_t mMaintainedAt = 0;
  // The id of the last operator's wave that included the host.
  std::string mLastWave;
  // True if the host did not come back in time or an action on it failed.
  bool mFailed = false;

  friend bool operator==(const host_record& aLeft, const host_record& aRight);
};

// The record `zones/<zone>/hosts`: the pool and phase of every worker host of
// the zone.
struct hosts_record
{
  std::uint64_t mTerm = 0; // the writer's term
  write_id mWrite;
  std::map<host_name, host_record> mHosts;
  // Hosts that failed in maintenance since `mFailuresWave` last changed, each
  // with the time of the failure in seconds since 1970 (UTC). A failure is
  // removed after the maintenance period.
  std::map<host_name, std::int64_t> mFailedAt;
  // The id of the requested wave, empty if there was none, when the failures
  // were last cleared. They are cleared when that id changes.
  std::string mFailuresWave;
};

// The record `zones/<zone>/entries`: the registered entries of the zone. A host
// stays in phase kDraining until each of them has acknowledged that it has no
// request in flight there.
struct entries_record
{
  std::uint64_t mTerm = 0; // the writer's term
  write_id mWrite;
  std::vector<view::entry_member> mEntries; // at most one per host
};

// Permission for one host of a pool to be out of service for a planned purpose.
struct permit
{
  host_name mHost;
  host_purpose mPurpose = host_purpose::kNone;
  // When the permit was first recorded, in seconds since 1970 (UTC).
  std::int64_t mRecordedAt = 0;
  // True if the host did not come back in time or an action on it failed.
  bool mFailed = false;

  friend bool operator==(const permit& aLeft, const permit& aRight);
};

// One zone's part of a pool's budget record, written by the process that acts
// for the zone. A zone's unavailable hosts are those in `mDownHosts` and those
// with a permit.
struct zone_budget_part
{
  // The term under which the part was last written with permits or lost its
  // last one. Not updated for a new term while there are no permits.
  std::uint64_t mTerm = 0;
  // The number of hosts that the pool has in the zone.
  std::size_t mHostCount = 0;
  // Hosts that are unavailable without a permit, sorted.
  std::vector<host_name> mDownHosts;
  // Permits of hosts that are or may be taken out of service, sorted by host.
  std::vector<permit> mPermits;

  friend bool operator==(const zone_budget_part& aLeft,
                         const zone_budget_part& aRight);
};

// The record `pools/<pool>/budget`: the unavailable hosts of a pool in all
// zones, which count against the pool's availability budget.
struct budget_record
{
  write_id mWrite;
  std::map<zone_name, zone_budget_part> mZones;
};

// A host that is out of service, or is planned to leave it and has not begun to
// drain.
struct waiting_host
{
  host_name mHost;
  host_purpose mPurpose = host_purpose::kNone;
  // For operators: what the host waits for, for example "waits for entry
  // ra-a-01 to acknowledge", or its phase.
  std::string mReason;
};

// The progress of a maintenance wave in one pool of one zone. All counts are
// numbers of hosts.
struct wave_progress
{
  pool_name mPool;
  // The id of the operator's wave; empty for periodic maintenance.
  std::string mWave;
  // For operators, for example "running" or "paused".
  std::string mState;
  std::size_t mHostCount = 0;   // in the pool
  std::size_t mDoneCount = 0;   // serving and not due for maintenance
  std::size_t mActiveCount = 0; // in maintenance, failed hosts included
  std::size_t mFailedCount = 0; // in maintenance and failed
};

// The record `zones/<zone>/status`: the state of the zone as operators see it.
struct status_record
{
  std::uint64_t mTerm = 0; // the writer's term
  write_id mWrite;
  // The revision of the configuration in force.
  std::uint64_t mConfigRevision = 0;
  // Why a newer configuration was rejected; empty if none was.
  std::string mConfigError;
  // Hosts of the registered, responsive entries that reported `mConfigRevision`
  // or a higher revision.
  std::vector<host_name> mConfiguredEntries;
  // Hosts of the registered entries that have sent no hello or report to this
  // process for `settings::mEntryUnresponsiveAfter`.
  std::vector<host_name> mUnresponsiveEntries;
  // Hosts of the entries that have said hello and are not registered yet.
  std::vector<host_name> mUnregisteredEntries;
  std::vector<wave_progress> mWaves;
  std::vector<waiting_host> mWaiting;
};

// The record `config/current`: the configuration document that operators
// applied last.
struct config_record
{
  std::string mChangeId;
  std::string mAuthor;
  // The document as text. In the store it is a string or a nested JSON object.
  std::string mDocument;
};

// The record `config/drains`: hosts that operators want out of service.
struct drains_record
{
  std::vector<host_name> mHosts;
};

// The record `config/wave`: a maintenance wave that an operator requested.
struct wave_request
{
  std::string mId; // empty if no wave is requested
  // The pool whose hosts are maintained; empty for all pools.
  pool_name mPool;
  bool mPaused = false;
};

// Returns the canonical JSON text of the record: equal records give equal
// texts.
std::string
ToText(const leader_record& aRecord);
std::string
ToText(const hosts_record& aRecord);
std::string
ToText(const entries_record& aRecord);
std::string
ToText(const budget_record& aRecord);
std::string
ToText(const status_record& aRecord);

// Each function parses the JSON text of one record. Returns kInvalidArgument,
// with `aKey` as the peer of the error, if the text is not such a record.
result<leader_record>
ParseLeader(std::string_view aText, std::string_view aKey);
result<hosts_record>
ParseHosts(std::string_view aText, std::string_view aKey);
result<entries_record>
ParseEntries(std::string_view aText, std::string_view aKey);
result<budget_record>
ParseBudget(std::string_view aText, std::string_view aKey);
result<status_record>
ParseStatus(std::string_view aText, std::string_view aKey);
result<config_record>
ParseConfigRecord(std::string_view aText, std::string_view aKey);
result<drains_record>
ParseDrains(std::string_view aText, std::string_view aKey);
result<wave_request>
ParseWave(std::string_view aText, std::string_view aKey);

} // namespace mangospan::fleet

#endif // MANGOSPAN_FLEET_RECORDS_H
