// standin-endpoint: plays every runner of a fleet in one process.
#include <iostream>
#include <string>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "mangospan/base/error.h"
#include "mangospan/base/log.h"
#include "mangospan/base/time.h"
#include "mangospan/http/message.h"
#include "testing/endpoint/service.h"
#include "testing/fleet/fleet_file.h"
#include "testing/http/fault_server.h"

namespace mangospan::standin {
namespace {

status
Run(const std::string& aFleetFile)
{
  BOOST_OUTCOME_TRY(fleet, LoadFleet(aFleetFile));
  boost::asio::io_context io;
  const system_clock_source clock;
  endpoint_service service(io, clock, fleet);
  BOOST_OUTCOME_TRYV(service.Start());
  fault_server control(
    io, {}, [&](const http::request& aRequest, const replier& aReply) {
      service.HandleControl(aRequest, aReply);
    });
  BOOST_OUTCOME_TRYV(control.Listen(fleet.mEndpointControl));
  LogEvent(log_level::kInfo, "listening", { { "port", control.Port() } });
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](const boost::system::error_code&, int) { io.stop(); });
  io.run();
  return boost::outcome_v2::success();
}

} // namespace
} // namespace mangospan::standin

int
main(int aCount, char** aArguments)
{
  CLI::App app{ "Plays every runner of a fleet" };
  std::string fleet;
  app.add_option("--fleet", fleet, "fleet file (JSON) with all addresses")
    ->required();
  CLI11_PARSE(app, aCount, aArguments);
  mangospan::ConfigureLog("standin-endpoint", mangospan::log_level::kInfo);
  const mangospan::status ran = mangospan::standin::Run(fleet);
  if (!ran) {
    std::cerr << mangospan::Describe(ran.assume_error()) << '\n';
    return 1;
  }
  return 0;
}
