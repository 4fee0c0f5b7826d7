#include "mangospan/fleet/share_allocation.h"

#include <gtest/gtest.h>

namespace mangospan::fleet {
namespace {

const host_name kHost("a-0");
const view::entry_id kEntry0{ host_name("e0"), { 1 } };
const view::entry_id kEntry1{ host_name("e1"), { 2 } };
const shared_endpoint kServing{ kHost, 8, true };
const shared_endpoint kDraining{ kHost, 8, false };

// Returns the slots of the entry at `kHost`, or 0 if it has no share there.
std::size_t
ListedSlots(const std::map<host_name, std::vector<view::slot_share>>& aShares,
            const view::entry_id& aEntry)
{
  for (const view::slot_share& share : aShares.at(kHost)) {
    if (share.mEntry == aEntry) {
      return share.mSlots;
    }
  }
  return 0;
}

class share_allocation_test : public ::testing::Test
{
protected:
  // Registers both entries and lets them adopt view 1, in which each entry has
  // 4 slots.
  void DivideEvenly()
  {
    mAllocation.SetMembers({ { kEntry0, "" }, { kEntry1, "" } }, false);
    mAllocation.Allocate({ kServing }, 1);
    mAllocation.OnAcknowledged(kEntry0, 1);
    mAllocation.OnAcknowledged(kEntry1, 1);
  }

  share_allocation mAllocation;
};

// Entry e0 holds all 8 slots when e1 registers. If e1 got its half before e0
// adopted the smaller share, the two would hold more slots than the runner has.
// A repeated acknowledgement of the earlier view must not free slots either.
TEST_F(share_allocation_test, AShareGrowsOnlyOnceAnotherHasAcknowledgedLess)
{
  mAllocation.SetMembers({ { kEntry0, "" } }, false);
  EXPECT_EQ(ListedSlots(mAllocation.Allocate({ kServing }, 1), kEntry0), 8U);
  mAllocation.OnAcknowledged(kEntry0, 1);
  mAllocation.SetMembers({ { kEntry0, "" }, { kEntry1, "" } }, false);
  const auto shrunk = mAllocation.Allocate({ kServing }, 2);
  EXPECT_EQ(ListedSlots(shrunk, kEntry0), 4U);
  EXPECT_EQ(ListedSlots(shrunk, kEntry1), 0U);
  mAllocation.OnAcknowledged(kEntry0, 1);
  EXPECT_EQ(ListedSlots(mAllocation.Allocate({ kServing }, 3), kEntry1), 0U);
  mAllocation.OnAcknowledged(kEntry0, 2);
  EXPECT_EQ(ListedSlots(mAllocation.Allocate({ kServing }, 4), kEntry1), 4U);
}

// After a change of term, an entry that has not reported may hold any number of
// slots. A share that grew before could exceed the runner's slots.
TEST_F(share_allocation_test, NothingGrowsWhileAnInheritedEntryIsUnknown)
{
  mAllocation.SetMembers({ { kEntry0, "" }, { kEntry1, "" } }, true);
  mAllocation.SetHeldShares(kEntry0, { { kHost, 1, 3 } });
  EXPECT_EQ(ListedSlots(mAllocation.Allocate({ kServing }, 1), kEntry0), 3U);
  mAllocation.SetHeldShares(kEntry1, { { kHost, 1, 4 } });
  EXPECT_EQ(ListedSlots(mAllocation.Allocate({ kServing }, 2), kEntry0), 4U);
}

// An entry that never reports its shares must not prevent growth indefinitely:
// a view that it adopts replaces all shares that it held before.
TEST_F(share_allocation_test, AnUnknownEntryHoldsNothingOnceItAdoptsAView)
{
  mAllocation.SetMembers({ { kEntry0, "" } }, true);
  EXPECT_EQ(ListedSlots(mAllocation.Allocate({ kServing }, 1), kEntry0), 0U);
  mAllocation.OnAcknowledged(kEntry0, 1);
  EXPECT_EQ(ListedSlots(mAllocation.Allocate({ kServing }, 2), kEntry0), 8U);
}

TEST_F(share_allocation_test, SlotsOfADepartedEntryGoToTheOthers)
{
  DivideEvenly();
  mAllocation.SetMembers({ { kEntry0, "" } }, false);
  EXPECT_EQ(ListedSlots(mAllocation.Allocate({ kServing }, 2), kEntry0), 8U);
}

// An entry keeps its requests at a draining endpoint after it has acknowledged
// a share of 0. If its slots were given to a new entry when the drain is
// cancelled, the endpoint would get more requests than it has slots.
TEST_F(share_allocation_test, SlotsAtADrainingEndpointStayHeldUntilDrained)
{
  const view::entry_id entry2{ host_name("e2"), { 3 } };
  DivideEvenly();
  mAllocation.Allocate({ kDraining }, 2);
  mAllocation.OnAcknowledged(kEntry0, 2);
  mAllocation.OnAcknowledged(kEntry1, 2);
  // The drain is cancelled while requests are still in flight.
  mAllocation.SetMembers({ { kEntry0, "" }, { kEntry1, "" }, { entry2, "" } },
                         false);
  EXPECT_EQ(ListedSlots(mAllocation.Allocate({ kServing }, 3), entry2), 0U);
  mAllocation.Allocate({ kDraining }, 4);
  mAllocation.OnAcknowledged(kEntry1, 4);
  mAllocation.OnDrained(kEntry1, kHost);
  EXPECT_GT(ListedSlots(mAllocation.Allocate({ kServing }, 5), entry2), 0U);
}

// A host leaves the view and returns before every entry has adopted the view
// without it. The slots that such an entry holds must not be given to another.
TEST_F(share_allocation_test, AHostThatComesBackIsNotSharedOutTwice)
{
  DivideEvenly();
  mAllocation.Allocate({}, 2);
  mAllocation.OnAcknowledged(kEntry0, 2);
  mAllocation.SetMembers({ { kEntry0, "" }, { kEntry1, "" } }, false);
  // The second entry has not acknowledged view 2 and still holds its 4 slots.
  const auto shares = mAllocation.Allocate({ kServing }, 3);
  EXPECT_LE(ListedSlots(shares, kEntry0), 4U);
}

} // namespace
} // namespace mangospan::fleet
