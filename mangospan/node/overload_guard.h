// Decides when an owner that falls behind refuses new jobs.
//
// An owner that takes all that it is sent answers nobody in time once it gets
// more than it can store: callers give up and submit again, and what they gave
// up is stored and run all the same. The guard refuses once work has waited for
// longer than a target throughout an interval, so that a short burst is taken,
// and until work waits no longer than the target, so that the owner never runs
// idle. Pure: the caller passes the time.
#ifndef MANGOSPAN_NODE_OVERLOAD_GUARD_H
#define MANGOSPAN_NODE_OVERLOAD_GUARD_H

#include <chrono>
#include <cstdint>
#include <optional>

#include "mangospan/base/time.h"

namespace mangospan::node {

// Timing of an `overload_guard`.
struct overload_settings
{
  // Work may wait for so long at any time.
  std::chrono::milliseconds mTarget{ 30 };
  // Work may wait for longer than the target throughout this time.
  std::chrono::milliseconds mInterval{ 100 };
  // An overload that returns within this time is the same overload: there is no
  // second interval.
  std::chrono::milliseconds mMemory{ 1'000 };
  // Refused callers return within one second more than this.
  std::chrono::seconds mMaxSpread{ 2 };
};

class overload_guard
{
public:
  explicit overload_guard(overload_settings aSettings)
    : mSettings(aSettings)
  {
  }

  // Notes for how long the work that is done at `aNow`, or that comes next, has
  // waited.
  void OnWait(time_point aNow, std::chrono::nanoseconds aWait);
  // Returns whether new jobs are refused.
  bool IsOverloaded() const { return mIsOverloaded; }

  // Notes that a new job is accepted.
  void OnAccepted(time_point aNow);
  // Notes that a new job is refused, and returns after how many seconds its
  // caller comes back: as many as it takes to accept those who are refused at
  // present, each caller at a point of its own in that time.
  std::chrono::seconds OnRefused(time_point aNow);

private:
  // Jobs of one second.
  struct counts
  {
    std::uint64_t mAccepted = 0;
    std::uint64_t mRefused = 0;
  };

  void StartSecond(time_point aNow);

  const overload_settings mSettings;
  bool mIsOverloaded = false;
  std::optional<time_point> mLongWaitsSince; // set while work waits too long
  std::optional<time_point> mEndedAt;        // of the last overload
  time_point mSecondSince{};
  counts mPresent;
  counts mPrevious;
  double mPosition = 0; // of the last refused caller in the spread, 0 to 1
};

} // namespace mangospan::node

#endif // MANGOSPAN_NODE_OVERLOAD_GUARD_H
