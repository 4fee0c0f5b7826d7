// The whole decision of the request path, from arrival to answer.
//
// An HTTP daemon feeds a `pipeline` with what happens and carries out the
// actions that come back. The pipeline does no I/O, reads no clock and starts
// no thread, so it runs in virtual time in tests:
//
//   pipeline requests(pipeline_options{}, seed);
//   requests.OnConfiguration(document, now);
//   requests.OnView(view, ownId, now);
//   requests.SetDispatching(true, now);
//   for (action& next : requests.OnArrival(arrival, now)) {
//     std::visit(carryOut, next);
//   }
//
// What the daemon owes:
// - Each `dispatch` is answered by exactly one `OnAttemptEnded`, at the latest
//   when its timeout has passed. A second one for the same attempt is ignored.
// - `OnTick` is called no later than the time point that `NextWake` names.
// - Actions are carried out in order, each once. `now` never goes backwards.
//
// What the pipeline owes: each arrival ends in exactly one `deliver` or
// `refuse`, also one whose caller has gone or that is malformed.
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

// Names one request received by this process; unique while the process runs.
using request_id = std::uint64_t;

// A request whose head (and body) the daemon has read whole.
struct arrival
{
  request_id mId = 0;
  caller_name mCaller; // whom to be fair to; may be empty
  team_name mTeam;     // may be empty
  service_name mService;
  std::string mPath;   // without query and without "/<service>"; starts with /
  std::string mMethod; // "GET"; methods are case-sensitive
  class_name mClass;   // of the header Mangospan-Class; empty if absent
  time_point mArrived;
};

// How an attempt ended. Name the kind that is certain: where in doubt whether
// a byte was written, `kUnknown`.
enum class attempt_end_kind
{
  kAnswered,       // the whole answer is here; `mStatus` is its status
  kAnsweredNotRun, // the endpoint itself said that it did not run the request
  kNotSent,        // not one byte was written to the endpoint
  kUnknown,        // bytes were written, no whole answer came
  kTimedOut,       // as kUnknown, since the attempt's timeout passed
};

struct attempt_end
{
  attempt_end_kind mKind = attempt_end_kind::kUnknown;
  int mStatus = 0; // of the answer, for the two answered kinds
};

// Send the request to the endpoint. Attempts are counted from 1.
struct dispatch
{
  request_id mRequest = 0;
  std::uint32_t mAttempt = 0;
  host_name mHost;
  std::string mAddress; // "ip:port"
  std::chrono::nanoseconds mTimeout{ 0 };
};

// Pass the endpoint's answer of the attempt that has just ended on to the
// caller. The request is over.
struct deliver
{
  request_id mRequest = 0;
};

// What is known of a refused request. `kNotRun` is only said where no byte of
// it can have been acted on.
enum class request_outcome
{
  kNotRun,
  kUnknown,
};

// The header's value: "not-run" or "unknown".
const char*
Name(request_outcome aOutcome);

// Why a request was refused, from a closed list that callers can act on.
enum class refusal_code
{
  kNoSuchService,    // no pool of the configuration serves it
  kNoSuchClass,      // the requested class is not one of this service
  kNotServing,       // this entry may not dispatch now
  kStopping,         // this entry is about to stop
  kNoEndpoint,       // the service has no endpoint here that may take work
  kTargetOutOfReach, // the predicted wait is over the class's target
  kOverShare,        // the caller or the team is over its share
  kQueueFull,        // a bound on open requests
  kDeadlinePassed,   // waited in the queue until its deadline
  kCallerGone,       // the caller went before the request was sent
  kEndpointFailed,   // each attempt failed before it could run
  kEndpointTimedOut, // sent, and no answer in time
  kConnectionLost,   // sent, and the connection broke
  kDuplicateRequest, // the daemon used an id twice
};

// The code as it appears in bodies and logs, for example "over_share".
const char*
Name(refusal_code aCode);

// An answer that mangospan makes itself. `mRetryAfter` is zero where a retry
// can not help.
struct refusal
{
  request_outcome mOutcome = request_outcome::kNotRun;
  refusal_code mCode = refusal_code::kNotServing;
  const char* mStep = ""; // "classify", "admit", "queue", "route", "dispatch"
  std::string mPeer;      // the last endpoint tried, as "ip:port"; may be empty
  std::chrono::milliseconds mRetryAfter{ 0 };
  int mHttpStatus = 503;
};

// Refuse the request. The request is over.
struct refuse
{
  request_id mRequest = 0;
  refusal mRefusal;
};

// A draining host has none of this entry's requests in flight any more, nor
// can any request that was given up on still be running there. Said once for
// each drain; `Emptied` repeats it for reports.
struct emptied
{
  host_name mHost;
  std::uint64_t mEpoch = 0;
};

using action = std::variant<dispatch, deliver, refuse, emptied>;
using actions = std::vector<action>;

// One class's demand since the last call of `TakeDemand`.
struct class_demand
{
  class_name mClass;
  std::uint64_t mArrivals = 0;
  std::uint64_t mAnswered = 0; // delivered, in time or late
  std::uint64_t mLate = 0;     // delivered after the class's target
  std::uint64_t mRefused = 0;
  std::chrono::microseconds mBusy{ 0 }; // slot time used
  std::size_t mQueued = 0;              // now
};

