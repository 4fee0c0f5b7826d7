// Manages the zone's worker hosts: the stored `hosts_record` with their pools
// and phases, and the platform's list of hosts.
//
// Each step of a move or a reboot is written to the store before it is
// executed. The required actions follow from the record alone, so a new acting
// process continues from the recorded step:
//
//   hosts.Step(inputs, term, ids, now, queue);    // writes the next steps
//   hosts.StartHostActions(document, now, queue); // executes recorded steps
#ifndef MANGOSPAN_FLEET_ZONE_HOSTS_H
#define MANGOSPAN_FLEET_ZONE_HOSTS_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "mangospan/base/time.h"
#include "mangospan/config/document.h"
#include "mangospan/fleet/actions.h"
#include "mangospan/fleet/host_steps.h"
#include "mangospan/fleet/records.h"
#include "mangospan/fleet/settings.h"
#include "mangospan/fleet/stored_record.h"
#include "mangospan/fleet/write_ids.h"
#include "mangospan/platform/hosts.h"

namespace mangospan::fleet {

// The hosts of one zone under one term. Not thread-safe.
class zone_hosts
{
public:
  zone_hosts(zone_name aZone, const settings& aSettings);

  // Resets the state for a new term, reads the record and requests the list.
  void Start(action_queue& aQueue);

  // Forgets everything. Results of earlier calls are ignored.
  void Stop();

  // Handles the result of a store call. Returns kNone if the call is not this
  // component's or is not resolved yet.
  record_event OnResult(call_id aCall,
                        const store_result& aResult,
                        time_point aNow,
                        action_queue& aQueue);

  // Handle the results of calls to the platform's hosts. Return true if the
  // call was this component's.
  bool OnHostList(call_id aCall,
                  const result<platform::host_list>& aResult,
                  time_point aNow);
  bool OnHostActionResult(call_id aCall,
                          const result<platform::action_status>& aResult,
                          time_point aNow);

  // Repeats a failed store call and requests the host list when they are due.
  void OnTick(time_point aNow, action_queue& aQueue);

  // Computes the next record (steps of hosts, adoption of new hosts, removal of
  // gone ones, restarts of missing runners, failures) and writes it if it
  // differs. The first write of a term stores `aTerm`, which fences writers of
  // lower terms. Does nothing while a call for the record is in progress.
  void Step(const step_inputs& aInputs,
            std::uint64_t aTerm,
            write_ids& aIds,
            time_point aNow,
            action_queue& aQueue);

  // Requests the recorded host actions from the platform, and polls those in
  // progress by requests with the same id.
  void StartHostActions(const config::document& aDocument,
                        time_point aNow,
                        action_queue& aQueue);

  // Returns true once the first write of `aTerm` is confirmed.
  bool IsTermStored(std::uint64_t aTerm) const;

  // Returns true if the record is loaded and no call for it is in progress.
  bool Idle() const { return mRecord.Idle(); }

  // Returns the record as last confirmed by the store.
  const hosts_record& Record() const { return mConfirmedRecord; }

  // Returns true if the platform's host list has arrived since `Start`.
  bool HasList() const { return mHasList; }

  // Returns the platform's list of the zone's hosts; empty until it arrives.
  const std::vector<platform::host_info>& List() const { return mList; }

  // Returns the host as the platform lists it, or null if it is not listed.
  const platform::host_info* Find(const host_name& aHost) const;

  // Returns the progress of the host action that the host's phase requires.
  host_action_progress HostActionProgress(const host_name& aHost) const;

private:
  hosts_record NextRecord(const step_inputs& aInputs,
                          time_point aNow,
                          write_ids& aIds) const;
  void AdoptNewHosts(hosts_record& aNext,
                     const step_inputs& aInputs,
                     write_ids& aIds) const;
  static void RecordFailures(hosts_record& aNext, const step_inputs& aInputs);
  void RemoveGoneHosts(hosts_record& aNext, time_point aNow) const;
  void RestartRunner(const host_name& aHost,
                     host_record& aRecord,
                     const step_inputs& aInputs,
                     time_point aNow,
                     write_ids& aIds) const;
  void TrackLiveness(time_point aNow);

  // The host action of the current phase of a host.
  struct tracked_action
  {
    write_id mId;
    call_id mCall = 0;         // the request in progress; 0 if there is none
    time_point mNextRequestAt; // the request is repeated to poll the action
    host_action_progress mProgress;
  };

  const zone_name mZone;
  const settings mSettings;
  stored_record mRecord;
  hosts_record mConfirmedRecord;

  bool mHasList = false;
  platform::revision mListRevision = 0;
  std::vector<platform::host_info> mList;
  std::map<host_name, std::size_t> mListIndexes; // positions in `mList`
  call_id mListCall = 0; // the request in progress; 0 if there is none
  time_point mNextListAt;

  std::map<host_name, tracked_action> mActions;
  // Since when a host of the record has been gone or missing from the list.
  std::map<host_name, time_point> mGoneSince;
  // Since when the platform has listed a serving host without a runner.
  std::map<host_name, time_point> mServingWithoutRunnerSince;
};

} // namespace mangospan::fleet

#endif // MANGOSPAN_FLEET_ZONE_HOSTS_H
