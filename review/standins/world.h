// A small deployment for one script: the platform's store and its service for
// machines, runners, and nodes as processes.
#ifndef REVIEW_STANDINS_WORLD_H
#define REVIEW_STANDINS_WORLD_H

#include <chrono>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <sys/types.h>

#include <nlohmann/json.hpp>

#include "mangospan/base/error.h"
#include "mangospan/base/time.h"
#include "mangospan/http/client.h"
#include "mangospan/http/server.h"
#include "platform/soak/store_server.h"
#include "runner.h"
#include "testing/scenario/event_loop.h"
#include "testing/scenario/free_ports.h"

namespace mangospan::review {

struct world_options
{
  std::string mProgram; // the node, as the deploy file starts it
  std::string mFolder;  // for settings and logs
  std::string mRecord;  // the file that tells what was sent, answered and run
  std::size_t mNodes = 3;
  std::size_t mRunners = 7;
  // The label of the last runner; that of the others is "a".
  std::string mLastLabel = "a";
};

// One process of the system.
struct node_handle
{
  std::string mName;
  std::string mCallerAddress;
  std::string mReadinessAddress;
  std::string mSettingsFile;
  pid_t mProcess = -1;
};

class world
{
public:
  static constexpr const char* kService = "survey-desk";
  static constexpr const char* kHost = "survey.example";
  static constexpr const char* kPrefix = "/checks/";
  static constexpr const char* kOtherPrefix = "/audits/";

  explicit world(world_options aOptions);
  ~world(); // ends the nodes
  world(const world&) = delete;
  world& operator=(const world&) = delete;

  // Starts everything and waits until all nodes are ready.
  status Start();
  // Sets how long the runs of the job's tasks last; zero: until stopped.
  void SetWork(const std::string& aJob, std::chrono::milliseconds aLength);
  // Writes the next version of the configuration, with the queue of `kPrefix`
  // or without it. The queue of `kOtherPrefix` is always there.
  void Configure(bool aHasQueue);

  // Calls a node, in turn. Returns the status, or 0 without a response.
  int Call(const std::string& aMethod,
           const std::string& aTarget,
           const std::string& aBody,
           std::chrono::milliseconds aWithin,
           std::string* aAnswer = nullptr);
  int Submit(const std::string& aJob, const nlohmann::json& aBody);
  // Returns the state that the caller is shown; empty if there is none.
  std::string StateOf(const std::string& aJob);

  void RunFor(std::chrono::milliseconds aDuration);
  bool RunUntil(const std::function<bool()>& aCondition,
                std::chrono::milliseconds aWithin);
  void Record(const std::string& aLine);
  std::vector<std::unique_ptr<runner>>& Runners() { return mRunners; }
  // Starts a runner that has crashed again, and lists it.
  void Restart(runner& aRunner);
  std::size_t CountRuns(const std::string& aTask);
  // Returns how many runs of the tasks that begin so were stopped by an order.
  std::size_t CountStops(const std::string& aPrefix) const;

private:
  status StartStore();
  status StartHostService();
  status AddRunner(std::size_t aIndex);
  status StartNode(std::size_t aIndex);
  void AnswerStore(const http::request& aRequest,
                   const http::responder& aRespond);
  http::response AnswerHosts(const http::request& aRequest);
  void AdvanceRunners();

  const world_options mOptions;
  const system_clock_source mClock;
  const time_point mStartedAt;
  std::ofstream mRecordFile;
  scenario::event_loop mLoop;
  scenario::free_ports mPorts;
  http::client mStoreClient;
  soak::store_server mStore;
  http::server mStoreFront;
  http::server mHostService;
  boost::asio::steady_timer mAdvanceTimer;
  std::vector<std::unique_ptr<runner>> mRunners;
  std::vector<node_handle> mNodes;
  std::map<std::string, std::chrono::milliseconds> mWork;
  std::vector<std::string> mStopLines;
  std::uint64_t mVersion = 0;
  std::size_t mNextNode = 0;
};

} // namespace mangospan::review

#endif // REVIEW_STANDINS_WORLD_H
