// Carries the steps of a script out, each by the function that its name stands
// for.
//
//   step_runner runner(world, "scenarios", std::cout);
//   BOOST_OUTCOME_TRYV(runner.Run(step));
#ifndef TESTING_SCENARIO_STEPS_H
#define TESTING_SCENARIO_STEPS_H

#include <chrono>
#include <cstdint>
#include <iosfwd>
#include <map>
#include <optional>
#include <string>

#include "mangospan/base/error.h"
#include "mangospan/base/time.h"
#include "testing/scenario/step.h"
#include "testing/scenario/verdict.h"
#include "testing/scenario/world.h"

namespace mangospan::scenario {

class step_runner
{
public:
  // File names of steps are relative to `aScriptFolder`.
  step_runner(world& aWorld, std::string aScriptFolder, std::ostream& aOut);

  status Run(const step& aStep);

private:
  using method = status (step_runner::*)(const step&);
  struct entry
  {
    const char* mName;
    method mRun;
  };
  static const entry kSteps[];

  status Fleet(const step& aStep);
  status Platform(const step& aStep);
  status Endpoints(const step& aStep);
  status Entry(const step& aStep);
  status FleetDaemon(const step& aStep);
  status Start(const step& aStep);
  status Kill(const step& aStep);
  status Stop(const step& aStep);
  status Freeze(const step& aStep);
  status Thaw(const step& aStep);
  status Restart(const step& aStep);
  status Apply(const step& aStep);
  status Ctl(const step& aStep);
  status Race(const step& aStep);
  status Slow(const step& aStep);
  status Outage(const step& aStep);
  status LoseAnswers(const step& aStep);
  status Cut(const step& aStep);
  status Heal(const step& aStep);
  status Fault(const step& aStep);
  status Leave(const step& aStep);
  status LoadStart(const step& aStep);
  status LoadWait(const step& aStep);
  status Wait(const step& aStep);
  status WaitUntil(const step& aStep);
  status Expect(const step& aStep);
  status Summary(const step& aStep);
  status History(const step& aStep);

  // The process that a script names. "acting/ZONE" is the fleet process that
  // acts for the zone now; later steps find it under that name again.
  result<std::string> Resolve(const std::string& aName);
  std::string Remembered(const std::string& aName) const;
  std::string PathOf(const std::string& aFile) const;
  // The file to apply, with the step's change made in a copy.
  result<std::string> FileToApply(const step& aStep);
  status CutPeers(const std::string& aName, bool aIsZone);
  // Waits until every running daemon holds the configuration that is stored
  // after revision `aBefore`, and notes how long that took since `aStarted`.
  status WaitInForce(std::uint64_t aBefore,
                     time_point aStarted,
                     std::chrono::milliseconds aWithin);

  world& mWorld;
  std::string mScriptFolder;
  std::ostream& mOut;
  std::map<std::string, std::string> mActing; // by "acting/ZONE"
  std::optional<verdict> mVerdict;            // of the records so far
};

} // namespace mangospan::scenario

#endif // TESTING_SCENARIO_STEPS_H
