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
    Answer(ReadResult("old", 5));
  }

  static store_result ReadResult(const char* aValue,
                                 platform::revision aRevision)
  {
    return read_result(platform::record{ "key", aValue, aRevision });
  }

  static store_result FailedSwap(error_code aCode)
  {
    return swap_result(error{ aCode, "", "", "" });
  }

  // Returns the one call made since the last one was taken.
  store_call TakeCall()
  {
    const actions taken = mQueue.Take();
    EXPECT_EQ(taken.size(), 1U);
    return std::get<store_call>(taken.at(0));
  }

  // Answers the one call made since the last one was taken.
  record_event Answer(const store_result& aResult)
  {
    return mRecord.OnResult(TakeCall().mId, aResult, mClock.Now(), mQueue);
  }

  // Lets more time pass than the longest retry delay.
  void WaitForRetry()
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

TEST_F(stored_record_test, AWriteWithoutAnswerIsResolvedByReadingTheKey)
{
  mRecord.Write("new", mQueue);
  Answer(FailedSwap(error_code::kUnknownResult));
  WaitForRetry();
  EXPECT_EQ(Answer(ReadResult("new", 6)), record_event::kWritten);
  EXPECT_EQ(mRecord.Revision(), 6U);
}

// Guards against dropping a write too early. The key still has the old value
// when it is read, but the write may reach the store afterwards.
TEST_F(stored_record_test, AWriteThatMayStillTakeEffectIsRepeatedUnchanged)
{
  mRecord.Write("new", mQueue);
  Answer(FailedSwap(error_code::kUnknownResult));
  WaitForRetry();
  EXPECT_EQ(Answer(ReadResult("old", 5)), record_event::kNone);
  EXPECT_FALSE(mRecord.Idle());
  const auto again = std::get<swap_call>(TakeCall().mOperation).mRequest;
  EXPECT_EQ(again.mValue, "new");
  EXPECT_EQ(again.mExpected, 5U);
}

TEST_F(stored_record_test, AWriteThatLostToAnotherWriterIsDropped)
{
  mRecord.Write("new", mQueue);
  Answer(FailedSwap(error_code::kConflict));
  EXPECT_EQ(Answer(ReadResult("other", 7)), record_event::kLoaded);
  EXPECT_EQ(mRecord.Value(), "other");
  EXPECT_TRUE(mRecord.Idle());
}

TEST_F(stored_record_test, RetryDelayGrowsWithEachFailure)
{
  mRecord.Write("new", mQueue);
  Answer(FailedSwap(error_code::kUnavailable));
  mRecord.OnTick(mClock.Now(), mQueue);
  EXPECT_TRUE(mQueue.Take().empty());
  mClock.Advance(milliseconds(100));
  mRecord.OnTick(mClock.Now(), mQueue);
  Answer(FailedSwap(error_code::kUnavailable));
  mClock.Advance(milliseconds(100));
  mRecord.OnTick(mClock.Now(), mQueue);
  EXPECT_TRUE(mQueue.Take().empty());
}

} // namespace
} // namespace mangospan::fleet
