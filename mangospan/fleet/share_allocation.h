// Divides each endpoint's slots among the zone's registered entries.
//
// For each entry it keeps the most that the entry may hold: what it was last
// told and every earlier share it has not yet acknowledged giving up. A share
// grows only into slots that no entry may hold, so the sum of what all entries
// really hold never exceeds the runner's slots:
//
//   allocation.SetMembers(registered, false);
//   auto shares = allocation.Allocate({ { host, 8, true } }, sequence);
//   ...
//   allocation.OnAcknowledged(entry, report.mView.mSequence, emptied);
#ifndef MANGOSPAN_FLEET_SHARE_ALLOCATION_H
#define MANGOSPAN_FLEET_SHARE_ALLOCATION_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "mangospan/base/identity.h"
#include "mangospan/view/zone_view.h"
#include "mangospan/wire/message.h"

namespace mangospan::fleet {

// An endpoint to share out. A draining one gets no slots.
struct shared_endpoint
{
  host_name mHost;
  std::size_t mSlots = 0;
  bool mServing = true;
};

class share_allocation
{
public:
  // Forgets everything: a new term begins.
  void Reset();

  // The registered entries. Those that appear first with `aInherited` were
  // registered under an earlier term and may hold anything until they report.
  void SetMembers(const std::vector<view::entry_member>& aMembers,
                  bool aInherited);

  // What an entry that follows this term holds. Ignored once it is known.
  void SetHeld(const view::entry_id& aEntry,
               const std::vector<wire::held_share>& aShares);

  // True once it is certain what the entry may hold.
  bool Known(const view::entry_id& aEntry) const;
  bool AllKnown() const;

  // The shares to list in the view `aSequence`, which has these endpoints.
  // Members are given no slots at any other.
  std::map<host_name, std::vector<view::slot_share>> Allocate(
    const std::vector<shared_endpoint>& aEndpoints,
    std::uint64_t aSequence);

  // The entry has adopted this term's view `aSequence`. At draining endpoints
  // its slots are free only once it is empty there.
  void OnAcknowledged(const view::entry_id& aEntry, std::uint64_t aSequence);
  void OnEmptied(const view::entry_id& aEntry, const host_name& aHost);

private:
  struct cell
  {
    std::size_t mListed = 0;
    std::uint64_t mSince = 0; // the view from which on `mListed` is listed
    std::size_t mMost = 0;    // that the entry may hold
    bool mEmptied = false;    // reported since the draining began
  };
  enum class endpoint_use
  {
    kServing,
    kDraining,
    kAbsent, // not in the view
  };
  struct endpoint_cells
  {
    endpoint_use mUse = endpoint_use::kServing;
    std::map<view::entry_id, cell> mCells;
  };

  static std::size_t Target(const shared_endpoint& aEndpoint,
                            std::size_t aIndex,
                            std::size_t aMembers);
  static void Settle(const endpoint_cells& aEndpoint, cell& aCell);
  static void SetUse(endpoint_cells& aEndpoint, endpoint_use aUse);
  std::vector<view::slot_share> AllocateOne(const shared_endpoint& aEndpoint,
                                            std::uint64_t aSequence);
  void WithdrawAbsent(const std::vector<shared_endpoint>& aEndpoints,
                      std::uint64_t aSequence);

  std::map<host_name, endpoint_cells> mEndpoints;
  std::map<view::entry_id, bool> mMembers; // whether known
  std::map<view::entry_id, std::uint64_t> mAcknowledged;
};

} // namespace mangospan::fleet

#endif // MANGOSPAN_FLEET_SHARE_ALLOCATION_H
