#include <algorithm>
#include <cstddef>
#include <iostream>
#include <string>
#include <vector>

#include <malloc.h>

#include "bench/fleet/bench_parts.h"
#include "mangospan/config/parser.h"
#include "mangospan/config/patch.h"
#include "mangospan/fleet/testing/fake_fleet.h"
#include "mangospan/wire/message.h"

namespace mangospan::bench {

namespace {

using fleet::testing::fake_fleet;
using fleet::testing::fleet_options;
using std::chrono::milliseconds;
using std::chrono::seconds;

double
SecondsOf(std::chrono::nanoseconds aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

// A configuration of `aPools` pools and `aTeams` teams.
config::document
Document(std::size_t aPools, std::size_t aTeams, std::size_t aBudget)
{
  config::document document = fleet::testing::TwoPools(aBudget);
  for (std::size_t i = 2; i < aPools; ++i) {
    config::pool pool = document.mPools[0];
    pool.mName = pool_name("pool-" + std::to_string(i));
    pool.mService = service_name("service-" + std::to_string(i));
    document.mPools.push_back(pool);
    config::work_class work = document.mClasses[0];
    work.mName = class_name("class-" + std::to_string(i));
    work.mMatch.mService = pool.mService;
    document.mClasses.push_back(work);
  }
  for (std::size_t i = 0; i < aTeams; ++i) {
    document.mTeams.push_back(
      { team_name("team-" + std::to_string(i)), 10, 16 });
  }
  document.mMaintenance.mRebootLimit = seconds(600);
  return document;
}

std::vector<service_name>
Services(const config::document& aDocument)
{
  std::vector<service_name> services;
  for (const config::pool& pool : aDocument.mPools) {
    services.push_back(pool.mService);
  }
  return services;
}

bool
WaveDone(const fake_fleet& aFleet, std::size_t aZones)
{
  for (std::size_t i = 0; i < aZones; ++i) {
    for (const auto& [host, record] : aFleet.Hosts(aFleet.Zone(i)).mHosts) {
      const bool done = record.mLastWave == "w1" &&
                        record.mPhase == fleet::host_phase::kServing;
      if (record.mPool == pool_name("work") && !done) {
        return false;
      }
    }
  }
  return true;
}

void
RollOutOnce(std::size_t aZones,
            std::size_t aHosts,
            std::size_t aBudget,
            std::uint64_t aSeed)
{
  constexpr seconds kReboot{ 60 };
  fleet_options options;
  options.mZones = aZones;
  options.mHosts = aHosts;
  options.mSlots = 8;
  options.mServices = { service_name("work") };
  fake_fleet fleet(options, aSeed);
  fleet.mHosts.mRebootTime = kReboot;
  fleet.mHosts.mRunnerActionTime = seconds(1);
  config::document document = Document(2, 0, aBudget);
  document.mPrefer = config::preference::kFastRollOut;
  fleet.Apply(document);
  fleet.Run(seconds(10));
  fleet.StartWave("w1", false);
  const time_point start = fleet.mEvents.Now();
  const std::size_t calls = fleet.mStore.CallCount();
  while (!WaveDone(fleet, aZones)) {
    fleet.Run(milliseconds(100));
  }
  const std::size_t hosts = aZones * aHosts;
  const double took = SecondsOf(fleet.mEvents.Now() - start);
  const std::size_t batches = (hosts + aBudget - 1) / aBudget;
  const double bound =
    SecondsOf(kReboot + seconds(1)) * static_cast<double>(batches);
  std::cout << aZones << "\t" << hosts << "\t" << aBudget << "\t" << bound
            << "\t" << took << "\t" << took / bound << "\t"
            << static_cast<double>(fleet.mStore.CallCount() - calls) /
                 static_cast<double>(hosts)
            << "\t" << fleet.Violations().size() << "\n";
}

bool
InForce(fake_fleet& aFleet)
{
  const std::uint64_t revision = aFleet.mStore.RevisionOf(fleet::kConfigKey);
  return std::all_of(
    aFleet.Entries().begin(), aFleet.Entries().end(), [&](const auto& aEntry) {
      return aEntry->mConfigRevision == revision;
    });
}

// Seconds until every entry of a zone has each of some changes.
std::vector<double>
TimesToForce(bool aKill, std::uint64_t aSeed)
{
  constexpr int kChanges = 200;
  fleet_options options;
  options.mProcesses = 3;
  options.mEntries = 8;
  options.mHosts = 12;
  fake_fleet fleet(options, aSeed);
  fleet.Apply(Document(5, 10, 1));
  fleet.Run(seconds(20));
  std::vector<double> times;
  for (int i = 0; i < kChanges; ++i) {
    fleet::testing::fake_process* acting = fleet.ActingProcess(fleet.Zone(0));
    if (aKill && acting != nullptr) {
      fleet.Kill(*acting);
    }
    fleet.Apply(Document(5, 10, 1 + i % 3));
    const time_point start = fleet.mEvents.Now();
    while (!InForce(fleet)) {
      fleet.Run(milliseconds(5));
    }
    times.push_back(SecondsOf(fleet.mEvents.Now() - start));
    fleet.Heal();
    fleet.Run(milliseconds(8000 + fleet.mRandom() % 1000));
  }
  std::sort(times.begin(), times.end());
  return times;
}

void
LoadOnce(std::size_t aHosts,
         std::size_t aPools,
         std::size_t aTeams,
         std::uint64_t aSeed)
{
  constexpr int kSeconds = 300;
  fleet_options options;
  options.mProcesses = 1;
  options.mEntries = 8;
  options.mHosts = aHosts;
  options.mSlots = 8;
  config::document document = Document(aPools, aTeams, 1);
  options.mServices = Services(document);
  fake_fleet fleet(options, aSeed);
  fleet.Apply(document);
  fleet.Run(seconds(30));
  fleet.mReportsDemand = true;
  fleet.mDemandRate = 5;
  const auto busy = fleet.mDecisionTime;
  const std::size_t calls = fleet.mStore.CallCount();
  const std::size_t bytes = fleet.mStore.WrittenBytes();
  const std::size_t messages = fleet.mMessageCount;
  fleet.Run(seconds(kSeconds));
  const double core = SecondsOf(fleet.mDecisionTime - busy) / kSeconds * 100;
  fleet::testing::fake_process& acting = *fleet.ActingProcess(fleet.Zone(0));
  const view::zone_view view = acting.mController->View();
  const std::size_t viewBytes =
    wire::Encode({ {}, wire::view_push{ view } }).size();
  std::cout << aHosts << "\t" << aPools << "\t" << aTeams << "\t"
            << static_cast<double>(fleet.mStore.CallCount() - calls) / kSeconds
            << "\t"
            << static_cast<double>(fleet.mStore.WrittenBytes() - bytes) /
                 kSeconds
            << "\t" << core << "\t"
            << static_cast<double>(fleet.mMessageCount - messages) / kSeconds
            << "\t" << viewBytes << "\t"
            << fleet.mStore.Get(fleet::HostsKey(fleet.Zone(0))).size() << "\t"
            << config::ToText(document).size();
  const std::size_t before = mallinfo2().uordblks;
  fleet.Kill(acting);
  std::cout << "\t" << (before - mallinfo2().uordblks) / 1024 << "\n";
}

std::size_t
BytesOf(const wire::message& aMessage)
{
  wire::sender sender;
  sender.mHost = host_name("zone-a-entry-01");
  sender.mZone = zone_name("zone-a");
  sender.mBoot = DrawBootId();
  sender.mTerm = 1000000;
  return wire::Encode({ sender, aMessage }).size();
}

// An entry's report when `aClasses` classes have had requests.
wire::entry_report
Report(std::size_t aClasses)
{
  wire::entry_report report;
  report.mView = { 1000000, 1000 };
  report.mConfigRevision = 1000000;
  for (std::size_t i = 0; i < aClasses; ++i) {
    wire::class_demand demand;
    demand.mClass = class_name("class-" + std::to_string(i));
    demand.mArrivals = 100;
    demand.mAnswered = 100;
    demand.mBusy = seconds(30);
    demand.mQueued = 10;
    report.mDemand.push_back(demand);
  }
  return report;
}

void
PrintMessageSizes()
{
  const std::string from = config::ToText(Document(43, 540, 1));
  config::document changed = Document(43, 540, 1);
  changed.mPools[20].mMinHosts = 3;
  const std::string to = config::ToText(changed);
  const std::string patch = config::MakePatch(from, to).value();
  std::cout << "\nmessage bytes: heartbeat report_1_class report_43_classes "
               "config_patch config_whole\n"
            << BytesOf(wire::heartbeat{ { 1000000, 1000 }, 1000000, true })
            << "\t" << BytesOf(Report(1)) << "\t" << BytesOf(Report(43)) << "\t"
            << BytesOf(wire::config_push{ 1000001, 1000000, patch }) << "\t"
            << BytesOf(wire::config_push{ 1000001, 0, to }) << "\n";
}

} // namespace

void
BenchRollOut(std::uint64_t aSeed)
{
  std::cout << "\nroll-out: zones hosts budget bound_s took_s ratio "
               "store_calls/host violations\n";
  RollOutOnce(4, 3, 1, aSeed);
  RollOutOnce(4, 3, 2, aSeed);
  RollOutOnce(3, 6, 2, aSeed);
  RollOutOnce(4, 13, 5, aSeed);
}

void
BenchConfiguration(std::uint64_t aSeed)
{
  std::cout << "\nconfiguration in force: case median_s p99_s max_s\n";
  for (const bool kill : { false, true }) {
    const std::vector<double> times = TimesToForce(kill, aSeed);
    std::cout << (kill ? "holder-killed" : "holder-alive") << "\t"
              << times[times.size() / 2] << "\t"
              << times[times.size() * 99 / 100] << "\t" << times.back() << "\n";
  }
}

void
BenchLoad(std::uint64_t aSeed)
{
  std::cout << "\nload of an acting process, 8 entries: hosts pools teams "
               "store_calls/s store_bytes/s core_% messages/s view_bytes "
               "hosts_record_bytes document_bytes memory_kb\n";
  LoadOnce(12, 5, 10, aSeed);
  LoadOnce(37, 21, 270, aSeed);
  LoadOnce(75, 43, 540, aSeed);
  PrintMessageSizes();
}

} // namespace mangospan::bench
