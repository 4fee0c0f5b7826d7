// The decision logic of the request path, from a request's arrival to its
// answer.
//
// An entry is a process that receives the requests of callers and sends them to
// endpoints. A slot is the capacity of an endpoint to run one request at a
// time. The view of the zone assigns to each entry a share of the slots of each
// endpoint: the number of requests that the entry may have in flight there.
//
// An HTTP daemon reports events to a `pipeline` and executes the actions that
// the calls return. The pipeline does no I/O, reads no clock and starts no
// thread, so tests run it in virtual time:
//
//   pipeline requests(pipeline_options{}, seed);
//   requests.OnConfiguration(document, now);
//   requests.OnView(view, ownId, now);
//   requests.SetDispatching(true, now);
//   for (action& next : requests.OnArrival(arrival, now)) {
//     std::visit(execute, next);
//   }
//
// Requirements on the daemon:
// - It reports the end of each `dispatch` by exactly one `OnAttemptEnded`, no
//   later than when the timeout of the `dispatch` expires. A second report of
//   the same attempt is ignored.
// - It calls `OnTick` no later than the time point that `NextWake` returns.
// - It executes the actions in order, each once. `now` never goes backwards.
//
// The pipeline guarantees that each arrival ends in exactly one `deliver` or
// `refuse`, also if its caller has gone or the request is malformed.
#ifndef MANGOSPAN_REQUEST_PIPELINE_H
#define MANGOSPAN_REQUEST_PIPELINE_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "mangospan/base/error.h"
#include "mangospan/base/identity.h"
#include "mangospan/base/time.h"
#include "mangospan/config/document.h"
#include "mangospan/view/zone_view.h"

