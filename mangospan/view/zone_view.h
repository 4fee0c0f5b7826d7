// What the acting fleet process of a zone tells the zone's entries.
//
// A view is whole: an entry adopts it or does not. Views are ordered by term,
// then sequence; an entry never goes back to an older one.
//
//   if (held.mVersion < pushed.mVersion) { pipeline.OnView(pushed, now); }
#ifndef MANGOSPAN_VIEW_ZONE_VIEW_H
#define MANGOSPAN_VIEW_ZONE_VIEW_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "mangospan/base/identity.h"

namespace mangospan::view {

// Orders all views of a zone. The term is the store's revision at which the
// acting process took its lease, so a later holder always has a higher one.
struct version
{
  std::uint64_t mTerm = 0;
  std::uint64_t mSequence = 0;

  friend bool operator<(const version& aLeft, const version& aRight)
  {
    return std::tie(aLeft.mTerm, aLeft.mSequence) <
           std::tie(aRight.mTerm, aRight.mSequence);
  }
  friend bool operator==(const version& aLeft, const version& aRight)
  {
    return aLeft.mTerm == aRight.mTerm && aLeft.mSequence == aRight.mSequence;
  }
};

// One run of an entry process.
struct entry_id
{
  host_name mHost;
  boot_id mBoot;

  friend bool operator==(const entry_id& aLeft, const entry_id& aRight)
  {
    return aLeft.mHost == aRight.mHost && aLeft.mBoot == aRight.mBoot;
  }
  friend bool operator<(const entry_id& aLeft, const entry_id& aRight)
  {
    return std::tie(aLeft.mHost, aLeft.mBoot) <
           std::tie(aRight.mHost, aRight.mBoot);
  }
};

// How many requests one entry may have in flight at one endpoint.
struct slot_share
{
  entry_id mEntry;
  std::size_t mSlots = 0;
};

enum class endpoint_state
{
  kServing,
  kDraining, // no new work; what is in flight ends normally
};

// A runner on a host of the zone. `mEpoch` grows each time the host changes
// pools, so an acknowledgement of an earlier drain is not taken for a later
// one.
struct endpoint
{
  host_name mHost;
  std::string mAddress; // "ip:port"
  pool_name mPool;
  service_name mService;
  endpoint_state mState = endpoint_state::kServing;
  std::uint64_t mEpoch = 0;
  std::vector<slot_share> mShares; // their sum is at most the runner's slots
};

// A registered entry, for tickets and sponsorship among entries.
struct entry_member
{
  entry_id mId;
  std::string mPeerAddress; // "ip:port" of its link listener
};

struct zone_view
{
  version mVersion;
  zone_name mZone;
  std::vector<endpoint> mEndpoints;
  std::vector<entry_member> mEntries;
};

} // namespace mangospan::view

#endif // MANGOSPAN_VIEW_ZONE_VIEW_H
