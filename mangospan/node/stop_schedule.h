// The times of a graceful stop, and how long a request may take meanwhile.
//
// All of them follow from one number, the time from the stop signal to the end
// of the process, so that a request that is read on the way out has its
// response before the process exits. Pure: the caller passes the time.
//
//   const stop_schedule schedule(now, settings.mStopTimeout);
//   const auto timeout = schedule.LimitTimeout(kMaxRequestTimeout, now);
#ifndef MANGOSPAN_NODE_STOP_SCHEDULE_H
#define MANGOSPAN_NODE_STOP_SCHEDULE_H

#include <chrono>
#include <optional>

#include "mangospan/base/time.h"

namespace mangospan::node {

// The longest time that a node takes to answer a caller's request.
constexpr std::chrono::milliseconds kMaxRequestTimeout{ 2'500 };

class stop_schedule
{
public:
  // The stop began at `aBegin`; the process is killed `aStopTimeout` later.
  stop_schedule(time_point aBegin, std::chrono::milliseconds aStopTimeout);

  time_point Begin() const { return mBegin; }
  // Until then the node accepts connections.
  time_point AcceptUntil() const { return mAcceptUntil; }
  // By then every request that was read has a response.
  time_point AnswerBy() const { return mAnswerBy; }
  // By then the process exits. Responses are sent until then.
  time_point ExitBy() const { return mExitBy; }

  // Returns how long a request that is read at `aNow` may take, at most
  // `aTimeout`; nullopt if too little time is left, so that it has to be
  // refused at once.
  std::optional<std::chrono::milliseconds> LimitTimeout(
    std::chrono::milliseconds aTimeout,
    time_point aNow) const;

private:
  time_point mBegin;
  time_point mExitBy;
  time_point mAnswerBy;
  time_point mAcceptUntil;
};

} // namespace mangospan::node

#endif // MANGOSPAN_NODE_STOP_SCHEDULE_H