namespace mangospan::request {

// Identifies a request received by this process. Unique while the process runs.
using request_id = std::uint64_t;

// A request whose head and body the daemon has received completely.
struct arrival
{
  request_id mId = 0;
  caller_name mCaller; // the unit of fair sharing; may be empty
  team_name mTeam;     // may be empty
  service_name mService;
  std::string mPath;   // without the query and "/<service>"; starts with "/"
  std::string mMethod; // "GET"; methods are case-sensitive
  class_name mClass;   // from the header Mangospan-Class; empty if absent
  time_point mArrived;
};

// The ways in which an attempt can end. If it is not certain whether a byte was
// written to the endpoint, the daemon must report `kUnknown`.
enum class attempt_end_kind
{
  kAnswered,       // the complete answer was received
  kAnsweredNotRun, // the endpoint answered that it did not run the request
  kNotSent,        // no byte was written to the endpoint
  kUnknown,        // bytes were written, no complete answer was received
  kTimedOut,       // as kUnknown, and the attempt's timeout has expired
};

// The result of one attempt, as the daemon reports it.
struct attempt_end
{
  attempt_end_kind mKind = attempt_end_kind::kUnknown;
  int mStatus = 0; // HTTP status of the answer, if there is one
};

// Action: send the request to the endpoint.
struct dispatch
{
  request_id mRequest = 0;
  std::uint32_t mAttempt = 0; // starts at 1 for each request
  host_name mHost;
  std::string mAddress;                   // "ip:port"
  std::chrono::nanoseconds mTimeout{ 0 }; // timeout of the whole attempt
};

// Action: forward to the caller the endpoint's answer to the attempt that has
// just ended. This ends the request.
struct deliver
{
  request_id mRequest = 0;
};

// Whether an endpoint may have run a refused request. `kNotRun` guarantees that
// no endpoint has acted on any byte of it.
enum class request_outcome
{
  kNotRun,
  kUnknown,
};

// Returns the value of the header Mangospan-Outcome: "not-run" or "unknown".
const char*
Name(request_outcome aOutcome);

// The reason for refusing a request. Callers may match on the names of these
// codes.
enum class refusal_code
{
  kNoSuchService,    // no pool of the configuration serves it
  kNoSuchClass,      // the requested class is not one of this service
  kNotServing,       // this entry may not dispatch requests now
  kStopping,         // this entry is stopping gracefully
  kNoEndpoint,       // this entry has no usable slot for the service
  kTargetOutOfReach, // the predicted wait exceeds the class's target
  kOverShare,        // the caller or the team exceeds its fair share
  kQueueFull,        // the limit on queued or open requests is reached
  kDeadlinePassed,   // the deadline passed before the request was sent
  kCallerGone,       // the caller disconnected before the request was sent
  kEndpointFailed,   // the last attempt ended without running the request
  kEndpointTimedOut, // the request was sent, no answer arrived in time
  kConnectionLost,   // the request was sent, then the connection broke
  kDuplicateRequest, // the daemon used a request id twice
};

// Returns the code as it appears in bodies and logs, for example "over_share".
const char*
Name(refusal_code aCode);

// An answer that Mangospan sends in place of an endpoint. `mRetryAfter` is zero
// if a retry can't help.
struct refusal
{
  request_outcome mOutcome = request_outcome::kNotRun;
  refusal_code mCode = refusal_code::kNotServing;
  const char* mStep = ""; // "classify", "admit", "queue", "route", "dispatch"
  std::string mPeer;      // "ip:port" of the last endpoint that failed, if any
  std::chrono::milliseconds mRetryAfter{ 0 };
  int mHttpStatus = 503;
};

// Action: answer the caller with the refusal. This ends the request.
struct refuse
{
  request_id mRequest = 0;
  refusal mRefusal;
};

// Action: report that a draining host runs no more work of this entry. No
// request of this entry is in flight there, and no abandoned one can still be
// running. Emitted once for each drain; `DrainedHosts` repeats it for reports.
struct drained_host
{
  host_name mHost;
  std::uint64_t mEpoch = 0; // epoch of the drain
};

// An action that the daemon must execute.
using action = std::variant<dispatch, deliver, refuse, drained_host>;
using actions = std::vector<action>;

// The demand of one class since the previous call of `TakeDemand`.
struct class_demand
{
  class_name mClass;
  std::uint64_t mArrivals = 0;
  std::uint64_t mAnswered = 0; // requests delivered, in time or late
  std::uint64_t mLate = 0;     // requests delivered after the class's target
  std::uint64_t mRefused = 0;
  std::chrono::microseconds mBusy{ 0 }; // total slot time of ended attempts
  std::size_t mQueued = 0; // requests queued at the time of the call
};

// The number of slots that this entry may be using at an endpoint: its
// share, or the slots that it still occupies if these are more, since a share
// can shrink below the number of requests in flight.
struct reserved_slots
{
  host_name mHost;
  std::uint64_t mEpoch = 0; // epoch of the endpoint in the view
  std::size_t mSlots = 0;
};

// Limits and policies that don't depend on the operators' configuration.
struct pipeline_options
{
  std::size_t mMaxQueuedPerPool = 4096;
  std::size_t mMaxOpenRequests =
    16384; // requests queued and in flight, in all pools
  // The maximum number of attempts of one request, including the first.
  std::uint32_t mMaxAttempts = 3;
  // An attempt times out at the latest when the age of its request reaches
  // `mTimeoutFactor` times the latency target of its class.
  int mTimeoutFactor = 4;
  // The time for which a slot counts as occupied after its attempt timed out or
  // lost its connection, since the endpoint may still be running the request.
  std::chrono::milliseconds mAbandonedSlotHold{ 5000 };
  // Maximum ratio of retries to first attempts within the last ten seconds. A
  // few retries are allowed at any ratio, for services with little traffic.
  double mRetryBudget = 0.1;
  // Maximum fraction of a pool's endpoints that are ejected at the same time.
  double mMaxEjectedFraction = 0.5;
  // Callers over their fair share are refused while the predicted wait exceeds
  // this fraction of the wait that the target allows, and for one second after
  // any refusal.
  double mFairnessThreshold = 0.5;
};

// The state of one endpoint, for the state dump.
struct endpoint_snapshot
{
  host_name mHost;
  std::string mAddress;
  service_name mService;
  std::uint64_t mEpoch = 0; // epoch of the endpoint in the view
  bool mServing = false;    // false if draining or absent from the view
  bool mEjected = false;
  std::size_t mShare = 0;
  std::size_t mInFlight = 0;
  std::size_t mAbandoned = 0; // slots held for requests that may still run
};

// The state of one service's queue and slots, for the state dump.
struct pool_snapshot
{
  service_name mService;
  std::size_t mQueued = 0;
  std::size_t mSlots = 0; // usable slots, free and occupied
  std::size_t mFree = 0;
  // Predicted wait of a request at the end of the queue.
  std::chrono::microseconds mPredictedWait{ 0 };
};

// The state of a pipeline, for the state dump.
struct pipeline_snapshot
{
  bool mAccepting = true;
  bool mDispatching = false;
  view::version mView;
  std::size_t mOpen = 0; // requests queued and in flight
  std::vector<pool_snapshot> mPools;
  std::vector<endpoint_snapshot> mEndpoints;
};

// Admits, queues, routes and retries the requests of one entry. The calls that
// return `actions` report an event; the daemon executes what they return. Not
// thread-safe.
class pipeline
{
public:
  // `aSeed` seeds the random choice of endpoints and the jitter of retry times.
  pipeline(const pipeline_options& aOptions, std::uint64_t aSeed);
  ~pipeline();
  pipeline(pipeline&&) noexcept;
  pipeline& operator=(pipeline&&) noexcept;

