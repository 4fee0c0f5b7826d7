#include "mangospan/request/internal/slot_router.h"

#include <algorithm>
#include <utility>

#include "mangospan/request/internal/endpoint_slots.h"

namespace mangospan::request {

namespace {

// An endpoint is ejected if its bad rate exceeds the lower quartile of the
// others' by this margin: requests that fail at every endpoint are no sign that
// one of them is at fault. A comparison with the mean of the others would eject
// no endpoint while most of a pool is failing.
constexpr double kEjectionMargin = 0.5;
// An endpoint with a higher failure rate is taken only if the other candidate
// is no better.
constexpr double kMaxPreferredFailureRate = 0.25;

bool
IsBetter(const endpoint_slots& aLeft, const endpoint_slots& aRight)
{
  const bool leftFailing =
    aLeft.mHealth.FailureRate() > kMaxPreferredFailureRate;
  const bool rightFailing =
    aRight.mHealth.FailureRate() > kMaxPreferredFailureRate;
  if (leftFailing != rightFailing) {
    return rightFailing;
  }
  return aLeft.OccupiedSlots() < aRight.OccupiedSlots();
}

// Returns the lower quartile. Reorders `aValues`, which must not be empty.
double
LowerQuartile(std::vector<double>& aValues)
{
  const auto at =
    aValues.begin() + static_cast<std::ptrdiff_t>((aValues.size() - 1) / 4);
  std::nth_element(aValues.begin(), at, aValues.end());
  return *at;
}

// Endpoints with a higher failure rate are suspect: about one failure among the
// last eight attempts.
constexpr double kSuspectRate = 0.1;

std::size_t
ShareOf(const view::endpoint& aEndpoint, const view::entry_id& aOwn)
{
  for (const view::slot_share& share : aEndpoint.mShares) {
    if (share.mEntry == aOwn) {
      return share.mSlots;
    }
  }
  return 0;
}

// Returns whether the endpoint may still be running a request whose attempt
// ended in this way.
bool
LeavesSlotOccupied(attempt_end_kind aKind)
{
  return aKind == attempt_end_kind::kUnknown ||
         aKind == attempt_end_kind::kTimedOut;
}

} // namespace

slot_router::slot_router(const pipeline_options& aOptions,
                         std::mt19937_64& aRandom)
  : mOptions(aOptions)
  , mRandom(aRandom)
{
}

slot_router::~slot_router() = default;

pool_index
slot_router::PoolOf(const service_name& aService)
{
  const auto [found, inserted] = mPoolOf.try_emplace(aService, mPools.size());
  if (inserted) {
    mPools.emplace_back();
  }
  return found->second;
}

template<typename Change>
void
slot_router::Update(endpoint_slots& aEndpoint, Change aChange)
{
  pool& members = mPools[aEndpoint.mPool];
  members.mSlots -= aEndpoint.UsableSlots();
  members.mFree -= aEndpoint.FreeSlots();
  members.mProbesDue -= aEndpoint.IsReadyToProbe() ? 1 : 0;
  mEndpointsOverShare -= aEndpoint.IsOverShare() ? 1 : 0;
  aChange();
  members.mSlots += aEndpoint.UsableSlots();
  members.mFree += aEndpoint.FreeSlots();
  members.mProbesDue += aEndpoint.IsReadyToProbe() ? 1 : 0;
  mEndpointsOverShare += aEndpoint.IsOverShare() ? 1 : 0;
}

void
slot_router::Adopt(const view::zone_view& aView,
                   const view::entry_id& aOwn,
                   time_point aNow)
{
  if (aView.mVersion < mVersion) {
    return;
  }
  mVersion = aView.mVersion;
  for (pool& members : mPools) {
    members = pool{};
  }
  mEndpointsOverShare = 0;
  for (auto& [host, endpoint] : mEndpoints) {
    endpoint->mInView = false;
    mEndpointsOverShare += endpoint->IsOverShare() ? 1 : 0;
  }
  for (const view::endpoint& each : aView.mEndpoints) {
    auto& record = mEndpoints[each.mHost];
    if (!record) {
      record = std::make_unique<endpoint_slots>();
    }
    if (!record->mInView) { // a host belongs to one pool; ignore duplicates
      AddToPool(*record, each, aOwn);
    }
  }
  ReinstateExcessEjected(aNow);
  for (auto next = mEndpoints.begin(); next != mEndpoints.end();) {
    endpoint_slots& endpoint = *(next++)->second;
    OnSlotsChanged(endpoint); // may erase it
  }
  UpdateAppliedVersion();
}

void
slot_router::UpdateAppliedVersion()
{
  if (mEndpointsOverShare == 0) {
    mAppliedVersion = mVersion;
  }
}

void
slot_router::AddToPool(endpoint_slots& aEndpoint,
                       const view::endpoint& aFromView,
                       const view::entry_id& aOwn)
{
  const view::endpoint& known = aEndpoint.mEndpoint;
  const bool sameRun = known.mEpoch == aFromView.mEpoch &&
                       known.mAddress == aFromView.mAddress &&
                       known.mService == aFromView.mService;
  const bool sameState = sameRun && known.mState == aFromView.mState;
  if (!sameRun) {
    ++aEndpoint.mRunnerGeneration;
    aEndpoint.mHealth = endpoint_health();
    aEndpoint.mBackingOff = false;
    aEndpoint.mProbeDue = false;
  }
  aEndpoint.mDrainReported = aEndpoint.mDrainReported && sameState;
  // `Adopt` has counted the endpoint as absent from the view.
  mEndpointsOverShare -= aEndpoint.IsOverShare() ? 1 : 0;
  aEndpoint.mEndpoint = aFromView;
  aEndpoint.mEndpoint.mShares.clear();
  aEndpoint.mShare = ShareOf(aFromView, aOwn);
  aEndpoint.mPool = PoolOf(aFromView.mService);
  aEndpoint.mInView = true;
  pool& members = mPools[aEndpoint.mPool];
  members.mSlots += aEndpoint.UsableSlots();
  members.mFree += aEndpoint.FreeSlots();
  members.mProbesDue += aEndpoint.IsReadyToProbe() ? 1 : 0;
  mEndpointsOverShare += aEndpoint.IsOverShare() ? 1 : 0;
  if (aEndpoint.AcceptsRequests()) {
    members.mMembers.push_back(&aEndpoint);
  }
}

std::size_t
slot_router::MaxEjected(const pool& aPool) const
{
  return static_cast<std::size_t>(static_cast<double>(aPool.mMembers.size()) *
                                  mOptions.mMaxEjectedFraction);
}

// Adopting a view can remove healthy endpoints from a pool, so that more than
// the allowed share of the remaining ones is ejected.
void
slot_router::ReinstateExcessEjected(time_point aNow)
{
  for (pool& members : mPools) {
    std::size_t remaining = MaxEjected(members);
    for (endpoint_slots* each : members.mMembers) {
      if (!each->mHealth.Ejected()) {
        continue;
      }
      if (remaining > 0) {
        --remaining;
        continue;
      }
      Update(*each, [&] { each->mHealth.Reinstate(aNow); });
    }
  }
}

std::optional<slot_assignment>
slot_router::Take(pool_index aPool,
                  bool aIdempotent,
                  const endpoint_slots* aAvoid,
                  time_point aNow)
{
  const pool& members = mPools[aPool];
  endpoint_slots* chosen = FindProbeTarget(members, aIdempotent, aNow);
  if (chosen == nullptr && members.mFree > 0) {
    chosen = ChooseLessBusy(members, aAvoid);
  }
  if (chosen == nullptr) {
    return std::nullopt;
  }
  Update(*chosen, [&] {
    ++chosen->mInFlight;
    if (chosen->mProbeDue) {
      chosen->mProbeDue = false;
      chosen->mHealth.OnProbeSent();
    }
  });
  return slot_assignment{ { chosen, chosen->mRunnerGeneration },
                          chosen->mEndpoint.mHost,
                          chosen->mEndpoint.mAddress,
                          chosen->mHealth.FailureRate() > kSuspectRate };
}

endpoint_slots*
slot_router::FindProbeTarget(const pool& aPool,
                             bool aIdempotent,
                             time_point aNow)
{
  if (aPool.mProbesDue == 0) {
    return nullptr;
  }
  for (endpoint_slots* each : aPool.mMembers) {
    if (each->IsReadyToProbe() &&
        (aIdempotent || each->mHealth.MayProbeNonIdempotently(aNow))) {
      return each;
    }
  }
  return nullptr;
}

endpoint_slots*
slot_router::ChooseLessBusy(const pool& aPool, const endpoint_slots* aAvoid)
{
  const std::size_t count = aPool.mMembers.size();
  endpoint_slots* best = nullptr;
  for (int i = 0; i < 2; ++i) {
    endpoint_slots* candidate = aPool.mMembers[mRandom() % count];
    const bool usable = candidate->FreeSlots() > 0 && candidate != aAvoid;
    if (usable && (best == nullptr || IsBetter(*candidate, *best))) {
      best = candidate;
    }
  }
  return best != nullptr ? best : FindAnyFree(aPool, aAvoid);
}

endpoint_slots*
slot_router::FindAnyFree(const pool& aPool, const endpoint_slots* aAvoid)
{
  const std::size_t count = aPool.mMembers.size();
  const std::size_t start = mRandom() % count;
  endpoint_slots* lastResort = nullptr;
  for (std::size_t i = 0; i < count; ++i) {
    endpoint_slots* candidate = aPool.mMembers[(start + i) % count];
    if (candidate->FreeSlots() == 0) {
      continue;
    }
    if (candidate != aAvoid) {
      return candidate;
    }
    lastResort = candidate;
  }
  return lastResort;
}

const std::string&
slot_router::AddressOf(const taken_slot& aSlot) const
{
  return aSlot.mEndpoint->mEndpoint.mAddress;
}

void
slot_router::Release(const taken_slot& aSlot,
                     const slot_end& aEnd,
                     time_point aNow)
{
  endpoint_slots& endpoint = *aSlot.mEndpoint;
  const bool keepsSlot = LeavesSlotOccupied(aEnd.mAttempt.mKind);
  Update(endpoint, [&] {
    --endpoint.mInFlight;
    endpoint.mAbandoned += keepsSlot ? 1 : 0;
  });
  if (keepsSlot) {
    StartTimer(aNow + mOptions.mAbandonedSlotHold,
               timer_kind::kAbandonedSlotHold,
               endpoint);
  }
  // Attempts at an earlier runner on the host say nothing about this one.
  if (aSlot.mRunnerGeneration == endpoint.mRunnerGeneration) {
    UpdateHealth(endpoint, aEnd, aNow);
  }
  OnSlotsChanged(endpoint);
}

void
slot_router::UpdateHealth(endpoint_slots& aEndpoint,
                          const slot_end& aEnd,
                          time_point aNow)
{
  const time_point probeAt = aEndpoint.mHealth.NextProbe();
  Update(aEndpoint, [&] {
    aEndpoint.mHealth.OnAttemptEnded(aEnd.mAttempt, aEnd.mSlow, aNow);
    aEndpoint.mBackingOff = aEndpoint.mHealth.BackoffEnd() > aNow;
  });
  if (aEndpoint.mBackingOff) {
    StartTimer(aEndpoint.mHealth.BackoffEnd(), timer_kind::kBackoff, aEndpoint);
  }
  if (aEndpoint.mHealth.Ejected() && aEndpoint.mHealth.NextProbe() != probeAt) {
    StartTimer(aEndpoint.mHealth.NextProbe(), timer_kind::kProbe, aEndpoint);
  }
  EjectIfFailing(aEndpoint, aNow);
}

void
slot_router::EjectIfFailing(endpoint_slots& aEndpoint, time_point aNow)
{
  if (aEndpoint.mHealth.BadRate() <= kEjectionMargin ||
      aEndpoint.mHealth.Ejected() || !aEndpoint.AcceptsRequests()) {
    return;
  }
  const pool& members = mPools[aEndpoint.mPool];
  std::vector<double> others;
  std::size_t ejected = 0;
  for (const endpoint_slots* each : members.mMembers) {
    if (each->mHealth.Ejected()) {
      ++ejected;
    } else if (each != &aEndpoint) {
      others.push_back(each->mHealth.BadRate());
    }
  }
  if (others.empty() || ejected >= MaxEjected(members) ||
      aEndpoint.mHealth.BadRate() <= LowerQuartile(others) + kEjectionMargin) {
    return;
  }
  Update(aEndpoint, [&] {
    aEndpoint.mHealth.Eject(aNow);
    aEndpoint.mProbeDue = false;
  });
  StartTimer(aEndpoint.mHealth.NextProbe(), timer_kind::kProbe, aEndpoint);
}

// Handles the consequences of any change to an endpoint's slots: reports a
// drained host and erases an endpoint that is gone and unused.
void
slot_router::OnSlotsChanged(endpoint_slots& aEndpoint)
{
  if (aEndpoint.IsDrained() && !aEndpoint.mDrainReported) {
    aEndpoint.mDrainReported = true;
    mNewlyDrained.push_back(
      { aEndpoint.mEndpoint.mHost, aEndpoint.mEndpoint.mEpoch });
  }
  UpdateAppliedVersion();
  const bool unused = !aEndpoint.mInView && aEndpoint.OccupiedSlots() == 0;
  if (unused && aEndpoint.mArmedTimers == 0) {
    mEndpoints.erase(host_name(aEndpoint.mEndpoint.mHost));
  }
}

void
slot_router::StartTimer(time_point aAt,
                        timer_kind aKind,
                        endpoint_slots& aEndpoint)
{
  ++aEndpoint.mArmedTimers;
  mTimers.push({ aAt, aKind, &aEndpoint });
}

bool
slot_router::Advance(time_point aNow)
{
  const bool any = !mTimers.empty() && mTimers.top().mDue <= aNow;
  while (!mTimers.empty() && mTimers.top().mDue <= aNow) {
    const timer due = mTimers.top();
    mTimers.pop();
    OnTimer(due);
    OnSlotsChanged(*due.mEndpoint);
  }
  return any;
}

void
slot_router::OnTimer(const timer& aTimer)
{
  endpoint_slots& endpoint = *aTimer.mEndpoint;
  --endpoint.mArmedTimers;
  Update(endpoint, [&] {
    switch (aTimer.mKind) {
      case timer_kind::kAbandonedSlotHold:
        --endpoint.mAbandoned;
        break;
      case timer_kind::kBackoff:
        endpoint.mBackingOff = endpoint.mHealth.BackoffEnd() > aTimer.mDue;
        break;
      case timer_kind::kProbe:
        endpoint.mProbeDue = endpoint.mHealth.Ejected() &&
                             endpoint.mHealth.NextProbe() <= aTimer.mDue;
        break;
    }
  });
}

std::optional<time_point>
slot_router::NextWake() const
{
  if (mTimers.empty()) {
    return std::nullopt;
  }
  return mTimers.top().mDue;
}

std::vector<drained_host>
slot_router::TakeNewlyDrained()
{
  return std::exchange(mNewlyDrained, {});
}

std::vector<drained_host>
slot_router::DrainedHosts() const
{
  std::vector<drained_host> all;
  for (const auto& [host, endpoint] : mEndpoints) {
    if (endpoint->IsDrained()) {
      all.push_back({ host, endpoint->mEndpoint.mEpoch });
    }
  }
  return all;
}

std::vector<host_name>
slot_router::Ejected() const
{
  std::vector<host_name> all;
  for (const auto& [host, endpoint] : mEndpoints) {
    if (endpoint->mInView && endpoint->mHealth.Ejected()) {
      all.push_back(host);
    }
  }
  return all;
}

std::vector<reserved_slots>
slot_router::ReservedSlots() const
{
  std::vector<reserved_slots> all;
  for (const auto& [host, endpoint] : mEndpoints) {
    const std::size_t share = endpoint->mInView ? endpoint->mShare : 0;
    if (endpoint->mInView || endpoint->OccupiedSlots() > 0) {
      all.push_back({ host,
                      endpoint->mEndpoint.mEpoch,
                      std::max(share, endpoint->OccupiedSlots()) });
    }
  }
  return all;
}

std::vector<endpoint_snapshot>
slot_router::Snapshot() const
{
  std::vector<endpoint_snapshot> all;
  for (const auto& [host, endpoint] : mEndpoints) {
    endpoint_snapshot each;
    each.mHost = host;
    each.mAddress = endpoint->mEndpoint.mAddress;
    each.mService = endpoint->mEndpoint.mService;
    each.mEpoch = endpoint->mEndpoint.mEpoch;
    each.mServing = endpoint->mInView && !endpoint->Draining();
    each.mEjected = endpoint->mHealth.Ejected();
    each.mShare = endpoint->mShare;
    each.mInFlight = endpoint->mInFlight;
    each.mAbandoned = endpoint->mAbandoned;
    all.push_back(std::move(each));
  }
  return all;
}

} // namespace mangospan::request
