// Divides each endpoint's slots among the zone's registered entries.
//
// For each entry it tracks the maximum number of slots that the entry may hold:
// the share that it was last told, or an earlier, larger share whose reduction
// it has not acknowledged yet. A share grows only into slots that no entry may
// hold, so the slots that all entries really hold never exceed the runner's
// slots:
//
//   allocation.SetMembers(registered, false);
//   auto shares = allocation.Allocate({ { host, 8, true } }, sequence);
//   ...
//   allocation.OnAcknowledged(entry, report.mView.mSequence);
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

// An endpoint of the view whose slots are divided.
struct shared_endpoint
{
  host_name mHost;
  std::size_t mSlots = 0;
  bool mServing = true; // false while it drains: no entry is given slots
};

// The slot shares of one zone during one term of its acting process.
class share_allocation
{
public:
  // Forgets all members and shares. Call it when a new term begins.
  void Reset();

  // Replaces the registered entries and drops the shares of entries that are no
  // longer registered. With `aInherited`, new members were registered under an
  // earlier term: the shares that they hold are unknown until they report them.
  void SetMembers(const std::vector<view::entry_member>& aMembers,
                  bool aInherited);

  // Sets the shares that the entry reported in its last hello. Requires that
  // the entry had heard of this term or a higher one by then. Does nothing if
  // they are known already or the entry is not registered.
  void SetHeldShares(const view::entry_id& aEntry,
                     const std::vector<wire::held_share>& aShares);

  // Returns true if the entry is registered and the shares that it may hold are
  // known.
  bool IsHoldingKnown(const view::entry_id& aEntry) const;
  // Returns true if the shares of all registered entries are known. No share
  // grows before that.
  bool AreAllHoldingsKnown() const;

  // Returns the shares to list in the view with the sequence number `aSequence`
  // and these endpoints, by host. Shares at all other endpoints are withdrawn.
  std::map<host_name, std::vector<view::slot_share>> Allocate(
    const std::vector<shared_endpoint>& aEndpoints,
    std::uint64_t aSequence);

  // Records that the entry has adopted this term's view `aSequence`, which
  // frees the slots withdrawn by that view or an earlier one. Slots at a
  // draining endpoint are freed only once the entry has no requests there.
  void OnAcknowledged(const view::entry_id& aEntry, std::uint64_t aSequence);
  // Records that the entry has no requests left at the draining host.
  void OnDrained(const view::entry_id& aEntry, const host_name& aHost);

private:
  // The slots of one entry at one endpoint.
  struct entry_share
  {
    std::size_t mListed = 0; // slots in the current view
    // Sequence number of the first view that lists `mListed`.
    std::uint64_t mListedSince = 0;
    std::size_t mMaxHeld = 0; // maximum number of slots that the entry may hold
    // The entry reported no requests since the endpoint began to drain.
    bool mDrained = false;
  };
  enum class endpoint_use
  {
    kServing,
    kDraining,
    kAbsent, // the view does not list the endpoint
  };
  struct endpoint_shares
  {
    endpoint_use mUse = endpoint_use::kServing;
    std::map<view::entry_id, entry_share> mShares;
  };

  // Returns the slots of the member with the index `aIndex` out of `aMembers`
  // when all slots are divided evenly.
  static std::size_t TargetSlots(const shared_endpoint& aEndpoint,
                                 std::size_t aIndex,
                                 std::size_t aMembers);
  // Lowers the maximum held to the listed slots, unless the endpoint is
  // draining and the entry may still have requests there.
  static void ReleaseWithdrawnSlots(const endpoint_shares& aEndpoint,
                                    entry_share& aShare);
  // Sets the use of an endpoint. A change resets which entries are drained
  // there.
  static void SetEndpointUse(endpoint_shares& aEndpoint, endpoint_use aUse);
  std::vector<view::slot_share> AllocateEndpoint(
    const shared_endpoint& aEndpoint,
    std::uint64_t aSequence);
  // Withdraws all shares at endpoints that are not listed, and forgets those
  // endpoints where no entry may hold slots any more.
  void WithdrawAbsentEndpoints(const std::vector<shared_endpoint>& aEndpoints,
                               std::uint64_t aSequence);

  std::map<host_name, endpoint_shares> mEndpoints;
  // Registered entries; true if the shares that the entry may hold are known.
  std::map<view::entry_id, bool> mMembers;
  // Sequence number of the latest view that each entry has acknowledged.
  std::map<view::entry_id, std::uint64_t> mAcknowledged;
};

} // namespace mangospan::fleet

#endif // MANGOSPAN_FLEET_SHARE_ALLOCATION_H
