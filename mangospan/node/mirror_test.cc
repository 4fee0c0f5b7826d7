#include "mangospan/node/mirror.h"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include "mangospan/base/time.h"
#include "mangospan/base/timer.h"

namespace mangospan::node {
namespace {

using platform::change;
using platform::change_batch;
using platform::handler;
using platform::listing;
using platform::record;
using std::chrono::milliseconds;

// A listing whose state the test sets.
class fake_listing final : public platform::pending_listing
{
public:
  bool HasBegun() const override { return mHasBegun; }
  void Cancel() override { mIsCancelled = true; }

  bool mHasBegun = false;
  bool mIsCancelled = false;
};

// A store whose calls the test answers.
class scripted_store final : public platform::transactional_store
{
public:
  void Read(std::string /*aKey*/,
            milliseconds /*aTimeout*/,
            handler<std::optional<record>> /*aHandler*/) override
  {
  }
  void List(std::string /*aPrefix*/,
            milliseconds /*aTimeout*/,
            handler<std::vector<record>> /*aHandler*/) override
  {
  }
  void GrantLease(milliseconds /*aTtl*/,
                  milliseconds /*aTimeout*/,
                  handler<platform::lease_id> /*aHandler*/) override
  {
  }
  void RenewLease(platform::lease_id /*aLease*/,
                  milliseconds /*aTimeout*/,
                  handler<platform::lease_id> /*aHandler*/) override
  {
  }
  void RevokeLease(platform::lease_id /*aLease*/,
                   milliseconds /*aTimeout*/,
                   handler<platform::lease_id> /*aHandler*/) override
  {
  }
  void Commit(platform::transaction /*aTransaction*/,
              milliseconds /*aTimeout*/,
              handler<platform::commit_outcome> /*aHandler*/) override
  {
  }
  void Watch(std::string /*aPrefix*/,
             platform::revision aAfter,
             milliseconds /*aWait*/,
             handler<change_batch> aHandler) override
  {
    ++mWatches;
    mWatchedAfter = aAfter;
    mOnWatched = std::move(aHandler);
  }
  std::shared_ptr<platform::pending_listing> ListForWatch(
    std::string /*aPrefix*/,
    milliseconds aTimeout,
    handler<listing> aHandler) override
  {
    ++mListings;
    mListTimeout = aTimeout;
    mOnListed = std::move(aHandler);
    mListing = std::make_shared<fake_listing>();
    return mListing;
  }

  int mWatches = 0;
  int mListings = 0;
  platform::revision mWatchedAfter = 0;
  milliseconds mListTimeout{ 0 };
  handler<change_batch> mOnWatched;
  handler<listing> mOnListed;
  std::shared_ptr<fake_listing> mListing;
};

error
Failure(error_code aCode)
{
  return error{ aCode, "store", "test", "" };
}

class mirror_test : public ::testing::Test
{
protected:
  mirror_test()
  {
    mMirror = std::make_shared<mirror>(
      mIo,
      mClock,
      mStore,
      "op/",
      mSettings,
      mirror_handlers{
        [this](const record& aRecord) {
          mReported.push_back(aRecord.mKey + "=" + aRecord.mValue);
        },
        [this](const std::string& aKey, platform::revision /*aRevision*/) {
          mReported.push_back(aKey + " deleted");
        },
        nullptr });
    mMirror->Start();
  }
  ~mirror_test() override { mMirror->Stop(); }

  // Advances the time and runs what is due then. Asio learns of a due timer
  // from the operating system, which takes a moment.
  void RunFor(milliseconds aTime)
  {
    constexpr milliseconds kSystemDelay{ 20 };
    mClock.Advance(aTime);
    mIo.restart();
    while (mIo.run_one_for(kSystemDelay) > 0) {
    }
  }
  void AnswerListing(std::vector<record> aRecords, platform::revision aRevision)
  {
    mStore.mOnListed(listing{ std::move(aRecords), aRevision });
  }

