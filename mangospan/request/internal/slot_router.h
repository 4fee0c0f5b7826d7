// Chooses the endpoint for a request and counts the slots in use.
//
// The view gives this entry a share of whole slots at each endpoint. The
// router never uses more, takes the less busy of two random endpoints, stops
// using endpoints that fail more than the others do, and probes them:
//
//   slot_router router(options, random);
//   router.Adopt(view, ownId, now);
//   const pool_index pool = router.PoolOf(service);
//   if (auto placed = router.Take(pool, idempotent, nullptr, now)) {
//     ... send to placed->mAddress ...
//     router.Release(placed->mSlot, { end, slow }, now);
//   }
//
// A slot whose request was given up on stays occupied for a while, since the
// endpoint may still be running it.
#ifndef MANGOSPAN_REQUEST_INTERNAL_SLOT_ROUTER_H
#define MANGOSPAN_REQUEST_INTERNAL_SLOT_ROUTER_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "mangospan/base/identity.h"
#include "mangospan/base/time.h"
#include "mangospan/request/internal/endpoint_health.h"
#include "mangospan/request/pipeline.h"
#include "mangospan/view/zone_view.h"

namespace mangospan::request {

// The endpoints of one service.
using pool_index = std::size_t;

// One endpoint's slots; the router's own record, which stays where it is while
// any of its slots is taken.
class endpoint_slots;

// One slot that was taken. `mRun` tells apart the runners that a host has had.
struct taken_slot
{
  endpoint_slots* mEndpoint = nullptr;
  std::uint64_t mRun = 0;
};

// How a slot's use ended.
struct slot_end
{
  attempt_end mAttempt;
  bool mSlow = false; // longer than nearly all answers of its class
};

struct placement
{
  taken_slot mSlot;
  host_name mHost;
  std::string mAddress;
  bool mDoubtful = false; // the endpoint has failed lately
};

class slot_router
{
public:
  slot_router(const pipeline_options& aOptions, std::mt19937_64& aRandom);
  ~slot_router();
  slot_router(const slot_router&) = delete;
  slot_router& operator=(const slot_router&) = delete;

  // Adopts a view unless it is older than the held one.
  void Adopt(const view::zone_view& aView,
             const view::entry_id& aOwn,
             time_point aNow);

  pool_index PoolOf(const service_name& aService);

  // Takes one slot, if possible not at `aAvoid`. Empty if none is free.
  std::optional<placement> Take(pool_index aPool,
                                bool aIdempotent,
                                const endpoint_slots* aAvoid,
                                time_point aNow);

  const std::string& AddressOf(const taken_slot& aSlot) const;

  // Gives a taken slot back; the record may be gone then.
  void Release(const taken_slot& aSlot, const slot_end& aEnd, time_point aNow);

  // Ends held slots, back-offs and the wait for probes; true if any was due.
  bool Advance(time_point aNow);
  std::optional<time_point> NextWake() const;

  // Slots that can be used, whether free or not, and those that are free.
  std::size_t Slots(pool_index aPool) const { return mPools[aPool].mSlots; }
  std::size_t Free(pool_index aPool) const { return mPools[aPool].mFree; }

  // Draining hosts that were emptied since the last call.
  std::vector<emptied> TakeEmptied();

  std::vector<emptied> Emptied() const;
  std::vector<host_name> Ejected() const;
  std::vector<held_slots> Shares() const;
  view::version Version() const { return mVersion; }
  view::version AppliedVersion() const { return mApplied; }
  std::vector<endpoint_snapshot> Snapshot() const;

private:
  struct pool
  {
    std::vector<endpoint_slots*> mMembers; // that may get work
    std::size_t mSlots = 0;
    std::size_t mFree = 0;
    std::size_t mProbesDue = 0;
  };

  enum class timer_kind
  {
    kHeldSlot,
    kBackoff,
    kProbe,
  };

  struct timer
  {
    time_point mAt;
    timer_kind mKind = timer_kind::kHeldSlot;
    endpoint_slots* mEndpoint = nullptr;

    friend bool operator>(const timer& aLeft, const timer& aRight)
    {
      return aLeft.mAt > aRight.mAt;
    }
  };

  // Applies `aChange` to the endpoint and keeps the totals in step.
  template<typename Change>
  void Update(endpoint_slots& aEndpoint, Change aChange);

  void Join(endpoint_slots& aEndpoint,
            const view::endpoint& aFromView,
            const view::entry_id& aOwn);
  void KeepEjectedWithinFloor(time_point aNow);
  std::size_t MayBeEjected(const pool& aPool) const;
  void Judge(endpoint_slots& aEndpoint, const slot_end& aEnd, time_point aNow);
  void EjectIfFailing(endpoint_slots& aEndpoint, time_point aNow);
  void After(endpoint_slots& aEndpoint);
  void NoteApplied();
  void Arm(time_point aAt, timer_kind aKind, endpoint_slots& aEndpoint);
  void Fire(const timer& aTimer);
  endpoint_slots* Probe(const pool& aPool, bool aIdempotent, time_point aNow);
  endpoint_slots* Choose(const pool& aPool, const endpoint_slots* aAvoid);
  endpoint_slots* AnyFree(const pool& aPool, const endpoint_slots* aAvoid);

  pipeline_options mOptions;
  std::mt19937_64& mRandom;
  view::version mVersion;
  view::version mApplied;
  std::map<host_name, std::unique_ptr<endpoint_slots>> mEndpoints;
  std::unordered_map<service_name, pool_index> mPoolOf;
  std::deque<pool> mPools;
  std::priority_queue<timer, std::vector<timer>, std::greater<>> mTimers;
  std::vector<emptied> mNewlyEmptied;
  std::size_t mOver = 0; // endpoints used over their share in the view
};

} // namespace mangospan::request

#endif // MANGOSPAN_REQUEST_INTERNAL_SLOT_ROUTER_H
