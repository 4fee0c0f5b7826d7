// Tells for how long a caller has been trying to submit a job.
//
// A caller says with each try how long it still waits. The callers of a queue
// wait equally long from their first try on, so the longest time that one of
// them has announced lately is that of a first try. Pure: the caller passes the
// time.
#ifndef MANGOSPAN_NODE_CALLER_PATIENCE_H
#define MANGOSPAN_NODE_CALLER_PATIENCE_H

#include <chrono>
#include <map>

#include "mangospan/base/time.h"
#include "mangospan/jobs/spec.h"

namespace mangospan::node {

class caller_patience
{
public:
  // Takes note that a caller waits for `aRemaining` more and returns the time
  // since its first try, as far as known.
  std::chrono::milliseconds ElapsedSinceFirstTry(
    const jobs::queue_name& aQueue,
    std::chrono::milliseconds aRemaining,
    time_point aNow);

private:
  // The longest times of two spans, the last of which still goes on.
  struct longest
  {
    time_point mSince{}; // when the present span began
    std::chrono::milliseconds mPresent{ 0 };
    std::chrono::milliseconds mPrevious{ 0 };
  };

  std::map<jobs::queue_name, longest> mLongest;
};

} // namespace mangospan::node

#endif // MANGOSPAN_NODE_CALLER_PATIENCE_H