// Slots this entry may be using at an endpoint: its share, or what it still
// occupies if that is more, since a share can shrink below what is in flight.
struct held_slots
{
  host_name mHost;
  std::uint64_t mEpoch = 0;
  std::size_t mSlots = 0;
};

// Bounds and rules that do not depend on the operators' configuration.
struct pipeline_options
{
  std::size_t mMaxQueuedPerPool = 4096;
  std::size_t mMaxOpen = 16384; // queued and in flight, over all pools
  std::uint32_t mMaxAttempts = 3;
  // An attempt of a request with the target "within T" is given up on when
  // the request is `mTimeoutFactor` times T old.
  int mTimeoutFactor = 4;
  // For how long a slot counts as occupied after its request was given up on:
  // the endpoint may still be running it.
  std::chrono::milliseconds mAbandonedSlotHold{ 5000 };
  // Retries allowed, as a share of first attempts in the last ten seconds.
  double mRetryBudget = 0.1;
  // At most this share of a pool's endpoints is ejected at once.
  double mMaxEjected = 0.5;
  // Callers over their share are refused once the predicted wait reaches this
  // part of what the target allows, and for a second after any refusal.
  double mFairnessThreshold = 0.5;
};

// For the state dump.
struct endpoint_snapshot
{
  host_name mHost;
  std::string mAddress;
  service_name mService;
  std::uint64_t mEpoch = 0;
  bool mServing = false; // false: draining, or gone from the view
  bool mEjected = false;
  std::size_t mShare = 0;
  std::size_t mInFlight = 0;
  std::size_t mAbandoned = 0; // slots held for requests given up on
};

struct pool_snapshot
{
  service_name mService;
  std::size_t mQueued = 0;
  std::size_t mSlots = 0; // usable, whether free or not
  std::size_t mFree = 0;
  std::chrono::microseconds mPredictedWait{ 0 }; // of a request at the end
};

struct pipeline_snapshot
{
  bool mAccepting = true;
  bool mDispatching = false;
  view::version mView;
  std::size_t mOpen = 0;
  std::vector<pool_snapshot> mPools;
  std::vector<endpoint_snapshot> mEndpoints;
};

class pipeline
{
public:
  // `aSeed` drives the choice between endpoints.
  pipeline(const pipeline_options& aOptions, std::uint64_t aSeed);
  ~pipeline();
  pipeline(pipeline&&) noexcept;
  pipeline& operator=(pipeline&&) noexcept;

  // Adopts a configuration. Queued requests whose service is no longer served
  // are refused; those in flight end normally.
  actions OnConfiguration(const config::document& aDocument, time_point aNow);

  // Adopts a view; one older than the held view is ignored. From this call on
  // draining and absent endpoints get no new request.
  actions OnView(const view::zone_view& aView,
                 const view::entry_id& aOwn,
                 time_point aNow);

  // Takes a request in. `aArrival.mId` must be new.
  actions OnArrival(const arrival& aArrival, time_point aNow);

  // The caller closed its connection. A queued request is refused as not run;
  // one in flight runs to its end, but is not retried.
  actions OnCallerGone(request_id aRequest, time_point aNow);

  // An attempt is over. Ignored unless it is the request's current attempt.
  actions OnAttemptEnded(request_id aRequest,
                         std::uint32_t aAttempt,
                         const attempt_end& aEnd,
                         time_point aNow);

  // Expires deadlines, held slots and ejections.
  actions OnTick(time_point aNow);

  // Whether requests may be sent to endpoints: false while not registered in
  // the zone, or after a suspension until a fresh view was adopted. While
  // false, arrivals are refused and queued requests wait. False at first.
  actions SetDispatching(bool aDispatching, time_point aNow);

  // False from the start of a graceful stop: arrivals are refused, while what
  // is queued is still sent. True at first.
  void SetAccepting(bool aAccepting);

  // When `OnTick` is due next; empty if nothing waits for time to pass.
  std::optional<time_point> NextWake() const;

  // True if no request is open.
  bool Idle() const;

  // Counts per class since the last call; classes without any are left out.
  std::vector<class_demand> TakeDemand();

  // Endpoints that this entry holds to be failing.
  std::vector<host_name> Ejected() const;

  // Draining hosts without a request of this entry, with the drain's epoch.
  std::vector<emptied> Emptied() const;

  // Per endpoint of the view, and per host that has left the view with
  // requests of this entry; sorted by host.
  std::vector<held_slots> Shares() const;

  // The newest view whose shares this entry keeps to: acknowledge this one, so
  // that slots are given to another entry only once they are free here. At
  // hosts that left the view the share is zero; slots at draining endpoints do
  // not hold it back, since those are given up by `emptied`.
  view::version AppliedView() const;

  pipeline_snapshot Snapshot() const;

private:
  class impl;
  std::unique_ptr<impl> mImpl;
};

} // namespace mangospan::request

#endif // MANGOSPAN_REQUEST_PIPELINE_H
