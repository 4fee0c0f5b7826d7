// Whole nodes of several availability zones in virtual time, with their store,
// runners and callers, for tests. Faults are injected at the store and at the
// network; every guarantee that one job can break is checked at the end.
//
//   virtual_cluster cluster({ "a", "b", "c" }, { "draft", "check" });
//   cluster.RunFor(std::chrono::seconds(3));
//   cluster.SetStoreSilent(true);
//   cluster.SetCut("a", true);
#ifndef MANGOSPAN_NODE_TESTING_VIRTUAL_CLUSTER_H
#define MANGOSPAN_NODE_TESTING_VIRTUAL_CLUSTER_H

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "mangospan/base/time.h"
#include "mangospan/base/timer.h"
#include "mangospan/customers/key_gate.h"
#include "mangospan/daemon/metrics.h"
#include "mangospan/jobs/testing/fake_runner.h"
#include "mangospan/node/node_process.h"
#include "mangospan/node/peer_link.h"
#include "mangospan/node/testing/runner_records.h"
#include "mangospan/node/testing/virtual_store.h"

namespace mangospan::node::testing {

class virtual_node;

// One caller's job and what became of its submission.
struct caller_record
{
  std::string mService;
  std::string mZone;
  time_point mFirstTryAt{};
  bool mIsAccepted = false;
  bool mMayHaveEffect = false; // some try had an unknown result
  bool mIsOver = false;
};

class virtual_cluster
{
public:
  // The time for which a caller tries to submit a job.
  static constexpr std::chrono::milliseconds kCallerPatience{ 3'000 };
  // The least Retry-After that a caller can be given, in whole seconds.
  static constexpr std::chrono::milliseconds kMinRetryAfter{ 1'000 };
  static constexpr std::size_t kNodesPerZone = 2;
  // The time after which the nodes refuse a revoked key.
  static constexpr std::chrono::milliseconds kRevocationBound{ 5'000 };

  // Each service has one queue of the same name, and a runner in each zone.
  virtual_cluster(std::vector<std::string> aZones,
                  const std::vector<std::string>& aServices);
  ~virtual_cluster();
  virtual_cluster(const virtual_cluster&) = delete;
  virtual_cluster& operator=(const virtual_cluster&) = delete;

  void RunFor(std::chrono::milliseconds aTime);
  void RunUntil(time_point aWhen);
  // Calls `aAction` after the delay.
  void After(std::chrono::milliseconds aDelay, std::function<void()> aAction);
  time_point Now() const { return mClock.Now(); }

  void SetStoreSilent(bool aIsSilent) { mStore.SetSilent(aIsSilent); }
  // From now on, decides what becomes of each transaction of the present nodes.
  void SetCommitFate(
    const std::function<commit_fate(const platform::transaction&)>& aFate);
  // Cuts the zone off from the store and from the other zones.
  void SetCut(const std::string& aZone, bool aIsCut);
  // Ends a node's process without notice and starts it again at once, or leaves
  // it down for good.
  void Restart(const std::string& aNode);
  void Kill(const std::string& aNode);

  // The operators write a configuration in which each queue needs one of these
  // keys of the only customer. It is confirmed at once.
  void SetKeys(const std::vector<std::string>& aKeys);
  // Returns how many nodes of the zone come to each verdict on a call to the
  // service with the key.
  std::map<customers::key_verdict, std::size_t> CheckKey(
    const std::string& aZone,
    const std::string& aService,
    const std::string& aKey) const;

  // Overwrites the entry of the service's runner in the zone with one that can
  // not be read.
  void SpoilRunner(const std::string& aService, const std::string& aZone);
  // Returns how many tasks have begun on that runner.
  std::size_t RunsBegunOn(const std::string& aService,
                          const std::string& aZone) const;

  // A caller of the zone submits a job of one task now, and again when told to.
  void Submit(const std::string& aService, const std::string& aZone);

  const std::vector<std::string>& Zones() const { return mZones; }
  // Returns the node that the store names as the holder of the service's lease;
  // empty if there is none.
  std::string LeaseHolder(const std::string& aService) const;
  std::string FleetLeaseHolder() const;
  // Ends the lease of the service's owner at the store.
  void RevokeLease(const std::string& aService);
  static std::string ZoneOf(const std::string& aNode);
  // Returns whether a node outside the zones that are cut off owns the
  // service's jobs and serves them.
  bool IsServed(const std::string& aService) const;
  // Returns the nodes that ask for callers, in order of their names.
  std::vector<std::string> ReadyNodes() const;
  // Returns the number of the service's owner's term in the store.
  std::uint64_t TermOf(const std::string& aService) const;
  const std::vector<std::shared_ptr<caller_record>>& Callers() const
  {
    return mCallers;
  }
  // Returns a description of each guarantee that was broken: a job accepted and
  // not stored, a job stored though its caller was told that it never runs, a
  // task that ran twice at the same time, and one that ran again after a run
  // that was done and acknowledged, earlier or later. Not the latter if the
  // runner's lease had expired by then: its owner could not wait for it any
  // longer.
  std::vector<std::string> Violations() const;

private:
  friend class virtual_node;
  friend class virtual_runners;
  friend class virtual_peers;

  struct task_history
  {
    std::set<std::string> mRunningOn;
    // Runs that were done, and whether another run began after them.
    std::map<std::uint32_t, bool> mDone;
    bool mIsDoneAcknowledged = false;
  };

  void AddRunner(const std::string& aService, const std::string& aZone);
  void OnBegin(const std::string& aRunner, const std::string& aTask);
  void OnEnd(const std::string& aRunner,
             const std::string& aTask,
             std::uint32_t aRun,
             jobs::run_end aEnd);
  void OnAcknowledged(const std::string& aTask,
                      std::uint32_t aRun,
                      jobs::run_end aEnd,
                      bool aHasLeaseExpired);
  std::unique_ptr<virtual_node> MakeNode(const std::string& aName);
  // Returns the node at the address, or null if it can not be reached from
  // `aZone`.
  virtual_node* FindReachable(const std::string& aAddress,
                              const std::string& aZone) const;
  bool IsReachable(const std::string& aFrom, const std::string& aTo) const;
  void Try(const std::string& aJob,
           const std::shared_ptr<caller_record>& aCaller);
  void OnReply(const std::string& aJob,
               const std::shared_ptr<caller_record>& aCaller,
               const job_reply& aReply);
  static std::string LeaseKey(const std::string& aSubject);
  std::string OwnerValue(const std::string& aKey, const char* aField) const;

  manual_clock mClock;
  const virtual_time_scope mScope{ mClock };
  boost::asio::io_context mIo;
  virtual_store mStore{ mIo, mClock };
  runner_records mFormat;
  const std::vector<std::string> mZones;
  std::set<std::string> mCutZones;
  std::map<std::string, std::unique_ptr<jobs::testing::fake_runner>> mRunners;
  std::map<std::string, std::unique_ptr<virtual_node>> mNodes; // by address
  // Processes that have ended; they reach nothing any more.
  std::vector<std::unique_ptr<virtual_node>> mEndedNodes;
  std::map<std::string, task_history> mTasks;
  std::map<std::string, std::size_t> mBegun; // runs by runner
  std::vector<std::shared_ptr<caller_record>> mCallers;
  std::map<std::string, std::shared_ptr<caller_record>> mCallersByJob;
  std::vector<std::string> mViolations;
  std::size_t mTries = 0;
};

} // namespace mangospan::node::testing

#endif // MANGOSPAN_NODE_TESTING_VIRTUAL_CLUSTER_H
