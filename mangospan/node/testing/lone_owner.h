// One owner of one service with one queue in virtual time, for tests: its
// store, and runners that never answer, so that all records are those of new
// and of cancelled jobs.
#ifndef MANGOSPAN_NODE_TESTING_LONE_OWNER_H
#define MANGOSPAN_NODE_TESTING_LONE_OWNER_H

#include <chrono>
#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "mangospan/daemon/metrics.h"
#include "mangospan/node/owner.h"
#include "mangospan/node/testing/runner_records.h"
#include "mangospan/node/testing/virtual_store.h"

namespace mangospan::node::testing {

class silent_runners final : public runner_port
{
public:
  void Start(const runner_target& aTarget,
             const jobs::start_order& aOrder,
             outcome_handler aHandler) override;
  void Stop(const runner_target& aTarget,
            const jobs::stop_order& aOrder,
            outcome_handler aHandler) override;
  void Throttle(const runner_target& aTarget,
                const jobs::throttle_order& aOrder,
                outcome_handler aHandler) override;
  void Poll(const runner_target& aTarget,
            const jobs::poll_order& aOrder,
            poll_handler aHandler) override;
};

// The configuration with only the owner's queue and service.
jobs::catalog
OneQueue();

// A job of one short task for the owner's queue.
jobs::job_spec
OneTask();

// The owner has loaded when the constructor returns.
class lone_owner
{
public:
  static const service_name kService;
  static const jobs::queue_name kQueue;

  explicit lone_owner(const jobs::scheduler_settings& aScheduling = {});
  ~lone_owner();
  lone_owner(const lone_owner&) = delete;
  lone_owner& operator=(const lone_owner&) = delete;

  time_point Now() const { return mClock.Now(); }
  // When the owner began to load.
  time_point StartedAt() const { return mStartedAt; }
  owner& Owner() { return *mOwner; }
  const daemon::metrics& Metrics() const { return mMetrics; }
  virtual_store& Store() { return mStore; }
  virtual_store_client& Client() { return mClient; }

  // From now on, the owner's process gets to its work only so often.
  void SetLoopInterval(std::chrono::milliseconds aInterval);
  // Is called whenever the owner's process gets to its work, before the rest.
  void SetOnLoop(std::function<void()> aAction);
  void RunFor(std::chrono::milliseconds aTime);

private:
  manual_clock mClock;
  const time_point mStartedAt = mClock.Now();
  const virtual_time_scope mScope{ mClock };
  boost::asio::io_context mStoreIo;
  boost::asio::io_context mIo;
  virtual_store mStore{ mStoreIo, mClock };
  virtual_store_client mClient{ mStore, mIo };
  runner_records mFormat;
  daemon::metrics mMetrics;
  silent_runners mRunners;
  std::shared_ptr<owner> mOwner;
  std::chrono::milliseconds mLoopInterval{ 1 };
  std::function<void()> mOnLoop;
  time_point mNextLoopAt{};
};

} // namespace mangospan::node::testing

#endif // MANGOSPAN_NODE_TESTING_LONE_OWNER_H
