#include "bench/entry/idle_callers.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <utility>

#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace mangospan::bench {

namespace {

constexpr std::size_t kAnswerBytes = 4096;
constexpr std::size_t kSpareFiles = 300;
constexpr timeval kTimeout{ 2, 0 };

} // namespace

idle_callers::idle_callers(unsigned short aPort, std::string aTarget)
  : mPort(aPort)
  , mRequest("GET " + std::move(aTarget) +
             " HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n")
{
}

idle_callers::~idle_callers()
{
  for (const int each : mSockets) {
    close(each);
  }
}

std::size_t
idle_callers::Open(std::size_t aCount)
{
  while (mSockets.size() < aCount && OpenOne()) {
  }
  return mSockets.size();
}

bool
idle_callers::OpenOne()
{
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (socket < 0) {
    return false;
  }
  mSockets.push_back(socket);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(mPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  std::array<char, kAnswerBytes> answer{};
  const auto* peer = reinterpret_cast<const sockaddr*>(&address); // NOLINT
  const bool isAnswered =
    setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &kTimeout, sizeof(kTimeout)) ==
      0 &&
    connect(socket, peer, sizeof(address)) == 0 &&
    send(socket, mRequest.data(), mRequest.size(), 0) > 0 &&
    recv(socket, answer.data(), answer.size(), 0) > 0;
  if (!isAnswered) {
    mSockets.pop_back();
    close(socket);
  }
  return isAnswered;
}

std::size_t
AdmittedConnections(std::size_t aWanted)
{
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur < kSpareFiles) {
    return 0;
  }
  return std::min<std::size_t>(aWanted, (limit.rlim_cur - kSpareFiles) / 2);
}

std::size_t
ResidentMemory()
{
  std::ifstream file("/proc/self/statm");
  std::size_t all = 0;
  std::size_t resident = 0;
  file >> all >> resident;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

} // namespace mangospan::bench
