// Everything that a scenario runs: processes, load, and what they can be asked.
//
//   world world(options);
//   BOOST_OUTCOME_TRYV(world.Start("platform"));
//   BOOST_OUTCOME_TRY(state, world.Store());
#ifndef TESTING_SCENARIO_WORLD_H
#define TESTING_SCENARIO_WORLD_H

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "mangospan/base/error.h"
#include "mangospan/base/time.h"
#include "testing/scenario/deployment.h"
#include "testing/scenario/event_loop.h"
#include "testing/scenario/load_client.h"
#include "testing/scenario/process_table.h"
#include "testing/scenario/store_records.h"

namespace mangospan::scenario {

struct world_options
{
  std::string mBinFolder;
  std::string mFolder; // for settings and logs
  std::uint64_t mSeed = 1;
};

// The exit code and the output of one run of mangospanctl.
struct ctl_result
{
  int mExit = 0;
  std::string mOutput;
};

class world
{
public:
  explicit world(const world_options& aOptions);
  world(const world&) = delete;
  world& operator=(const world&) = delete;

  event_loop& Loop() { return mLoop; }
  deployment& Deployment() { return mDeployment; }
  process_table& Processes() { return mProcesses; }
  load_client& Load() { return mLoad; }
  void SetDirectLoad(bool aDirect) { mDirectLoad = aDirect; }

  // Starts the process and waits until it answers HTTP.
  status Start(const std::string& aName);
  status Kill(const std::string& aName);
  // SIGTERM; must exit with 0 within the time.
  status Stop(const std::string& aName);
  status Freeze(const std::string& aName);
  status Thaw(const std::string& aName);

  // Runs mangospanctl to its end; several at once.
  result<std::vector<ctl_result>> RunCtls(
    const std::vector<std::vector<std::string>>& aRuns);
  result<ctl_result> RunCtl(const std::vector<std::string>& aArguments);

  // Sends a request that must be answered with 200; returns the body.
  result<std::string> Ask(const std::string& aName, const std::string& aTarget);
  status Tell(const std::string& aName,
              const std::string& aTarget,
              const std::string& aBody);

  // Whether /healthz says so; the balancer offers an entry from then on.
  bool IsHealthy(const std::string& aName);

  // Writes a file into the scenario's folder and returns its path.
  result<std::string> WriteFile(const std::string& aName,
                                const std::string& aText);

  result<store_state> Store();
  // Declared daemons that run and are not frozen.
  std::vector<daemon_process> RunningDaemons();

  // Notes that the host list shows the host leaving from `aShown` on.
  void NoteLeaving(const std::string& aHost, time_point aShown);
  void NoteInForce(std::chrono::milliseconds aTook);

  // Processes that were killed or frozen at some time.
  const std::set<std::string>& Interrupted() const { return mInterrupted; }
  const std::set<std::string>& Stopped() const { return mStopped; }
  const std::map<std::string, time_point>& Leaving() const { return mLeaving; }
  // The longest time that a configuration took to be in force.
  std::optional<std::chrono::milliseconds> InForce() const { return mInForce; }

private:
  std::vector<load_target> Targets(const std::string& aService);

  std::string mFolder;
  event_loop mLoop;
  deployment mDeployment;
  process_table mProcesses;
  load_client mLoad;
  bool mDirectLoad = false;
  std::set<std::string> mFrozen;  // now
  std::set<std::string> mOffered; // entries that have been healthy
  std::set<std::string> mInterrupted;
  std::set<std::string> mStopped;
  std::map<std::string, time_point> mLeaving;
  std::optional<std::chrono::milliseconds> mInForce;
  int mCtlRuns = 0;
};

} // namespace mangospan::scenario

#endif // TESTING_SCENARIO_WORLD_H
