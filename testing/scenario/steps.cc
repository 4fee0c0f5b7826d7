#include "testing/scenario/steps.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "mangospan/base/error.h"
#include "mangospan/base/time.h"
#include "testing/scenario/conditions.h"
#include "testing/scenario/deployment.h"
#include "testing/scenario/parser.h"
#include "testing/scenario/report.h"
#include "testing/scenario/step.h"
#include "testing/scenario/world.h"

namespace mangospan::scenario {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

status
Success()
{
  return boost::outcome_v2::success();
}

error
Failure(const step& aStep, const std::string& aMessage)
{
  return { error_code::kInvalidArgument,
           aStep.mName,
           aStep.mWords.empty() ? "" : aStep.mWords.front(),
           aMessage };
}

status
NeedWords(const step& aStep, std::size_t aCount)
{
  if (aStep.mWords.size() != aCount) {
    return Failure(aStep, "needs " + std::to_string(aCount) + " words");
  }
  return Success();
}

} // namespace

const step_runner::entry step_runner::kSteps[] = {
  { "fleet", &step_runner::Fleet },
  { "platform", &step_runner::Platform },
  { "endpoints", &step_runner::Endpoints },
  { "entry", &step_runner::Entry },
  { "fleetd", &step_runner::FleetDaemon },
  { "start", &step_runner::Start },
  { "kill", &step_runner::Kill },
  { "stop", &step_runner::Stop },
  { "freeze", &step_runner::Freeze },
  { "thaw", &step_runner::Thaw },
  { "restart", &step_runner::Restart },
  { "apply", &step_runner::Apply },
  { "ctl", &step_runner::Ctl },
  { "race", &step_runner::Race },
  { "slow", &step_runner::Slow },
  { "outage", &step_runner::Outage },
  { "lose-answers", &step_runner::LoseAnswers },
  { "cut", &step_runner::Cut },
  { "heal", &step_runner::Heal },
  { "fault", &step_runner::Fault },
  { "leave", &step_runner::Leave },
  { "load start", &step_runner::LoadStart },
  { "load wait", &step_runner::LoadWait },
  { "wait", &step_runner::Wait },
  { "wait-until", &step_runner::WaitUntil },
  { "expect", &step_runner::Expect },
  { "summary", &step_runner::Summary },
  { "history", &step_runner::History },
};

step_runner::step_runner(world& aWorld,
                         std::string aScriptFolder,
                         std::ostream& aOut)
  : mWorld(aWorld)
  , mScriptFolder(std::move(aScriptFolder))
  , mOut(aOut)
{
}

status
step_runner::Run(const step& aStep)
{
  const auto found = std::find_if(
    std::begin(kSteps), std::end(kSteps), [&](const entry& aEntry) {
      return aStep.mName == aEntry.mName;
    });
  if (found == std::end(kSteps)) {
    return Failure(aStep, "is not carried out by anything");
  }
  // Records that were gathered before hold only between two expectations.
  if (aStep.mName != "expect" && aStep.mName != "summary") {
    mVerdict.reset();
  }
  return (this->*found->mRun)(aStep);
}

std::string
step_runner::PathOf(const std::string& aFile) const
{
  return aFile.front() == '/' ? aFile : mScriptFolder + "/" + aFile;
}

result<std::string>
step_runner::Resolve(const std::string& aName)
{
  constexpr const char* kPrefix = "acting/";
  if (aName.rfind(kPrefix, 0) != 0) {
    return aName;
  }
  const std::string zone = aName.substr(std::string(kPrefix).size());
  for (const daemon_process& each : mWorld.RunningDaemons()) {
    if (each.mKind == daemon_kind::kFleet) {
      BOOST_OUTCOME_TRY(acts,
                        CheckCondition(mWorld, { "acting", zone, each.mHost }));
      if (acts) {
        mActing[aName] = each.mName;
        return each.mName;
      }
    }
  }
  return error{ error_code::kNotFound, "process.find", aName, "none acts" };
}

std::string
step_runner::Remembered(const std::string& aName) const
{
  const auto found = mActing.find(aName);
  return found == mActing.end() ? aName : found->second;
}

status
step_runner::Fleet(const step& aStep)
{
  BOOST_OUTCOME_TRYV(NeedWords(aStep, 1));
  return mWorld.Deployment().LoadFleet(PathOf(aStep.mWords[0]));
}

status
step_runner::Platform(const step& /*aStep*/)
{
  return mWorld.Start("platform");
}

status
step_runner::Endpoints(const step& /*aStep*/)
{
  return mWorld.Start("endpoints");
}

