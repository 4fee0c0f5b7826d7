// Keeps the registered entries of a zone. A draining host is drained once each
// of them has acknowledged that it has no request in flight there.
//
// An entry is registered once the record that names it is in the store. It is
// removed when it announces its shutdown, when a new run of the entry says
// hello from its host, or when its host has been missing from the host list for
// as long as the fence `settings::mEntryFence`:
//
//   membership.OnHello(member);
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

// Reads and writes the record of the registered entries of one zone.
class membership
{
public:
  membership(const zone_name& aZone, const settings& aSettings);

  // Discards the state of an earlier term and reads the record.
  void Start(action_queue& aQueue);

  // Discards the record and every hello. Shutdown notices are kept.
  void Stop();

  // Takes the hello of an entry, which is to be registered.
  void OnHello(const view::entry_member& aMember);

  // Takes the shutdown notice of an entry, which is to be removed.
  void OnShutdown(const view::entry_id& aEntry);

  // Takes any message of an entry as a sign that its host is present.
  void OnMessage(const view::entry_id& aEntry);

  // Notes which hosts of registered entries the platform lists and which are
  // gone.
  void OnHostList(const std::vector<platform::host_info>& aHosts,
                  time_point aNow);

  // Takes the result of a store call. Returns kLoaded or kWritten if
  // `Registered` may have changed.
  record_event OnResult(call_id aCall,
                        const store_result& aResult,
                        time_point aNow,
                        action_queue& aQueue);

  // Writes the record if the entries have changed or the record is of an
  // earlier term. The first write of a term makes writes of earlier terms that
  // are still under way fail.
  void Step(std::uint64_t aTerm,
            write_ids& aIds,
            time_point aNow,
            action_queue& aQueue);

  // Returns true if the first write under `aTerm` is confirmed.
  bool IsTermStored(std::uint64_t aTerm) const;

  // Returns the term of the record as last read or written.
  std::uint64_t RecordTerm() const { return mConfirmed.mTerm; }

  // Returns the entries of the record as last read or written, sorted by id.
  const std::vector<view::entry_member>& Registered() const
  {
    return mConfirmed.mEntries;
  }
  bool IsRegistered(const view::entry_id& aEntry) const;

  // Returns the hosts whose entries have said hello and are not registered yet.
  std::vector<host_name> Unregistered() const;

private:
  // Returns the entries that the next record should name, one per host.
  std::vector<view::entry_member> DesiredEntries(time_point aNow) const;

  const settings mSettings;
  stored_record mRecord;
  entries_record mConfirmed;
  std::map<host_name, view::entry_member> mPending;
  std::set<view::entry_id> mDeparted;
  std::map<host_name, time_point> mGoneSince;
};

} // namespace mangospan::fleet

#endif // MANGOSPAN_FLEET_MEMBERSHIP_H
