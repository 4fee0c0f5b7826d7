// standin-platform: plays the platform's service in tests and in the demo.
#include <chrono>
#include <functional>
#include <iostream>
#include <string>
#include <utility>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <nlohmann/json.hpp>

#include "mangospan/base/error.h"
#include "mangospan/base/log.h"
#include "mangospan/base/time.h"
#include "mangospan/http/client.h"
#include "mangospan/http/message.h"
#include "testing/fleet/fleet_file.h"
#include "testing/http/fault_server.h"
#include "testing/platform/service.h"

namespace mangospan::standin {
namespace {

constexpr std::chrono::seconds kControlTimeout{ 2 };
constexpr int kOk = 200;

// Sends runner commands to the endpoint stand-in's control address.
runner_control
ControlThrough(http::client& aClient, const std::string& aAddress)
{
  return [&aClient, aAddress](const runner_command& aCommand,
                              std::function<void(status)> aDone) {
    http::request request;
    request.mMethod = "POST";
    request.mTarget = "/control/runners/" + aCommand.mHost.Str();
    request.mBody = nlohmann::json{
      { "action", aCommand.mStart ? "start" : "stop" },
      { "service", aCommand.mService.Str() }
    }.dump();
    aClient.Send(aAddress,
                 std::move(request),
                 kControlTimeout,
                 [aAddress, done = std::move(aDone)](
                   const result<http::response>& aResult) {
                   if (!aResult) {
                     done(aResult.assume_error());
                   } else if (aResult.assume_value().mStatus != kOk) {
                     done(error{ error_code::kInvalidArgument,
                                 "runner.control",
                                 aAddress,
                                 aResult.assume_value().mBody });
                   } else {
                     done(boost::outcome_v2::success());
                   }
                 });
  };
}

status
Run(const std::string& aListen, const std::string& aFleetFile)
{
  BOOST_OUTCOME_TRY(fleet, LoadFleet(aFleetFile));
  boost::asio::io_context io;
  const system_clock_source clock;
  http::client client(io, {});
  platform_service service(
    io, clock, fleet, ControlThrough(client, fleet.mEndpointControl));
  fault_server server(
    io, {}, [&](const http::request& aRequest, const replier& aReply) {
      service.Handle(aRequest, aReply);
    });
  BOOST_OUTCOME_TRYV(server.Listen(aListen));
  LogEvent(log_level::kInfo, "listening", { { "port", server.Port() } });
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
  CLI::App app{ "Plays the platform's service: key-value store, host list and "
                "host actions" };
  std::string listen = "127.0.0.1:0";
  std::string fleet;
  app.add_option("--listen", listen, "ip:port to listen at");
  app.add_option("--fleet", fleet, "fleet file (JSON)")->required();
  CLI11_PARSE(app, aCount, aArguments);
  mangospan::ConfigureLog("standin-platform", mangospan::log_level::kInfo);
  const mangospan::status ran = mangospan::standin::Run(listen, fleet);
  if (!ran) {
    std::cerr << mangospan::Describe(ran.assume_error()) << '\n';
    return 1;
  }
  return 0;
}
