// Computes the next phase of each host as it is adopted, drained, moved or
// rebooted.
//
// `NextStep` has no state: it computes the next record of a host from the
// current one and the inputs. Its only side effect is to use write ids.
//
//   host_record next = NextStep(host, current, inputs, now, ids);
//   if (!(next == current)) { write(next); }
#ifndef MANGOSPAN_FLEET_HOST_STEPS_H
#define MANGOSPAN_FLEET_HOST_STEPS_H

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "mangospan/base/time.h"
#include "mangospan/config/document.h"
#include "mangospan/fleet/records.h"
#include "mangospan/fleet/settings.h"
#include "mangospan/fleet/write_ids.h"
#include "mangospan/platform/hosts.h"

namespace mangospan::fleet {

// A planned removal of a serving host from service.
struct host_intent
{
  host_purpose mPurpose = host_purpose::kNone;
  pool_name mTarget; // the new pool, for a move
  std::string mWave; // a maintenance wave's id; empty if it is periodic
};
using host_intents = std::map<host_name, host_intent>;

// The progress of the host action (a call of `platform::hosts::Act`) that a
// host's phase requires.
struct host_action_progress
{
  bool mStarted = false;
  bool mDone = false;
  bool mFailed = false;
  time_point mRequestedAt; // when this process first requested the action
};

// The inputs of `NextStep` besides the host's record.
struct step_inputs
{
  const config::document* mDocument = nullptr;
  const host_intents* mIntents = nullptr;
  const std::set<host_name>* mOperatorDrains = nullptr;
  std::int64_t mUtcSeconds = 0; // seconds since 1970 (UTC)
  // The id of the wave that operators request; empty if there is none.
  std::string mRequestedWaveId;

  // Returns true if the store holds the permit to take the host out of service.
  std::function<bool(const host_name&, const host_record&)> mHasPermit;
  // Returns true if every registered entry has reported that it has nothing in
  // flight at the host.
  std::function<bool(const host_name&, const host_record&)> mIsDrained;
  // Returns the progress of the host action that the host's phase requires.
  std::function<host_action_progress(const host_name&)> mHostActionProgress;
};

// Returns the pool that serves `aService`, or null if there is none.
const config::pool*
FindPoolOfService(const config::document& aDocument,
                  const service_name& aService);

// Returns the pool named `aName`, or null if there is none.
const config::pool*
FindPool(const config::document& aDocument, const pool_name& aName);

// Returns the spare pool, or null if there is none.
const config::pool*
FindSparePool(const config::document& aDocument);

// Returns true if the pool's zones and racks include the host's. An empty list
// includes all.
bool
Admits(const config::pool& aPool, const platform::host_info& aHost);

// Returns true if phase `aPhase` requires a host action.
bool
RequiresHostAction(host_phase aPhase);

// Returns the first record of a host that is in no pool yet. The host joins the
// pool of the service that it runs, else the spare pool. If neither admits the
// host, `mPool` is empty. `aUtcSeconds`, in seconds since 1970, becomes the
// time of its last maintenance.
host_record
AdoptHost(const config::document& aDocument,
          const platform::host_info& aHost,
          std::int64_t aUtcSeconds,
          write_ids& aIds);

// Returns the record of `aHost` after the step that it may take now, or a copy
// of `aRecord` if it may take none. Requires `aInputs.mDocument`,
// `aInputs.mIntents` and `aInputs.mOperatorDrains` to be non-null.
host_record
NextStep(const host_name& aHost,
         const host_record& aRecord,
         const step_inputs& aInputs,
         time_point aNow,
         write_ids& aIds);

} // namespace mangospan::fleet

#endif // MANGOSPAN_FLEET_HOST_STEPS_H
