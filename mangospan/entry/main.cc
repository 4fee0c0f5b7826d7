// The `mangospan-entry` daemon: takes callers' requests and passes each to an
// endpoint of its availability zone.

#include <iostream>
#include <variant>

#include <boost/asio/io_context.hpp>

#include "mangospan/base/error.h"
#include "mangospan/base/identity.h"
#include "mangospan/base/log.h"
#include "mangospan/base/time.h"
#include "mangospan/daemon/command_line.h"
#include "mangospan/daemon/metrics.h"
#include "mangospan/daemon/operator_endpoint.h"
#include "mangospan/daemon/signals.h"
#include "mangospan/entry/entry_process.h"
#include "mangospan/settings/settings.h"

namespace {

using namespace mangospan;

constexpr const char* kExample = R"({
  "host": "ra-a-entry-1",
  "zone": "a",
  // Where callers' HTTP arrives.
  "caller_address": "127.0.0.1:8080",
  "operator_address": "127.0.0.1:9101",
  "peer_address": "127.0.0.1:7400",
  "platform_address": "127.0.0.1:8500",
  // The zone's fleet processes.
  "peers": ["127.0.0.1:7401", "127.0.0.1:7402"]
})";

daemon::operator_handlers
OperatorHandlers(entry::entry_process& aProcess, bool aTestSwitches)
{
  daemon::operator_handlers handlers;
  handlers.mBeforeMetrics = [&aProcess] { aProcess.RefreshMetrics(); };
  handlers.mDumpState = [&aProcess] { return aProcess.DumpState(); };
  handlers.mIsHealthy = [&aProcess] { return aProcess.IsHealthy(); };
  if (aTestSwitches) {
    handlers.mTestSwitch = [&aProcess](const http::request& aRequest) {
      return aProcess.TestSwitch(aRequest);
    };
  }
  return handlers;
}

int
Refuse(const error& aError)
{
  std::cerr << Describe(aError) << '\n';
  return daemon::kExitRefused;
}

int
Run(const settings::process_settings& aSettings)
{
  boost::asio::io_context io;
  const system_clock_source clock;
  daemon::metrics metrics;
  entry::entry_process process(io, aSettings, clock, metrics, DrawBootId());
  daemon::operator_endpoint operators(
    io, metrics, OperatorHandlers(process, aSettings.mTestSwitches));
  const status listening = operators.Listen(aSettings.mOperatorAddress);
  if (listening.has_error()) {
    return Refuse(listening.assume_error());
  }
  const status started = process.Start();
  if (started.has_error()) {
    return Refuse(started.assume_error());
  }
  const daemon::stop_signals signals(
    io, [&] { process.Stop([&io] { io.stop(); }); });
  LogEvent(
    log_level::kInfo,
    "process.started",
    { { "host", aSettings.mHost.Str() }, { "zone", aSettings.mZone.Str() } });
  io.run();
  LogEvent(log_level::kInfo, "process.stopped", {});
  return daemon::kExitOk;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const auto parsed = daemon::ParseCommandLine(
    aCount,
    aArguments,
    { "mangospan-entry",
      "Takes callers' requests and passes each to an endpoint of its "
      "availability zone.",
      kExample });
  if (const int* code = std::get_if<int>(&parsed)) {
    return *code;
  }
  const auto& options = std::get<daemon::command_line>(parsed);
  const auto settings =
    settings::Load(options.mSettingsFile, settings::program::kEntry);
  if (settings.has_error()) {
    return Refuse(settings.assume_error());
  }
  if (options.mCheckSettings) {
    std::cout << options.mSettingsFile << ": settings are valid\n";
    return daemon::kExitOk;
  }
  ConfigureLog("entry", settings.assume_value().mLogLevel);
  return Run(settings.assume_value());
}
