// The operators' configuration as typed values.
//
// Operators write pools, classes of work and targets; they name neither weights
// nor addresses. `Parse` in config/parser.h makes a `document` from JSON with
// comments, and refuses anything it does not know:
//
//   BOOST_OUTCOME_TRY(document, config::Parse(text, "fleet.json"));
//   for (const config::pool& pool : document.mPools) { ... }
#ifndef MANGOSPAN_CONFIG_DOCUMENT_H
#define MANGOSPAN_CONFIG_DOCUMENT_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "mangospan/base/identity.h"

namespace mangospan::config {

// How many hosts of a pool may be unavailable at once, over all zones. Exactly
// one of the two is set. A share is of the pool's hosts, rounded down.
struct availability_budget
{
  std::optional<std::size_t> mCount;
  std::optional<double> mShare; // 0 to 1

  // The number of hosts that may be down in a pool of `aHosts`.
  std::size_t Allowed(std::size_t aHosts) const;
};

// A set of hosts that serve one service. Hosts are chosen by attributes: an
// empty list of zones or racks admits every one.
struct pool
{
  pool_name mName;
  service_name mService;
  availability_budget mMaxUnavailable;
  bool mSpare = false;       // lends hosts to pools that need them
  std::size_t mMinHosts = 0; // per zone in which the pool has hosts
  std::vector<zone_name> mZones;
  std::vector<rack_name> mRacks;
};

// "99% within 2s": the share of requests answered within the time.
struct target
{
  double mShare = 1.0; // 0 to 1
  std::chrono::milliseconds mWithin{ 0 };
};

// Which requests belong to a class. An empty list of methods admits all; the
// class with the longest matching path prefix wins, then the first written.
struct match_rule
{
  service_name mService;
  std::string mPathPrefix;
  std::vector<std::string> mMethods;
};

// A class of work and its target.
struct work_class
{
  class_name mName;
  match_rule mMatch;
  target mTarget;
  std::optional<bool> mIdempotent; // unset: as HTTP defines the method
  bool mUrgent = false;
};

// A daily period of UTC time; `mFrom` after `mUntil` spans midnight.
struct daily_hours
{
  std::chrono::minutes mFrom{ 0 };
  std::chrono::minutes mUntil{ 24 * 60 };
};

// Rules for maintenance waves: every host once per period.
struct maintenance
{
  std::chrono::hours mPeriod{ 14 * 24 };
  std::vector<daily_hours> mAllowed;        // empty: at any time
  std::chrono::seconds mRebootLimit{ 600 }; // longer counts as a failure
  std::size_t mStopAfterFailures = 2;       // in one wave, correlated or not
};

// A team's share of the fleet. A request rate of zero means no limit.
struct team
{
  team_name mName;
  double mRequestsPerSecond = 0;
  std::size_t mProcessors = 0;
};

enum class preference
{
  kLowBuffer,
  kFastRollOut,
};

// The whole configuration. Names are unique within each list, every class's
// service is served by exactly one pool, and at most one pool is spare.
struct document
{
  std::vector<pool> mPools;
  std::vector<work_class> mClasses;
  maintenance mMaintenance;
  std::vector<team> mTeams;
  preference mPrefer = preference::kLowBuffer;
};

// A document together with its place in the one order of all changes.
struct revisioned_document
{
  std::uint64_t mRevision = 0; // of the store's record; 0: none yet
  std::string mText;           // canonical JSON, as stored
  document mDocument;
};

} // namespace mangospan::config

#endif // MANGOSPAN_CONFIG_DOCUMENT_H
