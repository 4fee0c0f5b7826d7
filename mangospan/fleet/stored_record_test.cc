#include "mangospan/fleet/stored_record.h"

#include <gtest/gtest.h>

namespace mangospan::fleet {
namespace {

using std::chrono::milliseconds;
using read_result = result<std::optional<platform::record>>;
using swap_result = result<platform::revision>;

class stored_record_test : public ::testing::Test
{
protected:
  stored_record_test()
  {
    mRecord.Load(mQueue);
    Answer(Read("old", 5));
  }

  static store_result Read(const char* aValue, platform::revision aRevision)
  {
    return read_result(platform::record{ "key", aValue, aRevision });
  }

  static store_result Failed(error_code aCode)
  {
    return swap_result(error{ aCode, "", "", "" });
  }

  // The one call made since the last.
  store_call Take()
  {
    const actions taken = mQueue.Take();
    EXPECT_EQ(taken.size(), 1U);
    return std::get<store_call>(taken.at(0));
  }

  // Answers the one call made since the last.
  record_event Answer(const store_result& aResult)
  {
    return mRecord.OnResult(Take().mId, aResult, mClock.Now(), mQueue);
  }

  void Wait()
  {
    mClock.Advance(std::chrono::seconds(5));
    mRecord.OnTick(mClock.Now(), mQueue);
  }

  manual_clock mClock;
  action_queue mQueue;
  stored_record mRecord{ "key",
                         store_purpose::kHosts,
                         milliseconds(100),
                         milliseconds(1000) };
};

TEST_F(stored_record_test, AWriteReplacesTheRevisionThatWasRead)
{
  mRecord.Write("new", mQueue);
  EXPECT_FALSE(mRecord.Idle());
  EXPECT_EQ(Answer(swap_result(platform::revision(6))), record_event::kWritten);
  EXPECT_EQ(mRecord.Value(), "new");
  EXPECT_EQ(mRecord.Revision(), 6U);
  EXPECT_TRUE(mRecord.Idle());
}

TEST_F(stored_record_test, ALostAnswerIsResolvedByReadingBack)
{
  mRecord.Write("new", mQueue);
  Answer(Failed(error_code::kUnknownResult));
  Wait();
  EXPECT_EQ(Answer(Read("new", 6)), record_event::kWritten);
  EXPECT_EQ(mRecord.Revision(), 6U);
}

TEST_F(stored_record_test, AWriteThatMayStillArriveIsRepeatedUnchanged)
{
  mRecord.Write("new", mQueue);
  Answer(Failed(error_code::kUnknownResult));
  Wait();
  EXPECT_EQ(Answer(Read("old", 5)), record_event::kNone);
  EXPECT_FALSE(mRecord.Idle());
  const auto again = std::get<swap_call>(Take().mOperation).mRequest;
  EXPECT_EQ(again.mValue, "new");
  EXPECT_EQ(again.mExpected, 5U);
}

TEST_F(stored_record_test, AWriteThatLostToAnotherIsDropped)
{
  mRecord.Write("new", mQueue);
  Answer(Failed(error_code::kConflict));
  EXPECT_EQ(Answer(Read("other", 7)), record_event::kLoaded);
  EXPECT_EQ(mRecord.Value(), "other");
  EXPECT_TRUE(mRecord.Idle());
}

TEST_F(stored_record_test, RetriesBackOff)
{
  mRecord.Write("new", mQueue);
  Answer(Failed(error_code::kUnavailable));
  mRecord.OnTick(mClock.Now(), mQueue);
  EXPECT_TRUE(mQueue.Take().empty());
  mClock.Advance(milliseconds(100));
  mRecord.OnTick(mClock.Now(), mQueue);
  Answer(Failed(error_code::kUnavailable));
  mClock.Advance(milliseconds(100));
  mRecord.OnTick(mClock.Now(), mQueue);
  EXPECT_TRUE(mQueue.Take().empty());
}

} // namespace
} // namespace mangospan::fleet
