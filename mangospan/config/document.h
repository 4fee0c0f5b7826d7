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
#include <tuple>
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

  friend bool operator==(const availability_budget& aLeft,
                         const availability_budget& aRight)
  {
    return std::tie(aLeft.mCount, aLeft.mShare) ==
           std::tie(aRight.mCount, aRight.mShare);
  }
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

  friend bool operator==(const pool& aLeft, const pool& aRight)
  {
    return std::tie(aLeft.mName,
                    aLeft.mService,
                    aLeft.mMaxUnavailable,
                    aLeft.mSpare,
                    aLeft.mMinHosts,
                    aLeft.mZones,
                    aLeft.mRacks) == std::tie(aRight.mName,
                                              aRight.mService,
                                              aRight.mMaxUnavailable,
                                              aRight.mSpare,
                                              aRight.mMinHosts,
                                              aRight.mZones,
                                              aRight.mRacks);
  }
};

// "99% within 2s": the share of requests answered within the time.
struct target
{
  double mShare = 1.0; // 0 to 1
  std::chrono::milliseconds mWithin{ 0 };

  friend bool operator==(const target& aLeft, const target& aRight)
  {
    return std::tie(aLeft.mShare, aLeft.mWithin) ==
           std::tie(aRight.mShare, aRight.mWithin);
  }
};

// Which requests belong to a class. The path is what follows "/<service>"; the
// prefix "/a" admits "/a" and "/a/b" but not "/ab". An empty list of methods
// admits all. The class with the longest matching path prefix wins, then the
// first written.
struct match_rule
{
  service_name mService;
  std::string mPathPrefix;
  std::vector<std::string> mMethods;

  friend bool operator==(const match_rule& aLeft, const match_rule& aRight)
  {
    return std::tie(aLeft.mService, aLeft.mPathPrefix, aLeft.mMethods) ==
           std::tie(aRight.mService, aRight.mPathPrefix, aRight.mMethods);
  }
};

// A class of work and its target.
struct work_class
{
  class_name mName;
  match_rule mMatch;
  target mTarget;
  std::optional<bool> mIdempotent; // unset: as HTTP defines the method
  bool mUrgent = false;

  friend bool operator==(const work_class& aLeft, const work_class& aRight)
  {
    return std::tie(aLeft.mName,
                    aLeft.mMatch,
                    aLeft.mTarget,
                    aLeft.mIdempotent,
                    aLeft.mUrgent) == std::tie(aRight.mName,
                                               aRight.mMatch,
                                               aRight.mTarget,
                                               aRight.mIdempotent,
                                               aRight.mUrgent);
  }
};

// A daily period of UTC time; `mFrom` after `mUntil` spans midnight.
struct daily_hours
{
  std::chrono::minutes mFrom{ 0 };
  std::chrono::minutes mUntil{ 24 * 60 };

  friend bool operator==(const daily_hours& aLeft, const daily_hours& aRight)
  {
    return std::tie(aLeft.mFrom, aLeft.mUntil) ==
           std::tie(aRight.mFrom, aRight.mUntil);
  }
};

// Rules for maintenance waves: every host once per period.
struct maintenance
{
  std::chrono::hours mPeriod{ 14 * 24 };
  std::vector<daily_hours> mAllowed;        // empty: at any time
  std::chrono::seconds mRebootLimit{ 600 }; // longer counts as a failure
  std::size_t mStopAfterFailures = 2;       // in one wave, correlated or not

  friend bool operator==(const maintenance& aLeft, const maintenance& aRight)
  {
    return std::tie(aLeft.mPeriod,
                    aLeft.mAllowed,
                    aLeft.mRebootLimit,
                    aLeft.mStopAfterFailures) ==
           std::tie(aRight.mPeriod,
                    aRight.mAllowed,
                    aRight.mRebootLimit,
                    aRight.mStopAfterFailures);
  }
};

// A team's share of the fleet. A request rate of zero means no limit.
struct team
{
  team_name mName;
  double mRequestsPerSecond = 0;
  std::size_t mProcessors = 0;

  friend bool operator==(const team& aLeft, const team& aRight)
  {
    return std::tie(aLeft.mName, aLeft.mRequestsPerSecond, aLeft.mProcessors) ==
           std::tie(
             aRight.mName, aRight.mRequestsPerSecond, aRight.mProcessors);
  }
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

  friend bool operator==(const document& aLeft, const document& aRight)
  {
    return std::tie(aLeft.mPools,
                    aLeft.mClasses,
                    aLeft.mMaintenance,
                    aLeft.mTeams,
                    aLeft.mPrefer) == std::tie(aRight.mPools,
                                               aRight.mClasses,
                                               aRight.mMaintenance,
                                               aRight.mTeams,
                                               aRight.mPrefer);
  }
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
