#include "mangospan/fleet/share_allocation.h"

#include <gtest/gtest.h>

namespace mangospan::fleet {
namespace {

const host_name kHost("a-0");
const view::entry_id kOne{ host_name("e0"), { 1 } };
const view::entry_id kTwo{ host_name("e1"), { 2 } };
const shared_endpoint kServing{ kHost, 8, true };
const shared_endpoint kDraining{ kHost, 8, false };

std::size_t
Listed(const std::map<host_name, std::vector<view::slot_share>>& aShares,
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
  // Both entries have adopted the view 1, in which each has 4 slots.
  void ShareEvenly()
  {
    mShares.SetMembers({ { kOne, "" }, { kTwo, "" } }, false);
    mShares.Allocate({ kServing }, 1);
    mShares.OnAcknowledged(kOne, 1);
    mShares.OnAcknowledged(kTwo, 1);
  }

  share_allocation mShares;
};

TEST_F(share_allocation_test, AShareGrowsOnlyOnceAnotherHasAcknowledgedLess)
{
  mShares.SetMembers({ { kOne, "" } }, false);
  EXPECT_EQ(Listed(mShares.Allocate({ kServing }, 1), kOne), 8U);
  mShares.OnAcknowledged(kOne, 1);
  mShares.SetMembers({ { kOne, "" }, { kTwo, "" } }, false);
  const auto shrunk = mShares.Allocate({ kServing }, 2);
  EXPECT_EQ(Listed(shrunk, kOne), 4U);
  EXPECT_EQ(Listed(shrunk, kTwo), 0U);
  mShares.OnAcknowledged(kOne, 1);
  EXPECT_EQ(Listed(mShares.Allocate({ kServing }, 3), kTwo), 0U);
  mShares.OnAcknowledged(kOne, 2);
  EXPECT_EQ(Listed(mShares.Allocate({ kServing }, 4), kTwo), 4U);
}

TEST_F(share_allocation_test, NothingGrowsWhileAnInheritedEntryIsUnknown)
{
  mShares.SetMembers({ { kOne, "" }, { kTwo, "" } }, true);
  mShares.SetHeld(kOne, { { kHost, 1, 3 } });
  EXPECT_EQ(Listed(mShares.Allocate({ kServing }, 1), kOne), 3U);
  mShares.SetHeld(kTwo, { { kHost, 1, 4 } });
  EXPECT_EQ(Listed(mShares.Allocate({ kServing }, 2), kOne), 4U);
}

TEST_F(share_allocation_test, AnUnknownEntryHoldsNothingOnceItAdoptsAView)
{
  mShares.SetMembers({ { kOne, "" } }, true);
  EXPECT_EQ(Listed(mShares.Allocate({ kServing }, 1), kOne), 0U);
  mShares.OnAcknowledged(kOne, 1);
  EXPECT_EQ(Listed(mShares.Allocate({ kServing }, 2), kOne), 8U);
}

TEST_F(share_allocation_test, SlotsOfADepartedEntryGoToTheOthers)
{
  ShareEvenly();
  mShares.SetMembers({ { kOne, "" } }, false);
  EXPECT_EQ(Listed(mShares.Allocate({ kServing }, 2), kOne), 8U);
}

TEST_F(share_allocation_test, SlotsUnderADrainAreFreeOnlyOnceEmptied)
{
  const view::entry_id three{ host_name("e2"), { 3 } };
  ShareEvenly();
  mShares.Allocate({ kDraining }, 2);
  mShares.OnAcknowledged(kOne, 2);
  mShares.OnAcknowledged(kTwo, 2);
  // The drain is called off while requests are still in flight.
  mShares.SetMembers({ { kOne, "" }, { kTwo, "" }, { three, "" } }, false);
  EXPECT_EQ(Listed(mShares.Allocate({ kServing }, 3), three), 0U);
  mShares.Allocate({ kDraining }, 4);
  mShares.OnAcknowledged(kTwo, 4);
  mShares.OnEmptied(kTwo, kHost);
  EXPECT_GT(Listed(mShares.Allocate({ kServing }, 5), three), 0U);
}

TEST_F(share_allocation_test, AHostThatComesBackIsNotSharedOutTwice)
{
  ShareEvenly();
  mShares.Allocate({}, 2);
  mShares.OnAcknowledged(kOne, 2);
  mShares.SetMembers({ { kOne, "" }, { kTwo, "" } }, false);
  // The second entry still holds the slots of the view 1.
  const auto shares = mShares.Allocate({ kServing }, 3);
  EXPECT_LE(Listed(shares, kOne), 4U);
}

} // namespace
} // namespace mangospan::fleet
