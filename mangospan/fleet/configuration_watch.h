// Follows the operators' records in the store: the configuration document, the
// requested drains and the requested maintenance wave.
//
// The acting process lists the prefix `config/` once and then watches it. A
// configuration, from the store or from a peer, is adopted only if its revision
// is higher than the current one, so the configuration in force never reverts:
//
//   watch.Start(term, queue); // a term is a revision of the store
//   watch.OnResult(call, result, now, queue);
//   push(watch.Current());
#ifndef MANGOSPAN_FLEET_CONFIGURATION_WATCH_H
#define MANGOSPAN_FLEET_CONFIGURATION_WATCH_H

#include <cstdint>
#include <string>
#include <vector>

#include "mangospan/base/time.h"
#include "mangospan/config/document.h"
#include "mangospan/fleet/actions.h"
#include "mangospan/fleet/records.h"
#include "mangospan/fleet/settings.h"
#include "mangospan/fleet/zone_controller.h"

namespace mangospan::fleet {

// Keeps the configuration document in force, and the drains and the wave that
// operators request.
class configuration_watch
{
public:
  configuration_watch(parse_function aParse, const settings& aSettings);

  // Lists the operators' records and then watches them for changes. `aRecent`
  // is a recent revision that the store still knows; the watch begins there.
  void Start(platform::revision aRecent, action_queue& aQueue);

  // Stops watching and forgets the requested drains and wave. The configuration
  // stays.
  void Stop();

  // Takes the result of a store call. Returns true if this component made the
  // call.
  bool OnResult(call_id aCall,
                const store_result& aResult,
                time_point aNow,
                action_queue& aQueue);

  // Repeats a failed call once its retry delay has passed.
  void OnTick(time_point aNow, action_queue& aQueue);

  // Takes a configuration that a peer sent. Returns true if it was newer and
  // valid and is now the current one.
  bool OnPeerConfiguration(std::uint64_t aRevision, const std::string& aText);

  // Returns true if the records have been read since the last `Start`.
  bool IsLoaded() const { return mIsLoaded; }

  // Returns the configuration in force; its revision is 0 if there is none yet.
  const config::revisioned_document& Current() const { return mCurrent; }

  // Returns the JSON patch from the text of revision `PatchBase` to the current
  // text. Empty if there is no patch that is shorter than the text.
  const std::string& Patch() const { return mPatch; }

  // Returns the revision that `Patch` applies to; 0 if there is no patch.
  std::uint64_t PatchBase() const { return mPatchBase; }

  // Returns why the newest document was rejected; empty if it was not.
  const std::string& RejectionReason() const { return mRejectionReason; }

  // Returns the hosts that operators want out of service.
  const std::vector<host_name>& RequestedDrains() const
  {
    return mDrains.mHosts;
  }

  // Returns the maintenance wave that operators request.
  const wave_request& RequestedWave() const { return mWave; }

private:
  void List(action_queue& aQueue);
  void Watch(action_queue& aQueue);
  void OnListed(const result<std::vector<platform::record>>& aResult,
                time_point aNow,
                action_queue& aQueue);
  void OnWatched(const result<platform::change_batch>& aResult,
                 time_point aNow,
                 action_queue& aQueue);
  void Retry(time_point aNow);
  void Apply(const platform::record& aRecord, bool aDeleted);
  bool Adopt(std::uint64_t aRevision, const std::string& aText);

  const parse_function mParse;
  const settings mSettings;
  call_id mCall = 0;
  bool mActive = false;
  bool mCallIsList = false;
  bool mIsLoaded = false;
  platform::revision mWatchRevision = 0;
  time_point mRetryAt;
  std::chrono::milliseconds mRetryDelay;

  config::revisioned_document mCurrent;
  std::string mPatch;
  std::uint64_t mPatchBase = 0;
  std::uint64_t mRejectedRevision = 0;
  std::string mRejectionReason;
  drains_record mDrains;
  wave_request mWave;
};

} // namespace mangospan::fleet

#endif // MANGOSPAN_FLEET_CONFIGURATION_WATCH_H