status
step_runner::Entry(const step& aStep)
{
  for (const std::string& host : aStep.mWords) {
    BOOST_OUTCOME_TRYV(mWorld.Deployment().Declare(daemon_kind::kEntry, host));
  }
  return Success();
}

status
step_runner::FleetDaemon(const step& aStep)
{
  for (const std::string& host : aStep.mWords) {
    BOOST_OUTCOME_TRYV(mWorld.Deployment().Declare(daemon_kind::kFleet, host));
  }
  return Success();
}

status
step_runner::Start(const step& /*aStep*/)
{
  for (const auto& [name, daemon] : mWorld.Deployment().Daemons()) {
    if (!mWorld.Processes().Runs(name)) {
      BOOST_OUTCOME_TRYV(mWorld.Start(name));
    }
  }
  return Success();
}

status
step_runner::Kill(const step& aStep)
{
  BOOST_OUTCOME_TRYV(NeedWords(aStep, 1));
  BOOST_OUTCOME_TRY(name, Resolve(aStep.mWords[0]));
  return mWorld.Kill(name);
}

status
step_runner::Stop(const step& aStep)
{
  BOOST_OUTCOME_TRYV(NeedWords(aStep, 1));
  BOOST_OUTCOME_TRY(name, Resolve(aStep.mWords[0]));
  return mWorld.Stop(name);
}

status
step_runner::Freeze(const step& aStep)
{
  BOOST_OUTCOME_TRYV(NeedWords(aStep, 1));
  BOOST_OUTCOME_TRY(name, Resolve(aStep.mWords[0]));
  return mWorld.Freeze(name);
}

status
step_runner::Thaw(const step& aStep)
{
  BOOST_OUTCOME_TRYV(NeedWords(aStep, 1));
  return mWorld.Thaw(Remembered(aStep.mWords[0]));
}

status
step_runner::Restart(const step& aStep)
{
  BOOST_OUTCOME_TRYV(NeedWords(aStep, 1));
  const std::string name = Remembered(aStep.mWords[0]);
  BOOST_OUTCOME_TRYV(mWorld.Start(name));
  if (!mWorld.Loop().RunUntil([&] { return mWorld.IsHealthy(name); },
                              aStep.mWithin)) {
    return Failure(aStep, "does not become healthy");
  }
  return Success();
}

result<std::string>
step_runner::FileToApply(const step& aStep)
{
  const std::string file = PathOf(aStep.mWords[0]);
  if (aStep.mChange.empty()) {
    return file;
  }
  std::ifstream in(file);
  std::string text{ std::istreambuf_iterator<char>(in), {} };
  const std::size_t at = text.find(aStep.mChange[0]);
  if (at == std::string::npos) {
    return Failure(aStep, "does not contain " + aStep.mChange[0]);
  }
  text.replace(at, aStep.mChange[0].size(), aStep.mChange[1]);
  return mWorld.WriteFile("applied.json", text);
}

status
step_runner::Apply(const step& aStep)
{
  BOOST_OUTCOME_TRYV(NeedWords(aStep, 1));
  BOOST_OUTCOME_TRY(file, FileToApply(aStep));
  BOOST_OUTCOME_TRY(before, mWorld.Store());
  const time_point started = boot_clock::now();
  BOOST_OUTCOME_TRY(
    ran,
    mWorld.RunCtl(
      { "apply", file, "--platform", mWorld.Deployment().PlatformAddress() }));
  if (ran.mExit != 0) {
    return Failure(aStep,
                   "mangospanctl ended with " + std::to_string(ran.mExit) +
                     ": " + ran.mOutput);
  }
  return WaitInForce(before.mConfigRevision, started, aStep.mWithin);
}

status
step_runner::WaitInForce(std::uint64_t aBefore,
                         time_point aStarted,
                         milliseconds aWithin)
{
  const bool inForce = mWorld.Loop().RunUntil(
    [&] {
      const auto store = mWorld.Store();
      const auto holds = CheckCondition(mWorld, { "in-force" });
      return store && store.assume_value().mConfigRevision > aBefore && holds &&
             holds.assume_value();
    },
    aWithin);
  if (!inForce) {
    return error{ error_code::kTimeout,
                  "apply",
                  "",
                  "not in force everywhere within " +
                    std::to_string(aWithin.count()) + " ms" };
  }
  mWorld.NoteInForce(
    std::chrono::duration_cast<milliseconds>(boot_clock::now() - aStarted));
  return Success();
}

