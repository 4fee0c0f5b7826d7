#include "mangospan/fleet/configuration_watch.h"

#include <gtest/gtest.h>

#include "mangospan/config/parser.h"
#include "mangospan/config/patch.h"
#include "mangospan/fleet/testing/fake_fleet.h"

namespace mangospan::fleet {
namespace {

std::string
TextWithBudget(std::size_t aBudget)
{
  return config::ToText(testing::TwoPools(aBudget));
}

class configuration_watch_test : public ::testing::Test
{
protected:
  void Change(platform::revision aRevision, const std::string& aValue)
  {
    platform::change_batch batch;
    batch.mChanges = { { { kConfigKey, aValue, aRevision }, false } };
    batch.mRevision = aRevision;
    const auto taken = mQueue.Take();
    mWatch.OnResult(std::get<store_call>(taken.at(0)).mId,
                    result<platform::change_batch>(batch),
                    time_point{},
                    mQueue);
  }

  void Start()
  {
    mWatch.Start(1, mQueue);
    const auto taken = mQueue.Take();
    mWatch.OnResult(
      std::get<store_call>(taken.at(0)).mId,
      result<std::vector<platform::record>>(std::vector<platform::record>{}),
      time_point{},
      mQueue);
  }

  static std::string Record(std::size_t aBudget)
  {
    return R"({"change_id":"c","author":"x","document":)" +
           TextWithBudget(aBudget) + "}";
  }

  action_queue mQueue;
  configuration_watch mWatch{ config::Parse, settings() };
};

TEST_F(configuration_watch_test, ALowerRevisionIsNeverAdopted)
{
  Start();
  Change(7, Record(1));
  Change(6, Record(2));
  EXPECT_FALSE(mWatch.OnPeer(5, TextWithBudget(3)));
  EXPECT_EQ(mWatch.Held().mRevision, 7U);
  EXPECT_EQ(mWatch.Held().mText, TextWithBudget(1));
}

TEST_F(configuration_watch_test, APeerMayBringANewerRevisionThanTheStore)
{
  Start();
  Change(7, Record(1));
  EXPECT_TRUE(mWatch.OnPeer(9, TextWithBudget(3)));
  Change(8, Record(2));
  EXPECT_EQ(mWatch.Held().mRevision, 9U);
}

TEST_F(configuration_watch_test, ARefusedDocumentLeavesTheOneInForce)
{
  Start();
  Change(7, Record(1));
  Change(8, R"({"document":{"nonsense":1}})");
  EXPECT_EQ(mWatch.Held().mRevision, 7U);
  EXPECT_NE(mWatch.Refusal(), "");
  Change(9, Record(2));
  EXPECT_EQ(mWatch.Held().mRevision, 9U);
  EXPECT_EQ(mWatch.Refusal(), "");
}

TEST_F(configuration_watch_test, ThePatchLeadsFromItsBaseToTheHeldText)
{
  Start();
  Change(7, Record(1));
  Change(8, Record(2));
  EXPECT_EQ(mWatch.PatchBase(), 7U);
  EXPECT_EQ(config::ApplyPatch(TextWithBudget(1), mWatch.Patch()).value(),
            TextWithBudget(2));
}

} // namespace
} // namespace mangospan::fleet
