#include "platform.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace standins {

namespace {

// A loopback address of this process, so that cases beside it have others.
std::uint32_t
OwnAddress()
{
  constexpr std::uint32_t kBegin = 0x7F400001; // 127.64.0.1
  constexpr std::uint32_t kProcesses = 16'384;
  return kBegin + (static_cast<std::uint32_t>(::getpid()) % kProcesses) * 4;
}

// A port of that address which is free now.
std::string
FreeAddress()
{
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(OwnAddress());
  static_cast<void>(
    ::bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address));
  socklen_t size = sizeof address;
  ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
  ::close(descriptor);
  std::array<char, INET_ADDRSTRLEN> text{};
  ::inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
  return std::string(text.data()) + ":" +
         std::to_string(ntohs(address.sin_port));
}

int
OpenLog(const std::string& aFile)
{
  return ::open(aFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644); // NOLINT
}

// In a new process: writes to the descriptor, keeps no other one, and ends with
// its parent.
void
TakeOutput(int aDescriptor)
{
  constexpr int kDescriptors = 16'384;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  ::dup2(aDescriptor, STDOUT_FILENO);
  ::dup2(aDescriptor, STDERR_FILENO);
  for (int each = STDERR_FILENO + 1; each < kDescriptors; ++each) {
    ::close(each);
  }
}

// Starts a process that copies what it reads to the file.
pid_t
StartLogger(int aInput, const std::string& aFile)
{
  const pid_t child = ::fork();
  if (child == 0) {
    ::dup2(aInput, STDIN_FILENO);
    TakeOutput(OpenLog(aFile));
    ::execlp("cat", "cat", static_cast<char*>(nullptr));
    ::_exit(127); // NOLINT
  }
  return child;
}

} // namespace

struct nodes::impl
{
  struct node
  {
    std::string mName;
    std::string mSettings; // the file
    std::string mCallers;
    std::string mReadiness;
    pid_t mProcess = 0;
    pid_t mLogger = 0;
  };
  std::string mProgram;
  std::string mFolder;
  std::vector<node> mNodes;
};

nodes::nodes(std::string aProgram, std::string aFolder)
  : mImpl(std::make_unique<impl>())
{
  mImpl->mProgram = std::move(aProgram);
  mImpl->mFolder = std::move(aFolder);
}

nodes::~nodes()
{
  for (std::size_t i = 0; i < Size(); ++i) {
    if (mImpl->mNodes[i].mProcess > 0) {
      Signal(i, SIGCONT);
      Signal(i, SIGKILL);
      Await(i);
    }
    if (mImpl->mNodes[i].mLogger > 0) {
      ::kill(mImpl->mNodes[i].mLogger, SIGCONT);
      ::kill(mImpl->mNodes[i].mLogger, SIGKILL);
      ::waitpid(mImpl->mNodes[i].mLogger, nullptr, 0);
    }
  }
}

void
nodes::Add(const std::string& aZone,
           const std::string& aStore,
           const std::string& aMachines,
           const std::map<std::string, json>& aMore)
{
  impl::node made;
  made.mName = "front-" + std::to_string(Size() + 1);
  made.mSettings = mImpl->mFolder + "/" + made.mName + ".json";
  made.mCallers = FreeAddress();
  made.mReadiness = FreeAddress();
  json settings{ { "node", made.mName },
                 { "zone", aZone },
                 { "caller_address", made.mCallers },
                 { "readiness_address", made.mReadiness },
                 { "node_address", FreeAddress() },
                 { "store_address", aStore },
                 { "host_service_address", aMachines },
                 { "host_orders_per_s", 64.0 },
                 { "link_mbps", 1000.0 },
                 { "processor_share", 0.25 },
                 { "max_connections", 1500 },
                 { "stop_timeout_ms", 6000 },
                 { "host_lease_ms", 3000 } };
  for (const auto& [key, value] : aMore) {
    settings[key] = value;
  }
  std::ofstream(made.mSettings) << settings.dump(2);
  mImpl->mNodes.push_back(made);
}

void
nodes::Start(std::size_t aNode)
{
  impl::node& one = mImpl->mNodes[aNode];
  const std::string log = mImpl->mFolder + "/" + one.mName + ".log";
  std::array<int, 2> ends{ -1, -1 };
  if (mArePiped && ::pipe2(ends.data(), O_CLOEXEC) == 0) {
    one.mLogger = StartLogger(ends[0], log);
    ::close(ends[0]);
  }
  const pid_t child = ::fork();
  if (child == 0) {
    TakeOutput(mArePiped ? ends[1] : OpenLog(log));
    ::setenv("MANGOSPAN_SETTINGS", one.mSettings.c_str(), 1);
    ::execl(mImpl->mProgram.c_str(),
            mImpl->mProgram.c_str(),
            static_cast<char*>(nullptr));
    ::_exit(127);
  }
  if (mArePiped) {
    ::close(ends[1]);
  }
  one.mProcess = child;
}

