// The parts of what `status` and `wave status` print.
#ifndef MANGOSPAN_CTL_INTERNAL_STATUS_REPORT_H
#define MANGOSPAN_CTL_INTERNAL_STATUS_REPORT_H

#include <cstddef>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "mangospan/ctl/internal/config_record.h"
#include "mangospan/ctl/internal/overview.h"
#include "mangospan/ctl/internal/printer.h"

namespace mangospan::ctl {

// One wave over all zones and pools.
struct wave_sum
{
  std::string mWave; // empty: the periodic wave
  std::size_t mHosts = 0;
  std::size_t mDone = 0;
  std::size_t mActive = 0;
  std::size_t mFailed = 0;
};

std::vector<wave_sum>
SumWaves(const overview& aZones);

// Which revision is in force where, and who is unresponsive.
void
PrintZones(const overview& aZones,
           platform::revision aRevision,
           printer& aPrinter);
nlohmann::json
ZonesJson(const overview& aZones, platform::revision aRevision);

// The number of hosts of each pool, by zone and phase.
void
PrintPools(const overview& aZones, printer& aPrinter);

// Hosts that do not serve, with their phase and the reason for waiting.
void
PrintHosts(const overview& aZones, printer& aPrinter);
nlohmann::json
HostsJson(const overview& aZones);

void
PrintWaves(const overview& aZones, printer& aPrinter);
nlohmann::json
WavesJson(const overview& aZones);

} // namespace mangospan::ctl

#endif // MANGOSPAN_CTL_INTERNAL_STATUS_REPORT_H
