// Ends the service of callers, then that of others, while a node stops: no
// connection is closed before the request that was read from it has a response.
#ifndef MANGOSPAN_NODE_CALLER_DRAIN_H
#define MANGOSPAN_NODE_CALLER_DRAIN_H

#include <functional>
#include <optional>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "mangospan/base/time.h"
#include "mangospan/base/timer.h"
#include "mangospan/http/server.h"
#include "mangospan/node/stop_schedule.h"

namespace mangospan::node {

class caller_drain
{
public:
  // The references must outlive the drain. `aOthers` are the servers that
  // others than callers use; they serve until the node has no connection of a
  // caller and is handed over. `aIsHandedOver` returns whether the node owns
  // nothing any more.
  caller_drain(boost::asio::io_context& aIo,
               const clock_source& aClock,
               http::server& aServer,
               std::vector<http::server*> aOthers,
               std::function<bool()> aIsHandedOver);

  // Stops accepting connections in time and calls `aDone` once those of all
  // servers are closed and the node is handed over, or at the end of the
  // schedule. A request that has no response when it is due is answered with
  // 504. Call once.
  void Start(const stop_schedule& aSchedule, std::function<void()> aDone);

private:
  void StopAccepting();
  void AnswerRest();
  void Poll();
  bool AreOthersClosed();
  void Finish();
  void After(time_point::duration aDelay, void (caller_drain::*aStep)());

  const clock_source& mClock;
  http::server& mServer;
  const std::vector<http::server*> mOthers;
  const std::function<bool()> mIsHandedOver;
  timer mTimer;
  std::optional<stop_schedule> mSchedule;
  std::function<void()> mDone;
  bool mIsRestAnswered = false;
  bool mAreOthersStopped = false;
};

} // namespace mangospan::node

#endif // MANGOSPAN_NODE_CALLER_DRAIN_H
