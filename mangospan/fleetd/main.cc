// The `mangospan-fleet` daemon: one process on every entry host, of which one
// acts for its availability zone.

#include <boost/asio/io_context.hpp>

#include "mangospan/base/identity.h"
#include "mangospan/base/time.h"
#include "mangospan/daemon/metrics.h"
#include "mangospan/daemon/program.h"
#include "mangospan/fleetd/fleet_process.h"
#include "mangospan/http/client.h"
#include "mangospan/platform/http_platform.h"
#include "mangospan/settings/settings.h"

namespace {

using namespace mangospan;

constexpr const char* kExample = R"({
  "host": "ra-a-entry-1",
  "zone": "a",
  "operator_address": "127.0.0.1:9201",
  "peer_address": "127.0.0.1:7401",
  "platform_address": "127.0.0.1:8500",
  // The zone's other fleet processes, and one or two of neighbouring zones.
  "peers": ["127.0.0.1:7402", "127.0.0.1:7411"]
})";

int
Run(const settings::process_settings& aSettings)
{
  boost::asio::io_context io;
  const system_clock_source clock;
  daemon::metrics metrics;
  http::client client(io, {});
  platform::http_store store(
    io, client, aSettings.mPlatformAddress, aSettings.mZone);
  platform::http_hosts hosts(
    io, client, aSettings.mPlatformAddress, aSettings.mZone);
  fleetd::fleet_process process(
    io, aSettings, store, hosts, clock, metrics, DrawBootId());
  return daemon::Serve(io, metrics, process, aSettings);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return daemon::RunProgram(
    aCount,
    aArguments,
    { "fleet",
      settings::program::kFleet,
      { "mangospan-fleet",
        "Acts for one availability zone, or stands ready to: sizes pools, "
        "moves hosts, runs maintenance waves.",
        kExample } },
    &Run);
}
