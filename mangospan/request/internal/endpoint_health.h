// What an endpoint's recent attempts say about it: how often it fails, when it
// may be tried again, when it may be probed.
//
//   endpoint_health health;
//   health.OnEnd(end, slow, now);
//   if (health.BadRate() > others + 0.5) { health.Eject(now); }
#ifndef MANGOSPAN_REQUEST_INTERNAL_ENDPOINT_HEALTH_H
#define MANGOSPAN_REQUEST_INTERNAL_ENDPOINT_HEALTH_H

#include <chrono>

#include "mangospan/base/time.h"
#include "mangospan/request/pipeline.h"

namespace mangospan::request {

// Whether the end speaks against the endpoint: no answer, an answer of the
// 5xx kind, or none that ran.
bool
IsFailure(const attempt_end& aEnd);

class endpoint_health
{
public:
  // `aSlow`: the answer took longer than nearly all of its class do.
  void OnEnd(const attempt_end& aEnd, bool aSlow, time_point aNow);

  // Failures among the recent attempts, 0 to 1.
  double FailureRate() const { return mFailureRate; }

  // Failures and slow answers among the recent attempts, 0 to 1.
  double BadRate() const { return mBadRate; }

  // After an attempt that the endpoint did not even take, it is left alone for
  // a moment, longer each time in a row: a dead endpoint always looks idle.
  time_point BackoffEnd() const { return mBackoffEnd; }

  // Takes the endpoint out of use until a probe succeeds.
  void Eject(time_point aNow);
  void Reinstate(time_point aNow);
  bool Ejected() const { return mEjected; }

  // While ejected: when one request may be sent to see if it has recovered.
  time_point ProbeAt() const { return mProbeAt; }
  void OnProbeSent() { mProbing = true; }
  // Whether a request that can not be repeated may serve as the probe; only
  // after a while, since it may be lost.
  bool AnyRequestMayProbe(time_point aNow) const;

private:
  double mFailureRate = 0;
  double mBadRate = 0;
  int mNotTakenInRow = 0;
  time_point mBackoffEnd;
  bool mEjected = false;
  bool mProbing = false;
  time_point mEjectedAt;
  time_point mProbeAt;
  time_point mReinstatedAt;
  std::chrono::nanoseconds mProbeInterval{ 0 };
};

} // namespace mangospan::request

#endif // MANGOSPAN_REQUEST_INTERNAL_ENDPOINT_HEALTH_H
