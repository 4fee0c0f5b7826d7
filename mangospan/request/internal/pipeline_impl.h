// The pipeline's own parts, joined: classifier, admission, deadline queues,
// slot router, retries and demand. `pipeline` in pipeline.h forwards to it.
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
  void Adopt(const view::zone_view& aView,
             const view::entry_id& aOwn,
             time_point aNow);
  void Arrive(const arrival& aArrival, time_point aNow);
  void CallerGone(request_id aRequest, time_point aNow);
  void EndAttempt(request_id aRequest,
                  std::uint32_t aAttempt,
                  const attempt_end& aEnd,
                  time_point aNow);
  void Dispatching(bool aDispatching, time_point aNow);
  void Tick(time_point aNow);

  // The actions that the input has led to.
  actions Finish();

  std::optional<time_point> NextWake() const;
  std::vector<class_demand> TakeDemand();
  pipeline_snapshot Snapshot() const;

  bool mAccepting = true;

  const slot_router& Router() const { return mRouter; }
  bool Idle() const { return mOpen.empty(); }

private:
  using open_requests = std::unordered_map<request_id, open_request>;

  service_state& ServiceOf(const service_name& aName);
  void AdoptClass(const config::work_class& aWork);
  void ForgetUnusedClasses();
  void RefuseUnserved(time_point aNow);

  std::optional<refusal> Admit(const arrival& aArrival,
                               class_state& aClass,
                               time_point aNow);
  std::optional<refusal> CheckServing() const;
  std::optional<refusal> CheckBounds(const arrival& aArrival,
                                     const class_state& aClass) const;
  void Open(const arrival& aArrival,
            class_state& aClass,
            bool aIdempotent,
            time_point aNow);

  void Enqueue(request_id aId, open_request& aRequest);
  void Pump(service_state& aService, time_point aNow);
  void PumpAll(time_point aNow);
  void Expire(service_state& aService, time_point aNow);
  void Dispatch(request_id aId,
                open_request& aRequest,
                const placement& aPlaced,
                time_point aNow);
  std::chrono::nanoseconds AttemptTimeout(const open_request& aRequest,
                                          bool aDoubtful,
                                          time_point aNow) const;

  void Observe(open_request& aRequest,
               const attempt_end& aEnd,
               time_point aNow);
  bool MayRetry(const open_request& aRequest,
                attempt_end_kind aKind,
                time_point aNow);
  void Deliver(open_requests::iterator aAt, time_point aNow);
  void Refuse(open_requests::iterator aAt, refusal_code aCode, time_point aNow);
  void Close(open_requests::iterator aAt);
  std::chrono::milliseconds Spread(std::chrono::nanoseconds aRetryAfter);

  pipeline_options mOptions;
  std::mt19937_64 mRandom;
  slot_router mRouter;
  classifier mClassifier;
  team_rates mTeamRates;
  std::vector<config::team> mTeams;
  std::size_t mEntries = 1;
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
