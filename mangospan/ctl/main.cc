// mangospanctl: connects the tool to the platform, the terminal and the clock.
#include <chrono>
#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <utility>

#include <boost/asio/io_context.hpp>

#include "mangospan/base/identity.h"
#include "mangospan/base/time.h"
#include "mangospan/ctl/tool.h"
#include "mangospan/http/client.h"
#include "mangospan/platform/http_platform.h"

namespace {

std::string
EnvironmentVariable(const char* aName, const char* aDefault)
{
  const char* value = std::getenv(aName);
  return value == nullptr || *value == '\0' ? aDefault : value;
}

std::string
DrawChangeId()
{
  std::ostringstream text;
  text << std::hex << std::setfill('0') << std::setw(14)
       << mangospan::DrawBootId().mValue;
  return text.str();
}

} // namespace

int
main(int aCount, char** aArguments)
{
  using namespace mangospan;
  boost::asio::io_context io;
  http::client client(io, {});
  const system_clock_source clock;
  ctl::environment environment{
    io,
    [&](const std::string& aAddress) {
      return std::make_unique<platform::http_store>(
        io, client, aAddress, zone_name());
    },
    [&](const std::string& aAddress,
        http::request aRequest,
        std::chrono::milliseconds aTimeout,
        http::response_handler aHandler) {
      client.Send(aAddress, std::move(aRequest), aTimeout, std::move(aHandler));
    },
    clock,
    [](std::chrono::milliseconds aTime) { std::this_thread::sleep_for(aTime); },
    DrawChangeId,
    std::cout,
    std::cerr,
    EnvironmentVariable("MANGOSPAN_PLATFORM", ""),
    EnvironmentVariable("USER", "unknown")
  };
  return static_cast<int>(ctl::Run(aCount, aArguments, environment));
}
