// The platform carries an upkeep order out late, and the node that gave it is
// restarted as planned in the meantime.
#include <chrono>
#include <string>
#include <vector>

#include "review/standins-2/deployment.h"
#include "review/standins-2/scenarios.h"

namespace mangospan::review {

using std::chrono::milliseconds;

namespace {

constexpr const char* kService = "alpha";
constexpr std::uint64_t kWave = 7;
constexpr std::size_t kCap = 1;
constexpr std::size_t kMachines = 8;
constexpr milliseconds kCalm{ 2'000 };
// The pages: 2 to 12 s later.
constexpr milliseconds kLateBy{ 4'500 };
constexpr milliseconds kRestartAfterOrder{ 300 };
constexpr milliseconds kDown{ 500 };
constexpr milliseconds kObserved{ 60'000 };

} // namespace

int
LateUpkeep(const std::string& aRecordFile, bool aIsTroubled)
{
  deployment all(aRecordFile);
  const runner_spec each{ kService, "standard", 16'000 };
  const std::vector<runner_spec> runners(kMachines, each);
  const bool isStarted =
    all.Start({ { "drafts", kService } }, { kService }, runners, 3);
  if (!isStarted) {
    all.Note("the case could not run");
    return kCouldNotRun;
  }
  all.RunFor(kCalm);
  bool isFirst = true;
  all.SetUpkeepDelay([&](const upkeep_order& aOrder) {
    if (!aIsTroubled || !isFirst) {
      return milliseconds(0);
    }
    isFirst = false;
    all.After(kRestartAfterOrder,
              [&all, holder = aOrder.mHolder] { all.Restart(holder, kDown); });
    return kLateBy;
  });
  all.RequestWave(kWave, kCap);
  all.RunUntil([&all] { return all.UpkeepCount() == kMachines; }, kObserved);
  if (all.UpkeepCount() == 0) {
    all.Note("no upkeep has begun");
    return kCouldNotRun;
  }
  const bool isBroken = all.MostInUpkeep() > kCap;
  all.Note(isBroken ? "LIMIT is broken: an upkeep has begun while `cap` "
                      "machines of its wave were down for theirs"
                    : "LIMIT held");
  return isBroken ? kBroken : kHeld;
}

} // namespace mangospan::review
