// Decides whether this process acts for its zone.
//
// The holder of the lease behind `zones/<z>/leader` acts, for as long as it can
// prove by its own clock that the store has not ended the lease:
//
//   leadership.OnTick(now, queue);
//   if (leadership.Acting(now)) { ... }
#ifndef MANGOSPAN_FLEET_LEADERSHIP_H
#define MANGOSPAN_FLEET_LEADERSHIP_H

#include <cstdint>
#include <random>
#include <string>

#include "mangospan/base/time.h"
#include "mangospan/fleet/actions.h"
#include "mangospan/fleet/settings.h"

namespace mangospan::fleet {

class leadership
{
public:
  leadership(zone_name aZone,
             process_identity aSelf,
             const settings& aSettings,
             std::uint64_t aSeed);

  // True if the lease certainly holds at `aNow`.
  bool Acting(time_point aNow) const;

  // The term of the lease held; 0 without one.
  std::uint64_t Term() const { return mTerm; }

  // The highest term known of, the own one included.
  std::uint64_t HighestTerm() const { return mHighest; }

  // Renews, takes or gives up the lease as the time demands.
  void OnTick(time_point aNow, action_queue& aQueue);

  // True if the call was this component's.
  bool OnResult(call_id aCall,
                const store_result& aResult,
                time_point aNow,
                action_queue& aQueue);

  // The acting process of the zone was heard.
  void OnHeartbeat(std::uint64_t aTerm, time_point aNow);

  // Another holder's term was found in the store: stops acting.
  void OnSuperseded(time_point aNow);

  // Gives the lease back and tries for it no more.
  void Retire(action_queue& aQueue);

private:
  enum class step
  {
    kStandby,
    kGranting,
    kClaiming,
    kReadingBack, // the answer to the claim was lost
    kHolding,
  };

  bool Expire(time_point aNow);
  void Grant(time_point aNow, action_queue& aQueue);
  void Claim(action_queue& aQueue);
  void Renew(time_point aNow, action_queue& aQueue);
  void Lose(time_point aNow);
  void Win(std::uint64_t aTerm);
  void WaitToTry(time_point aNow, std::chrono::milliseconds aAtLeast);
  std::chrono::milliseconds Jitter();
  void OnGranted(const store_result& aResult,
                 time_point aNow,
                 action_queue& aQueue);
  void OnClaimed(const store_result& aResult,
                 time_point aNow,
                 action_queue& aQueue);
  void OnReadBack(const store_result& aResult,
                  time_point aNow,
                  action_queue& aQueue);
  void OnRenewed(const store_result& aResult, time_point aNow);

  const zone_name mZone;
  const process_identity mSelf;
  const settings mSettings;
  std::minstd_rand mRandom;

  step mStep = step::kStandby;
  bool mRetired = false;
  bool mStarted = false;
  std::uint64_t mTerm = 0;
  std::uint64_t mHighest = 0;
  std::uint64_t mSequence = 0;
  platform::lease_id mLease;
  std::string mClaim; // the value of the leader key as we write it
  time_point mSentAt; // the grant or renewal under way
  time_point mValidUntil;
  time_point mRenewAt;
  time_point mTryAt;
  time_point mReadAt;
  call_id mCall = 0;
};

} // namespace mangospan::fleet

#endif // MANGOSPAN_FLEET_LEADERSHIP_H
