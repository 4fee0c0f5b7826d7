// The `mangospan-entry` daemon: takes callers' requests and passes each to an
// endpoint of its availability zone.

#include <boost/asio/io_context.hpp>

#include "mangospan/base/identity.h"
#include "mangospan/base/time.h"
#include "mangospan/daemon/metrics.h"
#include "mangospan/daemon/program.h"
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

int
Run(const settings::process_settings& aSettings)
{
  boost::asio::io_context io;
  const system_clock_source clock;
  daemon::metrics metrics;
  entry::entry_process process(io, aSettings, clock, metrics, DrawBootId());
  return daemon::Serve(io, metrics, process, aSettings);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return daemon::RunProgram(
    aCount,
    aArguments,
    { "entry",
      settings::program::kEntry,
      { "mangospan-entry",
        "Takes callers' requests and passes each to an endpoint of its "
        "availability zone.",
        kExample } },
    &Run);
}
