// Elects the process that acts for a zone.
//
// A process acts while it holds the lease that the key `zones/<zone>/leader` is
// attached to. It measures the lease time by its own clock and stops acting
// before the store can have ended the lease:
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

// Takes part in the election of one zone on behalf of this process.
class leadership
{
public:
  // `aSeed` seeds the jitter between attempts.
  leadership(zone_name aZone,
             process_identity aSelf,
             const settings& aSettings,
             std::uint64_t aSeed);

  // Returns true if this process holds the lease and the store cannot have
  // ended it by `aNow`.
  bool Acting(time_point aNow) const;

  // Returns the term of this process: the store's revision at which it wrote
  // the leader key. 0 if it does not hold the key.
  std::uint64_t Term() const { return mTerm; }

  // Returns the highest term that this process has held or heard of.
  std::uint64_t HighestTerm() const { return mHighestTerm; }

  // Tries to acquire the lease, renews it or gives it up, whichever is due.
  void OnTick(time_point aNow, action_queue& aQueue);

  // Takes the result of a store call. Returns true if this component made the
  // call.
  bool OnResult(call_id aCall,
                const store_result& aResult,
                time_point aNow,
                action_queue& aQueue);

  // Takes a heartbeat of the process that acts for the zone under `aTerm`.
  // Delays the next attempt to acquire the lease. Stops acting if `aTerm` is
  // higher than this process's term.
  void OnHeartbeat(std::uint64_t aTerm, time_point aNow);

  // Stops acting, because the term of a later holder was found in the store.
  void OnSuperseded(time_point aNow);

  // Revokes the lease, if held, and makes no further attempt to acquire it.
  void Retire(action_queue& aQueue);

private:
  enum class state
  {
    kStandby,
    kGranting,
    kClaiming,
    kReadingBack, // reads the key because the answer to the claim was lost
    kHolding,
  };

  // Gives up the lease if it may have ended by `aNow`; returns true if it did
  // so.
  bool ExpireIfDue(time_point aNow);
  void Grant(time_point aNow, action_queue& aQueue);
  void Claim(action_queue& aQueue);
  void Renew(time_point aNow, action_queue& aQueue);
  void BecomeStandby(time_point aNow);
  void BecomeLeader(std::uint64_t aTerm);
  void ScheduleAttempt(time_point aNow, std::chrono::milliseconds aMinDelay);
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

  state mState = state::kStandby;
  bool mRetired = false;
  bool mStarted = false;
  std::uint64_t mTerm = 0;
  std::uint64_t mHighestTerm = 0;
  std::uint64_t mWriteSequence = 0;
  platform::lease_id mLease;
  std::string mClaimValue; // the value that the claim writes to the leader key
  time_point mSentAt;      // when the last grant or renewal was sent
  time_point mValidUntil;
  time_point mRenewAt;
  time_point mNextAttemptAt;
  time_point mNextReadAt;
  call_id mCall = 0;
};

} // namespace mangospan::fleet

#endif // MANGOSPAN_FLEET_LEADERSHIP_H
