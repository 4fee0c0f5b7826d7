// Which step each host may take next: adoption, drains, moves, reboots.
//
// A pure function from the record and what is known to the next record:
//
//   hosts_record next = NextRecord(current, inputs, facts);
//   if (next.mHosts != current.mHosts) { write(next); }
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

// Why a serving host is to leave service.
struct host_intent
{
  host_purpose mPurpose = host_purpose::kNone;
  pool_name mTarget; // of a move
  std::string mWave; // of a maintenance wave that an operator started
};
using host_intents = std::map<host_name, host_intent>;

// How far the action of a host's phase is.
struct action_progress
{
  bool mStarted = false;
  bool mDone = false;
  bool mFailed = false;
  time_point mSince; // when this process first asked for it
};

// What the next steps depend on besides the record.
struct step_inputs
{
  const config::document* mDocument = nullptr;
  const host_intents* mIntents = nullptr;
  const std::set<host_name>* mDrains = nullptr; // operators' drains
  std::int64_t mUtc = 0;                        // seconds since 1970
  std::string mWave; // the last wave that operators started

  // True if the permit for the host's drain is in the store.
  std::function<bool(const host_name&, const host_record&)> mPermitted;
  // True if every registered entry has said that it is empty there.
  std::function<bool(const host_name&, const host_record&)> mEmptied;
  // How far the phase's action is.
  std::function<action_progress(const host_name&)> mProgress;
};

// The pool that serves `aService`; null if none.
const config::pool*
PoolOfService(const config::document& aDocument, const service_name& aService);

// The pool called `aName`; null if there is none.
const config::pool*
FindPool(const config::document& aDocument, const pool_name& aName);

// The spare pool; null if there is none.
const config::pool*
SparePool(const config::document& aDocument);

// True if the pool's zones and racks admit the host.
bool
Admits(const config::pool& aPool, const platform::host_info& aHost);

// True if a host in this phase needs an action of the platform.
bool
HasAction(host_phase aPhase);

// The record of a host that is in no pool yet; its `mPool` is empty if no pool
// admits it.
host_record
Adopt(const config::document& aDocument,
      const platform::host_info& aHost,
      std::int64_t aUtc,
      write_ids& aIds);

// The host's record after the step it may take now; equal to `aRecord` if none.
host_record
NextStep(const host_name& aHost,
         const host_record& aRecord,
         const step_inputs& aInputs,
         time_point aNow,
         write_ids& aIds);

} // namespace mangospan::fleet

#endif // MANGOSPAN_FLEET_HOST_STEPS_H
