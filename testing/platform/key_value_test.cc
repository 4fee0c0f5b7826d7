#include "testing/platform/key_value.h"

#include <chrono>
#include <string>

#include <gtest/gtest.h>

#include "mangospan/base/time.h"

namespace mangospan::standin {
namespace {

using std::chrono::seconds;

TEST(KeyValue, SwapNeedsTheCurrentRevision)
{
  key_value store;
  EXPECT_EQ(store.CompareAndSwap({ "k", 0, "one", {} }).assume_value(), 1U);
  const auto again = store.CompareAndSwap({ "k", 0, "two", {} });
  ASSERT_TRUE(again.has_error());
  EXPECT_EQ(again.assume_error().mCode, error_code::kConflict);
  EXPECT_EQ(store.CompareAndSwap({ "k", 1, "two", {} }).assume_value(), 2U);
  EXPECT_EQ(store.Read("k")->mValue, "two");
}

TEST(KeyValue, DeletedKeyCanBeCreatedAnew)
{
  key_value store;
  ASSERT_TRUE(store.CompareAndSwap({ "k", 0, "one", {} }));
  EXPECT_TRUE(store.Delete("k", 7).has_error());
  EXPECT_EQ(store.Delete("k", 1).assume_value(), 2U);
  EXPECT_EQ(store.CompareAndSwap({ "k", 0, "x", {} }).assume_value(), 3U);
}

TEST(KeyValue, ValueOverTheLimitIsRefused)
{
  key_value store;
  const auto large = store.CompareAndSwap(
    { "k", 0, std::string(platform::kMaxValueBytes + 1, 'x'), {} });
  ASSERT_TRUE(large.has_error());
  EXPECT_EQ(large.assume_error().mCode, error_code::kTooLarge);
  EXPECT_EQ(store.LastRevision(), 0U);
}

TEST(KeyValue, EndedLeaseDeletesItsKeysAsAChange)
{
  manual_clock clock;
  key_value store;
  const auto lease = store.GrantLease(clock.Now(), seconds(2));
  ASSERT_TRUE(store.CompareAndSwap({ "a/leader", 0, "me", lease }));
  clock.Advance(seconds(1));
  ASSERT_TRUE(store.RenewLease(lease, clock.Now()));
  clock.Advance(std::chrono::milliseconds(1'999));
  store.ExpireLeases(clock.Now());
  EXPECT_TRUE(store.Read("a/leader"));
  clock.Advance(std::chrono::milliseconds(1));
  EXPECT_TRUE(store.RenewLease(lease, clock.Now()).has_error());
  EXPECT_FALSE(store.Read("a/leader"));
  const auto batch = store.ChangesAfter("a/", 1).assume_value();
  ASSERT_EQ(batch.mChanges.size(), 1U);
  EXPECT_TRUE(batch.mChanges[0].mDeleted);
  EXPECT_EQ(batch.mRevision, 2U);
}

TEST(KeyValue, WriteUnderAnEndedLeaseIsRefused)
{
  key_value store;
  const auto wrong =
    store.CompareAndSwap({ "k", 0, "x", platform::lease_id{ 9 } });
  ASSERT_TRUE(wrong.has_error());
  EXPECT_EQ(wrong.assume_error().mCode, error_code::kNotFound);
}

TEST(KeyValue, WatchSeesOnlyItsPrefixAndRefusesForgottenRevisions)
{
  key_value store(2);
  ASSERT_TRUE(store.CompareAndSwap({ "a/1", 0, "x", {} }));
  ASSERT_TRUE(store.CompareAndSwap({ "b/1", 0, "y", {} }));
  ASSERT_TRUE(store.CompareAndSwap({ "a/2", 0, "z", {} }));
  EXPECT_TRUE(store.ChangesAfter("a/", 0).has_error());
  const auto batch = store.ChangesAfter("a/", 1).assume_value();
  ASSERT_EQ(batch.mChanges.size(), 1U);
  EXPECT_EQ(batch.mChanges[0].mRecord.mKey, "a/2");
  EXPECT_EQ(store.History("a/").size(), 2U);
  EXPECT_EQ(store.List("a/").size(), 2U);
  EXPECT_TRUE(store.ChangesAfter("a/", 4).has_error());
}

} // namespace
} // namespace mangospan::standin
