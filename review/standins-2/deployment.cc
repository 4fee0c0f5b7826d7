#include "review/standins-2/deployment.h"

#include <csignal>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "mangospan/http/message.h"

namespace mangospan::review {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr const char* kProgram = "target/bin/mangospan-node";
constexpr milliseconds kCallerWaits{ 3'000 };
constexpr milliseconds kStartTimeout{ 15'000 };
constexpr milliseconds kReadinessTimeout{ 500 };
constexpr milliseconds kReadinessInterval{ 100 };
constexpr milliseconds kAdvanceInterval{ 5 };
constexpr milliseconds kStep{ 5 };
// Figures of the deployments' settings.
constexpr double kProcessorShare = 0.25;
constexpr double kLinkMbps = 1'000;
constexpr int kStopTimeoutMs = 6'000;
constexpr int kHostLeaseMs = 3'000;
constexpr double kHostOrdersPerSecond = 64;
constexpr std::int64_t kMemoryMb = 64'000;
constexpr std::size_t kRunnersPerRack = 4;
constexpr milliseconds kEntryLapse{ 4'500 };
constexpr milliseconds kExitCheckInterval{ 20 };
constexpr milliseconds kMaintenanceTime{ 2'000 };
constexpr int kCompleteBySeconds = 60;

// Returns an address whose port is free now. Each node has a loopback IP
// address of its own, so that no other process takes the port before the node
// does.
std::string
FreeAddress(boost::asio::io_context& aIo, std::size_t aNode)
{
  using boost::asio::ip::tcp;
  constexpr pid_t kNetworks = 200;
  const std::string ip = "127." + std::to_string(1 + getpid() % kNetworks) +
                         "." + std::to_string(aNode + 1) + ".1";
  const tcp::acceptor probe(
    aIo, tcp::endpoint(boost::asio::ip::make_address(ip), 0));
  return ip + ":" + std::to_string(probe.local_endpoint().port());
}

std::string
HostOf(const std::string& aQueue)
{
  return aQueue + ".example";
}

pid_t
StartProgram(const std::string& aSettingsFile, const std::string& aLogFile)
{
  const std::string settings = "MANGOSPAN_SETTINGS=" + aSettingsFile;
  const pid_t child = fork();
  if (child != 0) {
    return child;
  }
  prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with the stand-ins
  const int log = open(aLogFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  for (int i = STDERR_FILENO + 1; i < 1024; ++i) {
    close(i);
  }
  std::string program = kProgram;
  std::string variable = settings;
  std::array<char*, 2> arguments{ program.data(), nullptr };
  std::array<char*, 2> environment{ variable.data(), nullptr };
  execve(kProgram, arguments.data(), environment.data());
  _exit(127);
}

} // namespace

deployment::deployment(const std::string& aRecordFile)
  : mStartedAt(mClock.Now())
  , mRecord(aRecordFile)
  , mStore(mIo, mClock)
  , mCloud(
      mIo,
      {},
      [this](const http::request& aRequest, const http::responder& aRespond) {
        AnswerCloud(aRequest, aRespond);
      })
  , mClient(mIo, {})
{
  std::string folder =
    (std::filesystem::temp_directory_path() / "mangospan-review-XXXXXX")
      .string();
  if (mkdtemp(folder.data()) != nullptr) {
    mFolder = folder;
  }
}

deployment::~deployment()
{
  for (const node_process_handle& each : mNodes) {
    if (each.mProcess > 0) {
      kill(each.mProcess, SIGKILL);
      waitpid(each.mProcess, nullptr, 0);
    }
  }
  if (std::getenv("REVIEW_KEEP") != nullptr) {
    std::cerr << "kept " << mFolder << "\n";
  } else if (!mFolder.empty()) {
    std::error_code ignored;
    std::filesystem::remove_all(mFolder, ignored);
  }
}

void
deployment::Note(const std::string& aText)
{
  const double seconds =
    static_cast<double>(CountMilliseconds(mClock.Now() - mStartedAt)) / 1'000;
  std::array<char, 32> time{};
  std::snprintf(time.data(), time.size(), "%8.3f ", seconds);
  mRecord << time.data() << aText << std::endl;
}

void
deployment::RunFor(milliseconds aTime)
{
  RunUntil([] { return false; }, aTime);
}

bool
deployment::RunUntil(const std::function<bool()>& aCondition,
                     milliseconds aWithin)
{
  const time_point end = mClock.Now() + aWithin;
  while (mClock.Now() < end) {
    if (aCondition()) {
      return true;
    }
    mIo.run_for(kStep);
    mIo.restart();
  }
  return aCondition();
}

void
deployment::After(milliseconds aDelay, std::function<void()> aAction)
{
  const auto waiting = std::make_shared<boost::asio::steady_timer>(mIo, aDelay);
  waiting->async_wait([waiting, action = std::move(aAction)](
                        const boost::system::error_code& aError) {
    if (!aError) {
      action();
    }
  });
}

std::string
deployment::Configuration() const
{
  json routes = json::array();
  for (const route& each : mRoutes) {
    routes.push_back({ { "name", each.mName },
                       { "host", HostOf(each.mName) },
                       { "prefix", "/" + each.mName + "/" },
                       { "service", each.mService },
                       { "priority", 0 },
                       { "max-attempts", 4 },
                       { "stretch", 1.6 },
                       { "target-latency-ms", 600 },
                       { "timeout-ms", 3'000 } });
  }
  json services = json::array();
  for (const std::string& each : mServices) {
    services.push_back({ { "name", each } });
  }
  return json{
    { "version", mVersion },
    { "routes", std::move(routes) },
    { "services", std::move(services) },
    { "limits", json::object() }
  }.dump();
}

void
deployment::Configure(const std::vector<route>& aRoutes)
{
  mRoutes = aRoutes;
  mVersion += 3; // versions rise in uneven steps
  mStore.Store().Put("op/config", Configuration());
  std::string text;
  for (const route& each : mRoutes) {
    text += " " + each.mName + "->" + each.mService;
  }
  Note("operator: configuration " + std::to_string(mVersion) +
       " confirmed:" + text);
}

void
deployment::SetStoreSilent(bool aIsSilent)
{
  mStore.Store().SetSilent(aIsSilent);
  Note(aIsSilent ? "store: down (silent)" : "store: back");
}

void
deployment::CutFromStoreFor(std::size_t aNode, milliseconds aTime)
{
  const node_process_handle& node = mNodes[aNode];
  node.mStoreLink->Cut();
  Note(node.mName + " is cut off from the store");
  After(aTime, [this, link = node.mStoreLink, name = node.mName] {
    if (link->Open()) {
      Note(name + " reaches the store again");
    }
  });
}

std::size_t
deployment::HolderOf(const std::string& aService)
{
  const json claim = json::parse(
    mStore.Store().Value("mangospan/own/jobs/" + aService + "/term"),
    nullptr,
    false);
  const std::string holder =
    claim.is_object() ? claim.value("node", std::string()) : std::string();
  const auto found =
    std::find_if(mNodes.begin(), mNodes.end(), [&holder](const auto& aEach) {
      return aEach.mName == holder;
    });
  return static_cast<std::size_t>(found - mNodes.begin());
}

void
deployment::WriteForeignEntry(const std::string& aRunner, milliseconds aTime)
{
  const auto found =
    std::find_if(mRunners.begin(), mRunners.end(), [&](const auto& aEach) {
      return aEach->Name() == aRunner;
    });
  if (found == mRunners.end()) {
    return;
  }
  json entry = json::parse((*found)->DiscoveryRecord());
  entry["slots"] = "eight"; // not a number
  entry.erase("sequence");
  entry["born"] = std::chrono::duration_cast<milliseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count();
  const std::string text = entry.dump();
  mStore.Store().Put("servers/" + aRunner, text);
  Note("another writer: servers/" + aRunner + " = " + text);
  After(aTime, [this, restored = *found] {
    Register(*restored);
    Note("runner " + restored->Name() + " writes its own entry again");
  });
}

void
deployment::OnRunBegins(std::function<void(const run_event&)> aHandler)
{
  mOnRunBegins = std::move(aHandler);
}

void
deployment::Register(const runner& aRunner)
{
  mStore.Store().Put("servers/" + aRunner.Name(), aRunner.DiscoveryRecord());
}

void
deployment::CrashFor(runner& aRunner, milliseconds aDown)
{
  aRunner.Crash();
  After(aDown, [this, &aRunner] {
    if (aRunner.Boot()) {
      Register(aRunner);
    }
  });
}

void
deployment::Lose(runner& aRunner)
{
  aRunner.GoDark();
  After(kEntryLapse, [this, name = aRunner.Name()] {
    mStore.Store().Delete("servers/" + name);
    Note("store: the entry of " + name + " has lapsed");
  });
}

status
deployment::AddMachine(const runner_spec& aSpec)
{
  const std::string number = std::to_string(mMachines.size() + 1);
  const std::string rack =
    "rack-" + std::to_string(mMachines.size() / kRunnersPerRack + 1);
  jobs::runner_info info;
  info.mService = service_name{ aSpec.mService };
  info.mZone = zone_name{ "zone-1" };
  info.mHost = host_name{ "machine-" + number };
  info.mRack = rack_name{ rack };
  info.mLabels = { aSpec.mKind, rack };
  info.mCapacity = { aSpec.mCpu, kMemoryMb, 0 };
  return AddRunner(std::move(info));
}

// Adds the next runner of a machine.
status
deployment::AddRunner(jobs::runner_info aInfo)
{
  aInfo.mName =
    jobs::runner_name{ "worker-" + std::to_string(mRunners.size() + 1) };
  aInfo.mAddress.clear();
  const std::string name = aInfo.mName.Str();
  const std::string host = aInfo.mHost.Str();
  const runner_events events{
    [this](const std::string& aText) { Note(aText); },
    [this, name](const std::string& aTask, std::uint32_t aRun) {
      Note(name + " starts " + aTask + "/" + std::to_string(aRun));
      mRunEvents.push_back({ mClock.Now(), aTask, aRun, name, "" });
      if (mOnRunBegins) {
        mOnRunBegins(mRunEvents.back());
      }
    },
    [this,
     name](const std::string& aTask, std::uint32_t aRun, jobs::run_end aEnd) {
      Note(name + " ends " + aTask + "/" + std::to_string(aRun) + " " +
           Word(aEnd));
      mRunEvents.push_back({ mClock.Now(), aTask, aRun, name, Word(aEnd) });
    }
  };
  auto added = std::make_shared<runner>(mIo, mClock, std::move(aInfo), events);
  BOOST_OUTCOME_TRYV(added->Boot());
  Register(*added);
  mMachines[host].mRunner = added;
  mRunners.push_back(std::move(added));
  return boost::outcome_v2::success();
}

http::response
deployment::ListMachines() const
{
  json machines = json::array();
  for (const auto& [name, each] : mMachines) {
    const jobs::runner_info& info = each.mRunner->Info();
    const bool isUp = each.mRunner->IsUp();
    machines.push_back({ { "machine", name },
                         { "pool", info.mService.Str() },
                         { "state",
                           each.mIsInUpkeep ? "upkeep"
                           : isUp           ? "up"
                                            : "down" },
                         { "zone", info.mZone.Str() },
                         { "labels", info.mLabels },
                         { "capacity",
                           { { "cpu", info.mCapacity.mCpu },
                             { "task-memory-mb", info.mCapacity.mMemoryMb },
                             { "gpus", 0 } } },
                         { "id", isUp ? info.mName.Str() : "" } });
  }
  return http::JsonResponse(
    200,
    json{ { "machines", std::move(machines) }, { "next-page-token", "" } }
      .dump());
}

// Answers upkeep orders and listings. No move is expected: no pool of the cases
// lacks room.
void
deployment::AnswerCloud(const http::request& aRequest,
                        const http::responder& aRespond)
{
  const std::string_view path = http::Path(aRequest);
  if (path == "/machines") {
    aRespond(ListMachines());
    return;
  }
  if (path != "/machine-upkeep") {
    aRespond(http::JsonResponse(429, "{}"));
    return;
  }
  const json body = json::parse(aRequest.mBody);
  const upkeep_order order{ body.at("machine").get<std::string>(),
                            body.at("wave").get<std::uint64_t>(),
                            std::stoull(
                              std::string(aRequest.Get("X-Fencing-Token"))),
                            std::string(aRequest.Get("X-Lease-Holder")) };
  const std::string text =
    "upkeep of " + order.mMachine + " for wave " + std::to_string(order.mWave) +
    " by " + order.mHolder + ", token " + std::to_string(order.mToken);
  const milliseconds delay =
    mUpkeepDelay ? mUpkeepDelay(order) : milliseconds(0);
  if (delay.count() == 0) {
    const http::response answer = BeginUpkeep(order);
    Note("platform: " + text + " -> " + std::to_string(answer.mStatus) + " " +
         answer.mBody);
    aRespond(answer);
    return;
  }
  Note("platform: " + text + " gets no answer, is carried out " +
       std::to_string(delay.count()) + " ms later");
  // The responder is kept, so that the channel stays silent.
  After(delay, [this, text, order, aRespond] {
    const http::response answer = BeginUpkeep(order);
    Note("platform: late " + text + " -> " + std::to_string(answer.mStatus) +
         " " + answer.mBody);
  });
}

http::response
deployment::BeginUpkeep(const upkeep_order& aOrder)
{
  const auto found = mMachines.find(aOrder.mMachine);
  if (found == mMachines.end()) {
    return http::JsonResponse(400, "{}");
  }
  machine& target = found->second;
  if (aOrder.mToken < target.mToken) {
    return http::JsonResponse(409, R"({"reason":"fence"})");
  }
  target.mToken = aOrder.mToken;
  if (mCaps.count(aOrder.mWave) == 0) {
    return http::JsonResponse(409, R"({"reason":"wave"})");
  }
  if (target.mDone.count(aOrder.mWave) > 0) {
    return http::JsonResponse(200, "{}"); // done already
  }
  if (target.mIsInUpkeep || !target.mRunner->IsUp()) {
    return http::JsonResponse(409, R"({"reason":"busy"})");
  }
  target.mDone.insert(aOrder.mWave);
  target.mIsInUpkeep = true;
  ++mUpkeeps;
  target.mRunner->Crash(); // everything there ends at once
  mStore.Store().Delete("servers/" + target.mRunner->Name());
  const auto down = static_cast<std::size_t>(
    std::count_if(mMachines.begin(), mMachines.end(), [](const auto& aEntry) {
      return aEntry.second.mIsInUpkeep;
    }));
  mMostInUpkeep = std::max(mMostInUpkeep, down);
  Note("platform: " + aOrder.mMachine + " is down for its upkeep, as " +
       std::to_string(down) + " of its wave now");
  After(kMaintenanceTime, [this, name = aOrder.mMachine] { EndUpkeep(name); });
  return http::JsonResponse(200, "{}");
}

void
deployment::EndUpkeep(const std::string& aMachine)
{
  machine& back = mMachines.at(aMachine);
  back.mIsInUpkeep = false;
  Note("platform: " + aMachine + " is back");
  if (const status added = AddRunner(back.mRunner->Info()); !added) {
    Note("no runner: " + Describe(added.assume_error()));
  }
}

void
deployment::RequestWave(std::uint64_t aWave, std::size_t aCap)
{
  json machines = json::array();
  for (const auto& [name, each] : mMachines) {
    machines.push_back(name);
  }
  mCaps[aWave] = aCap;
  Note("operator: wave " + std::to_string(aWave) + " of " +
       std::to_string(machines.size()) + " machines, " + std::to_string(aCap) +
       " at once");
  mStore.Store().Put("op/wave/" + std::to_string(aWave),
                     json{ { "wave", aWave },
                           { "machines", std::move(machines) },
                           { "complete-by-s", kCompleteBySeconds },
                           { "cap", aCap } }
                       .dump());
}

void
deployment::SetUpkeepDelay(
  std::function<milliseconds(const upkeep_order&)> aDelay)
{
  mUpkeepDelay = std::move(aDelay);
}

void
deployment::KillFor(std::size_t aNode, milliseconds aDown)
{
  node_process_handle& node = mNodes[aNode];
  kill(node.mProcess, SIGKILL);
  Note(node.mName + " is killed");
  StartAfterEnd(aNode, aDown);
}

void
deployment::Restart(const std::string& aNode, milliseconds aDown)
{
  for (std::size_t i = 0; i < mNodes.size(); ++i) {
    if (mNodes[i].mName == aNode && mNodes[i].mProcess > 0) {
      kill(mNodes[i].mProcess, SIGTERM);
      Note("platform: SIGTERM to " + aNode);
      StartAfterEnd(i, aDown);
    }
  }
}

void
deployment::StartAfterEnd(std::size_t aNode, milliseconds aDown)
{
  node_process_handle& node = mNodes[aNode];
  if (waitpid(node.mProcess, nullptr, WNOHANG) == 0) {
    After(kExitCheckInterval,
          [this, aNode, aDown] { StartAfterEnd(aNode, aDown); });
    return;
  }
  node.mProcess = 0;
  Note(node.mName + " has ended");
  After(aDown, [this, &node] {
    node.mProcess =
      StartProgram(node.mSettingsFile, mFolder + "/" + node.mName + ".log");
    Note(node.mName + " is started again");
  });
}

bool
deployment::AddNode(std::size_t aIndex)
{
  node_process_handle added;
  added.mName = "node-" + std::to_string(aIndex + 1);
  added.mSettingsFile = mFolder + "/" + added.mName + ".json";
  added.mCallerAddress = FreeAddress(mIo, aIndex);
  added.mReadinessAddress = FreeAddress(mIo, aIndex);
  added.mStoreLink = std::make_shared<store_gate>(mIo, mStore.Address());
  if (!added.mStoreLink->Open()) {
    return false;
  }
  std::ofstream out(added.mSettingsFile);
  out << json{
    { "node", added.mName },
    { "zone", "zone-1" },
    { "caller_address", added.mCallerAddress },
    { "readiness_address", added.mReadinessAddress },
    { "node_address", FreeAddress(mIo, aIndex) },
    { "store_address", added.mStoreLink->Address() },
    { "host_service_address", "127.0.0.1:" + std::to_string(mCloud.Port()) },
    { "host_orders_per_s", kHostOrdersPerSecond },
    { "link_mbps", kLinkMbps },
    { "processor_share", kProcessorShare },
    { "max_connections", 1'500 },
    { "stop_timeout_ms", kStopTimeoutMs },
    { "host_lease_ms", kHostLeaseMs }
  }.dump(2);
  out.close();
  added.mProcess =
    StartProgram(added.mSettingsFile, mFolder + "/" + added.mName + ".log");
  const bool isStarted = added.mProcess > 0;
  mNodes.push_back(std::move(added));
  return isStarted;
}

bool
deployment::IsReady(const node_process_handle& aNode)
{
  bool isOver = false;
  bool isReady = false;
  http::request call;
  call.mTarget = "/readiness";
  mClient.Send(aNode.mReadinessAddress,
               std::move(call),
               kReadinessTimeout,
               [&](const result<http::response>& aResult) {
                 isOver = true;
                 isReady =
                   aResult.has_value() && aResult.assume_value().mStatus == 200;
               });
  RunUntil([&] { return isOver; }, 2 * kReadinessTimeout);
  return isReady;
}

void
deployment::AdvanceRunners()
{
  for (const auto& each : mRunners) {
    each->Advance();
  }
  After(kAdvanceInterval, [this] { AdvanceRunners(); });
}

bool
deployment::Start(const std::vector<route>& aRoutes,
                  const std::vector<std::string>& aServices,
                  const std::vector<runner_spec>& aRunners,
                  std::size_t aNodes)
{
  mServices = aServices;
  mRoutes = aRoutes;
  if (mFolder.empty() || !std::filesystem::exists(kProgram) ||
      !mStore.Listen() || !mCloud.Listen("127.0.0.1:0")) {
    return false;
  }
  mStore.Store().Put("op/config", Configuration());
  for (const runner_spec& each : aRunners) {
    if (!AddMachine(each)) {
      return false;
    }
  }
  AdvanceRunners();
  for (std::size_t i = 0; i < aNodes; ++i) {
    if (!AddNode(i)) {
      return false;
    }
  }
  const time_point end = mClock.Now() + kStartTimeout;
  while (mClock.Now() < end) {
    if (std::all_of(mNodes.begin(), mNodes.end(), [this](const auto& aEach) {
          return IsReady(aEach);
        })) {
      Note("all nodes are ready");
      return true;
    }
    RunFor(kReadinessInterval);
  }
  return false;
}

void
deployment::Ask(std::size_t aNode,
                const std::string& aMethod,
                const std::string& aQueue,
                const std::string& aJob,
                const std::string& aBody,
                std::function<void(int, const std::string&)> aOnAnswer)
{
  http::request call;
  call.mMethod = aMethod;
  call.mTarget = "/" + aQueue + "/" + aJob;
  call.Set("Host", HostOf(aQueue));
  call.Set("X-Request-Deadline", std::to_string(kCallerWaits.count()));
  if (!aBody.empty()) {
    call.Set("Content-Type", "application/json");
    call.mBody = aBody;
  }
  const std::string what =
    aMethod + " " + call.mTarget + " at " + mNodes[aNode].mName;
  Note("caller: " + what);
  mClient.Send(
    mNodes[aNode].mCallerAddress,
    std::move(call),
    kCallerWaits,
    [this, what, onAnswer = std::move(aOnAnswer)](
      const result<http::response>& aResult) {
      const int answered =
        aResult.has_value() ? aResult.assume_value().mStatus : 0;
      const std::string body =
        aResult.has_value() ? aResult.assume_value().mBody : "no answer";
      Note("caller: " + what + " -> " + std::to_string(answered) + " " + body);
      onAnswer(answered, body);
    });
}

int
deployment::AskNow(std::size_t aNode,
                   const std::string& aMethod,
                   const std::string& aQueue,
                   const std::string& aJob,
                   const std::string& aBody)
{
  int answered = -1;
  Ask(aNode,
      aMethod,
      aQueue,
      aJob,
      aBody,
      [&answered](int aStatus, const std::string& /*aText*/) {
        answered = aStatus;
      });
  RunUntil([&answered] { return answered >= 0; }, 2 * kCallerWaits);
  return std::max(answered, 0);
}

std::string
deployment::StateOf(std::size_t aNode,
                    const std::string& aQueue,
                    const std::string& aJob)
{
  std::string state;
  bool isOver = false;
  Ask(
    aNode, "GET", aQueue, aJob, "", [&](int aStatus, const std::string& aText) {
      isOver = true;
      const json body = json::parse(aText, nullptr, false);
      if (aStatus == 200 && body.is_object()) {
        state = body.value("state", std::string());
      }
    });
  RunUntil([&isOver] { return isOver; }, 2 * kCallerWaits);
  return state;
}

} // namespace mangospan::review
