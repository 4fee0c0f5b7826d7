// The entries of a zone whose acknowledgement moves wait for.
//
// An entry is registered once the record that names it is in the store. It
// leaves by its own goodbye, by a new boot of its host, or when the host list
// has shown its host gone for longer than the fence:
//
//   membership.OnHello(member, now);
//   membership.Step(term, ids, now, queue);
//   for (const view::entry_member& each : membership.Registered()) { ... }
#ifndef MANGOSPAN_FLEET_MEMBERSHIP_H
#define MANGOSPAN_FLEET_MEMBERSHIP_H

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "mangospan/base/time.h"
#include "mangospan/fleet/actions.h"
#include "mangospan/fleet/records.h"
#include "mangospan/fleet/settings.h"
#include "mangospan/fleet/stored_record.h"
#include "mangospan/fleet/write_ids.h"
#include "mangospan/platform/hosts.h"
#include "mangospan/view/zone_view.h"

namespace mangospan::fleet {

class membership
{
public:
  membership(const zone_name& aZone, const settings& aSettings);

  // Begins anew under a new term: reads the record.
  void Start(action_queue& aQueue);
  void Stop();

  void OnHello(const view::entry_member& aMember);
  void OnGoodbye(const view::entry_id& aEntry);

  // Any message of the entry shows that its host is there.
  void OnHeard(const view::entry_id& aEntry);

  void OnHostList(const std::vector<platform::host_info>& aHosts,
                  time_point aNow);

  // kLoaded and kWritten when `Registered` may have changed.
  record_event OnResult(call_id aCall,
                        const store_result& aResult,
                        time_point aNow,
                        action_queue& aQueue);

  // Writes what has changed; the first write of a term fences older ones.
  void Step(std::uint64_t aTerm,
            write_ids& aIds,
            time_point aNow,
            action_queue& aQueue);

  // True once this term's first write is confirmed.
  bool Ready(std::uint64_t aTerm) const;

  // The term found in the record.
  std::uint64_t RecordTerm() const { return mConfirmed.mTerm; }

  const std::vector<view::entry_member>& Registered() const
  {
    return mConfirmed.mEntries;
  }
  bool IsRegistered(const view::entry_id& aEntry) const;

  // Hosts whose entries have said hello and are not registered yet.
  std::vector<host_name> Unregistered() const;

private:
  std::vector<view::entry_member> Wanted(time_point aNow) const;

  const settings mSettings;
  stored_record mRecord;
  entries_record mConfirmed;
  std::map<host_name, view::entry_member> mArrived;
  std::set<view::entry_id> mLeft;
  std::map<host_name, time_point> mGoneSince;
};

} // namespace mangospan::fleet

#endif // MANGOSPAN_FLEET_MEMBERSHIP_H
