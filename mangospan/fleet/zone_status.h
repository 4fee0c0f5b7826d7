// Writes the zone's status for operators to `zones/<z>/status`.
//
// The record is written only if it has changed, and at most once per
// `settings::mStatusInterval`, by default a second:
//
//   writer.Step([&] { return MakeStatus(inputs); }, term, ids, now, queue);
#ifndef MANGOSPAN_FLEET_ZONE_STATUS_H
#define MANGOSPAN_FLEET_ZONE_STATUS_H

#include <functional>
#include <vector>

#include "mangospan/base/time.h"
#include "mangospan/fleet/actions.h"
#include "mangospan/fleet/configuration_watch.h"
#include "mangospan/fleet/drain_acknowledgements.h"
#include "mangospan/fleet/entry_table.h"
#include "mangospan/fleet/host_steps.h"
#include "mangospan/fleet/membership.h"
#include "mangospan/fleet/pool_budgets.h"
#include "mangospan/fleet/records.h"
#include "mangospan/fleet/settings.h"
#include "mangospan/fleet/stored_record.h"
#include "mangospan/fleet/write_ids.h"
#include "mangospan/fleet/zone_hosts.h"

namespace mangospan::fleet {

// The state that the zone's status is computed from.
struct status_inputs
{
  const configuration_watch& mConfiguration;
  const zone_hosts& mHosts;
  const membership& mMembership;
  const drain_acknowledgements& mDrainAcknowledgements;
  const pool_budgets& mBudgets;
  const entry_table& mEntries;
  const host_intents& mIntents;
  const std::vector<wave_progress>& mWaves;
  // An entry that was last heard before this time is listed as unresponsive.
  time_point mUnresponsiveBefore;
};

// Returns the zone's status, with the term and the write id left empty.
status_record
MakeStatus(const status_inputs& aInputs);

// Writes the status record of one zone.
class status_writer
{
public:
  status_writer(const zone_name& aZone, const settings& aSettings);

  // Resets the state for a new term and reads the record.
  void Start(action_queue& aQueue);

  // Forgets everything. Results of earlier calls are ignored.
  void Stop();

  // Handles the result of a store call. Returns true if the status record was
  // loaded or written; false also for a call of its own that is to be repeated.
  bool OnResult(call_id aCall,
                const store_result& aResult,
                time_point aNow,
                action_queue& aQueue);

  // Repeats a failed store call when it is due.
  void OnTick(time_point aNow, action_queue& aQueue);

  // Writes the status that `aMake` returns, under `aTerm`, if a write is due
  // and the status has changed.
  void Step(const std::function<status_record()>& aMake,
            std::uint64_t aTerm,
            write_ids& aIds,
            time_point aNow,
            action_queue& aQueue);

  // Returns the status that was last passed to the store in this term. Its
  // write may not be confirmed.
  const status_record& LastSubmitted() const { return mLastSubmitted; }

private:
  const settings mSettings;
  stored_record mRecord;
  time_point mNextWriteAt;
  status_record mLastSubmitted;
  std::string mLastContent;
};

} // namespace mangospan::fleet

#endif // MANGOSPAN_FLEET_ZONE_STATUS_H
