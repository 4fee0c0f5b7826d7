// The timers of event-driven code. They wait by the clock that the code reads,
// so that a test can run that code in virtual time:
//
//   manual_clock clock;
//   const virtual_time_scope scope(clock);
//   while (!done) {
//     io.restart();
//     io.poll();
//     clock.Advance(std::chrono::milliseconds(1));
//   }
#ifndef MANGOSPAN_BASE_TIMER_H
#define MANGOSPAN_BASE_TIMER_H

#include <chrono>

#include <boost/asio/basic_waitable_timer.hpp>

#include "mangospan/base/time.h"

namespace mangospan {

// The clock of `timer`: the host's monotonic clock, or the clock of the
// `virtual_time_scope` that exists.
struct timer_clock
{
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<timer_clock>;
  static constexpr bool is_steady = true;

  static time_point now() noexcept;
};

// Tells Asio how long to sleep until a timer is due.
struct timer_wait_traits
{
  static timer_clock::duration to_wait_duration(
    const timer_clock::duration& aRemaining);
  static timer_clock::duration to_wait_duration(
    const timer_clock::time_point& aExpiry);
};

using timer = boost::asio::basic_waitable_timer<timer_clock, timer_wait_traits>;

// Makes all timers of the process wait by `aClock` and `WallNow()` follow it,
// as long as this object exists. For tests; at most one at a time, on one
// thread. An io_context has to be polled after the clock has been advanced.
class virtual_time_scope
{
public:
  explicit virtual_time_scope(const clock_source& aClock);
  ~virtual_time_scope();
  virtual_time_scope(const virtual_time_scope&) = delete;
  virtual_time_scope& operator=(const virtual_time_scope&) = delete;

  // Makes the time of day jump by `aBy`. The clock of the timers goes on.
  void StepTimeOfDay(std::chrono::milliseconds aBy);
};

// Returns the time of day.
std::chrono::system_clock::time_point
WallNow();

} // namespace mangospan

#endif // MANGOSPAN_BASE_TIMER_H
