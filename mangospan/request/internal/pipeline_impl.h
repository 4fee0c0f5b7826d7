// The implementation of `pipeline` (pipeline.h): combines the classifier,
// admission, deadline queues, slot router, retry budget and demand meter.
#ifndef MANGOSPAN_REQUEST_INTERNAL_PIPELINE_IMPL_H
#define MANGOSPAN_REQUEST_INTERNAL_PIPELINE_IMPL_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <unordered_map>
#include <utility>
#include <vector>

#include "mangospan/request/internal/admission.h"
#include "mangospan/request/internal/classifier.h"
#include "mangospan/request/internal/pool_state.h"
#include "mangospan/request/internal/slot_router.h"
#include "mangospan/request/pipeline.h"

namespace mangospan::request {

// Each call that reports an event appends to the pending actions;
// `TakeActions` returns and clears them.
class pipeline::impl
{
public:
  impl(const pipeline_options& aOptions, std::uint64_t aSeed)
    : mOptions(aOptions)
    , mRandom(aSeed)
    , mRouter(aOptions, mRandom)
  {
  }

  void Configure(const config::document& aDocument, time_point aNow);
  void AdoptView(const view::zone_view& aView,
                 const view::entry_id& aOwn,
                 time_point aNow);
  void HandleArrival(const arrival& aArrival, time_point aNow);
  void HandleCallerGone(request_id aRequest, time_point aNow);
  void HandleAttemptEnd(request_id aRequest,
                        std::uint32_t aAttempt,
                        const attempt_end& aEnd,
                        time_point aNow);
  void UpdateDispatching(bool aDispatching, time_point aNow);
  void Tick(time_point aNow);

  // Returns the actions since the previous call and clears them.
  actions TakeActions();

  std::optional<time_point> NextWake() const;
  std::vector<class_demand> TakeDemand();
  pipeline_snapshot Snapshot() const;

  bool mAccepting = true;

  const slot_router& Router() const { return mRouter; }
  bool Idle() const { return mOpen.empty(); }

private:
  using open_requests = std::unordered_map<request_id, open_request>;

  service_state& ServiceOf(const service_name& aName);
  void ConfigureClass(const config::work_class& aWork);
  void RemoveUnusedClasses();
  void RefuseUnserved(time_point aNow);

  // Returns a refusal if the request must not be queued.
  std::optional<refusal> Admit(const arrival& aArrival,
                               class_state& aClass,
                               time_point aNow);
  // Returns a refusal unless this entry accepts and dispatches requests.
  std::optional<refusal> CheckServing() const;
  // Returns a refusal if the request id is in use or a queue limit is reached.
  std::optional<refusal> CheckBounds(const arrival& aArrival,
                                     const class_state& aClass) const;
  void Open(const arrival& aArrival,
            class_state& aClass,
            bool aIdempotent,
            time_point aNow);

  void Enqueue(request_id aId, open_request& aRequest);
  // Sends queued requests of the service, in the order of its queue, while
  // slots are free.
  void DispatchQueued(service_state& aService, time_point aNow);
  void DispatchAllQueued(time_point aNow);
  // Refuses the queued requests of the service whose deadline has passed.
  void Expire(service_state& aService, time_point aNow);
  void Dispatch(request_id aId,
                open_request& aRequest,
                const slot_assignment& aPlaced,
                time_point aNow);
  std::chrono::nanoseconds AttemptTimeout(const open_request& aRequest,
                                          bool aSuspect,
                                          time_point aNow) const;

  // Releases the slot of an ended attempt, and updates the demand, the service
  // times, the endpoint's health and the request.
  void RecordAttemptEnd(open_request& aRequest,
                        const attempt_end& aEnd,
                        time_point aNow);
  bool MayRetry(const open_request& aRequest,
                attempt_end_kind aKind,
                time_point aNow);
  void Deliver(open_requests::iterator aOpenRequest, time_point aNow);
  void Refuse(open_requests::iterator aOpenRequest,
              refusal_code aCode,
              time_point aNow);
  void Close(open_requests::iterator aOpenRequest);
  // Clamps a retry time to fixed limits and adds random jitter.
  std::chrono::milliseconds JitterRetryAfter(
    std::chrono::nanoseconds aRetryAfter);

  pipeline_options mOptions;
  std::mt19937_64 mRandom;
  slot_router mRouter;
  classifier mClassifier;
  team_rates mTeamRates;
  std::vector<config::team> mTeams;
  std::size_t mEntryCount = 1;
  bool mDispatching = false;
  std::map<service_name, std::unique_ptr<service_state>> mServices;
  std::map<std::pair<service_name, class_name>, std::unique_ptr<class_state>>
    mClasses;
  std::unordered_map<const config::work_class*, class_state*> mClassOf;
  open_requests mOpen;
  actions mActions;
};

} // namespace mangospan::request

#endif // MANGOSPAN_REQUEST_INTERNAL_PIPELINE_IMPL_H
