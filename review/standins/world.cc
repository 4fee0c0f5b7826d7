#include "world.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <utility>

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "mangospan/node/testing/virtual_store.h"
#include "platform/internal/base64.h"

namespace mangospan::review {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kStartTimeout{ 15'000 };
constexpr milliseconds kStopTimeout{ 6'000 };
constexpr milliseconds kCallTimeout{ 500 };
constexpr milliseconds kRequestDeadline{ 3'000 };
constexpr milliseconds kStoreTimeout{ 40'000 }; // longer than a watch waits
constexpr milliseconds kAdvanceInterval{ 5 };
// The largest value that the platform's store takes.
constexpr std::size_t kMaxValueBytes = 1'048'576;
constexpr std::size_t kRunnersPerRack = 4;
constexpr int kMaxDescriptors = 1'024;

json
Route(const char* aName, const char* aPrefix)
{
  return { { "name", aName },
           { "host", world::kHost },
           { "prefix", aPrefix },
           { "kind", "unsafe" },
           { "service", world::kService },
           { "priority", 0 },
           { "max-attempts", 4 },
           { "stretch", 1.6 },
           { "target-latency-ms", 600 },
           { "timeout-ms", 3'000 } };
}

bool
HasTooLargeValue(const json& aTransaction)
{
  const json puts = aTransaction.value("puts", json::array());
  return std::any_of(puts.begin(), puts.end(), [](const json& aPut) {
    const auto value =
      adapter::internal::DecodeBase64(aPut.value("value", std::string()));
    return value.has_value() && value.assume_value().size() > kMaxValueBytes;
  });
}

} // namespace

world::world(world_options aOptions)
  : mOptions(std::move(aOptions))
  , mStartedAt(mClock.Now())
  , mRecordFile(mOptions.mRecord)
  , mStoreClient(mLoop.Io(), http::client_options{})
  , mStore(mLoop.Io(), mClock)
  , mStoreFront(
      mLoop.Io(),
      {},
      [this](const http::request& aRequest, const http::responder& aRespond) {
        AnswerStore(aRequest, aRespond);
      })
  , mHostService(
      mLoop.Io(),
      {},
      [this](const http::request& aRequest, const http::responder& aRespond) {
        aRespond(AnswerHosts(aRequest));
      })
  , mAdvanceTimer(mLoop.Io())
{
}

world::~world()
{
  for (const node_handle& each : mNodes) {
    if (each.mProcess > 0) {
      kill(each.mProcess, SIGTERM);
    }
  }
  const time_point end = mClock.Now() + kStopTimeout;
  for (const node_handle& each : mNodes) {
    int ignored = 0;
    while (each.mProcess > 0 &&
           waitpid(each.mProcess, &ignored, WNOHANG) == 0) {
      if (mClock.Now() >= end) {
        kill(each.mProcess, SIGKILL);
      }
      mLoop.RunFor(milliseconds(20));
    }
  }
}

status
world::Start()
{
  BOOST_OUTCOME_TRYV(mStore.Listen());
  BOOST_OUTCOME_TRYV(mStoreFront.Listen("127.0.0.1:0"));
  BOOST_OUTCOME_TRYV(mHostService.Listen("127.0.0.1:0"));
  for (std::size_t i = 0; i < mOptions.mRunners; ++i) {
    BOOST_OUTCOME_TRYV(AddRunner(i));
  }
  AdvanceRunners();
  Configure(true);
  for (std::size_t i = 0; i < mOptions.mNodes; ++i) {
    BOOST_OUTCOME_TRYV(StartNode(i));
  }
  const auto areReady = [this] {
    return std::all_of(mNodes.begin(), mNodes.end(), [this](const auto& aNode) {
      const auto answer = mLoop.Call(
        aNode.mReadinessAddress, scenario::Get("/readiness"), kCallTimeout);
      return answer.has_value() && answer.assume_value().mStatus == 200;
    });
  };
  if (!RunUntil(areReady, kStartTimeout)) {
    return error{ error_code::kTimeout, "world.start", "", "not ready" };
  }
  Record("all nodes are ready");
  return boost::outcome_v2::success();
}

status
world::AddRunner(std::size_t aIndex)
{
  BOOST_OUTCOME_TRY(address, mPorts.NewAddress());
  runner_options options;
  options.mName = "i-" + std::to_string(aIndex + 1);
  options.mAddress = address;
  options.mService = kService;
  options.mMachine = "m-" + std::to_string(aIndex + 1);
  options.mRack = "r-" + std::to_string(aIndex / kRunnersPerRack + 1);
  options.mLabel = aIndex + 1 == mOptions.mRunners ? mOptions.mLastLabel : "a";
  mRunners.push_back(std::make_unique<runner>(
    mLoop.Io(),
    mClock,
    std::move(options),
    [this](const std::string& aTask) {
      const auto found = mWork.find(aTask.substr(0, aTask.find('.')));
      return found == mWork.end() ? milliseconds(0) : found->second;
    },
    [this](const std::string& aLine) {
      Record(aLine);
      if (aLine.find(" ends stopped") != std::string::npos) {
        mStopLines.push_back(aLine);
      }
    }));
  BOOST_OUTCOME_TRYV(mRunners.back()->Start());
  mStore.Store().Put("servers/" + mRunners.back()->Options().mName,
                     mRunners.back()->DiscoveryRecord());
  return boost::outcome_v2::success();
}

void
world::Restart(runner& aRunner)
{
  if (!aRunner.Start().has_value()) {
    Record("runner " + aRunner.Options().mName + " can not start again");
    return;
  }
  mStore.Store().Put("servers/" + aRunner.Options().mName,
                     aRunner.DiscoveryRecord());
}

status
world::StartNode(std::size_t aIndex)
{
  node_handle node;
  node.mName = "front-" + std::to_string(aIndex + 1);
  BOOST_OUTCOME_TRY(callerAddress, mPorts.NewAddress());
  BOOST_OUTCOME_TRY(readinessAddress, mPorts.NewAddress());
  BOOST_OUTCOME_TRY(nodeAddress, mPorts.NewAddress());
  BOOST_OUTCOME_TRY(operatorAddress, mPorts.NewAddress());
  node.mCallerAddress = callerAddress;
  node.mReadinessAddress = readinessAddress;
  node.mSettingsFile = mOptions.mFolder + "/" + node.mName + ".json";
  std::ofstream(node.mSettingsFile) << json{
    { "node", node.mName },
    { "zone", "zone-" + std::to_string(aIndex % 2 + 1) },
    { "caller_address", callerAddress },
    { "readiness_address", readinessAddress },
    { "node_address", nodeAddress },
    { "operator_address", operatorAddress },
    { "store_address", "127.0.0.1:" + std::to_string(mStoreFront.Port()) },
    { "host_service_address",
      "127.0.0.1:" + std::to_string(mHostService.Port()) },
    { "host_orders_per_s", 64.0 },
    { "link_mbps", 1000.0 },
    { "processor_share", 0.25 },
    { "max_connections", 1500 },
    { "stop_timeout_ms", 6'000 },
    { "host_lease_ms", 3'000 }
  }.dump(2);
  const std::string log = mOptions.mFolder + "/" + node.mName + ".log";
  std::string variable = "MANGOSPAN_SETTINGS=" + node.mSettingsFile;
  std::string program = mOptions.mProgram;
  std::array<char*, 2> arguments{ program.data(), nullptr };
  std::array<char*, 2> variables{ variable.data(), nullptr };
  node.mProcess = fork();
  if (node.mProcess == 0) {
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    for (int each = STDERR_FILENO + 1; each < kMaxDescriptors; ++each) {
      close(each); // a runner that has crashed must not listen on
    }
    execve(program.c_str(), arguments.data(), variables.data());
    _exit(127);
  }
  mNodes.push_back(std::move(node));
  return boost::outcome_v2::success();
}

void
world::SetWork(const std::string& aJob, milliseconds aLength)
{
  mWork[aJob] = aLength;
}

void
world::Configure(bool aHasQueue)
{
  json routes = json::array({ Route("r-audits", kOtherPrefix) });
  if (aHasQueue) {
    routes.push_back(Route("r-checks", kPrefix));
  }
  mVersion += 3;
  mStore.Store().Put("op/config",
                     json{ { "version", mVersion },
                           { "routes", std::move(routes) },
                           { "services",
                             json::array({ { { "name", kService },
                                             { "enforces-capacity", false },
                                             { "spare", false } } }) },
                           { "limits", json::object() } }
                       .dump());
  Record("operator: version " + std::to_string(mVersion) +
         (aHasQueue ? " with " : " without ") + "the queue of " + kPrefix);
}

// The store itself has no limit on the size of a value.
void
world::AnswerStore(const http::request& aRequest,
                   const http::responder& aRespond)
{
  if (http::Path(aRequest) == "/kv-txn" &&
      HasTooLargeValue(json::parse(aRequest.mBody, nullptr, false))) {
    Record("store: 400, a value is over its limit");
    aRespond(http::JsonResponse(400, "{}"));
    return;
  }
  http::request forwarded = aRequest;
  forwarded.Remove("Host");
  mStoreClient.Send(mStore.Address(),
                    std::move(forwarded),
                    kStoreTimeout,
                    [aRespond](const result<http::response>& aResult) {
                      aRespond(aResult.has_value()
                                 ? aResult.assume_value()
                                 : http::JsonResponse(503, "{}"));
                    });
}

// No machine has to move: there is one pool, and no wave.
http::response
world::AnswerHosts(const http::request& aRequest)
{
  if (http::Path(aRequest) != "/machines") {
    return http::JsonResponse(409, json{ { "reason", "busy" } }.dump());
  }
  json machines = json::array();
  for (const auto& each : mRunners) {
    const runner_options& options = each->Options();
    machines.push_back(
      { { "machine", options.mMachine },
        { "pool", options.mService },
        { "state", each->IsUp() ? "up" : "down" },
        { "zone", "zone-1" },
        { "labels", json::array({ options.mLabel, options.mRack }) },
        { "capacity",
          { { "cpu", options.mCpu },
            { "task-memory-mb", 65'536 },
            { "gpus", 0 } } },
        { "id", options.mName } });
  }
  return http::JsonResponse(
    200,
    json{ { "machines", std::move(machines) }, { "next-page-token", nullptr } }
      .dump());
}

void
world::AdvanceRunners()
{
  for (const auto& each : mRunners) {
    if (each->IsUp()) {
      each->Advance();
    }
  }
  mAdvanceTimer.expires_after(kAdvanceInterval);
  mAdvanceTimer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      AdvanceRunners();
    }
  });
}

int
world::Call(const std::string& aMethod,
            const std::string& aTarget,
            const std::string& aBody,
            milliseconds aWithin,
            std::string* aAnswer)
{
  const node_handle& node = mNodes[mNextNode++ % mNodes.size()];
  http::request request;
  request.mMethod = aMethod;
  request.mTarget = aTarget;
  request.mBody = aBody;
  request.Set("Host", kHost);
  request.Set("Content-Type", "application/json");
  request.Set("X-Request-Deadline", std::to_string(aWithin.count()));
  const auto answer =
    mLoop.Call(node.mCallerAddress, std::move(request), aWithin);
  const int status = answer.has_value() ? answer.assume_value().mStatus : 0;
  const std::string text =
    answer.has_value() ? answer.assume_value().mBody : "no response";
  Record(aMethod + " " + aTarget + " at " + node.mName + " -> " +
         std::to_string(status) + " " + text);
  if (aAnswer != nullptr) {
    *aAnswer = text;
  }
  return status;
}

int
world::Submit(const std::string& aJob, const json& aBody)
{
  return Call("POST", kPrefix + aJob, aBody.dump(), kRequestDeadline);
}

std::string
world::StateOf(const std::string& aJob)
{
  std::string answer;
  const int status = Call("GET", kPrefix + aJob, "", kRequestDeadline, &answer);
  const json body = json::parse(answer, nullptr, false);
  return status == 200 && body.is_object() ? body.value("state", std::string())
                                           : std::string();
}

void
world::RunFor(milliseconds aDuration)
{
  mLoop.RunFor(aDuration);
}

bool
world::RunUntil(const std::function<bool()>& aCondition, milliseconds aWithin)
{
  return mLoop.RunUntil(aCondition, aWithin);
}

std::size_t
world::CountRuns(const std::string& aTask)
{
  return static_cast<std::size_t>(
    std::count_if(mRunners.begin(), mRunners.end(), [&](const auto& aEach) {
      return aEach->AgeOf(aTask).count() >= 0;
    }));
}

std::size_t
world::CountStops(const std::string& aPrefix) const
{
  return static_cast<std::size_t>(std::count_if(
    mStopLines.begin(), mStopLines.end(), [&](const std::string& aLine) {
      return aLine.rfind("run " + aPrefix, 0) == 0;
    }));
}

void
world::Record(const std::string& aLine)
{
  std::array<char, 32> at{};
  const auto elapsed =
    std::chrono::duration<double>(mClock.Now() - mStartedAt).count();
  std::snprintf(at.data(), at.size(), "%8.3f s  ", elapsed);
  mRecordFile << at.data() << aLine << std::endl;
}

} // namespace mangospan::review
