#include "mangospan/fleet/configuration_watch.h"

#include <gtest/gtest.h>

#include "mangospan/config/parser.h"
#include "mangospan/config/patch.h"
#include "mangospan/fleet/testing/fake_fleet.h"

namespace mangospan::fleet {
namespace {

std::string
DocumentWithBudget(std::size_t aBudget)
{
  return config::ToText(testing::TwoPools(aBudget));
}

class configuration_watch_test : public ::testing::Test
{
protected:
  // Answers the watch call under way with one change of `config/current`.
  void DeliverChange(platform::revision aRevision, const std::string& aValue)
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

  // Starts the watch and answers its list call with no records.
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

  static std::string RecordWithBudget(std::size_t aBudget)
  {
    return R"({"change_id":"c","author":"x","document":)" +
           DocumentWithBudget(aBudget) + "}";
  }

  action_queue mQueue;
  configuration_watch mWatch{ config::Parse, settings() };
};

TEST_F(configuration_watch_test, RejectsALowerRevisionFromStoreAndPeer)
{
  Start();
  DeliverChange(7, RecordWithBudget(1));
  DeliverChange(6, RecordWithBudget(2));
  EXPECT_FALSE(mWatch.OnPeerConfiguration(5, DocumentWithBudget(3)));
  EXPECT_EQ(mWatch.Current().mRevision, 7U);
  EXPECT_EQ(mWatch.Current().mText, DocumentWithBudget(1));
}

TEST_F(configuration_watch_test, AdoptsANewerRevisionFromAPeer)
{
  Start();
  DeliverChange(7, RecordWithBudget(1));
  EXPECT_TRUE(mWatch.OnPeerConfiguration(9, DocumentWithBudget(3)));
  DeliverChange(8, RecordWithBudget(2));
  EXPECT_EQ(mWatch.Current().mRevision, 9U);
}

TEST_F(configuration_watch_test, KeepsTheConfigurationWhenANewDocumentIsInvalid)
{
  Start();
  DeliverChange(7, RecordWithBudget(1));
  DeliverChange(8, R"({"document":{"nonsense":1}})");
  EXPECT_EQ(mWatch.Current().mRevision, 7U);
  EXPECT_NE(mWatch.RejectionReason(), "");
  DeliverChange(9, RecordWithBudget(2));
  EXPECT_EQ(mWatch.Current().mRevision, 9U);
  EXPECT_EQ(mWatch.RejectionReason(), "");
}

TEST_F(configuration_watch_test, PatchTurnsTheBaseTextIntoTheCurrentText)
{
  Start();
  DeliverChange(7, RecordWithBudget(1));
  DeliverChange(8, RecordWithBudget(2));
  EXPECT_EQ(mWatch.PatchBase(), 7U);
  EXPECT_EQ(config::ApplyPatch(DocumentWithBudget(1), mWatch.Patch()).value(),
            DocumentWithBudget(2));
}

} // namespace
} // namespace mangospan::fleet
