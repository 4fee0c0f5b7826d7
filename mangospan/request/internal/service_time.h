// A running estimate of how long a class's requests occupy a slot.
//
//   service_time observed(prior);
//   observed.Add(elapsed);
//   if (wait + observed.Quantile(0.99) > target) { ... }
#ifndef MANGOSPAN_REQUEST_INTERNAL_SERVICE_TIME_H
#define MANGOSPAN_REQUEST_INTERNAL_SERVICE_TIME_H

#include <chrono>

namespace mangospan::request {

class service_time
{
public:
  // `aPrior` stands in until the first observation.
  explicit service_time(std::chrono::nanoseconds aPrior);

  void Add(std::chrono::nanoseconds aElapsed);

  std::chrono::nanoseconds Mean() const;

  // The time within which the share `aShare` of requests is expected to end.
  std::chrono::nanoseconds Quantile(double aShare) const;

private:
  double mMean; // nanoseconds
  double mDeviation = 0;
  bool mObserved = false;
};

} // namespace mangospan::request

#endif // MANGOSPAN_REQUEST_INTERNAL_SERVICE_TIME_H
