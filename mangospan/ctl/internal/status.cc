#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include "mangospan/base/error.h"
#include "mangospan/ctl/internal/config_record.h"
#include "mangospan/ctl/internal/context.h"
#include "mangospan/ctl/internal/overview.h"
#include "mangospan/ctl/internal/status_report.h"

namespace mangospan::ctl {

exit_code
Execute(const status_command& /*aCommand*/, context& aContext)
{
  printer& output = aContext.mPrinter;
  session platform = aContext.Connect();
  const auto current = ReadCurrent(platform);
  if (current.has_error()) {
    return output.Fail(current.assume_error());
  }
  const auto zones = ReadOverview(platform);
  if (zones.has_error()) {
    return output.Fail(zones.assume_error());
  }
  const held_config& held = current.assume_value();
  const overview& fleet = zones.assume_value();
  output.Line(held.mRevision == 0
                ? "the platform holds no configuration yet"
                : "configuration: revision " + std::to_string(held.mRevision) +
                    " by " + held.mAuthor + ", change " + held.mChangeId);
  if (fleet.empty()) {
    output.Line("no zone is known to the platform yet");
  }
  PrintZones(fleet, held.mRevision, output);
  PrintPools(fleet, output);
  PrintHosts(fleet, output);
  PrintWaves(fleet, output);
  output.Json({ { "configuration",
                  { { "revision", held.mRevision },
                    { "author", held.mAuthor },
                    { "change_id", held.mChangeId } } },
                { "zones", ZonesJson(fleet, held.mRevision) },
                { "hosts", HostsJson(fleet) },
                { "waves", WavesJson(fleet) } });
  return exit_code::kOk;
}

} // namespace mangospan::ctl
