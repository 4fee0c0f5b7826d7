// Zones of fleet processes and entries around the fake platform.
//
// Entries keep the rules of `zone_controller`'s header and use every slot that
// they hold, so a sum of shares that is too large shows as an endpoint with
// more requests than slots. Violations are collected as text:
//
//   fake_fleet fleet(options, seed);
//   fleet.Run(std::chrono::seconds(10));
//   EXPECT_TRUE(fleet.Violations().empty());
#ifndef MANGOSPAN_FLEET_TESTING_FAKE_FLEET_H
#define MANGOSPAN_FLEET_TESTING_FAKE_FLEET_H

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "mangospan/fleet/records.h"
#include "mangospan/fleet/testing/event_queue.h"
#include "mangospan/fleet/testing/fake_platform.h"
#include "mangospan/fleet/zone_controller.h"

namespace mangospan::fleet::testing {

struct fleet_options
{
  std::size_t mZones = 1;
  std::size_t mProcesses = 2; // per zone
  std::size_t mEntries = 2;   // per zone
  std::size_t mHosts = 4;     // per zone
  std::size_t mSlots = 4;
  // What the zone's hosts run, in turn.
  std::vector<service_name> mServices{ service_name("work"),
                                       service_name("work"),
                                       service_name("work"),
                                       service_name("spare") };
  milliseconds mTick{ 100 };
  milliseconds mRequestTime{ 300 }; // the longest
  settings mSettings;
};

// Times short enough for a whole life cycle within a few virtual seconds.
settings
ShortSettings();

// Two pools, "work" (of service "work") and "spare"; `aBudget` hosts of each
// may be down.
config::document
TwoPools(std::size_t aBudget);

struct fake_entry
{
  view::entry_id mId;
  std::string mAddress;
  bool mFrozen = false;
  bool mCut = false; // no process of the zone hears it or is heard
  bool mRegistered = false;
  std::uint64_t mTermHeard = 0;
  std::size_t mLeader = 0; // the process of that term, by its number
  view::zone_view mView;
  view::version mReported;
  std::size_t mFewestEndpoints = 1000; // in any view it adopted
  std::uint64_t mConfigRevision = 0;
  std::string mConfigText;
  std::map<host_name, std::size_t> mInFlight;
  time_point mNextReport;
};

struct fake_process
{
  std::size_t mNumber = 0; // unique over the run
  zone_name mZone;
  process_identity mSelf;
  std::unique_ptr<zone_controller> mController; // null: not running
  bool mFrozen = false;
  std::vector<std::function<void()>> mHeld; // inputs while frozen
  std::uint64_t mSentConfig = 0;
};

class fake_fleet
{
public:
  fake_fleet(const fleet_options& aOptions, std::uint64_t aSeed);

  void Run(milliseconds aFor);

  // Puts a configuration into the store, as an accepted change.
  void Apply(const config::document& aDocument);
  void Drain(const std::vector<host_name>& aHosts);
  void StartWave(const std::string& aId, bool aPaused);

  void Kill(fake_process& aProcess);
  void Start(fake_process& aProcess);
  void Freeze(fake_process& aProcess);
  void Thaw(fake_process& aProcess);
  void RestartEntry(fake_entry& aEntry);
  // The host stops at once; what it was doing is lost.
  void KillHost(const host_name& aHost);

  // Ends every fault and starts what is not running.
  void Heal();

  std::vector<std::unique_ptr<fake_process>>& Processes() { return mProcesses; }
  std::vector<std::unique_ptr<fake_entry>>& Entries() { return mEntries; }
  fake_process* Acting(const zone_name& aZone);
  hosts_record Hosts(const zone_name& aZone) const;
  budget_record Budget(const pool_name& aPool) const;
  zone_name Zone(std::size_t aIndex) const;

  // What did not hold, with the time; empty if all did.
  const std::vector<std::string>& Violations() const { return mViolations; }
  void Violate(const std::string& aWhat);

  event_queue mEvents;
  fake_store mStore;
  fake_hosts mHosts;
  std::minstd_rand mRandom;
  std::size_t mMessages = 0;
  std::chrono::nanoseconds mBusy{ 0 }; // real time spent in decisions
  std::size_t mDrains = 0;             // recorded
  std::size_t mMoves = 0;              // recorded changes of pool
  std::set<host_name> mKilledHosts;
  bool mDemand = false;        // entries report a load of class "checks"
  std::size_t mDemandRate = 0; // requests a second at each entry

private:
  // Of an entry, to the acting process.
  static constexpr milliseconds kReportEvery{ 400 };
  void AddZone(std::size_t aIndex);
  void Tick(fake_process& aProcess);
  void Input(fake_process& aProcess,
             const std::function<actions(zone_controller&)>& aInput);
  void Carry(fake_process& aProcess, const actions& aActions);
  void CarryOne(fake_process& aProcess, const action& aAction);
  void CheckTerm(const fake_process& aProcess, const char* aWhat);
  void Deliver(fake_process& aFrom, const action& aAction);
  void OnHeartbeat(fake_entry& aEntry,
                   fake_process& aFrom,
                   std::uint64_t aTerm,
                   const send_heartbeat& aHeartbeat);
  void OnView(fake_entry& aEntry, const view::zone_view& aView);
  void OnConfig(fake_entry& aEntry, const push_config& aPush);
  void UseSlots(fake_entry& aEntry);
  void FinishOne(fake_entry& aEntry, const host_name& aHost);
  void Report(fake_entry& aEntry);
  void Hello(fake_entry& aEntry);
  void ToLeader(fake_entry& aEntry,
                const std::function<actions(zone_controller&)>& aInput);
  std::size_t InFlight(const host_name& aHost) const;
  void OnStoreChange(const platform::change& aChange);
  void CheckCounted();
  bool WasDownLately(const host_name& aHost) const;
  void CheckHosts(const zone_name& aZone, const hosts_record& aNext);
  void CheckRecorded(const platform::action_request& aRequest);
  void CheckBudget(const zone_name& aZone,
                   const host_name& aHost,
                   const host_record& aRecord);
  std::size_t MostAllowed(std::size_t aHosts) const;
  milliseconds Delay();

  const fleet_options mOptions;
  std::vector<config::document> mDocuments;
  std::vector<std::pair<time_point, std::size_t>> mBudgetsApplied;
  std::vector<std::unique_ptr<fake_process>> mProcesses;
  std::vector<std::unique_ptr<fake_entry>> mEntries;
  std::map<zone_name, hosts_record> mLastHosts;
  std::uint64_t mLastBoot = 100;
  std::vector<std::string> mViolations;
  std::set<host_name> mEverKilled;
  std::set<host_name> mDrainedDown; // drained while they were down
  std::map<host_name, time_point> mLiveAgain;
};

} // namespace mangospan::fleet::testing

#endif // MANGOSPAN_FLEET_TESTING_FAKE_FLEET_H
