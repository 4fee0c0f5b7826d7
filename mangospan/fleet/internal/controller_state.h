// The private state of a zone controller: its components, and the steps that it
// runs after each input.
//
// An input changes the components; `Step` then plans, writes records, pushes
// views and configurations, and sends heartbeats accordingly. Include this only
// in the sources of the controller.
#ifndef MANGOSPAN_FLEET_INTERNAL_CONTROLLER_STATE_H
#define MANGOSPAN_FLEET_INTERNAL_CONTROLLER_STATE_H

#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "mangospan/fleet/configuration_watch.h"
#include "mangospan/fleet/demand_history.h"
#include "mangospan/fleet/drain_acknowledgements.h"
#include "mangospan/fleet/entry_table.h"
#include "mangospan/fleet/leadership.h"
#include "mangospan/fleet/maintenance_waves.h"
#include "mangospan/fleet/membership.h"
#include "mangospan/fleet/permit_demand.h"
#include "mangospan/fleet/pool_autoscaler.h"
#include "mangospan/fleet/pool_budgets.h"
#include "mangospan/fleet/records.h"
#include "mangospan/fleet/share_allocation.h"
#include "mangospan/fleet/view_builder.h"
#include "mangospan/fleet/write_ids.h"
#include "mangospan/fleet/zone_controller.h"
#include "mangospan/fleet/zone_hosts.h"
#include "mangospan/fleet/zone_status.h"

namespace mangospan::fleet {

// The components of a zone controller and the state that they share.
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
    , mDemand(aSettings.mAutoscalerInterval)
    , mAutoscaler(aSettings)
    , mStatus(mZone, aSettings)
  {
  }

  // Runs the steps that the inputs so far require, in a fixed order. Returns
  // the collected actions.
  actions Step(time_point aNow);

  void BeginActing(time_point aNow);
  void EndActing(const std::string& aReason);
  // Stops acting if the record of hosts or of entries has a higher term.
  void CheckSuperseded(time_point aNow);
  void StepRecords(time_point aNow);
  step_inputs StepInputs();
  void PlanIntents(time_point aNow);
  void WriteStatus(time_point aNow);
  void PushView(time_point aNow);
  void PushViewTo(const view::entry_id& aEntry,
                  entry_state& aKnown,
                  time_point aNow);
  void PushConfiguration(time_point aNow);
  // Sends a heartbeat if one is due and the membership is known.
  void Heartbeat(time_point aNow);
  bool MayPushConfiguration(time_point aNow) const;
  entry_state& RecordContact(const view::entry_id& aEntry, time_point aNow);
  std::vector<view::entry_id> RegisteredIds() const;
  // Passes the registered entries and the shares that they reported to the
  // allocation.
  void UpdateMembers();
  void LogPhaseChanges(const hosts_record& aBefore);

  const zone_name mZone;
  const settings mSettings;
  action_queue mQueue;
  write_ids mIds;
  leadership mLeadership;
  membership mMembership;
  configuration_watch mConfiguration;
  zone_hosts mHosts;
  share_allocation mShareAllocation;
  drain_acknowledgements mDrainAcknowledgements;
  pool_budgets mBudgets;
  demand_history mDemand;
  pool_autoscaler mAutoscaler;
  status_writer mStatus;
  entry_table mEntries;

  bool mActing = false;
  std::uint64_t mTerm = 0;
  time_point mActingSince;
  time_point mNextHeartbeatAt;
  // When the last heartbeat of another acting process arrived.
  time_point mPeerHeartbeatAt;
  std::int64_t mUtcSeconds = 0; // seconds since 1970 (UTC)
  view::zone_view mView; // as last pushed; version {0, 0} before the first push
  host_intents mIntents;
  std::set<host_name> mOperatorDrains;
  std::vector<wave_progress> mWaves;
  bool mInputsChanged = false; // since plans and the view were last computed
  time_point mNextStepAt;
};

} // namespace mangospan::fleet

#endif // MANGOSPAN_FLEET_INTERNAL_CONTROLLER_STATE_H
