// The slot router's record of one endpoint.
#ifndef MANGOSPAN_REQUEST_INTERNAL_ENDPOINT_SLOTS_H
#define MANGOSPAN_REQUEST_INTERNAL_ENDPOINT_SLOTS_H

#include <cstddef>
#include <cstdint>

#include "mangospan/request/internal/endpoint_health.h"
#include "mangospan/request/internal/slot_router.h"
#include "mangospan/view/zone_view.h"

namespace mangospan::request {

// The slots, state and health of one endpoint. Plain data with queries; only
// the router, which keeps its totals consistent with it, changes it.
class endpoint_slots
{
public:
  view::endpoint mEndpoint;
  pool_index mPool = 0;
  std::size_t mShare = 0;     // slots of this entry, from the view
  std::size_t mInFlight = 0;  // slots used by attempts
  std::size_t mAbandoned = 0; // slots held for requests given up on
  std::size_t mArmedTimers = 0;
  // Incremented for each new runner on the host.
  std::uint64_t mRunnerGeneration = 0;
  bool mInView = false;
  bool mBackingOff = false;
  bool mProbeDue = false;
  bool mDrainReported = false;
  endpoint_health mHealth;

  std::size_t OccupiedSlots() const { return mInFlight + mAbandoned; }
  bool Draining() const
  {
    return mEndpoint.mState == view::endpoint_state::kDraining;
  }
  bool AcceptsRequests() const { return mInView && !Draining() && mShare > 0; }
  bool IsDrained() const
  {
    return mInView && Draining() && OccupiedSlots() == 0;
  }
  // Returns whether this entry uses more slots than its share in the view.
  // Draining endpoints do not count: their slots are given up only by the
  // notification that the host is drained.
  bool IsOverShare() const
  {
    return mInView ? !Draining() && OccupiedSlots() > mShare
                   : OccupiedSlots() > 0;
  }

  // Returns the number of slots that can be used, whether free or not.
  std::size_t UsableSlots() const
  {
    const bool counts = AcceptsRequests() && !mHealth.Ejected();
    return counts && mShare > mAbandoned ? mShare - mAbandoned : 0;
  }
  // Returns the number of slots that can be taken now.
  std::size_t FreeSlots() const
  {
    const bool counts = AcceptsRequests() && !mHealth.Ejected() && !mBackingOff;
    return counts && mShare > OccupiedSlots() ? mShare - OccupiedSlots() : 0;
  }
  // Returns whether the next suitable request may be sent here as a probe.
  bool IsReadyToProbe() const
  {
    return AcceptsRequests() && mHealth.Ejected() && mProbeDue &&
           OccupiedSlots() < mShare;
  }
};

} // namespace mangospan::request

#endif // MANGOSPAN_REQUEST_INTERNAL_ENDPOINT_SLOTS_H
