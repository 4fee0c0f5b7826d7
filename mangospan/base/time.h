// The time points that every decision is given, and the clock daemons read.
//
// Decisions take a `time_point` argument and never read a clock, so tests can
// run them in virtual time:
//
//   manual_clock clock;
//   clock.Advance(std::chrono::seconds(3));
//   registry.OnTick(clock.Now());
#ifndef MANGOSPAN_BASE_TIME_H
#define MANGOSPAN_BASE_TIME_H

#include <chrono>
#include <cstdint>

namespace mangospan {

// A monotonic clock that also counts the time for which the host was
// suspended, so that a lease can not outlive a suspension of its holder.
struct boot_clock
{
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<boot_clock>;
  static constexpr bool is_steady = true;

  static time_point now() noexcept;
};

using time_point = boot_clock::time_point;

// Returns the whole milliseconds of a time, as logs and messages state it.
std::int64_t
CountMilliseconds(std::chrono::nanoseconds aTime);

// Where a component gets the time from; injected through constructors.
class clock_source
{
public:
  virtual ~clock_source() = default;
  virtual time_point Now() const = 0;
};

// The host's own clock.
class system_clock_source final : public clock_source
{
public:
  time_point Now() const override;
};

// A clock that moves only when told to; starts one hour after the epoch.
class manual_clock final : public clock_source
{
public:
  time_point Now() const override;
  void Advance(std::chrono::nanoseconds aBy);

private:
  time_point mNow{ std::chrono::hours(1) };
};

} // namespace mangospan

#endif // MANGOSPAN_BASE_TIME_H
