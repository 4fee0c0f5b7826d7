#include "mangospan/jobs/outage_detector.h"

#include <chrono>
#include <string>

#include <gtest/gtest.h>

namespace mangospan::jobs {
namespace {

using std::chrono::milliseconds;

const time_point kStart{ std::chrono::hours(1) };

runner_silence
Silence(milliseconds aAt, const std::string& aRunner, const std::string& aRack)
{
  return { kStart + aAt, runner_name{ aRunner }, rack_name{ aRack } };
}

// Adds the silences of `aCount` runners of the rack.
void
AddRunners(outage_detector& aDetector,
           int aCount,
           milliseconds aAt,
           const std::string& aRack)
{
  for (int i = 0; i < aCount; ++i) {
    aDetector.Add(Silence(aAt, aRack + std::to_string(i), aRack));
  }
}

TEST(outage_detector_test, RunnerThatFallsSilentAloneIsNoOutage)
{
  outage_detector detector;
  const auto one = Silence(milliseconds(0), "r1", "a");
  detector.Add(one);
  EXPECT_FALSE(detector.IsOutage(one, 0));
}

TEST(outage_detector_test, HalfOfTheRackIsAnOutage)
{
  outage_detector detector;
  const auto one = Silence(milliseconds(0), "r1", "a");
  detector.Add(one);
  AddRunners(detector, 3, milliseconds(900), "a");
  EXPECT_TRUE(detector.IsOutage(one, 4));
  EXPECT_FALSE(detector.IsOutage(one, 5));
}

// Several tasks crash their runners at about the same time.
TEST(outage_detector_test, RunnersOfManyRacksAreNoOutage)
{
  outage_detector detector;
  const auto one = Silence(milliseconds(0), "r1", "a");
  detector.Add(one);
  for (const char* const each : { "b", "c", "d", "e" }) {
    AddRunners(detector, 1, milliseconds(0), each);
  }
  EXPECT_FALSE(detector.IsOutage(one, 2));
}

TEST(outage_detector_test, EarlierAndLaterSilencesDoNotCount)
{
  outage_detector detector;
  AddRunners(detector, 4, milliseconds(0), "a");
  const auto one = Silence(milliseconds(5'000), "r1", "a");
  detector.Add(one);
  EXPECT_FALSE(detector.IsOutage(one, 0));
}

TEST(outage_detector_test, UnknownRackTellsNothing)
{
  outage_detector detector;
  const auto one = Silence(milliseconds(0), "r1", "");
  detector.Add(one);
  AddRunners(detector, 4, milliseconds(0), "");
  EXPECT_FALSE(detector.IsOutage(one, 0));
}

} // namespace
} // namespace mangospan::jobs
