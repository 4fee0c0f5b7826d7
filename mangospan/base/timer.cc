#include "mangospan/base/timer.h"

namespace mangospan {

namespace {

// Asio reads the clock of a timer through a static member, so it can not come
// through a constructor.
const clock_source* gVirtualClock = nullptr;
std::chrono::milliseconds gTimeOfDayOffset{ 0 }; // in virtual time

} // namespace

timer_clock::time_point
timer_clock::now() noexcept
{
  if (gVirtualClock != nullptr) {
    return time_point(gVirtualClock->Now().time_since_epoch());
  }
  return time_point(std::chrono::steady_clock::now().time_since_epoch());
}

// In virtual time Asio must not sleep, but look at the clock again with the
// next poll.
timer_clock::duration
timer_wait_traits::to_wait_duration(const timer_clock::duration& aRemaining)
{
  return gVirtualClock != nullptr ? timer_clock::duration(0) : aRemaining;
}

timer_clock::duration
timer_wait_traits::to_wait_duration(const timer_clock::time_point& aExpiry)
{
  return to_wait_duration(aExpiry - timer_clock::now());
}

virtual_time_scope::virtual_time_scope(const clock_source& aClock)
{
  gVirtualClock = &aClock;
}

virtual_time_scope::~virtual_time_scope()
{
  gVirtualClock = nullptr;
  gTimeOfDayOffset = std::chrono::milliseconds(0);
}

void
virtual_time_scope::StepTimeOfDay(std::chrono::milliseconds aBy)
{
  gTimeOfDayOffset += aBy;
}

std::chrono::system_clock::time_point
WallNow()
{
  if (gVirtualClock != nullptr) {
    return std::chrono::system_clock::time_point(
      std::chrono::duration_cast<std::chrono::system_clock::duration>(
        gVirtualClock->Now().time_since_epoch() + gTimeOfDayOffset));
  }
  return std::chrono::system_clock::now();
}

} // namespace mangospan
