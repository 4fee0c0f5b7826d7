// A running estimate of how long the requests of a class occupy a slot.
//
//   service_time observed(prior);
//   observed.Add(elapsed);
//   if (wait + observed.Quantile(0.99) > target) { ... }
#ifndef MANGOSPAN_REQUEST_INTERNAL_SERVICE_TIME_H
#define MANGOSPAN_REQUEST_INTERNAL_SERVICE_TIME_H

#include <chrono>

namespace mangospan::request {

// Exponentially weighted mean and mean absolute deviation of the observed
// times.
class service_time
{
public:
  // `aPrior` is the mean until the first observation.
  explicit service_time(std::chrono::nanoseconds aPrior);

  void Add(std::chrono::nanoseconds aElapsed);

  std::chrono::nanoseconds Mean() const;

  // Returns the time within which the share `aShare` of requests (0 to 1) is
  // expected to end.
  std::chrono::nanoseconds Quantile(double aShare) const;

private:
  double mMean; // nanoseconds
  double mMeanDeviation = 0;
  bool mObserved = false;
};

} // namespace mangospan::request

#endif // MANGOSPAN_REQUEST_INTERNAL_SERVICE_TIME_H
