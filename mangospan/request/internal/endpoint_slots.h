// The slot router's record of one endpoint.
#ifndef MANGOSPAN_REQUEST_INTERNAL_ENDPOINT_SLOTS_H
#define MANGOSPAN_REQUEST_INTERNAL_ENDPOINT_SLOTS_H

#include <cstddef>
#include <cstdint>

#include "mangospan/request/internal/endpoint_health.h"
#include "mangospan/request/internal/slot_router.h"
#include "mangospan/view/zone_view.h"

namespace mangospan::request {

// Plain data with the questions the router asks of it; only the router, which
// keeps its totals in step, changes it.
class endpoint_slots
{
public:
  view::endpoint mEndpoint;
  pool_index mPool = 0;
  std::size_t mShare = 0;
  std::size_t mInFlight = 0;
  std::size_t mAbandoned = 0;
  std::size_t mTimers = 0; // armed
  std::uint64_t mRun = 0;  // grows with each new runner on the host
  bool mInView = false;
  bool mBackingOff = false;
  bool mProbeDue = false;
  bool mSaidEmptied = false;
  endpoint_health mHealth;

  std::size_t Occupied() const { return mInFlight + mAbandoned; }
  bool Draining() const
  {
    return mEndpoint.mState == view::endpoint_state::kDraining;
  }
  bool MayGetWork() const { return mInView && !Draining() && mShare > 0; }
  bool IsEmptied() const { return mInView && Draining() && Occupied() == 0; }
  // Whether the view says that this entry has fewer slots than it uses. Those
  // at a draining endpoint are given up by `emptied` alone.
  bool Over() const
  {
    return mInView ? !Draining() && Occupied() > mShare : Occupied() > 0;
  }

  std::size_t Slots() const
  {
    const bool counts = MayGetWork() && !mHealth.Ejected();
    return counts && mShare > mAbandoned ? mShare - mAbandoned : 0;
  }
  std::size_t Free() const
  {
    const bool counts = MayGetWork() && !mHealth.Ejected() && !mBackingOff;
    return counts && mShare > Occupied() ? mShare - Occupied() : 0;
  }
  bool ProbeWaits() const
  {
    return MayGetWork() && mHealth.Ejected() && mProbeDue &&
           Occupied() < mShare;
  }
};

} // namespace mangospan::request

#endif // MANGOSPAN_REQUEST_INTERNAL_ENDPOINT_SLOTS_H
