#include "testing/scenario/free_ports.h"

#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace mangospan::scenario {

namespace {

// Below the range from which the kernel takes the ports of outgoing
// connections, so that a process that was stopped finds its port free again.
constexpr unsigned kFirstPort = 12'000;
constexpr unsigned kLastPort = 32'000;
// Spreads the processes that look for ports at the same time.
constexpr unsigned kPortsPerProcess = 97;

bool
IsFree(unsigned aPort)
{
  using boost::asio::ip::tcp;
  boost::asio::io_context io;
  tcp::acceptor probe(io);
  boost::system::error_code failure;
  probe.open(tcp::v4(), failure);
  probe.bind({ boost::asio::ip::address_v4::loopback(),
               static_cast<unsigned short>(aPort) },
             failure);
  return !failure;
}

} // namespace

free_ports::free_ports()
  : mNextPort(kFirstPort + static_cast<unsigned>(getpid()) * kPortsPerProcess %
                             (kLastPort - kFirstPort))
{
}

result<std::string>
free_ports::NewAddress()
{
  for (unsigned tried = 0; tried < kLastPort - kFirstPort; ++tried) {
    const unsigned port = mNextPort++;
    if (mNextPort == kLastPort) {
      mNextPort = kFirstPort;
    }
    if (IsFree(port)) {
      return "127.0.0.1:" + std::to_string(port);
    }
  }
  return error{
    error_code::kUnavailable, "ports.new_address", "", "no port is free"
  };
}

} // namespace mangospan::scenario
