#include "mangospan/base/time.h"

#include <chrono>
#include <ctime>

namespace mangospan {

boot_clock::time_point
boot_clock::now() noexcept
{
  timespec spec{};
  clock_gettime(CLOCK_BOOTTIME, &spec);
  return time_point(std::chrono::seconds(spec.tv_sec) +
                    std::chrono::nanoseconds(spec.tv_nsec));
}

std::int64_t
CountMilliseconds(std::chrono::nanoseconds aTime)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count();
}

time_point
system_clock_source::Now() const
{
  return boot_clock::now();
}

time_point
manual_clock::Now() const
{
  return mNow;
}

void
manual_clock::Advance(std::chrono::nanoseconds aBy)
{
  mNow += aBy;
}

} // namespace mangospan
