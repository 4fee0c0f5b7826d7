// Keeps a local copy of the store's records under one key prefix current by
// watching the prefix.
//
//   const auto own = std::make_shared<mirror>(
//     io, clock, store, "mangospan/own/", settings, handlers);
//   own->Start();
//
// The store replies to every watch within the watch's wait time, even if
// nothing has changed. The reply distinguishes an idle watch from a broken one.
//
// A watch repeats all that was written since, a listing has only the newest
// records. So the copy is listed again after a failure, and whenever the
// changes come faster than they are read: to catch up costs what the newest
// records cost, however many versions were written meanwhile.
#ifndef MANGOSPAN_NODE_MIRROR_H
#define MANGOSPAN_NODE_MIRROR_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "mangospan/base/time.h"
#include "mangospan/base/timer.h"
#include "mangospan/platform/store.h"

namespace mangospan::node {

struct mirror_settings
{
  // The longest time that one watch waits for a change.
  std::chrono::milliseconds mWatchWait{ 1'200 };
  // The timeout of a listing until its response begins, and of each pause in
  // it. Doubled with each listing that fails, up to the maximum.
  std::chrono::milliseconds mListTimeout{ 1'000 };
  std::chrono::milliseconds mMaxListTimeout{ 4'000 };
  // The delay after a failed call; doubled in the same way.
  std::chrono::milliseconds mRetryDelay{ 150 };
  std::chrono::milliseconds mMaxRetryDelay{ 1'200 };
};

struct mirror_handlers
{
  // Called for each record that is new or has changed, with its newest version.
  std::function<void(const platform::record&)> mOnRecord;
  // Called for each record that has been deleted. The deletion took place at or
  // before `aRevision`.
  std::function<void(const std::string& aKey, platform::revision aRevision)>
    mOnDeleted;
  std::function<void()> mOnSynced; // called after each listing; may be empty
};

// A copy of the records under one prefix. Reports every change to its handlers.
// Must be owned by a std::shared_ptr.
class mirror : public std::enable_shared_from_this<mirror>
{
public:
  mirror(boost::asio::io_context& aIo,
         const clock_source& aClock,
         platform::transactional_store& aStore,
         std::string aPrefix,
         mirror_settings aSettings,
         mirror_handlers aHandlers);

  // Lists the records, then watches for changes until `Stop()`.
  void Start();
  // After this call, no handler is called.
  void Stop();
  // Lists the records at once if the last call has failed, in place of a
  // listing whose response has not begun. For use when the store answers again.
  void OnStoreAnswersAgain();

  // Returns whether the copy has been complete at least once.
  bool IsSynced() const { return mIsSynced; }
  // Returns when the last successful call to the store was sent. The copy was
  // current at that time.
  time_point ConfirmedAt() const { return mConfirmedAt; }

private:
  // A record of the copy.
  struct known_record
  {
    platform::revision mRevision = 0;
    std::size_t mBytes = 0; // of its value
  };

  void List();
  void Watch();
  void OnWatched(const platform::change_batch& aBatch);
  // Counts and logs a failed call that was sent at `aSentAt`.
  void OnFailure(const error& aError, time_point aSentAt);
  void LogRegained();
  void LogListing(const platform::listing& aListing, time_point aSentAt) const;
  void Retry(const error& aError, time_point aSentAt);
  void OnListing(const platform::listing& aListing, time_point aSentAt);
  void OnChange(const platform::change& aChange);
  // Returns the bytes of all values of the copy.
  std::size_t CopyBytes() const;

  timer mTimer;
  const clock_source& mClock;
  platform::transactional_store& mStore;
  const std::string mPrefix;
  const mirror_settings mSettings;
  const mirror_handlers mHandlers;
  std::map<std::string, known_record> mKnown; // by key
  platform::revision mRevision = 0;
  time_point mConfirmedAt{};
  bool mIsSynced = false;
  bool mIsStopped = false;
  bool mIsFailing = false;
  time_point mFailingSince{};
  std::uint64_t mFailedCalls = 0; // since the copy was last current
  std::shared_ptr<platform::pending_listing> mListing; // null: unknown or none
  std::chrono::milliseconds mNextListTimeout;
  std::chrono::milliseconds mNextRetryDelay;
  std::uint64_t mAttempt = 0; // the last call; results of others are ignored
};

} // namespace mangospan::node

#endif // MANGOSPAN_NODE_MIRROR_H
