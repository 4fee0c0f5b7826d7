// The health of one endpoint, from its recent attempts: how often it fails,
// when it may be tried again after a failure, and when it may be probed.
//
//   endpoint_health health;
//   health.OnAttemptEnded(end, slow, now);
//   if (health.BadRate() > others + 0.5) { health.Eject(now); }
#ifndef MANGOSPAN_REQUEST_INTERNAL_ENDPOINT_HEALTH_H
#define MANGOSPAN_REQUEST_INTERNAL_ENDPOINT_HEALTH_H

#include <chrono>

#include "mangospan/base/time.h"
#include "mangospan/request/pipeline.h"

namespace mangospan::request {

// Returns whether the attempt counts as a failure of the endpoint: no answer,
// an answer with a 5xx status, or a request that the endpoint did not run.
bool
IsFailure(const attempt_end& aEnd);

// Failure rates, back-off and ejection of one endpoint. The rates are
// exponentially weighted over the attempts.
class endpoint_health
{
public:
  // Records the end of an attempt. `aSlow`: it took longer than nearly all
  // answers of its class do. While ejected, a good answer reinstates the
  // endpoint, and a failed probe postpones the next one.
  void OnAttemptEnded(const attempt_end& aEnd, bool aSlow, time_point aNow);

  // Returns the share of failures among the recent attempts, 0 to 1.
  double FailureRate() const { return mFailureRate; }

  // Returns the share of failures and slow answers among the recent attempts,
  // 0 to 1.
  double BadRate() const { return mBadRate; }

  // Returns the end of the back-off. An attempt that was not sent or not run
  // starts one, whose length doubles with each consecutive such attempt: a dead
  // endpoint always looks idle and would otherwise attract requests.
  time_point BackoffEnd() const { return mBackoffEnd; }

  // Takes the endpoint out of use until a probe succeeds.
  void Eject(time_point aNow);
  // Ends the ejection.
  void Reinstate(time_point aNow);
  bool Ejected() const { return mEjected; }

  // While ejected: returns when one request may be sent as a probe, to see
  // whether the endpoint has recovered.
  time_point NextProbe() const { return mNextProbe; }
  void OnProbeSent() { mProbing = true; }
  // Returns whether a request that is not idempotent may serve as the probe.
  // Only true a while after the ejection, since such a request may be lost
  // and can not be retried.
  bool MayProbeNonIdempotently(time_point aNow) const;

private:
  double mFailureRate = 0;
  double mBadRate = 0;
  int mConsecutiveNotRun = 0;
  time_point mBackoffEnd;
  bool mEjected = false;
  bool mProbing = false;
  time_point mEjectedAt;
  time_point mNextProbe;
  time_point mReinstatedAt;
  std::chrono::nanoseconds mProbeInterval{ 0 };
};

} // namespace mangospan::request

#endif // MANGOSPAN_REQUEST_INTERNAL_ENDPOINT_HEALTH_H
