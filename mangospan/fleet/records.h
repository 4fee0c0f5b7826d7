// The records of a zone in the platform's store, and their JSON text.
//
// Every record carries its writer's term and write id, so that a writer whose
// answer was lost recognises its own value when it reads the key back:
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

// Where the records are kept.
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

inline constexpr const char* kPoolsPrefix = "pools/";
inline constexpr const char* kConfigPrefix = "config/";
inline constexpr const char* kConfigKey = "config/current";
inline constexpr const char* kDrainsKey = "config/drains";
inline constexpr const char* kWaveKey = "config/wave";

// `zones/<z>/leader`: who acts for the zone. Attached to the holder's lease.
struct leader_record
{
  host_name mHost;
  std::string mPeerAddress;
  write_id mWrite;
};

// How far a host is on its way out of service and back.
enum class host_phase
{
  kServing,
  kDraining,  // no new work; waits for every entry to be empty there
  kStopping,  // the runner is being stopped
  kRebooting, // the host is being rebooted
  kDrained,   // without a runner, until the operator takes the drain back
  kStarting,  // the runner of the host's pool is being started
};

const char*
Name(host_phase aPhase);

// Why a host leaves service.
enum class host_purpose
{
  kNone,
  kMove,          // to pool `mTarget`
  kMaintenance,   // a reboot in a wave
  kOperatorDrain, // at an operator's request
};

const char*
Name(host_purpose aPurpose);

// One host of the zone. It is in `mPool` and no other.
struct host_record
{
  pool_name mPool;
  host_phase mPhase = host_phase::kServing;
  host_purpose mPurpose = host_purpose::kNone;
  pool_name mTarget;            // of a move
  std::uint64_t mEpoch = 1;     // grows with each return to service
  write_id mAction;             // of the phase's action on the host
  std::int64_t mMaintained = 0; // seconds since 1970 (UTC)
  std::string mWave;            // the last operator's wave that included it
  bool mFailed = false; // did not come back in time, or an action failed

  friend bool operator==(const host_record& aLeft, const host_record& aRight);
};

// `zones/<z>/hosts`: the pool and phase of every worker host of the zone.
struct hosts_record
{
  std::uint64_t mTerm = 0;
  write_id mWrite;
  std::map<host_name, host_record> mHosts;
  // Hosts that failed in maintenance since `mFailuresWave` was started, with
  // the time in seconds since 1970.
  std::map<host_name, std::int64_t> mFailures;
  std::string mFailuresWave;
};

// `zones/<z>/entries`: the entries whose acknowledgement moves wait for.
struct entries_record
{
  std::uint64_t mTerm = 0;
  write_id mWrite;
  std::vector<view::entry_member> mEntries; // at most one a host
};

// A host that a pool does without for a planned purpose.
struct permit
{
  host_name mHost;
  host_purpose mReason = host_purpose::kNone;
  std::int64_t mSince = 0; // seconds since 1970 (UTC)
  bool mFailed = false;    // the host did not come back in time

  friend bool operator==(const permit& aLeft, const permit& aRight);
};

// What one zone's acting process says of its hosts in a pool.
struct zone_share
{
  std::uint64_t mTerm = 0;
  std::size_t mHosts = 0;       // of the pool in this zone
  std::vector<host_name> mDown; // not planned, sorted
  std::vector<permit> mPermits; // sorted by host

  friend bool operator==(const zone_share& aLeft, const zone_share& aRight);
};

// `pools/<p>/budget`: where the zones count a pool's unavailable hosts.
struct budget_record
{
  write_id mWrite;
  std::map<zone_name, zone_share> mZones;
};

// Why one host's move, drain or reboot waits.
struct waiting_host
{
  host_name mHost;
  host_purpose mPurpose = host_purpose::kNone;
  std::string mReason; // "waits for entry ra-a-01 to acknowledge"
};

// How far the hosts of one pool and zone are in a wave.
struct wave_progress
{
  pool_name mPool;
  std::string mWave; // the operator's id; empty: the periodic wave
  std::string mState;
  std::size_t mHosts = 0;
  std::size_t mDone = 0;
  std::size_t mActive = 0;
  std::size_t mFailed = 0;
};

// `zones/<z>/status`: what operators see of the zone.
struct status_record
{
  std::uint64_t mTerm = 0;
  write_id mWrite;
  std::uint64_t mConfigRevision = 0;
  std::string mConfigError;             // of a newer one that was refused
  std::vector<host_name> mAcknowledged; // entries in which it is in force
  std::vector<host_name> mSilent;       // registered entries not heard
  std::vector<host_name> mUnregistered; // entries that wait to be registered
  std::vector<wave_progress> mWaves;
  std::vector<waiting_host> mWaiting;
};

// `config/current`. The document stands as JSON or as text.
struct config_record
{
  std::string mChangeId;
  std::string mAuthor;
  std::string mDocument;
};

// `config/drains`: hosts that operators want out of service.
struct drains_record
{
  std::vector<host_name> mHosts;
};

// `config/wave`: an operator's maintenance wave. No pool: every pool.
struct wave_request
{
  std::string mId;
  pool_name mPool;
  bool mPaused = false;
};

// Canonical JSON text: equal records give equal texts.
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

// Errors: kInvalidArgument with `aKey` as the peer.
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
