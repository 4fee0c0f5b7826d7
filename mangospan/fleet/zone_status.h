// What operators see of a zone in `zones/<z>/status`.
//
// The record is written only when it has changed, at most once a second:
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

struct status_inputs
{
  const configuration_watch& mConfiguration;
  const zone_hosts& mHosts;
  const membership& mMembership;
  const drain_acknowledgements& mDrained;
  const pool_budgets& mBudgets;
  const entry_table& mEntries;
  const host_intents& mIntents;
  const std::vector<wave_progress>& mWaves;
  time_point mHeardSince; // an entry last heard before is silent
};

// The zone's status, without term and write id.
status_record
MakeStatus(const status_inputs& aInputs);

class status_writer
{
public:
  status_writer(const zone_name& aZone, const settings& aSettings);

  void Start(action_queue& aQueue);
  void Stop();

  // True if the call was this component's.
  bool OnResult(call_id aCall,
                const store_result& aResult,
                time_point aNow,
                action_queue& aQueue);
  void OnTick(time_point aNow, action_queue& aQueue);
  void Step(const std::function<status_record()>& aMake,
            std::uint64_t aTerm,
            write_ids& aIds,
            time_point aNow,
            action_queue& aQueue);

  // The status as last written.
  const status_record& Last() const { return mLast; }

private:
  const settings mSettings;
  stored_record mRecord;
  time_point mNext;
  status_record mLast;
  std::string mLastContent;
};

} // namespace mangospan::fleet

#endif // MANGOSPAN_FLEET_ZONE_STATUS_H
