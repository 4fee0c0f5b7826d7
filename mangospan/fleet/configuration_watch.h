// The operators' requests as the store has them: document, drains and wave.
//
// The acting process lists the prefix `config/` once and then holds a watch.
// Only a higher revision is adopted, from the store or from a peer, so the
// configuration in force never reverts:
//
//   watch.Start(term, queue);
//   if (watch.OnResult(call, result, now, queue)) { push(watch.Held()); }
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

class configuration_watch
{
public:
  configuration_watch(parse_function aParse, const settings& aSettings);

  // Lists and watches; `aRecent` is a revision the store knows, older than now.
  void Start(platform::revision aRecent, action_queue& aQueue);
  void Stop();

  // True if the call was this component's.
  bool OnResult(call_id aCall,
                const store_result& aResult,
                time_point aNow,
                action_queue& aQueue);
  void OnTick(time_point aNow, action_queue& aQueue);

  // A configuration from a peer. True if it was newer and is now held.
  bool OnPeer(std::uint64_t aRevision, const std::string& aText);

  // True once the store's requests have been read under this term.
  bool Ready() const { return mReady; }

  const config::revisioned_document& Held() const { return mHeld; }

  // The JSON patch from `PatchBase` to the held text; empty: none.
  const std::string& Patch() const { return mPatch; }
  std::uint64_t PatchBase() const { return mPatchBase; }

  // Why the newest document was refused; empty: it was not.
  const std::string& Refusal() const { return mRefusal; }

  const std::vector<host_name>& Drains() const { return mDrains.mHosts; }
  const wave_request& Wave() const { return mWave; }

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
  bool mListing = false;
  bool mReady = false;
  platform::revision mAfter = 0;
  time_point mRetryAt;
  std::chrono::milliseconds mRetry;

  config::revisioned_document mHeld;
  std::string mPatch;
  std::uint64_t mPatchBase = 0;
  std::uint64_t mRefused = 0;
  std::string mRefusal;
  drains_record mDrains;
  wave_request mWave;
};

} // namespace mangospan::fleet

#endif // MANGOSPAN_FLEET_CONFIGURATION_WATCH_H
