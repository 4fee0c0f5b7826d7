// A queue of events in virtual time, for tests. Events run in the order of
// their time; events of the same time run in the order of insertion.
//
//   event_queue events;
//   events.After(std::chrono::milliseconds(20), [&] { ... });
//   events.RunUntil(events.Now() + std::chrono::seconds(10));
#ifndef MANGOSPAN_FLEET_TESTING_EVENT_QUEUE_H
#define MANGOSPAN_FLEET_TESTING_EVENT_QUEUE_H

#include <chrono>
#include <cstdint>
#include <functional>
#include <queue>
#include <tuple>
#include <utility>
#include <vector>

#include "mangospan/base/time.h"

namespace mangospan::fleet::testing {

// Holds the virtual clock, which starts at one hour and advances only as events
// run.
class event_queue
{
public:
  // Returns the current virtual time.
  time_point Now() const { return mNow; }

  // Schedules `aEvent` to run once, `aDelay` from now.
  void After(std::chrono::milliseconds aDelay, std::function<void()> aEvent)
  {
    mEvents.push({ mNow + aDelay, ++mLastNumber, std::move(aEvent) });
  }

  // Runs all events up to and including `aEnd`, then sets the clock to `aEnd`.
  void RunUntil(time_point aEnd)
  {
    while (!mEvents.empty() && mEvents.top().mTime <= aEnd) {
      auto callback = std::move(const_cast<event&>(mEvents.top()).mCallback);
      mNow = mEvents.top().mTime;
      mEvents.pop();
      callback();
    }
    mNow = aEnd;
  }

private:
  struct event
  {
    time_point mTime;
    std::uint64_t mNumber = 0;
    std::function<void()> mCallback;

    // `std::priority_queue` has the greatest element on top, so the earlier
    // event compares as the greater one.
    bool operator<(const event& aOther) const
    {
      return std::tie(mTime, mNumber) > std::tie(aOther.mTime, aOther.mNumber);
    }
  };

  time_point mNow{ std::chrono::hours(1) };
  std::uint64_t mLastNumber = 0;
  std::priority_queue<event> mEvents;
};

} // namespace mangospan::fleet::testing

#endif // MANGOSPAN_FLEET_TESTING_EVENT_QUEUE_H
