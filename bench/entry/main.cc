// Prints the figures of docs/PERFORMANCE.md on a wired entry: HTTP and links on
// loopback; callers, entry and endpoints have a thread each. Under a minute.
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <thread>

#include "bench/entry/caller_load.h"
#include "bench/entry/idle_callers.h"
#include "bench/entry/wired_zone.h"
#include "mangospan/base/log.h"

namespace {

using namespace mangospan;
using namespace mangospan::bench;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

constexpr seconds kIdleTime{ 10 };
constexpr seconds kConnectionsTime{ 5 };
constexpr seconds kLoadTime{ 2 };
constexpr seconds kOverloadTime{ 3 };
constexpr milliseconds kWarmUp{ 500 };
constexpr std::size_t kConnections = 2000;
constexpr std::size_t kOverloadCallers = 64;
constexpr double kPerThousand = 1000.0;

double
Microseconds(nanoseconds aTime)
{
  return std::chrono::duration<double, std::micro>(aTime).count();
}

double
Share(nanoseconds aUsed, nanoseconds aOf)
{
  return std::chrono::duration<double>(aUsed) /
         std::chrono::duration<double>(aOf);
}

// The entry's processor share with nothing to do.
double
PrintIdle(wired_zone& aZone)
{
  const wire::link_counters before = aZone.LinkCounters();
  const nanoseconds used = aZone.EntryThread().ProcessorTime();
  std::this_thread::sleep_for(kIdleTime);
  const double share =
    Share(aZone.EntryThread().ProcessorTime() - used, kIdleTime);
  const wire::link_counters after = aZone.LinkCounters();
  const auto perSecond = [](std::uint64_t aFrom, std::uint64_t aTo) {
    return static_cast<double>(aTo - aFrom) /
           std::chrono::duration<double>(kIdleTime).count();
  };
  std::printf("idle registered entry: to it %.0f B/s in %.1f messages/s, "
              "from it %.0f B/s in %.1f messages/s, %.3f%% of a core, "
              "process %.1f MB resident\n",
              perSecond(before.mSentBytes, after.mSentBytes),
              perSecond(before.mSentMessages, after.mSentMessages),
              perSecond(before.mReceivedBytes, after.mReceivedBytes),
              perSecond(before.mReceivedMessages, after.mReceivedMessages),
              share * 100,
              static_cast<double>(ResidentMemory()) / 1e6);
  return share;
}

void
PrintConnections(wired_zone& aZone, double aIdleShare)
{
  idle_callers callers(aZone.EntryPort(), kQuickTarget);
  const std::size_t before = ResidentMemory();
  const nanoseconds began = aZone.EntryThread().ProcessorTime();
  const std::size_t open = callers.Open(AdmittedConnections(kConnections));
  if (open == 0) {
    std::printf("open idle callers: none could be opened\n");
    return;
  }
  const double thousands = static_cast<double>(open) / kPerThousand;
  const std::size_t memory = ResidentMemory() - before;
  const nanoseconds opened = aZone.EntryThread().ProcessorTime();
  std::this_thread::sleep_for(kConnectionsTime);
  const double share =
    Share(aZone.EntryThread().ProcessorTime() - opened, kConnectionsTime);
  std::printf("%zu open idle callers, per 1,000: %.2f MB resident, "
              "%.1f ms to open and serve one request each, "
              "%.3f%% of a core while idle beyond the entry's own\n",
              open,
              static_cast<double>(memory) / 1e6 / thousands,
              Microseconds(opened - began) / 1e3 / thousands,
              (share - aIdleShare) * 100 / thousands);
}

// Returns the entry's processor time for a served request under the last load.
nanoseconds
PrintLoads(wired_zone& aZone, caller_load& aCallers)
{
  std::printf("callers | direct/s  median us  p99 us | entry/s  median us  "
              "p99 us | entry/direct  added median us  p99 us | entry "
              "processor us  of a core | not served\n");
  nanoseconds perServed{ 0 };
  for (const std::size_t callers : { 1, 8, 32 }) {
    const load_figures direct =
      aCallers.Run(aZone.QuickAddresses(), kQuickTarget, callers, kLoadTime);
    const nanoseconds before = aZone.EntryThread().ProcessorTime();
    const load_figures entry =
      aCallers.Run({ aZone.EntryAddress() }, kQuickTarget, callers, kLoadTime);
    const nanoseconds used = aZone.EntryThread().ProcessorTime() - before;
    if (direct.mLatencies.empty() || entry.mLatencies.empty()) {
      std::printf("%zu: nothing was served\n", callers);
      continue;
    }
    perServed = used / static_cast<std::int64_t>(entry.mLatencies.size());
    std::printf(
      "%7zu | %.0f %.0f %.0f | %.0f %.0f %.0f | %.3f %.0f %.0f | %.1f %.2f | "
      "%zu\n",
      callers,
      direct.ServedPerSecond(),
      Microseconds(direct.Latency(0.5)),
      Microseconds(direct.Latency(0.99)),
      entry.ServedPerSecond(),
      Microseconds(entry.Latency(0.5)),
      Microseconds(entry.Latency(0.99)),
      entry.ServedPerSecond() / direct.ServedPerSecond(),
      Microseconds(entry.Latency(0.5) - direct.Latency(0.5)),
      Microseconds(entry.Latency(0.99) - direct.Latency(0.99)),
      Microseconds(perServed),
      Share(used, entry.mTook),
      direct.mRefused + direct.mOthers + entry.mRefused + entry.mOthers);
  }
  return perServed;
}

void
PrintRefusals(wired_zone& aZone, caller_load& aCallers, nanoseconds aPerServed)
{
  const nanoseconds before = aZone.EntryThread().ProcessorTime();
  const load_figures figures = aCallers.Run(
    { aZone.EntryAddress() }, kSlowTarget, kOverloadCallers, kOverloadTime);
  const nanoseconds used = aZone.EntryThread().ProcessorTime() - before;
  if (figures.mRefused == 0) {
    std::printf("overload: nothing was refused\n");
    return;
  }
  const auto served = static_cast<std::int64_t>(figures.mLatencies.size());
  const nanoseconds perRefused =
    (used - aPerServed * served) / static_cast<std::int64_t>(figures.mRefused);
  std::printf("overload, %zu callers: %zu served, %zu refused, %zu others; "
              "processor of the entry per refused request %.1f us, "
              "%.2f of a served one\n",
              kOverloadCallers,
              figures.mLatencies.size(),
              figures.mRefused,
              figures.mOthers,
              Microseconds(perRefused),
              Microseconds(perRefused) / Microseconds(aPerServed));
}

} // namespace

int
main()
{
  ConfigureLog("bench", log_level::kError);
  wired_zone zone;
  if (!zone.BecomesReady()) {
    std::fputs("the entry did not become ready\n", stderr);
    return EXIT_FAILURE;
  }
  caller_load callers;
  const double idleShare = PrintIdle(zone);
  // Memory before any load, which would leave freed memory to reuse.
  callers.Run({ zone.EntryAddress() }, kQuickTarget, 1, kWarmUp);
  PrintConnections(zone, idleShare);
  const nanoseconds perServed = PrintLoads(zone, callers);
  PrintRefusals(zone, callers, perServed);
  return EXIT_SUCCESS;
}
