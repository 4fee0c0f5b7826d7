// A simulation of zones with fleet processes and entries on the fake platform.
//
// Entries follow the rules in the header of `zone_controller` and fill every
// slot that they hold, so that shares whose sum is too large show as an
// endpoint with more requests than slots. Violations of invariants are
// collected as text:
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

// The size and the timing of the simulated fleet.
struct fleet_options
{
  std::size_t mZones = 1;
  std::size_t mProcesses = 2; // per zone
  std::size_t mEntries = 2;   // per zone
  std::size_t mHosts = 4;     // per zone
  std::size_t mSlots = 4;     // per host
  // Services of the runners, assigned to the zone's hosts in turn.
  std::vector<service_name> mServices{ service_name("work"),
                                       service_name("work"),
                                       service_name("work"),
                                       service_name("spare") };
  milliseconds mTickInterval{ 100 }; // between two ticks of a process
  milliseconds mMaxRequestTime{ 300 };
  settings mSettings;
};

// Returns settings with times that are short enough for hosts to go through all
// phases within a few virtual seconds.
settings
ShortSettings();

// Returns a configuration with the pools "work" and "spare", each of the
// service with the same name. At most `aBudget` hosts of each pool may be
// unavailable.
config::document
TwoPools(std::size_t aBudget);

// An entry that uses slots and reports to the acting process of its zone.
struct fake_entry
{
  view::entry_id mId;
  std::string mAddress;
  bool mFrozen = false;
  bool mPartitioned =
    false; // no message passes to or from the zone's processes
  bool mRegistered = false;
  std::uint64_t mTermHeard = 0; // the highest term of any message received
  std::size_t mLeaderProcess =
    0; // number of the process that acts in that term
  view::zone_view mView;
  // The latest view that the entry complies with: its requests in flight do not
  // exceed its shares, except at draining endpoints.
  view::version mReportedView;
  // The smallest number of endpoints in any adopted view.
  std::size_t mMinEndpoints = 1000;
  std::uint64_t mConfigRevision = 0;
  std::string mConfigText;
  std::map<host_name, std::size_t> mInFlight;
  time_point mNextReport;
};

// A fleet process that may act for its zone.
struct fake_process
{
  std::size_t mNumber = 0; // index in `fake_fleet::Processes()`
  zone_name mZone;
  process_identity mSelf;
  std::unique_ptr<zone_controller> mController; // null if not running
  bool mFrozen = false;
  // Inputs that arrived while the process was frozen; handled when it resumes.
  std::vector<std::function<void()>> mPendingInputs;
  std::uint64_t mSentConfigRevision = 0;
};

// Runs the fleet in virtual time and checks the invariants of its hosts and
// budgets at every change of the store.
class fake_fleet
{
public:
  fake_fleet(const fleet_options& aOptions, std::uint64_t aSeed);

  // Advances the virtual time by `aFor`.
  void Run(milliseconds aFor);

  // Writes a configuration to the store, as an accepted change.
  void Apply(const config::document& aDocument);
  // Replaces the operator's list of hosts to drain.
  void Drain(const std::vector<host_name>& aHosts);
  // Requests a maintenance wave over the pool "work".
  void StartWave(const std::string& aId, bool aPaused);

  // Ends the process without notice.
  void Kill(fake_process& aProcess);
  // Starts the process as a new boot.
  void Start(fake_process& aProcess);
  // Suspends the process; its inputs wait.
  void Freeze(fake_process& aProcess);
  // Resumes the process and handles the inputs that waited.
  void Thaw(fake_process& aProcess);
  // Restarts the entry as a new boot without requests in flight.
  void RestartEntry(fake_entry& aEntry);
  // Makes the host go away without notice. Its requests are lost.
  void KillHost(const host_name& aHost);

  // Ends all faults: starts or resumes all processes and restores killed hosts.
  void Heal();

  std::vector<std::unique_ptr<fake_process>>& Processes() { return mProcesses; }
  std::vector<std::unique_ptr<fake_entry>>& Entries() { return mEntries; }
  // Returns a running process that acts for the zone, or null if there is none.
  fake_process* ActingProcess(const zone_name& aZone);
  // Returns the zone's hosts record in the store, or an empty record if there
  // is no valid one.
  hosts_record Hosts(const zone_name& aZone) const;
  // Returns the pool's budget record in the store, or an empty record if there
  // is no valid one.
  budget_record Budget(const pool_name& aPool) const;
  // Returns the name of the zone with this index: "a", "b" and so on.
  zone_name Zone(std::size_t aIndex) const;