  // Replaces the configuration. Refuses queued requests of services that it no
  // longer serves; requests in flight end normally.
  actions OnConfiguration(const config::document& aDocument, time_point aNow);

  // Replaces the view, unless `aView` is older than the current one. From this
  // call on, endpoints that are draining in the view or absent from it get no
  // new requests. `aOwn` identifies this entry in the view.
  actions OnView(const view::zone_view& aView,
                 const view::entry_id& aOwn,
                 time_point aNow);

  // Queues, dispatches or refuses a new request. `aArrival.mId` must be new.
  actions OnArrival(const arrival& aArrival, time_point aNow);

  // Reports that the caller has closed its connection. A queued request is
  // refused, as not run unless an earlier attempt may have run it. A request in
  // flight continues, but is not retried.
  actions OnCallerGone(request_id aRequest, time_point aNow);

  // Reports the end of an attempt. Ignored unless `aAttempt` is the current
  // attempt of the request.
  actions OnAttemptEnded(request_id aRequest,
                         std::uint32_t aAttempt,
                         const attempt_end& aEnd,
                         time_point aNow);

  // Refuses queued requests past their deadline, frees the slots of abandoned
  // requests whose hold time is over, ends back-offs that are over, and makes
  // the probes of ejected endpoints due.
  actions OnTick(time_point aNow);

  // Sets whether requests may be sent to endpoints. The daemon sets false while
  // this entry is not registered in the zone, and after a suspension until a
  // fresh view is adopted. While false, arrivals are refused and queued
  // requests wait. Initially false.
  actions SetDispatching(bool aDispatching, time_point aNow);

  // Sets whether arrivals are accepted. The daemon sets false at the start of a
  // graceful stop: arrivals are refused, queued requests are still sent.
  // Initially true.
  void SetAccepting(bool aAccepting);

  // Returns when `OnTick` is due next; empty if no timer is pending.
  std::optional<time_point> NextWake() const;

  // Returns true if no request is queued or in flight.
  bool Idle() const;

  // Returns and resets the demand of each class. Omits classes without demand.
  std::vector<class_demand> TakeDemand();

  // Returns the hosts of ejected endpoints, which this entry considers failing.
  std::vector<host_name> EjectedHosts() const;

  // Returns the draining hosts that run no request of this entry, with the
  // epoch of the drain.
  std::vector<drained_host> DrainedHosts() const;

  // Returns the slots this entry may be using at each endpoint of the view, and
  // at each host that left the view while it ran requests of this entry. Sorted
  // by host.
  std::vector<reserved_slots> ReservedSlots() const;

  // Returns the version of the newest view whose shares this entry complies
  // with. The daemon acknowledges this version, so that a slot is assigned to
  // another entry only once this entry no longer uses it. The share at a host
  // that left the view is zero. Slots at draining endpoints don't delay the
  // version, since `drained_host` reports when those are released.
  view::version AppliedView() const;

  pipeline_snapshot Snapshot() const;

private:
  class impl;
  std::unique_ptr<impl> mImpl;
};

} // namespace mangospan::request

#endif // MANGOSPAN_REQUEST_PIPELINE_H
