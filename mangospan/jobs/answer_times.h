// How fast runners answer start orders, and how reliably start orders and
// polls; and how fast the store answers.
//
// A start order can be sent again without harm, since a runner starts a run at
// most once. So an order that has no answer after the usual time is sent again,
// long before its timeout, and runners that leave orders unanswered get fewer.
#ifndef MANGOSPAN_JOBS_ANSWER_TIMES_H
#define MANGOSPAN_JOBS_ANSWER_TIMES_H

#include <chrono>

#include "mangospan/base/time.h"

namespace mangospan::jobs {

struct answer_time_bounds
{
  // The bounds of the time after which an answer is probably lost. The lower
  // one leaves time for a late timer on either side.
  std::chrono::milliseconds mMin{ 50 };
  std::chrono::milliseconds mMax{ 300 };
  // The same time before any answer has arrived.
  std::chrono::milliseconds mInitial{ 100 };
};

// Estimates how long an answer takes at most if it is not lost: the mean of
// earlier answers, and several times their deviation from it.
class answer_time_estimator
{
public:
  // By default for start orders.
  explicit answer_time_estimator(answer_time_bounds aBounds = {});

  // Adds the time that an answer took.
  void Add(std::chrono::nanoseconds aTime);

  // Returns the time after which an answer is probably lost.
  std::chrono::nanoseconds ResendDelay() const;

private:
  answer_time_bounds mBounds;
  bool mHasAnswer = false;
  std::chrono::nanoseconds mMean{ 0 };
  std::chrono::nanoseconds mDeviation{ 0 }; // the mean absolute one
};

// Remembers whether one runner has lately left orders unanswered.
class answer_record
{
public:
  void OnAnswered();
  void OnUnanswered(time_point aNow);

  // Returns whether the next order is likely to stay unanswered, too. A runner
  // is trusted again after several answers, or after some seconds.
  bool IsUnreliable(time_point aNow) const;

private:
  int mAnswersNeeded = 0; // until the runner is trusted again
  time_point mLastUnansweredAt{};
};

} // namespace mangospan::jobs

#endif // MANGOSPAN_JOBS_ANSWER_TIMES_H
