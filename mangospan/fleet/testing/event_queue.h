// Virtual time for tests: events in order of time, then of insertion.
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

class event_queue
{
public:
  time_point Now() const { return mNow; }

  void After(std::chrono::milliseconds aDelay, std::function<void()> aEvent)
  {
    mEvents.push({ mNow + aDelay, ++mLast, std::move(aEvent) });
  }

  void RunUntil(time_point aEnd)
  {
    while (!mEvents.empty() && mEvents.top().mTime <= aEnd) {
      auto run = std::move(const_cast<event&>(mEvents.top()).mRun);
      mNow = mEvents.top().mTime;
      mEvents.pop();
      run();
    }
    mNow = aEnd;
  }

private:
  struct event
  {
    time_point mTime;
    std::uint64_t mNumber = 0;
    std::function<void()> mRun;

    bool operator<(const event& aOther) const
    {
      return std::tie(mTime, mNumber) > std::tie(aOther.mTime, aOther.mNumber);
    }
  };

  time_point mNow{ std::chrono::hours(1) };
  std::uint64_t mLast = 0;
  std::priority_queue<event> mEvents;
};

} // namespace mangospan::fleet::testing

#endif // MANGOSPAN_FLEET_TESTING_EVENT_QUEUE_H
