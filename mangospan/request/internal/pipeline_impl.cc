#include "mangospan/request/internal/pipeline_impl.h"

#include <algorithm>

#include "mangospan/request/internal/refusals.h"

namespace mangospan::request {

namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

constexpr milliseconds kMinRetryAfter{ 50 };
constexpr milliseconds kMaxRetryAfter{ 10000 };

double
Seconds(nanoseconds aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

refusal_code
CodeOf(attempt_end_kind aKind)
{
  switch (aKind) {
    case attempt_end_kind::kTimedOut:
      return refusal_code::kEndpointTimedOut;
    case attempt_end_kind::kUnknown:
      return refusal_code::kConnectionLost;
    default:
      return refusal_code::kEndpointFailed;
  }
}

} // namespace

service_state&
pipeline::impl::ServiceOf(const service_name& aName)
{
  auto& state = mServices[aName];
  if (!state) {
    state =
      std::make_unique<service_state>(aName, mRouter.PoolOf(aName), mOptions);
  }
  return *state;
}

void
pipeline::impl::Configure(const config::document& aDocument, time_point aNow)
{
  mClassifier = classifier(aDocument);
  mTeams = aDocument.mTeams;
  mTeamRates.Configure(mTeams, mEntryCount, aNow);
  mClassOf.clear();
  for (auto& [key, state] : mClasses) {
    state->mConfigured = false;
  }
  for (const config::work_class* work : mClassifier.Classes()) {
    ConfigureClass(*work);
  }
  RefuseUnserved(aNow);
  RemoveUnusedClasses();
  DispatchAllQueued(aNow);
}

void
pipeline::impl::ConfigureClass(const config::work_class& aWork)
{
  const service_name& service = aWork.mMatch.mService;
  auto& state = mClasses[{ service, aWork.mName }];
  if (!state) {
    state = std::make_unique<class_state>(aWork, ServiceOf(service));
  }
  state->mConfigured = true;
  state->mWorkClass = aWork;
  state->UpdateClassQueue();
  mClassOf[&aWork] = state.get();
}

void
pipeline::impl::RefuseUnserved(time_point aNow)
{
  for (auto& [name, service] : mServices) {
    if (mClassifier.Serves(name)) {
      continue;
    }
    for (const request_id id : service->mQueue.TakeAll()) {
      const auto at = mOpen.find(id);
      Refuse(at, refusal_code::kNoSuchService, aNow);
    }
  }
}

// Keeps a class that is no longer configured until its last request has ended
// and its demand has been reported.
void
pipeline::impl::RemoveUnusedClasses()
{
  for (auto at = mClasses.begin(); at != mClasses.end();) {
    class_state& state = *at->second;
    if (state.mConfigured || state.mOpenRequests != 0 ||
        state.mDemand.HasUnreportedDemand()) {
      ++at;
      continue;
    }
    state.mService.mFreeClassQueues.push_back(state.mClassQueue);
    at = mClasses.erase(at);
  }
}

void
pipeline::impl::AdoptView(const view::zone_view& aView,
                          const view::entry_id& aOwn,
                          time_point aNow)
{
  mRouter.Adopt(aView, aOwn, aNow);
  if (mRouter.Version() == aView.mVersion &&
      mEntryCount != aView.mEntries.size()) {
    mEntryCount = aView.mEntries.size();
    mTeamRates.Configure(mTeams, mEntryCount, aNow);
  }
  DispatchAllQueued(aNow);
}

void
pipeline::impl::HandleArrival(const arrival& aArrival, time_point aNow)
{
  if (mRouter.Advance(aNow)) {
    DispatchAllQueued(aNow);
  }
  const classification found = mClassifier.Classify(aArrival);
  if (found.mWorkClass == nullptr) {
    // Before the first configuration every service is unknown, so the refusal
    // must say that this entry is not serving instead.
    const auto refused = CheckServing();
    mActions.emplace_back(refuse{
      aArrival.mId, refused.value_or(MakeRefusal(found.mRefusalCode)) });
    return;
  }
  class_state& work = *mClassOf.at(found.mWorkClass);
  work.mDemand.OnArrival();
  Expire(work.mService, aNow);
  if (auto refused = Admit(aArrival, work, aNow)) {
    work.mDemand.OnRefused();
    refused->mRetryAfter = JitterRetryAfter(refused->mRetryAfter);
    mActions.emplace_back(refuse{ aArrival.mId, std::move(*refused) });
    return;
  }
  Open(aArrival, work, found.mIdempotent, aNow);
}

std::optional<refusal>
pipeline::impl::CheckServing() const
{
  if (!mAccepting) {
    return MakeRefusal(refusal_code::kStopping);
  }
  if (!mDispatching) {
    return MakeRefusal(refusal_code::kNotServing);
  }
  return std::nullopt;
}

std::optional<refusal>
pipeline::impl::CheckBounds(const arrival& aArrival,
                            const class_state& aClass) const
{
  if (auto refused = CheckServing()) {
    return refused;
  }
  if (mOpen.count(aArrival.mId) != 0) {
    return MakeRefusal(refusal_code::kDuplicateRequest);
  }
  if (mOpen.size() >= mOptions.mMaxOpenRequests ||
      aClass.mService.mQueue.Size() >= mOptions.mMaxQueuedPerPool) {
    return MakeRefusal(refusal_code::kQueueFull);
  }
  return std::nullopt;
}

std::optional<refusal>
pipeline::impl::Admit(const arrival& aArrival,
                      class_state& aClass,
                      time_point aNow)
{
  if (auto refused = CheckBounds(aArrival, aClass)) {
    return refused;
  }
  service_state& service = aClass.mService;
  const time_point deadline = aArrival.mArrived + aClass.TargetLatency();
  if (aNow >= deadline) {
    return MakeRefusal(refusal_code::kDeadlinePassed);
  }
  if (!mTeamRates.Allow(aArrival.mTeam, aNow)) {
    return MakeRefusal(refusal_code::kOverShare);
  }
  queue_load load;
  load.mSlots = mRouter.UsableSlots(service.mPool);
  load.mHasFreeSlot =
    mRouter.FreeSlots(service.mPool) > 0 && service.mQueue.Size() == 0;
  load.mWorkAhead = service.mQueue.WorkAhead(aClass.mClassQueue, deadline);
  load.mMeanSlotTime = aClass.mAnswerTime.Mean();
  load.mWaitBudget = aClass.WaitBudget(deadline - aNow);
  const auto rejection =
    service.mAdmission.Admit(load, aArrival.mTeam, aArrival.mCaller, aNow);
  if (!rejection) {
    return std::nullopt;
  }
  refusal refused = MakeRefusal(rejection->mCode);
  refused.mRetryAfter =
    std::chrono::duration_cast<milliseconds>(rejection->mRetryAfter);
  return refused;
}

void
pipeline::impl::Open(const arrival& aArrival,
                     class_state& aClass,
                     bool aIdempotent,
                     time_point aNow)
{
  open_request request;
  request.mClass = &aClass;
  request.mGrant = {
    aArrival.mTeam, aArrival.mCaller, Seconds(aClass.mAnswerTime.Mean()), aNow
  };
  request.mDeadline = aArrival.mArrived + aClass.TargetLatency();
  request.mFinalDeadline =
    aArrival.mArrived + aClass.TargetLatency() * mOptions.mTimeoutFactor;
  request.mIdempotent = aIdempotent;
  ++aClass.mOpenRequests;
  const auto at = mOpen.emplace(aArrival.mId, std::move(request)).first;
  Enqueue(at->first, at->second);
  DispatchQueued(aClass.mService, aNow);
}

void
pipeline::impl::Enqueue(request_id aId, open_request& aRequest)
{
  service_state& service = aRequest.mClass->mService;
  service.mQueue.Push(aRequest.mClass->mClassQueue, aRequest.mDeadline, aId);
}

void
pipeline::impl::Expire(service_state& aService, time_point aNow)
{
  for (const request_id id : aService.mQueue.TakeExpired(aNow)) {
    const auto at = mOpen.find(id);
    Refuse(at, refusal_code::kDeadlinePassed, aNow);
  }
}

void
pipeline::impl::DispatchQueued(service_state& aService, time_point aNow)
{
  Expire(aService, aNow);
  while (mDispatching) {
    const auto next = aService.mQueue.Front();
    if (!next) {
      return;
    }
    open_request& request = mOpen.at(*next);
    const auto placed = mRouter.Take(
      aService.mPool, request.mIdempotent, request.mPreviousEndpoint, aNow);
    if (!placed) {
      return;
    }
    aService.mQueue.PopFront();
    Dispatch(*next, request, *placed, aNow);
  }
}

void
pipeline::impl::DispatchAllQueued(time_point aNow)
{
  for (auto& [name, service] : mServices) {
    if (service->mQueue.Size() != 0) {
      DispatchQueued(*service, aNow);
    }
  }
}

void
pipeline::impl::Dispatch(request_id aId,
                         open_request& aRequest,
                         const slot_assignment& aPlaced,
                         time_point aNow)
{
  ++aRequest.mAttempt;
  aRequest.mSlot = aPlaced.mSlot;
  aRequest.mDispatchedAt = aNow;
  if (aRequest.mAttempt == 1) {
    aRequest.mClass->mService.mRetryBudget.OnFirstAttempt(aNow);
  }
  mActions.emplace_back(
    dispatch{ aId,
              aRequest.mAttempt,
              aPlaced.mHost,
              aPlaced.mAddress,
              AttemptTimeout(aRequest, aPlaced.mSuspect, aNow) });
}

// Returns the full remaining time, during which an answer is still useful, for
// most attempts. Only an attempt of an idempotent request at an endpoint with
// recent failures gets a shorter timeout, to leave time for a retry. Shorter
// timeouts for all attempts would turn a slowdown of the whole pool into many
// abandoned slots.
nanoseconds
pipeline::impl::AttemptTimeout(const open_request& aRequest,
                               bool aSuspect,
                               time_point aNow) const
{
  const nanoseconds remaining = aRequest.mFinalDeadline - aNow;
  if (!aSuspect || !aRequest.mIdempotent ||
      aRequest.mAttempt >= mOptions.mMaxAttempts) {
    return remaining;
  }
  const nanoseconds half = (aRequest.mDeadline - aNow) / 2;
  return std::min(remaining,
                  std::max(half, aRequest.mClass->MinAttemptTimeout()));
}

void
pipeline::impl::HandleAttemptEnd(request_id aRequest,
                                 std::uint32_t aAttempt,
                                 const attempt_end& aEnd,
                                 time_point aNow)
{
  const auto at = mOpen.find(aRequest);
  if (at == mOpen.end() || at->second.mAttempt != aAttempt ||
      at->second.mSlot.mEndpoint == nullptr) {
    return;
  }
  open_request& request = at->second;
  RecordAttemptEnd(request, aEnd, aNow);
  mRouter.Advance(aNow);
  if (aEnd.mKind == attempt_end_kind::kAnswered) {
    Deliver(at, aNow);
  } else if (MayRetry(request, aEnd.mKind, aNow)) {
    Enqueue(aRequest, request);
  } else {
    Refuse(at, CodeOf(aEnd.mKind), aNow);
  }
  DispatchAllQueued(aNow);
}

void
pipeline::impl::RecordAttemptEnd(open_request& aRequest,
                                 const attempt_end& aEnd,
                                 time_point aNow)
{
  const nanoseconds elapsed = aNow - aRequest.mDispatchedAt;
  const bool slow = aRequest.mClass->IsSlow(elapsed);
  aRequest.mClass->mDemand.OnSlotFreed(elapsed);
  if (aEnd.mKind == attempt_end_kind::kTimedOut) {
    aRequest.mClass->OnTimedOut(elapsed);
  } else if (!IsFailure(aEnd)) {
    aRequest.mClass->OnAnswered(elapsed);
  }
  if (aEnd.mKind != attempt_end_kind::kAnswered) {
    aRequest.mPeer = mRouter.AddressOf(aRequest.mSlot);
  }
  aRequest.mMayHaveRun = aRequest.mMayHaveRun || MayHaveRun(aEnd.mKind);
  aRequest.mPreviousEndpoint = aRequest.mSlot.mEndpoint;
  mRouter.Release(std::exchange(aRequest.mSlot, {}), { aEnd, slow }, aNow);
}

bool
pipeline::impl::MayRetry(const open_request& aRequest,
                         attempt_end_kind aKind,
                         time_point aNow)
{
  const class_state& work = *aRequest.mClass;
  return IsSafeToRetry(aKind, aRequest.mIdempotent) && !aRequest.mCallerGone &&
         aRequest.mAttempt < mOptions.mMaxAttempts &&
         mClassifier.Serves(work.mService.mName) &&
         aNow + work.mAnswerTime.Mean() < aRequest.mDeadline &&
         work.mService.mRetryBudget.Take(aNow);
}

void
pipeline::impl::Deliver(open_requests::iterator aOpenRequest, time_point aNow)
{
  aOpenRequest->second.mClass->OnDelivered(aNow >
                                           aOpenRequest->second.mDeadline);
  mActions.emplace_back(deliver{ aOpenRequest->first });
  Close(aOpenRequest);
}

void
pipeline::impl::Refuse(open_requests::iterator aOpenRequest,
                       refusal_code aCode,
                       time_point aNow)
{
  const open_request& request = aOpenRequest->second;
  if (request.mAttempt == 0) {
    request.mClass->mService.mAdmission.Withdraw(request.mGrant, aNow);
  }
  refusal answer = MakeRefusal(aCode);
  answer.mPeer = request.mPeer;
  answer.mRetryAfter = JitterRetryAfter(answer.mRetryAfter);
  if (request.mMayHaveRun) {
    answer.mOutcome = request_outcome::kUnknown;
    if (!request.mIdempotent) {
      answer.mRetryAfter = milliseconds(0);
    }
  }
  request.mClass->mDemand.OnRefused();
  mActions.emplace_back(refuse{ aOpenRequest->first, std::move(answer) });
  Close(aOpenRequest);
}

void
pipeline::impl::Close(open_requests::iterator aOpenRequest)
{
  --aOpenRequest->second.mClass->mOpenRequests;
  mOpen.erase(aOpenRequest);
}

// Adds random jitter of up to half the time, so that callers refused at the
// same time don't all retry at the same time. Zero means that a retry can't
// help and is returned unchanged.
milliseconds
pipeline::impl::JitterRetryAfter(nanoseconds aRetryAfter)
{
  if (aRetryAfter.count() == 0) {
    return milliseconds(0);
  }
  const auto base =
    std::clamp(std::chrono::duration_cast<milliseconds>(aRetryAfter),
               kMinRetryAfter,
               kMaxRetryAfter);
  const auto half = static_cast<std::uint64_t>(base.count() / 2 + 1);
  return base + milliseconds(static_cast<std::int64_t>(mRandom() % half));
}

void
pipeline::impl::HandleCallerGone(request_id aRequest, time_point aNow)
{
  const auto at = mOpen.find(aRequest);
  if (at == mOpen.end()) {
    return;
  }
  open_request& request = at->second;
  if (request.mSlot.mEndpoint != nullptr) {
    request.mCallerGone = true;
    return;
  }
  request.mClass->mService.mQueue.Remove(
    request.mClass->mClassQueue, request.mDeadline, aRequest);
  Refuse(at, refusal_code::kCallerGone, aNow);
  DispatchAllQueued(aNow);
}

void
pipeline::impl::UpdateDispatching(bool aDispatching, time_point aNow)
{
  mDispatching = aDispatching;
  Tick(aNow);
}

void
pipeline::impl::Tick(time_point aNow)
{
  mRouter.Advance(aNow);
  DispatchAllQueued(aNow);
}

actions
pipeline::impl::TakeActions()
{
  for (drained_host& each : mRouter.TakeNewlyDrained()) {
    mActions.emplace_back(std::move(each));
  }
  return std::exchange(mActions, {});
}

std::optional<time_point>
pipeline::impl::NextWake() const
{
  std::optional<time_point> next = mRouter.NextWake();
  for (const auto& [name, service] : mServices) {
    const auto expiry = service->mQueue.NextExpiry();
    if (expiry && (!next || *expiry < *next)) {
      next = expiry;
    }
  }
  return next;
}

std::vector<class_demand>
pipeline::impl::TakeDemand()
{
  std::vector<class_demand> demands;
  for (auto& [key, work] : mClasses) {
    class_demand demand = work->mDemand.Take(
      key.second, work->mService.mQueue.Size(work->mClassQueue));
    if (HasDemand(demand)) {
      demands.push_back(std::move(demand));
    }
  }
  RemoveUnusedClasses();
  return demands;
}

pipeline_snapshot
pipeline::impl::Snapshot() const
{
  pipeline_snapshot snapshot;
  snapshot.mAccepting = mAccepting;
  snapshot.mDispatching = mDispatching;
  snapshot.mView = mRouter.Version();
  snapshot.mOpen = mOpen.size();
  snapshot.mEndpoints = mRouter.Snapshot();
  for (const auto& [name, service] : mServices) {
    pool_snapshot each;
    each.mService = name;
    each.mQueued = service->mQueue.Size();
    each.mSlots = mRouter.UsableSlots(service->mPool);
    each.mFree = mRouter.FreeSlots(service->mPool);
    each.mPredictedWait =
      std::chrono::duration_cast<std::chrono::microseconds>(
        service->mQueue.TotalWork()) /
      static_cast<std::int64_t>(std::max<std::size_t>(1, each.mSlots));
    snapshot.mPools.push_back(std::move(each));
  }
  return snapshot;
}

} // namespace mangospan::request