status
step_runner::Ctl(const step& aStep)
{
  std::vector<std::string> arguments = aStep.mWords;
  for (std::string& each : arguments) {
    const std::size_t dot = each.rfind(".json");
    each = dot == std::string::npos ? each : PathOf(each);
  }
  arguments.push_back("--platform");
  arguments.push_back(mWorld.Deployment().PlatformAddress());
  BOOST_OUTCOME_TRY(ran, mWorld.RunCtl(arguments));
  if (ran.mExit != aStep.mExpectedExit) {
    return Failure(
      aStep, "ended with " + std::to_string(ran.mExit) + ": " + ran.mOutput);
  }
  if (ran.mOutput.find(aStep.mExpectedText) == std::string::npos) {
    return Failure(aStep,
                   "'" + aStep.mExpectedText + "' is not in: " + ran.mOutput);
  }
  return Success();
}

// The slow answers let both operators read the same revision before either
// writes.
status
step_runner::Race(const step& aStep)
{
  BOOST_OUTCOME_TRYV(NeedWords(aStep, 2));
  std::vector<std::vector<std::string>> runs;
  for (const std::string& file : aStep.mWords) {
    runs.push_back({ "apply",
                     PathOf(file),
                     "--platform",
                     mWorld.Deployment().PlatformAddress() });
  }
  BOOST_OUTCOME_TRY(ran, mWorld.RunCtls(runs));
  constexpr int kConflict = 3;
  const int first = ran[0].mExit;
  const int second = ran[1].mExit;
  if (std::min(first, second) != 0 || std::max(first, second) != kConflict) {
    return Failure(aStep,
                   "ended with " + std::to_string(first) + " and " +
                     std::to_string(second) + ": " + ran[0].mOutput +
                     ran[1].mOutput);
  }
  const std::string& told = ran[first == 0 ? 1 : 0].mOutput;
  if (told.find("came first") == std::string::npos) {
    return Failure(aStep, "the loser was not told: " + told);
  }
  return Success();
}

status
step_runner::Slow(const step& aStep)
{
  BOOST_OUTCOME_TRYV(NeedWords(aStep, 1));
  return mWorld.Tell(
    "platform",
    "/control",
    json{ { "delay_ms", std::strtoll(aStep.mWords[0].c_str(), nullptr, 10) } }
      .dump());
}

status
step_runner::Outage(const step& aStep)
{
  BOOST_OUTCOME_TRYV(NeedWords(aStep, 1));
  const bool on = aStep.mWords[0] == "on";
  if (!on && aStep.mWords[0] != "off") {
    return Failure(aStep, "is neither on nor off");
  }
  return mWorld.Tell("platform", "/control", json{ { "outage", on } }.dump());
}

status
step_runner::LoseAnswers(const step& aStep)
{
  BOOST_OUTCOME_TRYV(NeedWords(aStep, 1));
  return mWorld.Tell(
    "platform",
    "/control",
    json{
      { "lose_answers", std::strtoull(aStep.mWords[0].c_str(), nullptr, 10) } }
      .dump());
}

status
step_runner::Cut(const step& aStep)
{
  BOOST_OUTCOME_TRYV(NeedWords(aStep, 1));
  const std::string& name = aStep.mWords[0];
  const auto& hosts = mWorld.Deployment().Fleet().mHosts;
  const bool isZone =
    std::any_of(hosts.begin(), hosts.end(), [&](const auto& aHost) {
      return aHost.mZone.Str() == name;
    });
  if (!isZone && mWorld.Deployment().Fleet().Find(name) == nullptr) {
    return Failure(aStep, "is neither a zone nor a host");
  }
  if (aStep.mFrom != "peers") {
    if (!isZone) {
      return Failure(aStep, "only a zone can be cut from the platform");
    }
    BOOST_OUTCOME_TRYV(
      mWorld.Tell("platform",
                  "/control",
                  json{ { "cut_zones", json::array({ name }) } }.dump()));
  }
  return aStep.mFrom == "platform" ? Success() : CutPeers(name, isZone);
}

// Both sides drop what the other sends, as a partition would.
status
step_runner::CutPeers(const std::string& aName, bool aIsZone)
{
  std::set<std::string> others;
  for (const daemon_process& each : mWorld.RunningDaemons()) {
    const std::string& own = aIsZone ? each.mZone : each.mHost;
    if (own != aName) {
      others.insert(own);
    }
  }
  const std::string query = aIsZone ? "/test/cut?zone=" : "/test/cut?host=";
  for (const daemon_process& each : mWorld.RunningDaemons()) {
    const bool inside = (aIsZone ? each.mZone : each.mHost) == aName;
    const std::set<std::string> cut =
      inside ? others : std::set<std::string>{ aName };
    for (const std::string& other : cut) {
      BOOST_OUTCOME_TRYV(mWorld.Tell(each.mName, query + other, ""));
    }
  }
  return Success();
}