  // Returns the violations of invariants so far, each with its virtual time.
  const std::vector<std::string>& Violations() const { return mViolations; }
  // Records a violation at the current virtual time.
  void AddViolation(const std::string& aWhat);

  event_queue mEvents;
  fake_store mStore;
  fake_hosts mHosts;
  std::minstd_rand mRandom;
  std::size_t mMessageCount = 0; // messages between entries and processes
  // Real time that the controllers took to handle their inputs.
  std::chrono::nanoseconds mDecisionTime{ 0 };
  std::size_t mDrainCount = 0; // drains of hosts that were recorded
  std::size_t mMoveCount = 0;  // changes of a host's pool that were recorded
  std::set<host_name> mKilledHosts; // hosts that are gone now
  bool mReportsDemand = false; // entries report demand of the class "checks"
  std::size_t mDemandRate = 0; // requests per second at each entry

private:
  // Interval between two periodic reports of an entry to the acting process.
  static constexpr milliseconds kReportInterval{ 400 };

  void AddZone(std::size_t aIndex);
  void Tick(fake_process& aProcess);
  void HandleInput(fake_process& aProcess,
                   const std::function<actions(zone_controller&)>& aInput);
  void ExecuteActions(fake_process& aProcess, const actions& aActions);
  void Execute(fake_process& aProcess, const action& aAction);
  // Checks that the process still holds the leader lease of its zone.
  void CheckTerm(const fake_process& aProcess, const char* aWhat);
  // Sends a heartbeat, view or configuration to the other members of the zone.
  void Deliver(fake_process& aFrom, const action& aAction);
  void OnHeartbeat(fake_entry& aEntry,
                   fake_process& aFrom,
                   std::uint64_t aTerm,
                   const send_heartbeat& aHeartbeat);
  void OnView(fake_entry& aEntry, const view::zone_view& aView);
  void OnConfig(fake_entry& aEntry, const push_config& aPush);
  // Starts requests up to the entry's shares. Requests beyond a share finish
  // after a random time.
  void FillShares(fake_entry& aEntry);
  void FinishRequest(fake_entry& aEntry, const host_name& aHost);
  void SendReport(fake_entry& aEntry);
  void SendHello(fake_entry& aEntry);
  // Delivers an input to the process that acts in the latest term that the
  // entry has heard.
  void SendToLeader(fake_entry& aEntry,
                    const std::function<actions(zone_controller&)>& aInput);
  // Returns the requests of all entries in flight at the host.
  std::size_t InFlight(const host_name& aHost) const;
  void OnStoreChange(const platform::change& aChange);
  // Checks that every host that is unavailable as planned holds a permit in its
  // pool's budget.
  void CheckPermits();
  // Returns true if the host is down, or a process may still see it as down in
  // its host list.
  bool WasRecentlyDown(const host_name& aHost) const;
  // Checks that the change of the zone's hosts record is valid.
  void CheckHosts(const zone_name& aZone, const hosts_record& aNext);
  // Checks that the action was recorded in the store before it was started.
  void CheckActionRecorded(const platform::action_request& aRequest);
  // Checks that the drain has a permit and keeps the pool within its budget.
  void CheckBudget(const zone_name& aZone,
                   const host_name& aHost,
                   const host_record& aRecord);
  // Returns the highest number of unavailable hosts, in a pool of `aHosts`
  // hosts, among the budgets that may still be in use.
  std::size_t MaxUnavailable(std::size_t aHosts) const;
  // Returns a random delay of a message.
  milliseconds RandomDelay();

  const fleet_options mOptions;
  std::vector<config::document> mDocuments; // the store holds their indexes
  // Budgets of all applied configurations, in hosts, with the time.
  std::vector<std::pair<time_point, std::size_t>> mBudgetsApplied;
  std::vector<std::unique_ptr<fake_process>> mProcesses;
  std::vector<std::unique_ptr<fake_entry>> mEntries;
  std::map<zone_name, hosts_record> mLastHosts; // as last written
  std::uint64_t mLastBoot = 100;
  std::vector<std::string> mViolations;
  std::set<host_name> mEverKilled;       // hosts that were killed at least once
  std::set<host_name> mDrainedWhileDown; // hosts drained while they were down
  // Time at which each killed host was last restored.
  std::map<host_name, time_point> mRestoredAt;
};

} // namespace mangospan::fleet::testing

#endif // MANGOSPAN_FLEET_TESTING_FAKE_FLEET_H
