// A clock that notices when this process was suspended.
//
// While the event loop runs, `Now` is called at least every 100 ms; a longer
// gap means that the process or its host was stopped for that time. The
// handler runs before the first caller after the gap gets its time, so nothing
// is decided on state from before it.
#ifndef MANGOSPAN_ENTRY_SUSPENSION_CLOCK_H
#define MANGOSPAN_ENTRY_SUSPENSION_CLOCK_H

#include <chrono>
#include <functional>
#include <utility>

#include "mangospan/base/time.h"

namespace mangospan::entry {

class suspension_clock final : public clock_source
{
public:
  suspension_clock(const clock_source& aClock,
                   std::chrono::milliseconds aLimit,
                   std::function<void()> aOnSuspended)
    : mClock(aClock)
    , mLimit(aLimit)
    , mOnSuspended(std::move(aOnSuspended))
    , mLast(aClock.Now())
  {
  }

  time_point Now() const override
  {
    const time_point now = mClock.Now();
    const bool wasSuspended = now - mLast > mLimit;
    mLast = now;
    if (wasSuspended) {
      mOnSuspended();
    }
    return now;
  }

private:
  const clock_source& mClock;
  std::chrono::milliseconds mLimit;
  std::function<void()> mOnSuspended;
  mutable time_point mLast;
};

} // namespace mangospan::entry

#endif // MANGOSPAN_ENTRY_SUSPENSION_CLOCK_H
