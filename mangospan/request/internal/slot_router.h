// Chooses the endpoint for a request and counts the slots in use.
//
// The view gives this entry a share of whole slots at each endpoint. The router
// never uses more than its share, takes the less busy of two random endpoints,
// ejects endpoints that fail more than the others do, and probes the ejected:
//
//   slot_router router(options, random);
//   router.Adopt(view, ownId, now);
//   const pool_index pool = router.PoolOf(service);
//   if (auto placed = router.Take(pool, idempotent, nullptr, now)) {
//     ... send to placed->mAddress ...
//     router.Release(placed->mSlot, { end, slow }, now);
//   }
//
// The slot of a request that was given up on stays occupied for a while, since
// the endpoint may still be running the request.
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

// Identifies the endpoints of one service within a slot_router.
using pool_index = std::size_t;

// The router's record of one endpoint. A pointer to it stays valid while any of
// its slots is taken.
class endpoint_slots;

// A slot in use. `mRunnerGeneration` distinguishes successive runners on the
// same host.
struct taken_slot
{
  endpoint_slots* mEndpoint = nullptr;
  std::uint64_t mRunnerGeneration = 0;
};

// The result of the use of a slot.
struct slot_end
{
  attempt_end mAttempt;
  bool mSlow = false; // took longer than nearly all answers of the class
};

// The slot and endpoint chosen for a request.
struct slot_assignment
{
  taken_slot mSlot;
  host_name mHost;
  std::string mAddress;
  bool mSuspect = false; // the endpoint has failed recently
};

// Routes requests to the endpoints of all services. `aRandom` must outlive the
// router.
class slot_router
{
public:
  slot_router(const pipeline_options& aOptions, std::mt19937_64& aRandom);
  ~slot_router();
  slot_router(const slot_router&) = delete;
  slot_router& operator=(const slot_router&) = delete;

  // Adopts a view unless it is older than the current one.
  void Adopt(const view::zone_view& aView,
             const view::entry_id& aOwn,
             time_point aNow);

  // Returns the pool of the service; creates an empty one if there is none.
  pool_index PoolOf(const service_name& aService);

  // Takes one slot, if possible not at `aAvoid`, which may be null. Returns
  // std::nullopt if no slot is free. Only idempotent requests may serve as a
  // probe soon after an ejection.
  std::optional<slot_assignment> Take(pool_index aPool,
                                      bool aIdempotent,
                                      const endpoint_slots* aAvoid,
                                      time_point aNow);

  // Returns the "ip:port" of the endpoint of a taken slot.
  const std::string& AddressOf(const taken_slot& aSlot) const;

  // Gives a taken slot back, which invalidates `aSlot`.
  void Release(const taken_slot& aSlot, const slot_end& aEnd, time_point aNow);

  // Runs the timers that are due: frees the slots of abandoned requests, ends
  // back-offs and makes probes due. Returns true if any timer was due.
  bool Advance(time_point aNow);
  // Returns when `Advance` is due next; empty if no timer is armed.
  std::optional<time_point> NextWake() const;

  // Returns the number of slots that can be used, whether free or not.
  std::size_t UsableSlots(pool_index aPool) const
  {
    return mPools[aPool].mSlots;
  }
  // Returns the number of free slots.
  std::size_t FreeSlots(pool_index aPool) const { return mPools[aPool].mFree; }

  // Returns the draining hosts that became drained since the last call.
  std::vector<drained_host> TakeNewlyDrained();

  // Returns all drained hosts of the view.
  std::vector<drained_host> DrainedHosts() const;
  // Returns the hosts of the view whose endpoint is ejected.
  std::vector<host_name> Ejected() const;
  // Returns the slots that this entry may be using at each host: its share, or
  // the occupied slots if that is more.
  std::vector<reserved_slots> ReservedSlots() const;
  // Returns the version of the current view.
  view::version Version() const { return mVersion; }
  // Returns the newest version whose shares this entry does not exceed.
  view::version AppliedVersion() const { return mAppliedVersion; }
  std::vector<endpoint_snapshot> Snapshot() const;

private:
  struct pool
  {
    // Endpoints of the pool that accept requests.
    std::vector<endpoint_slots*> mMembers;
    std::size_t mSlots = 0;
    std::size_t mFree = 0;
    std::size_t mProbesDue = 0;
  };

  enum class timer_kind
  {
    kAbandonedSlotHold,
    kBackoff,
    kProbe,
  };

  struct timer
  {
    time_point mDue;
    timer_kind mKind = timer_kind::kAbandonedSlotHold;
    endpoint_slots* mEndpoint = nullptr;

    friend bool operator>(const timer& aLeft, const timer& aRight)
    {
      return aLeft.mDue > aRight.mDue;
    }
  };

  // Applies `aChange` to the endpoint and updates the totals accordingly.
  template<typename Change>
  void Update(endpoint_slots& aEndpoint, Change aChange);

  void AddToPool(endpoint_slots& aEndpoint,
                 const view::endpoint& aFromView,
                 const view::entry_id& aOwn);
  void ReinstateExcessEjected(time_point aNow);
  std::size_t MaxEjected(const pool& aPool) const;
  void UpdateHealth(endpoint_slots& aEndpoint,
                    const slot_end& aEnd,
                    time_point aNow);
  void EjectIfFailing(endpoint_slots& aEndpoint, time_point aNow);
  void OnSlotsChanged(endpoint_slots& aEndpoint);
  void UpdateAppliedVersion();
  void StartTimer(time_point aAt, timer_kind aKind, endpoint_slots& aEndpoint);
  void OnTimer(const timer& aTimer);
  endpoint_slots* FindProbeTarget(const pool& aPool,
                                  bool aIdempotent,
                                  time_point aNow);
  endpoint_slots* ChooseLessBusy(const pool& aPool,
                                 const endpoint_slots* aAvoid);
  endpoint_slots* FindAnyFree(const pool& aPool, const endpoint_slots* aAvoid);

  pipeline_options mOptions;
  std::mt19937_64& mRandom;
  view::version mVersion;
  view::version mAppliedVersion;
  std::map<host_name, std::unique_ptr<endpoint_slots>> mEndpoints;
  std::unordered_map<service_name, pool_index> mPoolOf;
  std::deque<pool> mPools;
  std::priority_queue<timer, std::vector<timer>, std::greater<>> mTimers;
  std::vector<drained_host> mNewlyDrained;
  std::size_t mEndpointsOverShare = 0;
};

} // namespace mangospan::request

#endif // MANGOSPAN_REQUEST_INTERNAL_SLOT_ROUTER_H
