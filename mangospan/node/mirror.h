// A copy of the store's records under one prefix, kept current by a watch.
//
//   mirror own(io, clock, store, "mangospan/own/", settings, handlers);
//   own.Start();
//
// A watch that hears nothing is told from one that is dead by its answer: the
// store answers every watch within its wait.
#ifndef MANGOSPAN_NODE_MIRROR_H
#define MANGOSPAN_NODE_MIRROR_H

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "mangospan/base/time.h"
#include "mangospan/platform/store.h"

namespace mangospan::node {

struct mirror_settings
{
  std::chrono::milliseconds mWait{ 1'200 };    // of one watch
  std::chrono::milliseconds mTimeout{ 1'000 }; // of a listing
  std::chrono::milliseconds mRetry{ 150 };     // after a failure
};

struct mirror_handlers
{
  std::function<void(const platform::record&)> mOnRecord;
  std::function<void(const std::string& aKey)> mOnDeleted;
  std::function<void()> mOnSynced; // after each listing; may be empty
};

class mirror : public std::enable_shared_from_this<mirror>
{
public:
  mirror(boost::asio::io_context& aIo,
         const clock_source& aClock,
         platform::transactional_store& aStore,
         std::string aPrefix,
         mirror_settings aSettings,
         mirror_handlers aHandlers);

  void Start();
  // No handler is called any more.
  void Stop();

  bool IsSynced() const { return mIsSynced; }
  // When the store last answered a call that proves the copy to be current.
  time_point ConfirmedAt() const { return mConfirmedAt; }

private:
  void List();
  void Watch();
  void Retry(bool aList, const error& aError);
  void OnListing(const platform::listing& aListing);
  void OnChange(const platform::change& aChange);

  boost::asio::steady_timer mTimer;
  const clock_source& mClock;
  platform::transactional_store& mStore;
  const std::string mPrefix;
  const mirror_settings mSettings;
  const mirror_handlers mHandlers;
  std::map<std::string, platform::revision> mKnown;
  platform::revision mRevision = 0;
  time_point mConfirmedAt{};
  bool mIsSynced = false;
  bool mIsStopped = false;
  bool mIsFailing = false;
};

} // namespace mangospan::node

#endif // MANGOSPAN_NODE_MIRROR_H
