// The zone's hosts: the record of their pools and phases, and the platform's
// list of them.
//
// Each step of a move or a reboot is recorded before it is carried out. What is
// to be done follows from the record alone, so a successor goes on from
// whatever step it finds:
//
//   hosts.Step(facts, ids, now, queue);  // records what may come next
//   hosts.Act(now, queue);               // carries out what is recorded
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

class zone_hosts
{
public:
  zone_hosts(zone_name aZone, const settings& aSettings);

  // Begins anew under a new term: reads the record and asks for the list.
  void Start(action_queue& aQueue);
  void Stop();

  record_event OnResult(call_id aCall,
                        const store_result& aResult,
                        time_point aNow,
                        action_queue& aQueue);

  // True if the call was this component's.
  bool OnHostList(call_id aCall,
                  const result<platform::host_list>& aResult,
                  time_point aNow);
  bool OnActionResult(call_id aCall,
                      const result<platform::action_status>& aResult,
                      time_point aNow);

  // Asks for the list and for the state of actions as time demands.
  void OnTick(time_point aNow, action_queue& aQueue);

  // Writes the next record, if `aInputs` allow any host a step.
  void Step(const step_inputs& aInputs,
            std::uint64_t aTerm,
            write_ids& aIds,
            time_point aNow,
            action_queue& aQueue);

  // Starts the recorded actions that have not been started.
  void Act(const config::document& aDocument,
           time_point aNow,
           action_queue& aQueue);

  // True once this term's first write is confirmed.
  bool Ready(std::uint64_t aTerm) const;

  // True if no write of the record is under way.
  bool Settled() const { return mRecord.Idle(); }

  const hosts_record& Record() const { return mConfirmed; }
  bool Listed() const { return mListed; }
  const std::vector<platform::host_info>& List() const { return mList; }

  // The host as listed; null if it is not.
  const platform::host_info* Find(const host_name& aHost) const;

  // How far the action of the host's phase is.
  action_progress Progress(const host_name& aHost) const;

private:
  hosts_record Next(const step_inputs& aInputs,
                    time_point aNow,
                    write_ids& aIds) const;
  void AdoptNew(hosts_record& aNext,
                const step_inputs& aInputs,
                write_ids& aIds) const;
  static void NoteFailures(hosts_record& aNext, const step_inputs& aInputs);
  void RemoveGone(hosts_record& aNext, time_point aNow) const;
  void RestartRunner(const host_name& aHost,
                     host_record& aRecord,
                     const step_inputs& aInputs,
                     time_point aNow,
                     write_ids& aIds) const;
  void TrackPresence(time_point aNow);

  struct tracked_action
  {
    write_id mId;
    call_id mCall = 0;
    time_point mNext;
    action_progress mProgress;
  };

  const zone_name mZone;
  const settings mSettings;
  stored_record mRecord;
  hosts_record mConfirmed;

  bool mListed = false;
  platform::revision mListRevision = 0;
  std::vector<platform::host_info> mList;
  std::map<host_name, std::size_t> mPlaces; // in `mList`
  call_id mListCall = 0;
  time_point mListAt;

  std::map<host_name, tracked_action> mActions;
  std::map<host_name, time_point> mGoneSince;
  std::map<host_name, time_point> mServingSince; // without a runner as listed
};

} // namespace mangospan::fleet

#endif // MANGOSPAN_FLEET_ZONE_HOSTS_H
