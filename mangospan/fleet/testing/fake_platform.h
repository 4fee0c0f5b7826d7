// The platform's store and hosts in virtual time, with faults to order.
//
// The store keeps its whole history, so that a test can check what must hold at
// every revision:
//
//   fake_store store(events, seed);
//   store.mLostAnswers = 0.1;
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
using answer = std::function<void(store_result)>;

class fake_store
{
public:
  fake_store(event_queue& aEvents, std::uint64_t aSeed);

  // Carries the call out after a delay; answers exactly once.
  void Call(const store_operation& aOperation, const answer& aAnswer);

  // Writes at once, whatever the key's revision is.
  void Put(const std::string& aKey, const std::string& aValue);

  void Remove(const std::string& aKey);

  std::string Get(const std::string& aKey) const;
  platform::revision RevisionOf(const std::string& aKey) const;
  std::size_t Calls() const { return mCalls; }
  std::size_t Bytes() const { return mBytes; }

  bool mDown = false;       // nothing is carried out
  double mLostAnswers = 0;  // carried out, perhaps late, with an unknown result
  double mLostRequests = 0; // not carried out, with an unknown result
  std::function<void(const platform::change&)> mOnChange;

private:
  struct lease
  {
    time_point mEnds;
    milliseconds mTtl{ 0 };
    std::vector<std::string> mKeys;
  };
  struct waiting_watch
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
  void ExpireLater(std::uint64_t aLease);
  platform::change_batch Since(const std::string& aPrefix,
                               platform::revision aAfter) const;
  milliseconds Delay();
  bool Chance(double aShare);

  event_queue& mEvents;
  std::minstd_rand mRandom;
  platform::revision mRevision = 10;
  std::map<std::string, platform::record> mRecords;
  std::vector<platform::change> mHistory;
  std::map<std::uint64_t, lease> mLeases;
  std::uint64_t mLastLease = 0;
  std::map<std::uint64_t, waiting_watch> mWatches;
  std::uint64_t mLastWatch = 0;
  std::size_t mCalls = 0;
  std::size_t mBytes = 0;
};

// An error of the kind that the fake returns.
error
Failure(error_code aCode);

class fake_hosts
{
public:
  fake_hosts(event_queue& aEvents, std::uint64_t aSeed);

  void Add(platform::host_info aHost);
  void List(platform::revision aKnown,
            const std::function<void(result<platform::host_list>)>& aAnswer);
  void Act(const platform::action_request& aRequest,
           const std::function<void(result<platform::action_status>)>& aAnswer);

  // Changes what is true of a host; the list shows it after the lag.
  void SetState(const host_name& aHost, platform::host_state aState);
  const platform::host_info& At(const host_name& aHost) const;

  bool mDown = false;
  bool mListsRebooting = true; // false: a host is off the list as it reboots
  double mFailures = 0;        // of reboots
  milliseconds mRebootTime{ 600 };
  milliseconds mRunnerTime{ 200 };
  milliseconds mLag{ 300 };
  // Called when a runner is cut or a host rebooted.
  std::function<void(const platform::action_request&)> mOnCut;

private:
  struct started_action
  {
    platform::action_request mRequest;
    platform::action_state mState = platform::action_state::kPending;
  };

  void Finish(const std::string& aId, bool aFailed);
  void Touch();

  event_queue& mEvents;
  std::minstd_rand mRandom;
  platform::revision mRevision = 1;
  std::map<host_name, platform::host_info> mHosts;
  std::map<host_name, platform::host_info> mShown; // lags behind
  std::map<std::string, started_action> mActions;
  std::set<host_name> mRebooting;
};

} // namespace mangospan::fleet::testing

#endif // MANGOSPAN_FLEET_TESTING_FAKE_PLATFORM_H