  const mirror_settings mSettings;
  manual_clock mClock;
  const virtual_time_scope mScope{ mClock };
  boost::asio::io_context mIo;
  scripted_store mStore;
  std::shared_ptr<mirror> mMirror;
  std::vector<std::string> mReported;
};

// A watch that is repeated after a failure would ask for all that was written
// meanwhile.
TEST_F(mirror_test, CopyIsListedAgainAfterAFailedWatch)
{
  AnswerListing({ { "op/a", "1", 5 } }, 5);
  EXPECT_EQ(mStore.mWatchedAfter, 5U);
  mStore.mOnWatched(Failure(error_code::kUnknownResult));
  RunFor(mSettings.mRetryDelay);
  EXPECT_EQ(mStore.mListings, 2);
  EXPECT_EQ(mStore.mWatches, 1);
  AnswerListing({ { "op/a", "9", 40 } }, 41);
  EXPECT_EQ(mStore.mWatchedAfter, 41U);
  EXPECT_EQ(mReported, (std::vector<std::string>{ "op/a=1", "op/a=9" }));
}

TEST_F(mirror_test, CopyIsListedAtOnceWhenTheHistoryIsGone)
{
  AnswerListing({ { "op/a", "1", 5 } }, 5);
  mStore.mOnWatched(Failure(error_code::kNotFound));
  EXPECT_EQ(mStore.mListings, 2);
}

TEST_F(mirror_test, OnlyTheNewestChangeOfEachKeyIsReported)
{
  AnswerListing({ { "op/a", "1", 5 }, { "op/b", "1", 5 } }, 5);
  mReported.clear();
  mStore.mOnWatched(change_batch{ { { { "op/a", "2", 6 }, false },
                                    { { "op/b", "", 7 }, true },
                                    { { "op/a", "3", 8 }, false } },
                                  8 });
  EXPECT_EQ(mReported, (std::vector<std::string>{ "op/b deleted", "op/a=3" }));
}

// Each watch would return more versions than the one before.
TEST_F(mirror_test, CopyIsListedWhenChangesComeFasterThanTheyAreRead)
{
  AnswerListing({ { "op/a", "1111", 5 } }, 5);
  mStore.mOnWatched(change_batch{
    { { { "op/a", "2222", 6 }, false }, { { "op/a", "3333", 7 }, false } },
    7 });
  EXPECT_EQ(mStore.mListings, 2);
  EXPECT_EQ(mStore.mWatches, 1);
}

TEST_F(mirror_test, SmallChangesOfALargeCopyAreNotListed)
{
  AnswerListing({ { "op/a", "1", 5 }, { "op/b", std::string(100, 'b'), 5 } },
                5);
  mStore.mOnWatched(change_batch{
    { { { "op/a", "2", 6 }, false }, { { "op/a", "3", 7 }, false } }, 7 });
  EXPECT_EQ(mStore.mListings, 1);
  EXPECT_EQ(mStore.mWatches, 2);
}

TEST_F(mirror_test, FailingListingsAreRepeatedLessOftenAndWithMoreTime)
{
  mStore.mOnListed(Failure(error_code::kIncomplete));
  RunFor(mSettings.mRetryDelay);
  EXPECT_EQ(mStore.mListings, 2);
  EXPECT_EQ(mStore.mListTimeout, 2 * mSettings.mListTimeout);
  mStore.mOnListed(Failure(error_code::kIncomplete));
  RunFor(mSettings.mRetryDelay);
  EXPECT_EQ(mStore.mListings, 2);
  RunFor(mSettings.mRetryDelay);
  ASSERT_EQ(mStore.mListings, 3);
  for (int i = 0; i < 10; ++i) {
    mStore.mOnListed(Failure(error_code::kIncomplete));
    RunFor(mSettings.mMaxRetryDelay);
    ASSERT_EQ(mStore.mListings, 4 + i);
    EXPECT_EQ(mStore.mListTimeout, mSettings.mMaxListTimeout);
  }
}

// Any other call may fail and be answered again while a large listing is on its
// way.
TEST_F(mirror_test, ArrivingListingIsNotRepeatedWhenTheStoreAnswersAgain)
{
  mStore.mOnListed(Failure(error_code::kUnknownResult));
  RunFor(mSettings.mRetryDelay);
  ASSERT_EQ(mStore.mListings, 2);
  const auto listing = mStore.mListing;
  listing->mHasBegun = true;
  mMirror->OnStoreAnswersAgain();
  EXPECT_EQ(mStore.mListings, 2);
  EXPECT_FALSE(listing->mIsCancelled);
}

// It may have been sent while the store did not answer.
TEST_F(mirror_test, ListingWithoutResponseIsReplacedWhenTheStoreAnswersAgain)
{
  mStore.mOnListed(Failure(error_code::kUnknownResult));
  RunFor(mSettings.mRetryDelay);
  ASSERT_EQ(mStore.mListings, 2);
  const auto listing = mStore.mListing;
  mMirror->OnStoreAnswersAgain();
  EXPECT_EQ(mStore.mListings, 3);
  EXPECT_TRUE(listing->mIsCancelled);
}

} // namespace
} // namespace mangospan::node