status
step_runner::Heal(const step& /*aStep*/)
{
  BOOST_OUTCOME_TRYV(mWorld.Tell(
    "platform", "/control", json{ { "cut_zones", json::array() } }.dump()));
  for (const daemon_process& each : mWorld.RunningDaemons()) {
    BOOST_OUTCOME_TRYV(mWorld.Tell(each.mName, "/test/heal", ""));
  }
  return Success();
}

status
step_runner::Fault(const step& aStep)
{
  BOOST_OUTCOME_TRYV(NeedWords(aStep, 2));
  return mWorld.Tell(
    "endpoints",
    "/control/faults/" + aStep.mWords[0],
    json{ { "kind", aStep.mWords[1] }, { "delay_ms", aStep.mDuration.count() } }
      .dump());
}

status
step_runner::Leave(const step& aStep)
{
  BOOST_OUTCOME_TRYV(NeedWords(aStep, 1));
  BOOST_OUTCOME_TRYV(mWorld.Tell(
    "platform",
    "/control",
    json{ { "host_state",
            { { "host", aStep.mWords[0] }, { "state", "leaving" } } } }
      .dump()));
  mWorld.NoteLeaving(aStep.mWords[0],
                     boot_clock::now() + mWorld.Deployment().Fleet().mListLag);
  return Success();
}

status
step_runner::LoadStart(const step& aStep)
{
  if (!mWorld.Load().Done()) {
    return Failure(aStep, "the earlier load goes on");
  }
  mWorld.SetDirectLoad(aStep.mLoad.mDirect);
  mWorld.Load().Start(aStep.mLoad);
  return Success();
}

status
step_runner::LoadWait(const step& /*aStep*/)
{
  constexpr milliseconds kLongest{ 120'000 };
  constexpr milliseconds kProgressPeriod{ 2'000 };
  const time_point end = boot_clock::now() + kLongest;
  while (!mWorld.Loop().RunUntil([&] { return mWorld.Load().Done(); },
                                 kProgressPeriod)) {
    if (boot_clock::now() >= end) {
      return error{
        error_code::kTimeout, "load wait", "", "some requests never ended"
      };
    }
    mOut << "         " << mWorld.Load().Attempts().size()
         << " attempts sent so far" << std::endl;
  }
  return Success();
}

status
step_runner::Wait(const step& aStep)
{
  mWorld.Loop().RunFor(aStep.mDuration);
  return Success();
}

status
step_runner::WaitUntil(const step& aStep)
{
  status wrong = Success();
  const bool held = mWorld.Loop().RunUntil(
    [&] {
      const auto holds = CheckCondition(mWorld, aStep.mWords);
      if (!holds) {
        wrong = holds.assume_error();
        return true;
      }
      return holds.assume_value();
    },
    aStep.mWithin);
  BOOST_OUTCOME_TRYV(wrong);
  if (!held) {
    return Failure(aStep,
                   "does not hold after " +
                     std::to_string(aStep.mWithin.count()) + " ms");
  }
  return Success();
}

status
step_runner::Expect(const step& aStep)
{
  if (!mVerdict) {
    BOOST_OUTCOME_TRY(found, MakeReport(mWorld));
    mVerdict = std::move(found);
  }
  for (const std::string& text : aStep.mWords) {
    BOOST_OUTCOME_TRY(wanted, ParseExpectation(text));
    const auto value = mVerdict->mValues.find(wanted.mName);
    if (value == mVerdict->mValues.end()) {
      return Failure(aStep, "there is no value " + wanted.mName);
    }
    if (!wanted.Holds(value->second)) {
      PrintReport(*mVerdict, mOut);
      return Failure(
        aStep, text + " does not hold: it is " + std::to_string(value->second));
    }
  }
  return Success();
}

status
step_runner::Summary(const step& /*aStep*/)
{
  BOOST_OUTCOME_TRY(found, MakeReport(mWorld));
  PrintReport(found, mOut);
  return Success();
}

status
step_runner::History(const step& aStep)
{
  BOOST_OUTCOME_TRYV(NeedWords(aStep, 1));
  BOOST_OUTCOME_TRY(
    text, mWorld.Ask("platform", "/control/history?prefix=" + aStep.mWords[0]));
  for (const auto& each : ReadHistory(text)) {
    mOut << "  " << each.mRecord.mRevision << ' ' << each.mRecord.mKey << ' '
         << (each.mDeleted ? "(deleted)" : each.mRecord.mValue) << '\n';
  }
  return Success();
}

} // namespace mangospan::scenario
