#include "testing/scenario/world.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <fstream>
#include <iterator>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "mangospan/base/error.h"
#include "mangospan/base/time.h"
#include "mangospan/http/message.h"
#include "mangospan/platform/hosts.h"
#include "testing/scenario/deployment.h"
#include "testing/scenario/event_loop.h"
#include "testing/scenario/load_client.h"
#include "testing/scenario/process_table.h"
#include "testing/scenario/store_records.h"

namespace mangospan::scenario {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStartTimeout{ 5'000 };
constexpr milliseconds kStopTimeout{ 35'000 };
constexpr milliseconds kCtlTimeout{ 30'000 };
constexpr milliseconds kCallTimeout{ 2'000 };
constexpr int kOk = 200;

std::string
ReadFile(const std::string& aFile)
{
  std::ifstream in(aFile);
  return { std::istreambuf_iterator<char>(in), {} };
}

} // namespace

world::world(const world_options& aOptions)
  : mFolder(aOptions.mFolder)
  , mDeployment(aOptions.mBinFolder, aOptions.mFolder)
  , mProcesses(aOptions.mFolder)
  , mLoad(mLoop.Io(), aOptions.mSeed, [this](const std::string& aService) {
    return Targets(aService);
  })
{
}

status
world::Start(const std::string& aName)
{
  mOffered.erase(aName);
  BOOST_OUTCOME_TRY(command, mDeployment.CommandOf(aName));
  BOOST_OUTCOME_TRY(address, mDeployment.ControlAddressOf(aName));
  BOOST_OUTCOME_TRYV(
    mProcesses.Start(aName, command.mProgram, command.mArguments));
  const bool answered = mLoop.RunUntil(
    [&] {
      return !mProcesses.Runs(aName) ||
             mLoop.Call(address, Get("/healthz"), kCallTimeout).has_value();
    },
    kStartTimeout);
  if (!mProcesses.Runs(aName)) {
    return error{ error_code::kUnavailable,
                  "process.start",
                  aName,
                  "ended with " +
                    std::to_string(mProcesses.ExitCode(aName).value_or(-1)) };
  }
  if (!answered) {
    return error{
      error_code::kTimeout, "process.start", aName, "does not answer"
    };
  }
  mStopped.erase(aName);
  return boost::outcome_v2::success();
}

status
world::Kill(const std::string& aName)
{
  mInterrupted.insert(aName);
  BOOST_OUTCOME_TRYV(mProcesses.Signal(aName, SIGKILL));
  mProcesses.Reap(aName);
  mFrozen.erase(aName);
  return boost::outcome_v2::success();
}

status
world::Stop(const std::string& aName)
{
  BOOST_OUTCOME_TRYV(mProcesses.Signal(aName, SIGTERM));
  mStopped.insert(aName);
  if (!mLoop.RunUntil([&] { return !mProcesses.Runs(aName); }, kStopTimeout)) {
    return error{
      error_code::kTimeout, "process.stop", aName, "does not end on SIGTERM"
    };
  }
  const int code = mProcesses.ExitCode(aName).value_or(-1);
  if (code != 0) {
    return error{ error_code::kInternal,
                  "process.stop",
                  aName,
                  "ended with " + std::to_string(code) };
  }
  return boost::outcome_v2::success();
}

status
world::Freeze(const std::string& aName)
{
  mInterrupted.insert(aName);
  mFrozen.insert(aName);
  return mProcesses.Signal(aName, SIGSTOP);
}

status
world::Thaw(const std::string& aName)
{
  mFrozen.erase(aName);
  return mProcesses.Signal(aName, SIGCONT);
}

result<ctl_result>
world::RunCtl(const std::vector<std::string>& aArguments)
{
  BOOST_OUTCOME_TRY(ran, RunCtls({ aArguments }));
  return ran.front();
}

result<std::vector<ctl_result>>
world::RunCtls(const std::vector<std::vector<std::string>>& aRuns)
{
  std::vector<std::string> names;
  names.reserve(aRuns.size());
  for (const auto& arguments : aRuns) {
    names.push_back("ctl-" + std::to_string(++mCtlRuns));
    const command command = mDeployment.CtlCommand(arguments);
    BOOST_OUTCOME_TRYV(
      mProcesses.Start(names.back(), command.mProgram, command.mArguments));
  }
  const bool ended = mLoop.RunUntil(
    [&] {
      return std::none_of(
        names.begin(), names.end(), [&](const std::string& aName) {
          return mProcesses.Runs(aName);
        });
    },
    kCtlTimeout);
  if (!ended) {
    return error{ error_code::kTimeout, "ctl", names.front(), "does not end" };
  }
  std::vector<ctl_result> results;
  results.reserve(names.size());
  for (const std::string& name : names) {
    results.push_back({ mProcesses.ExitCode(name).value_or(-1),
                        ReadFile(mProcesses.LogFile(name)) });
  }
  return results;
}

result<std::string>
world::Ask(const std::string& aName, const std::string& aTarget)
{
  BOOST_OUTCOME_TRY(address, mDeployment.ControlAddressOf(aName));
  BOOST_OUTCOME_TRY(answer, mLoop.Call(address, Get(aTarget), kCallTimeout));
  if (answer.mStatus != kOk) {
    return error{ error_code::kInvalidArgument,
                  "ask " + aTarget,
                  aName,
                  std::to_string(answer.mStatus) + " " + answer.mBody };
  }
  return answer.mBody;
}

status
world::Tell(const std::string& aName,
            const std::string& aTarget,
            const std::string& aBody)
{
  BOOST_OUTCOME_TRY(address, mDeployment.ControlAddressOf(aName));
  BOOST_OUTCOME_TRY(answer,
                    mLoop.Call(address, Post(aTarget, aBody), kCallTimeout));
  if (answer.mStatus != kOk) {
    return error{ error_code::kInvalidArgument,
                  "tell " + aTarget,
                  aName,
                  std::to_string(answer.mStatus) + " " + answer.mBody };
  }
  return boost::outcome_v2::success();
}

bool
world::IsHealthy(const std::string& aName)
{
  const bool healthy = Ask(aName, "/healthz").has_value();
  if (healthy) {
    mOffered.insert(aName);
  }
  return healthy;
}

result<std::string>
world::WriteFile(const std::string& aName, const std::string& aText)
{
  const std::string file = mFolder + "/" + aName;
  std::ofstream out(file);
  out << aText;
  if (!out.flush()) {
    return error{
      error_code::kInvalidArgument, "file.write", file, "can not be written"
    };
  }
  return file;
}

result<store_state>
world::Store()
{
  BOOST_OUTCOME_TRY(text, Ask("platform", "/control/records?prefix="));
  return ReadRecords(text);
}

std::vector<daemon_process>
world::RunningDaemons()
{
  std::vector<daemon_process> running;
  for (const auto& [name, daemon] : mDeployment.Daemons()) {
    if (mProcesses.Runs(name) && mFrozen.count(name) == 0) {
      running.push_back(daemon);
    }
  }
  return running;
}

void
world::NoteLeaving(const std::string& aHost, time_point aShown)
{
  mLeaving[aHost] = aShown;
}

void
world::NoteInForce(milliseconds aTook)
{
  mInForce = std::max(mInForce.value_or(milliseconds(0)), aTook);
}

// The balancer's choice: entries that run and have been healthy since their
// start, a frozen one among them.
std::vector<load_target>
world::Targets(const std::string& aService)
{
  std::vector<load_target> targets;
  if (mDirectLoad) {
    for (const platform::host_info& host : mDeployment.Fleet().mHosts) {
      if (host.mService.Str() == aService) {
        targets.push_back(
          { host.mHost.Str(), host.mAddress, host.mZone.Str() });
      }
    }
    return targets;
  }
  for (const auto& [name, daemon] : mDeployment.Daemons()) {
    if (mOffered.count(name) > 0 && mProcesses.Runs(name) &&
        daemon.mKind == daemon_kind::kEntry) {
      targets.push_back({ name, daemon.mCallerAddress, daemon.mZone });
    }
  }
  return targets;
}

} // namespace mangospan::scenario