void
nodes::SignalLogs(int aSignal)
{
  for (const impl::node& each : mImpl->mNodes) {
    if (each.mLogger > 0) {
      ::kill(each.mLogger, aSignal);
    }
  }
}

std::size_t
nodes::Kilobytes(std::size_t aNode) const
{
  const pid_t process = mImpl->mNodes[aNode].mProcess;
  std::ifstream command("/proc/" + std::to_string(process) + "/comm");
  std::string name;
  command >> name;
  if (name != "mangospan-node") {
    return 0; // not begun yet
  }
  std::ifstream status("/proc/" + std::to_string(process) + "/status");
  std::string word;
  while (process > 0 && status >> word) {
    if (word == "VmRSS:") {
      std::size_t out = 0;
      status >> out;
      return out;
    }
  }
  return 0;
}

bool
nodes::AreAllReady() const
{
  for (std::size_t i = 0; i < Size(); ++i) {
    if (!IsReady(i)) {
      return false;
    }
  }
  return true;
}

bool
nodes::AwaitReady(milliseconds aTime) const
{
  const time_point end = Now() + aTime;
  while (!AreAllReady()) {
    if (Now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(milliseconds(100));
  }
  return true;
}

void
nodes::Signal(std::size_t aNode, int aSignal)
{
  if (mImpl->mNodes[aNode].mProcess > 0) {
    ::kill(mImpl->mNodes[aNode].mProcess, aSignal);
  }
}

void
nodes::Await(std::size_t aNode)
{
  int state = 0;
  if (mImpl->mNodes[aNode].mProcess > 0) {
    ::waitpid(mImpl->mNodes[aNode].mProcess, &state, 0);
    mImpl->mNodes[aNode].mProcess = 0;
  }
}

bool
nodes::Runs(std::size_t aNode)
{
  impl::node& one = mImpl->mNodes[aNode];
  int state = 0;
  if (one.mProcess > 0 && ::waitpid(one.mProcess, &state, WNOHANG) != 0) {
    one.mProcess = 0;
  }
  return one.mProcess > 0;
}

bool
nodes::IsReady(std::size_t aNode) const
{
  request call;
  call.mPath = "/readiness";
  return Call(mImpl->mNodes[aNode].mReadiness, call, milliseconds(500))
           .mStatus == 200;
}

std::string
nodes::Callers(std::size_t aNode) const
{
  return mImpl->mNodes[aNode].mCallers;
}

std::string
nodes::Name(std::size_t aNode) const
{
  return mImpl->mNodes[aNode].mName;
}

std::size_t
nodes::Size() const
{
  return mImpl->mNodes.size();
}

std::size_t
nodes::OwnerOf(const store& aStore, const std::string& aSubject) const
{
  const std::string value =
    aStore.Value("mangospan/own/" + aSubject + "/lease");
  const json owner = json::parse(value, nullptr, false);
  const std::string name =
    owner.is_object() ? owner.value("node", std::string()) : std::string();
  for (std::size_t i = 0; i < Size(); ++i) {
    if (mImpl->mNodes[i].mName == name) {
      return i;
    }
  }
  return Size();
}

request
CallOf(const std::string& aMethod,
       const std::string& aQueue,
       const std::string& aId,
       const std::string& aBody)
{
  request out;
  out.mMethod = aMethod;
  out.mPath = "/" + aQueue + "/" + aId;
  out.mHeaders["Host"] = aQueue + ".example";
  out.mHeaders["X-Request-Deadline"] = "3000";
  out.mHeaders["Content-Type"] = "application/json";
  out.mBody = aBody;
  return out;
}

std::string
Configuration(int aVersion, const std::vector<std::string>& aServices)
{
  json routes = json::array();
  json services = json::array({ { { "name", "spare" }, { "spare", true } } });
  for (const std::string& each : aServices) {
    routes.push_back({ { "name", "queue-" + each },
                       { "host", each + ".example" },
                       { "prefix", "/" + each + "/" },
                       { "service", each },
                       { "priority", 1 },
                       { "max-attempts", 4 },
                       { "stretch", 1.6 },
                       { "target-latency-ms", 600 },
                       { "timeout-ms", 3'000 } });
    services.push_back({ { "name", each } });
  }
  return json{
    { "version", aVersion },
    { "routes", std::move(routes) },
    { "services", std::move(services) },
    { "limits", json::object() }
  }.dump();
}

bool
HasTrouble()
{
  const char* const text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

int
Verdict(const record& aRecord)
{
  const std::size_t broken = aRecord.Broken();
  std::cout << (broken > 0 ? "the rule was broken: " : "the rule held: ")
            << broken << " times" << std::endl;
  return broken > 0 ? 1 : 0;
}

} // namespace standins
