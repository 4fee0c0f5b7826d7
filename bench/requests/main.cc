// Prints the figures of docs/PERFORMANCE.md, section "Requests". All but the
// processor times follow from the seed alone.
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "bench/requests/cost.h"
#include "bench/requests/zone_model.h"

namespace {

using namespace mangospan::bench;

constexpr std::uint64_t kDefaultSeed = 1;

struct named_load
{
  const char* mName;
  zone_load mLoad;
};

zone_load
Peak(double aOfCapacity)
{
  zone_load load;
  load.mPeakOfCapacity = aOfCapacity;
  return load;
}

zone_load
Faulty(first_endpoint aFirst)
{
  zone_load load;
  load.mFirst = aFirst;
  return load;
}

zone_load
Small()
{
  zone_load load;
  load.mEndpoints = 2;
  return load;
}

zone_load
Slow()
{
  zone_load load;
  load.mSlotTimeFactor = 3;
  return load;
}

zone_load
Slowdown(double aFactor)
{
  zone_load load;
  load.mSlowdown = aFactor;
  return load;
}

zone_load
Returning(double aOfCapacity)
{
  zone_load load;
  load.mPeakOfCapacity = aOfCapacity;
  load.mReturns = 5;
  return load;
}

const named_load kLoads[] = {
  { "peak 1.5x capacity", Peak(1.5) },
  { "peak 2x capacity", Peak(2) },
  { "peak 5x capacity", Peak(5) },
  { "2x, 5 returns", Returning(2) },
  { "5x, 5 returns", Returning(5) },
  { "2x, two endpoints a pool", Small() },
  { "2x, slot times tripled", Slow() },
  { "2x, then 4 times slower", Slowdown(4) },
  { "2x, then 10 times slower", Slowdown(10) },
  { "2x, one of 4 fails all", Faulty(first_endpoint::kFailsAll) },
  { "2x, one of 4 hangs", Faulty(first_endpoint::kHangs) },
  { "2x, one of 4 is dead", Faulty(first_endpoint::kDead) },
  { "2x, one of 4 is slow", Faulty(first_endpoint::kSlow) },
};

void
PrintRow(const char* aName, const char* aPath, const zone_report& aReport)
{
  std::printf("%-26s %-10s %8.3f %8.3f %8.3f %8.4f %8.4f %8.3f %8.3f\n",
              aName,
              aPath,
              aReport.Goodput(),
              aReport.Busy(),
              aReport.InTime(),
              aReport.WorstInTimeShare(),
              aReport.Failed(),
              aReport.ServedToOthers(),
              aReport.Served(FirstCaller()));
}

void
PrintGoodput(std::uint64_t aSeed)
{
  std::printf(
    "\ngoodput: slot time in peaks that went into answers in time, of all\n"
    "busy:    slot time in peaks that went into any attempt, of all\n"
    "in time: answers in time, of all asked, in peaks or not\n"
    "met:     in time, of what was let in, in the worst class\n"
    "failed:  error answers and unknown outcomes, of all asked\n"
    "others, greedy: in time, of what these callers asked in peaks\n");
  std::printf("%-26s %-10s %8s %8s %8s %8s %8s %8s %8s\n",
              "load",
              "path",
              "goodput",
              "busy",
              "in time",
              "met",
              "failed",
              "others",
              "greedy");
  for (const named_load& each : kLoads) {
    PrintRow(
      each.mName, "pipeline", RunZone(each.mLoad, path_kind::kPipeline, aSeed));
    PrintRow(
      "", "first-come", RunZone(each.mLoad, path_kind::kFirstCome, aSeed));
  }
}

void
PrintClasses(const char* aTitle, const zone_report& aReport)
{
  std::printf("\n%s\n%-20s %8s %8s %8s %8s %8s %8s\n",
              aTitle,
              "class (of pool 0)",
              "asked",
              "refused",
              "in time",
              "late",
              "failed",
              "met");
  for (const auto& [name, counts] : aReport.mClasses) {
    if (name.Str().rfind("service-0", 0) != 0) {
      continue;
    }
    std::printf("%-20s %8llu %8llu %8llu %8llu %8llu %8.4f\n",
                name.Str().c_str(),
                static_cast<unsigned long long>(counts.mAsked),
                static_cast<unsigned long long>(counts.mRefused),
                static_cast<unsigned long long>(counts.mInTime),
                static_cast<unsigned long long>(counts.mLate),
                static_cast<unsigned long long>(counts.mFailed),
                counts.InTimeShare());
  }
}

void
PrintCost()
{
  const request_cost cost = MeasureCost();
  std::printf("\ncost through the pipeline, processor time\n");
  std::printf("served   %.2f us\nrefused  %.2f us\nratio    %.2f\n",
              cost.mServedMicroseconds,
              cost.mRefusedMicroseconds,
              cost.mRefusedMicroseconds / cost.mServedMicroseconds);
  std::printf("memory   %zu bytes per 1,000 open requests\n",
              MeasureBytesPerThousandOpen());
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const std::uint64_t seed =
    aCount > 1 ? std::strtoull(aArguments[1], nullptr, 10) : kDefaultSeed;
  std::printf("seed %llu\n", static_cast<unsigned long long>(seed));
  PrintGoodput(seed);
  const zone_load twice = Peak(2);
  PrintClasses("pipeline, peak 2x capacity",
               RunZone(twice, path_kind::kPipeline, seed));
  PrintClasses("first-come, peak 2x capacity",
               RunZone(twice, path_kind::kFirstCome, seed));
  PrintCost();
  return 0;
}
