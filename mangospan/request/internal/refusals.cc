#include "mangospan/request/internal/refusals.h"

#include <chrono>
#include <cstddef>

namespace mangospan::request {

namespace {

using std::chrono::milliseconds;

struct refusal_properties
{
  const char* mName;
  const char* mStep;
  int mHttpStatus;
  milliseconds mRetryAfter;
};

// Indexed by `refusal_code`.
constexpr refusal_properties kProperties[] = {
  { "no_such_service", "classify", 404, milliseconds(0) },
  { "no_such_class", "classify", 400, milliseconds(0) },
  { "not_serving", "admit", 503, milliseconds(1000) },
  { "stopping", "admit", 503, milliseconds(100) },
  { "no_endpoint", "route", 503, milliseconds(1000) },
  { "target_out_of_reach", "admit", 503, milliseconds(500) },
  { "over_share", "admit", 429, milliseconds(500) },
  { "queue_full", "admit", 503, milliseconds(1000) },
  { "deadline_passed", "queue", 503, milliseconds(500) },
  { "caller_gone", "queue", 503, milliseconds(0) },
  { "endpoint_failed", "dispatch", 502, milliseconds(500) },
  { "endpoint_timed_out", "dispatch", 504, milliseconds(500) },
  { "connection_lost", "dispatch", 502, milliseconds(500) },
  { "duplicate_request", "admit", 500, milliseconds(0) },
};

const refusal_properties&
PropertiesOf(refusal_code aCode)
{
  return kProperties[static_cast<std::size_t>(aCode)];
}

} // namespace

const char*
Name(request_outcome aOutcome)
{
  return aOutcome == request_outcome::kNotRun ? "not-run" : "unknown";
}

const char*
Name(refusal_code aCode)
{
  return PropertiesOf(aCode).mName;
}

refusal
MakeRefusal(refusal_code aCode)
{
  const refusal_properties& properties = PropertiesOf(aCode);
  refusal refused;
  refused.mCode = aCode;
  refused.mStep = properties.mStep;
  refused.mHttpStatus = properties.mHttpStatus;
  refused.mRetryAfter = properties.mRetryAfter;
  return refused;
}

} // namespace mangospan::request
