#include "mangospan/request/internal/slot_router.h"

#include <algorithm>
#include <utility>

#include "mangospan/request/internal/endpoint_slots.h"

namespace mangospan::request {

namespace {

// An endpoint is failing if its failures exceed those of the better of the
// others by this rate: requests that fail everywhere say nothing about one
// endpoint. The mean of the others would hide that most of a pool is failing.
constexpr double kFailingBeyondOthers = 0.5;
// Above it an endpoint is only taken if the other choice is no better.
constexpr double kSuspectRate = 0.25;

bool
IsBetter(const endpoint_slots& aLeft, const endpoint_slots& aRight)
{
  const bool leftSuspect = aLeft.mHealth.FailureRate() > kSuspectRate;
  const bool rightSuspect = aRight.mHealth.FailureRate() > kSuspectRate;
  if (leftSuspect != rightSuspect) {
    return rightSuspect;
  }
  return aLeft.Occupied() < aRight.Occupied();
}

// `aValues` is not empty; it is reordered.
double
LowerQuartile(std::vector<double>& aValues)
{
  const auto at =
    aValues.begin() + static_cast<std::ptrdiff_t>((aValues.size() - 1) / 4);
  std::nth_element(aValues.begin(), at, aValues.end());
  return *at;
}

// About one failure among the last eight attempts.
constexpr double kDoubtfulRate = 0.1;

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

// Whether the endpoint may still be running a request that ended so.
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
  const auto [found, made] = mPoolOf.try_emplace(aService, mPools.size());
  if (made) {
    mPools.emplace_back();
  }
  return found->second;
}

template<typename Change>
void
slot_router::Update(endpoint_slots& aEndpoint, Change aChange)
{
  pool& members = mPools[aEndpoint.mPool];
  members.mSlots -= aEndpoint.Slots();
  members.mFree -= aEndpoint.Free();
  members.mProbesDue -= aEndpoint.ProbeWaits() ? 1 : 0;
  mOver -= aEndpoint.Over() ? 1 : 0;
  aChange();
  members.mSlots += aEndpoint.Slots();
  members.mFree += aEndpoint.Free();
  members.mProbesDue += aEndpoint.ProbeWaits() ? 1 : 0;
  mOver += aEndpoint.Over() ? 1 : 0;
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
  mOver = 0;
  for (auto& [host, endpoint] : mEndpoints) {
    endpoint->mInView = false;
    mOver += endpoint->Over() ? 1 : 0;
  }
  for (const view::endpoint& each : aView.mEndpoints) {
    auto& held = mEndpoints[each.mHost];
    if (!held) {
      held = std::make_unique<endpoint_slots>();
    }
    if (!held->mInView) { // a host is in one pool; a second record is wrong
      Join(*held, each, aOwn);
    }
  }
  KeepEjectedWithinFloor(aNow);
  for (auto next = mEndpoints.begin(); next != mEndpoints.end();) {
    endpoint_slots& endpoint = *(next++)->second;
    After(endpoint); // may erase it
  }
  NoteApplied();
}

void
slot_router::NoteApplied()
{
  if (mOver == 0) {
    mApplied = mVersion;
  }
}

void
slot_router::Join(endpoint_slots& aEndpoint,
                  const view::endpoint& aFromView,
                  const view::entry_id& aOwn)
{
  const view::endpoint& known = aEndpoint.mEndpoint;
  const bool sameRun = known.mEpoch == aFromView.mEpoch &&
                       known.mAddress == aFromView.mAddress &&
                       known.mService == aFromView.mService;
  const bool sameState = sameRun && known.mState == aFromView.mState;
  if (!sameRun) {
    ++aEndpoint.mRun;
    aEndpoint.mHealth = endpoint_health();
    aEndpoint.mBackingOff = false;
    aEndpoint.mProbeDue = false;
  }
  aEndpoint.mSaidEmptied = aEndpoint.mSaidEmptied && sameState;
  mOver -= aEndpoint.Over() ? 1 : 0; // counted as absent
  aEndpoint.mEndpoint = aFromView;
  aEndpoint.mEndpoint.mShares.clear();
  aEndpoint.mShare = ShareOf(aFromView, aOwn);
  aEndpoint.mPool = PoolOf(aFromView.mService);
  aEndpoint.mInView = true;
  pool& members = mPools[aEndpoint.mPool];
  members.mSlots += aEndpoint.Slots();
  members.mFree += aEndpoint.Free();
  members.mProbesDue += aEndpoint.ProbeWaits() ? 1 : 0;
  mOver += aEndpoint.Over() ? 1 : 0;
  if (aEndpoint.MayGetWork()) {
    members.mMembers.push_back(&aEndpoint);
  }
}

std::size_t
slot_router::MayBeEjected(const pool& aPool) const
{
  return static_cast<std::size_t>(static_cast<double>(aPool.mMembers.size()) *
                                  mOptions.mMaxEjected);
}

// A view can take the good endpoints away from a pool.
void
slot_router::KeepEjectedWithinFloor(time_point aNow)
{
  for (pool& members : mPools) {
    std::size_t left = MayBeEjected(members);
    for (endpoint_slots* each : members.mMembers) {
      if (!each->mHealth.Ejected()) {
        continue;
      }
      if (left > 0) {
        --left;
        continue;
      }
      Update(*each, [&] { each->mHealth.Reinstate(aNow); });
    }
  }
}

std::optional<placement>
slot_router::Take(pool_index aPool,
                  bool aIdempotent,
                  const endpoint_slots* aAvoid,
                  time_point aNow)
{
  const pool& members = mPools[aPool];
  endpoint_slots* chosen = Probe(members, aIdempotent, aNow);
  if (chosen == nullptr && members.mFree > 0) {
    chosen = Choose(members, aAvoid);
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
  return placement{ { chosen, chosen->mRun },
                    chosen->mEndpoint.mHost,
                    chosen->mEndpoint.mAddress,
                    chosen->mHealth.FailureRate() > kDoubtfulRate };
}

endpoint_slots*
slot_router::Probe(const pool& aPool, bool aIdempotent, time_point aNow)
{
  if (aPool.mProbesDue == 0) {
    return nullptr;
  }
  for (endpoint_slots* each : aPool.mMembers) {
    if (each->ProbeWaits() &&
        (aIdempotent || each->mHealth.AnyRequestMayProbe(aNow))) {
      return each;
    }
  }
  return nullptr;
}

endpoint_slots*
slot_router::Choose(const pool& aPool, const endpoint_slots* aAvoid)
{
  const std::size_t count = aPool.mMembers.size();
  endpoint_slots* best = nullptr;
  for (int i = 0; i < 2; ++i) {
    endpoint_slots* candidate = aPool.mMembers[mRandom() % count];
    const bool usable = candidate->Free() > 0 && candidate != aAvoid;
    if (usable && (best == nullptr || IsBetter(*candidate, *best))) {
      best = candidate;
    }
  }
  return best != nullptr ? best : AnyFree(aPool, aAvoid);
}

endpoint_slots*
slot_router::AnyFree(const pool& aPool, const endpoint_slots* aAvoid)
{
  const std::size_t count = aPool.mMembers.size();
  const std::size_t start = mRandom() % count;
  endpoint_slots* lastResort = nullptr;
  for (std::size_t i = 0; i < count; ++i) {
    endpoint_slots* candidate = aPool.mMembers[(start + i) % count];
    if (candidate->Free() == 0) {
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
  const bool held = LeavesSlotOccupied(aEnd.mAttempt.mKind);
  Update(endpoint, [&] {
    --endpoint.mInFlight;
    endpoint.mAbandoned += held ? 1 : 0;
  });
  if (held) {
    Arm(aNow + mOptions.mAbandonedSlotHold, timer_kind::kHeldSlot, endpoint);
  }
  if (aSlot.mRun == endpoint.mRun) { // says nothing about a later runner
    Judge(endpoint, aEnd, aNow);
  }
  After(endpoint);
}

void
slot_router::Judge(endpoint_slots& aEndpoint,
                   const slot_end& aEnd,
                   time_point aNow)
{
  const time_point probeAt = aEndpoint.mHealth.ProbeAt();
  Update(aEndpoint, [&] {
    aEndpoint.mHealth.OnEnd(aEnd.mAttempt, aEnd.mSlow, aNow);
    aEndpoint.mBackingOff = aEndpoint.mHealth.BackoffEnd() > aNow;
  });
  if (aEndpoint.mBackingOff) {
    Arm(aEndpoint.mHealth.BackoffEnd(), timer_kind::kBackoff, aEndpoint);
  }
  if (aEndpoint.mHealth.Ejected() && aEndpoint.mHealth.ProbeAt() != probeAt) {
    Arm(aEndpoint.mHealth.ProbeAt(), timer_kind::kProbe, aEndpoint);
  }
  EjectIfFailing(aEndpoint, aNow);
}

void
slot_router::EjectIfFailing(endpoint_slots& aEndpoint, time_point aNow)
{
  if (aEndpoint.mHealth.BadRate() <= kFailingBeyondOthers ||
      aEndpoint.mHealth.Ejected() || !aEndpoint.MayGetWork()) {
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
  if (others.empty() || ejected >= MayBeEjected(members) ||
      aEndpoint.mHealth.BadRate() <=
        LowerQuartile(others) + kFailingBeyondOthers) {
    return;
  }
  Update(aEndpoint, [&] {
    aEndpoint.mHealth.Eject(aNow);
    aEndpoint.mProbeDue = false;
  });
  Arm(aEndpoint.mHealth.ProbeAt(), timer_kind::kProbe, aEndpoint);
}

// What follows from any change of an endpoint's slots.
void
slot_router::After(endpoint_slots& aEndpoint)
{
  if (aEndpoint.IsEmptied() && !aEndpoint.mSaidEmptied) {
    aEndpoint.mSaidEmptied = true;
    mNewlyEmptied.push_back(
      { aEndpoint.mEndpoint.mHost, aEndpoint.mEndpoint.mEpoch });
  }
  NoteApplied();
  const bool unused = !aEndpoint.mInView && aEndpoint.Occupied() == 0;
  if (unused && aEndpoint.mTimers == 0) {
    mEndpoints.erase(host_name(aEndpoint.mEndpoint.mHost));
  }
}

void
slot_router::Arm(time_point aAt, timer_kind aKind, endpoint_slots& aEndpoint)
{
  ++aEndpoint.mTimers;
  mTimers.push({ aAt, aKind, &aEndpoint });
}

bool
slot_router::Advance(time_point aNow)
{
  const bool any = !mTimers.empty() && mTimers.top().mAt <= aNow;
  while (!mTimers.empty() && mTimers.top().mAt <= aNow) {
    const timer due = mTimers.top();
    mTimers.pop();
    Fire(due);
    After(*due.mEndpoint);
  }
  return any;
}

void
slot_router::Fire(const timer& aTimer)
{
  endpoint_slots& endpoint = *aTimer.mEndpoint;
  --endpoint.mTimers;
  Update(endpoint, [&] {
    switch (aTimer.mKind) {
      case timer_kind::kHeldSlot:
        --endpoint.mAbandoned;
        break;
      case timer_kind::kBackoff:
        endpoint.mBackingOff = endpoint.mHealth.BackoffEnd() > aTimer.mAt;
        break;
      case timer_kind::kProbe:
        endpoint.mProbeDue = endpoint.mHealth.Ejected() &&
                             endpoint.mHealth.ProbeAt() <= aTimer.mAt;
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
  return mTimers.top().mAt;
}

std::vector<emptied>
slot_router::TakeEmptied()
{
  return std::exchange(mNewlyEmptied, {});
}

std::vector<emptied>
slot_router::Emptied() const
{
  std::vector<emptied> all;
  for (const auto& [host, endpoint] : mEndpoints) {
    if (endpoint->IsEmptied()) {
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

std::vector<held_slots>
slot_router::Shares() const
{
  std::vector<held_slots> all;
  for (const auto& [host, endpoint] : mEndpoints) {
    const std::size_t share = endpoint->mInView ? endpoint->mShare : 0;
    if (endpoint->mInView || endpoint->Occupied() > 0) {
      all.push_back({ host,
                      endpoint->mEndpoint.mEpoch,
                      std::max(share, endpoint->Occupied()) });
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
