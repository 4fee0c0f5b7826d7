// What the programs of all daemons have in common: arguments, settings, the
// operators' address, signals and the event loop.
//
//   int main(int aCount, char** aArguments)
//   {
//     return daemon::RunProgram(aCount, aArguments, kDescription, &Run);
//   }
//
// where `Run` makes the process object and ends with `daemon::Serve`.
#ifndef MANGOSPAN_DAEMON_PROGRAM_H
#define MANGOSPAN_DAEMON_PROGRAM_H

#include <functional>
#include <string>

#include "mangospan/base/error.h"
#include "mangospan/daemon/command_line.h"
#include "mangospan/daemon/metrics.h"
#include "mangospan/http/message.h"
#include "mangospan/settings/settings.h"

namespace boost::asio {
class io_context;
}

namespace mangospan::daemon {

// A daemon's work, as its program sees it.
class process
{
public:
  virtual ~process() = default;

  // Listens and begins to work. Errors: as http::server::Listen.
  virtual status Start() = 0;

  // Graceful stop; calls `aDone` once, when nothing is left to do.
  virtual void Stop(std::function<void()> aDone) = 0;

  // For /healthz.
  virtual bool IsHealthy() const = 0;

  // The state as JSON, for /state.
  virtual std::string DumpState() const = 0;

  // Writes the gauges of /metrics.
  virtual void RefreshMetrics() = 0;

  // POST /test/..., where the settings enable it.
  virtual http::response TestSwitch(const http::request& aRequest) = 0;
};

// A daemon's name in logs, its settings and what --help says.
struct program_description
{
  std::string mLogName; // "entry"
  settings::program mProgram;
  daemon_description mHelp;
};

// Reads arguments and settings, then calls `aRun` and returns its exit code.
int
RunProgram(int aCount,
           const char* const* aArguments,
           const program_description& aDescription,
           const std::function<int(const settings::process_settings&)>& aRun);

// Starts the process and serves it until a signal has stopped it gracefully.
// Returns the exit code.
int
Serve(boost::asio::io_context& aIo,
      metrics& aMetrics,
      process& aProcess,
      const settings::process_settings& aSettings);

} // namespace mangospan::daemon

#endif // MANGOSPAN_DAEMON_PROGRAM_H
