// The state behind a zone controller: its parts, and the steps that follow from
// every input.
//
// Inputs change the parts; `Step` then records, plans, pushes and sends what
// follows from them. Included by the sources of the controller only.
#ifndef MANGOSPAN_FLEET_INTERNAL_CONTROLLER_STATE_H
#define MANGOSPAN_FLEET_INTERNAL_CONTROLLER_STATE_H

#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "mangospan/fleet/budget_demand.h"
#include "mangospan/fleet/configuration_watch.h"
#include "mangospan/fleet/demand_history.h"
#include "mangospan/fleet/drain_acknowledgements.h"
#include "mangospan/fleet/entry_table.h"
#include "mangospan/fleet/leadership.h"
#include "mangospan/fleet/maintenance_waves.h"
#include "mangospan/fleet/membership.h"
#include "mangospan/fleet/pool_budgets.h"
#include "mangospan/fleet/pool_sizing.h"
#include "mangospan/fleet/records.h"
#include "mangospan/fleet/share_allocation.h"
#include "mangospan/fleet/view_builder.h"
#include "mangospan/fleet/write_ids.h"
#include "mangospan/fleet/zone_controller.h"
#include "mangospan/fleet/zone_hosts.h"
#include "mangospan/fleet/zone_status.h"

namespace mangospan::fleet {

struct zone_controller::state
{
  state(zone_name aZone,
        const process_identity& aSelf,
        const settings& aSettings,
        parse_function aParse,
        std::uint64_t aSeed)
    : mZone(std::move(aZone))
    , mSettings(aSettings)
    , mIds(aSelf.mBoot)
    , mLeadership(mZone, aSelf, aSettings, aSeed)
    , mMembership(mZone, aSettings)
    , mConfiguration(std::move(aParse), aSettings)
    , mHosts(mZone, aSettings)
    , mBudgets(mZone, aSettings, aSeed)
    , mDemand(aSettings.mSizingEvery)
    , mSizing(aSettings)
    , mStatus(mZone, aSettings)
  {
  }

  // Everything that follows from the inputs so far, in a fixed order.
  actions Step(time_point aNow);

  void BeginActing(time_point aNow);
  void EndActing(const std::string& aReason);
  void CheckSuperseded(time_point aNow);
  void StepRecords(time_point aNow);
  step_inputs StepInputs();
  void PlanIntents(time_point aNow);
  void WriteStatus(time_point aNow);
  void PushView(time_point aNow);
  void PushViewTo(const view::entry_id& aEntry,
                  known_entry& aKnown,
                  time_point aNow);
  void PushConfiguration(time_point aNow);
  void Heartbeat(time_point aNow);
  bool ServesConfiguration(time_point aNow) const;
  known_entry& Hear(const view::entry_id& aEntry, time_point aNow);
  std::vector<view::entry_id> RegisteredIds() const;
  void UpdateMembers();
  void NoteSteps(const hosts_record& aBefore);

  const zone_name mZone;
  const settings mSettings;
  action_queue mQueue;
  write_ids mIds;
  leadership mLeadership;
  membership mMembership;
  configuration_watch mConfiguration;
  zone_hosts mHosts;
  share_allocation mShares;
  drain_acknowledgements mDrained;
  pool_budgets mBudgets;
  demand_history mDemand;
  pool_sizing mSizing;
  status_writer mStatus;
  entry_table mEntries;

  bool mActing = false;
  std::uint64_t mTerm = 0;
  time_point mActingSince;
  time_point mHeartbeatAt;
  time_point mHolderHeardAt; // the last heartbeat of another process that acts
  std::int64_t mUtc = 0;
  view::zone_view mView;
  host_intents mIntents;
  std::set<host_name> mDrains;
  std::vector<wave_progress> mWaves;
  bool mChanged = false; // something that plans and views are made of
  time_point mStepAt;
};

} // namespace mangospan::fleet

#endif // MANGOSPAN_FLEET_INTERNAL_CONTROLLER_STATE_H
