// A small deployment: the platform's store and its interface for machines,
// runners, and nodes that run as processes of their own.
#ifndef REVIEW_STANDINS_2_DEPLOYMENT_H
#define REVIEW_STANDINS_2_DEPLOYMENT_H

#include <sys/types.h>

#include <chrono>
#include <cstddef>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "mangospan/base/error.h"
#include "mangospan/base/time.h"
#include "mangospan/http/client.h"
#include "mangospan/http/server.h"
#include "mangospan/jobs/orders.h"
#include "mangospan/node/testing/virtual_store.h"
#include "platform/soak/store_server.h"
#include "review/standins-2/runner.h"
#include "review/standins-2/store_gate.h"

namespace mangospan::review {

// A queue of the operators' configuration.
struct route
{
  std::string mName;
  std::string mService;
};

// A runner to add: its pool, its kind and its room in thousandths of a core.
struct runner_spec
{
  std::string mService;
  std::string mKind;
  std::int64_t mCpu = 0;
};

struct node_process_handle
{
  std::string mName;
  std::string mSettingsFile;
  std::string mCallerAddress;
  std::string mReadinessAddress;
  std::shared_ptr<store_gate> mStoreLink;
  pid_t mProcess = 0; // 0: not running
};

// A machine as the platform's interface for machines knows it.
struct machine
{
  std::shared_ptr<runner> mRunner;
  std::uint64_t mToken = 0;      // the highest one of an order
  std::set<std::uint64_t> mDone; // waves for which it had its upkeep
  bool mIsInUpkeep = false;
};

// An upkeep order that has arrived at the platform.
struct upkeep_order
{
  std::string mMachine;
  std::uint64_t mWave = 0;
  std::uint64_t mToken = 0;
  std::string mHolder;
};

// A begin of a work unit's run, or its end if `mEnd` is not empty.
struct run_event
{
  time_point mAt;
  std::string mTask;
  std::uint32_t mRun = 0;
  std::string mRunner;
  std::string mEnd;
};

class deployment
{
public:
  // Writes what happens to `aRecordFile`.
  explicit deployment(const std::string& aRecordFile);
  ~deployment(); // ends the nodes
  deployment(const deployment&) = delete;
  deployment& operator=(const deployment&) = delete;

  // Starts the platform, the runners and the nodes, and waits until each node
  // is ready. Returns false if that fails.
  bool Start(const std::vector<route>& aRoutes,
             const std::vector<std::string>& aServices,
             const std::vector<runner_spec>& aRunners,
             std::size_t aNodes);

  void Note(const std::string& aText);
  time_point Now() const { return mClock.Now(); }
  void RunFor(std::chrono::milliseconds aTime);
  // Returns whether the condition held within the time.
  bool RunUntil(const std::function<bool()>& aCondition,
                std::chrono::milliseconds aWithin);
  void After(std::chrono::milliseconds aDelay, std::function<void()> aAction);

  // The operator writes the next version of the configuration.
  void Configure(const std::vector<route>& aRoutes);
  void SetStoreSilent(bool aIsSilent);
  // Cuts a node off from the store for this time; connections are refused.
  void CutFromStoreFor(std::size_t aNode, std::chrono::milliseconds aTime);
  // Returns the node that has last claimed the service's jobs in the store. For
  // the choice of the node to disturb only.
  std::size_t HolderOf(const std::string& aService);
  // Another writer replaces the entry of the runner in the store. The runner
  // writes its own again after `aTime`.
  void WriteForeignEntry(const std::string& aRunner,
                         std::chrono::milliseconds aTime);
  // The operator asks for a maintenance wave of all machines.
  void RequestWave(std::uint64_t aWave, std::size_t aCap);
  // Returns how late the platform carries an upkeep order out; such an order
  // gets no answer.
  void SetUpkeepDelay(
    std::function<std::chrono::milliseconds(const upkeep_order&)> aDelay);
  // The most machines that were down for their upkeep at the same time.
  std::size_t MostInUpkeep() const { return mMostInUpkeep; }
  std::size_t UpkeepCount() const { return mUpkeeps; }
  // A node's process is killed, and started again after `aDown`.
  void KillFor(std::size_t aNode, std::chrono::milliseconds aDown);
  // A node's process gets SIGTERM, and is started again `aDown` after its end.
  void Restart(const std::string& aNode, std::chrono::milliseconds aDown);
  // Called for each begin of a run.
  void OnRunBegins(std::function<void(const run_event&)> aHandler);
  // A runner is lost for good. Its entry lapses after three status report
  // intervals.
  void Lose(runner& aRunner);
  // A runner crashes and is back, under its id, after `aDown`.
  void CrashFor(runner& aRunner, std::chrono::milliseconds aDown);

  // Sends a caller's request to a node and notes request and answer.
  // `aOnAnswer` gets the status, 0 if there was no answer in time.
  void Ask(
    std::size_t aNode,
    const std::string& aMethod,
    const std::string& aQueue,
    const std::string& aJob,
    const std::string& aBody,
    std::function<void(int aStatus, const std::string& aBody)> aOnAnswer);
  // The same, waited for. Returns the status.
  int AskNow(std::size_t aNode,
             const std::string& aMethod,
             const std::string& aQueue,
             const std::string& aJob,
             const std::string& aBody = "");
  // Returns the state of the job as shown to a caller, or an empty text.
  std::string StateOf(std::size_t aNode,
                      const std::string& aQueue,
                      const std::string& aJob);

  const std::vector<std::shared_ptr<runner>>& Runners() const
  {
    return mRunners;
  }
  const std::vector<run_event>& RunEvents() const { return mRunEvents; }
  std::size_t NodeCount() const { return mNodes.size(); }

private:
  std::string Configuration() const;
  status AddMachine(const runner_spec& aSpec);
  status AddRunner(jobs::runner_info aInfo);
  void Register(const runner& aRunner);
  void AnswerCloud(const http::request& aRequest,
                   const http::responder& aRespond);
  http::response ListMachines() const;
  http::response BeginUpkeep(const upkeep_order& aOrder);
  void EndUpkeep(const std::string& aMachine);
  bool AddNode(std::size_t aIndex);
  void StartAfterEnd(std::size_t aNode, std::chrono::milliseconds aDown);
  bool IsReady(const node_process_handle& aNode);
  void AdvanceRunners();

  boost::asio::io_context mIo;
  const system_clock_source mClock;
  const time_point mStartedAt;
  std::ofstream mRecord;
  std::string mFolder;
  soak::store_server mStore;
  http::server mCloud;
  http::client mClient;
  std::vector<std::shared_ptr<runner>> mRunners; // also ended ones
  std::map<std::string, machine> mMachines;
  std::map<std::uint64_t, std::size_t> mCaps; // by wave
  std::function<std::chrono::milliseconds(const upkeep_order&)> mUpkeepDelay;
  std::size_t mMostInUpkeep = 0;
  std::size_t mUpkeeps = 0;
  std::vector<node_process_handle> mNodes;
  std::vector<run_event> mRunEvents;
  std::function<void(const run_event&)> mOnRunBegins;
  std::vector<route> mRoutes;
  std::vector<std::string> mServices;
  std::uint64_t mVersion = 1;
};

} // namespace mangospan::review

#endif // REVIEW_STANDINS_2_DEPLOYMENT_H
