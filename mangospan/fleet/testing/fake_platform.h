// In-memory fakes of the platform's store and host services in virtual time,
// with fault injection.
//
// The store keeps its whole history and reports every change, so that a test
// can check invariants at each revision:
//
//   fake_store store(events, seed);
//   store.mLostAnswerRate = 0.1;
//   store.mOnChange = [&](const platform::change& aChange) { check(aChange); };
#ifndef MANGOSPAN_FLEET_TESTING_FAKE_PLATFORM_H
#define MANGOSPAN_FLEET_TESTING_FAKE_PLATFORM_H

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "mangospan/fleet/actions.h"
#include "mangospan/fleet/testing/event_queue.h"
#include "mangospan/platform/hosts.h"

namespace mangospan::fleet::testing {

using std::chrono::milliseconds;
// Called with the result of a store operation.
using answer = std::function<void(store_result)>;

// A key-value store with compare-and-swap, leases and watches.
class fake_store
{
public:
  fake_store(event_queue& aEvents, std::uint64_t aSeed);

  // Executes the operation after a random delay and calls `aAnswer` exactly
  // once.
  void Call(const store_operation& aOperation, const answer& aAnswer);

  // Writes the value immediately, without a check of the key's revision.
  void Put(const std::string& aKey, const std::string& aValue);

  // Deletes the key immediately, without a check of its revision.
  void Remove(const std::string& aKey);

  // Returns the value of the key, or an empty string if there is none.
  std::string Get(const std::string& aKey) const;
  // Returns the revision of the key's last write, or 0 if there is no such key.
  platform::revision RevisionOf(const std::string& aKey) const;
  // Returns the number of calls received.
  std::size_t CallCount() const { return mCalls; }
  // Returns the number of value bytes in the swap calls received.
  std::size_t WrittenBytes() const { return mBytes; }

  // While true, no call is executed and each one ends with an unknown result.
  bool mDown = false;
  // Probability that a call is executed, perhaps after the caller's timeout,
  // and ends with an unknown result.
  double mLostAnswerRate = 0;
  // Probability that a call is not executed and ends with an unknown result.
  double mLostRequestRate = 0;
  // Called after each change, before any watch is answered.
  std::function<void(const platform::change&)> mOnChange;

private:
  // A lease and the keys attached to it, which are deleted when it ends.
  struct lease
  {
    time_point mExpiresAt;
    milliseconds mTtl{ 0 };
    std::vector<std::string> mKeys;
  };
  // A watch call that waits for the first change after `mAfter`.
  struct pending_watch
  {
    std::string mPrefix;
    platform::revision mAfter = 0;
    answer mAnswer;
  };

  store_result Apply(const store_operation& aOperation);
  result<platform::revision> Swap(const platform::swap_request& aRequest);
  void Change(const std::string& aKey, const std::string& aValue, bool aDelete);
  void Watch(const watch_call& aCall, const answer& aAnswer);
  void EndLease(std::uint64_t aLease);
  void ScheduleExpiry(std::uint64_t aLease);
  // Returns the changes of keys with the prefix after revision `aAfter`.
  platform::change_batch ChangesSince(const std::string& aPrefix,
                                      platform::revision aAfter) const;
  milliseconds RandomDelay();
  // Returns true with the given probability.
  bool RandomBool(double aProbability);

  event_queue& mEvents;
  std::minstd_rand mRandom;
  platform::revision mRevision = 10;
  std::map<std::string, platform::record> mRecords;
  std::vector<platform::change> mHistory;
  std::map<std::uint64_t, lease> mLeases;
  std::uint64_t mLastLease = 0;
  std::map<std::uint64_t, pending_watch> mWatches;
  std::uint64_t mLastWatch = 0;
  std::size_t mCalls = 0;
  std::size_t mBytes = 0;
};

// Returns an error with the given code, as the fakes return it.
error
FakeFailure(error_code aCode);

// The host service: it lists hosts, and starts and stops runners and reboots
// hosts on request.
class fake_hosts
{
public:
  fake_hosts(event_queue& aEvents, std::uint64_t aSeed);

  // Adds a host, which is listed immediately.
  void Add(platform::host_info aHost);
  // Answers with the listed hosts, or with no hosts if the list has not changed
  // since the revision `aKnown`.
  void List(platform::revision aKnown,
            const std::function<void(result<platform::host_list>)>& aAnswer);
  // Starts the action unless its id is known already, and answers with its
  // current state.
  void StartAction(
    const platform::action_request& aRequest,
    const std::function<void(result<platform::action_status>)>& aAnswer);

  // Changes the state of a host. The list shows the change after
  // `mPublicationLag`. A host that is gone loses its runner.
  void SetState(const host_name& aHost, platform::host_state aState);
  // Returns the current state of the host, regardless of the publication lag.
  const platform::host_info& At(const host_name& aHost) const;

  // While true, each call ends with an unknown result.
  bool mDown = false;
  // If false, a host is not listed while it reboots.
  bool mListsRebooting = true;
  double mRebootFailureRate = 0;   // probability that a reboot fails
  milliseconds mRebootTime{ 600 }; // duration of a reboot
  // duration of a start or stop of a runner
  milliseconds mRunnerActionTime{ 200 };
  milliseconds mPublicationLag{ 300 }; // delay before a change is listed
  // Called when a runner is about to be stopped or a host to be rebooted.
  std::function<void(const platform::action_request&)> mOnRunnerStop;

private:
  struct started_action
  {
    platform::action_request mRequest;
    platform::action_state mState = platform::action_state::kPending;
  };

  void Finish(const std::string& aId, bool aFailed);
  // Lists the current state of all hosts after the publication lag.
  void PublishAfterLag();

  event_queue& mEvents;
  std::minstd_rand mRandom;
  platform::revision mRevision = 1;
  std::map<host_name, platform::host_info> mHosts;          // current state
  std::map<host_name, platform::host_info> mPublishedHosts; // state as listed
  std::map<std::string, started_action> mActions;
  std::set<host_name> mRebooting;
};

} // namespace mangospan::fleet::testing

#endif // MANGOSPAN_FLEET_TESTING_FAKE_PLATFORM_H
