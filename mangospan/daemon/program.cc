#include "mangospan/daemon/program.h"

#include <iostream>
#include <variant>

#include <boost/asio/io_context.hpp>

#include "mangospan/base/log.h"
#include "mangospan/daemon/operator_endpoint.h"
#include "mangospan/daemon/signals.h"

namespace mangospan::daemon {

namespace {

operator_handlers
OperatorHandlers(process& aProcess, bool aTestSwitches)
{
  operator_handlers handlers;
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
  return kExitRefused;
}

} // namespace

int
RunProgram(int aCount,
           const char* const* aArguments,
           const program_description& aDescription,
           const std::function<int(const settings::process_settings&)>& aRun)
{
  HoldStopSignals();
  const auto parsed = ParseCommandLine(aCount, aArguments, aDescription.mHelp);
  if (const int* code = std::get_if<int>(&parsed)) {
    return *code;
  }
  const auto& options = std::get<command_line>(parsed);
  const auto settings =
    settings::Load(options.mSettingsFile, aDescription.mProgram);
  if (settings.has_error()) {
    return Refuse(settings.assume_error());
  }
  if (options.mCheckSettings) {
    std::cout << options.mSettingsFile << ": settings are valid\n";
    return kExitOk;
  }
  ConfigureLog(aDescription.mLogName, settings.assume_value().mLogLevel);
  return aRun(settings.assume_value());
}

int
Serve(boost::asio::io_context& aIo,
      metrics& aMetrics,
      process& aProcess,
      const settings::process_settings& aSettings)
{
  operator_endpoint operators(
    aIo, aMetrics, OperatorHandlers(aProcess, aSettings.mTestSwitches));
  const status listening = operators.Listen(aSettings.mOperatorAddress);
  if (listening.has_error()) {
    return Refuse(listening.assume_error());
  }
  const status started = aProcess.Start();
  if (started.has_error()) {
    return Refuse(started.assume_error());
  }
  const stop_signals signals(aIo,
                             [&] { aProcess.Stop([&aIo] { aIo.stop(); }); });
  LogEvent(
    log_level::kInfo,
    "process.started",
    { { "host", aSettings.mHost.Str() }, { "zone", aSettings.mZone.Str() } });
  aIo.run();
  LogEvent(log_level::kInfo, "process.stopped", {});
  return kExitOk;
}

} // namespace mangospan::daemon
