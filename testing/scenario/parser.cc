#include "testing/scenario/parser.h"

#include <array>
#include <chrono>
#include <cstdlib>
#include <map>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

#include <CLI/CLI.hpp>

#include "mangospan/base/error.h"
#include "testing/scenario/step.h"

namespace mangospan::scenario {

namespace {

std::chrono::milliseconds
ToMilliseconds(double aSeconds)
{
  constexpr double kPerSecond = 1000;
  return std::chrono::milliseconds(
    static_cast<std::int64_t>(aSeconds * kPerSecond));
}

void
AddSeconds(CLI::App& aApp,
           const std::string& aName,
           std::chrono::milliseconds& aTarget,
           bool aRequired)
{
  aApp
    .add_option_function<double>(
      aName,
      [&aTarget](const double& aSeconds) {
        aTarget = ToMilliseconds(aSeconds);
      },
      "seconds")
    ->required(aRequired);
}

void
DefineNothing(CLI::App& /*aApp*/, step& /*aStep*/)
{
}

void
DefineWords(CLI::App& aApp, step& aStep)
{
  aApp.add_option("words", aStep.mWords)->required();
}

void
DefineWait(CLI::App& aApp, step& aStep)
{
  AddSeconds(aApp, "seconds", aStep.mDuration, true);
}

void
DefineWaitUntil(CLI::App& aApp, step& aStep)
{
  DefineWords(aApp, aStep);
  AddSeconds(aApp, "--within", aStep.mWithin, false);
}

void
DefineCut(CLI::App& aApp, step& aStep)
{
  DefineWords(aApp, aStep);
  aApp.add_option("--from", aStep.mFrom)
    ->check(CLI::IsMember({ "platform", "peers", "all" }));
}

void
DefineApply(CLI::App& aApp, step& aStep)
{
  aApp.add_option("file", aStep.mWords)->required()->expected(1);
  aApp.add_option("--change", aStep.mChange, "OLD NEW")->expected(2);
  AddSeconds(aApp, "--within", aStep.mWithin, false);
}

void
DefineCtl(CLI::App& aApp, step& aStep)
{
  aApp.allow_extras();
  aApp.add_option("--expect-exit", aStep.mExpectedExit);
  aApp.add_option("--expect-text", aStep.mExpectedText);
}

void
DefineFault(CLI::App& aApp, step& aStep)
{
  DefineWords(aApp, aStep);
  AddSeconds(aApp, "--delay", aStep.mDuration, false);
}

void
DefineLoadStart(CLI::App& aApp, step& aStep)
{
  load_options& load = aStep.mLoad;
  aApp.add_option("--rate", load.mRatePerSecond, "requests a second")
    ->check(CLI::PositiveNumber);
  aApp.add_option("--services", load.mServices)->delimiter(',')->required();
  AddSeconds(aApp, "--seconds", load.mDuration, true);
  aApp.add_option("--non-idempotent-share", load.mNonIdempotentShare)
    ->check(CLI::Range(0.0, 1.0));
  aApp.add_flag("--tickets", load.mTickets);
  aApp.add_option("--resends", load.mResends);
  AddSeconds(aApp, "--service-time", load.mServiceTime, false);
  AddSeconds(aApp, "--timeout", load.mTimeout, false);
  aApp.add_flag("--direct", load.mDirect);
}

struct step_form
{
  const char* mName;
  const char* mHelp;
  void (*mDefine)(CLI::App&, step&);
};

constexpr std::array<step_form, 26> kForms{ {
  { "fleet", "FILE: the hosts; their addresses are filled in", DefineWords },
  { "platform", "starts the stand-in of the platform", DefineNothing },
  { "endpoints", "starts the stand-in of the endpoints", DefineNothing },
  { "entry", "HOST...: mangospan-entry is to run there", DefineWords },
  { "fleetd", "HOST...: mangospan-fleet is to run there", DefineWords },
  { "start", "starts what was named and does not run yet", DefineNothing },
  { "kill", "PROCESS: SIGKILL; acting/ZONE is the acting one", DefineWords },
  { "stop", "PROCESS: SIGTERM, must exit with 0", DefineWords },
  { "freeze", "PROCESS: SIGSTOP", DefineWords },
  { "thaw", "PROCESS: SIGCONT", DefineWords },
  { "restart", "PROCESS: starts it anew", DefineWords },
  { "apply",
    "FILE [--change OLD NEW]: applies it, waits until it is in force",
    DefineApply },
  { "ctl", "ARGUMENTS...: runs mangospanctl", DefineCtl },
  { "race",
    "FILE FILE: two operators apply at once; one must win",
    DefineWords },
  { "slow", "MILLISECONDS: the platform's answers take so long", DefineWords },
  { "outage", "on|off: the platform answers nobody", DefineWords },
  { "lose-answers", "COUNT: of the platform's next writes", DefineWords },
  { "cut", "HOST|ZONE [--from platform|peers|all]", DefineCut },
  { "heal", "ends every cut", DefineNothing },
  { "fault", "HOST KIND [--delay SECONDS]: of a runner", DefineFault },
  { "leave", "HOST: the host list shows it leaving", DefineWords },
  { "wait", "SECONDS: does nothing but let the load go on", DefineWait },
  { "wait-until",
    "CONDITION [--within SECONDS]: see conditions.h",
    DefineWaitUntil },
  { "expect", "VALUE==|<=|>=NUMBER, see summary", DefineWords },
  { "summary", "prints every value", DefineNothing },
  { "history", "PREFIX: prints the store's changes", DefineWords },
} };

constexpr std::array<step_form, 2> kLoadForms{ {
  { "start", "sends requests in the background", DefineLoadStart },
  { "wait", "waits until all of them have ended", DefineNothing },
} };

template<typename Forms>
void
Define(CLI::App& aApp, const Forms& aForms, step& aStep)
{
  for (const step_form& form : aForms) {
    form.mDefine(*aApp.add_subcommand(form.mName, form.mHelp), aStep);
  }
  aApp.require_subcommand(1);
}

void
DefineAll(CLI::App& aApp, step& aStep)
{
  Define(aApp, kForms, aStep);
  Define(
    *aApp.add_subcommand("load", "requests of callers"), kLoadForms, aStep);
}

std::string
WithoutComment(const std::string& aLine)
{
  const std::string text = aLine.substr(0, aLine.find('#'));
  const std::size_t first = text.find_first_not_of(" \t\r");
  if (first == std::string::npos) {
    return "";
  }
  return text.substr(first, text.find_last_not_of(" \t\r") - first + 1);
}

result<step>
ParseLine(const std::string& aText, int aLine, std::string_view aFile)
{
  step parsed;
  parsed.mLine = aLine;
  parsed.mText = aText;
  CLI::App app;
  DefineAll(app, parsed);
  try {
    app.parse(aText);
  } catch (const CLI::ParseError& failure) {
    return error{ error_code::kInvalidArgument,
                  "scenario.parse",
                  std::string(aFile) + ":" + std::to_string(aLine),
                  failure.what() };
  }
  const CLI::App* each = &app;
  while (!each->get_subcommands().empty()) {
    each = each->get_subcommands().front();
    parsed.mName += (parsed.mName.empty() ? "" : " ") + each->get_name();
  }
  for (const std::string& word : each->remaining()) {
    parsed.mWords.push_back(word);
  }
  return parsed;
}

} // namespace

result<std::vector<step>>
ParseScript(std::string_view aText, std::string_view aFile)
{
  std::vector<step> steps;
  std::istringstream lines{ std::string(aText) };
  std::string line;
  for (int number = 1; std::getline(lines, line); ++number) {
    const std::string text = WithoutComment(line);
    if (!text.empty()) {
      BOOST_OUTCOME_TRY(parsed, ParseLine(text, number, aFile));
      steps.push_back(parsed);
    }
  }
  return steps;
}

std::string
DescribeSteps()
{
  std::string text = "Steps, one a line; '#' begins a comment:\n";
  for (const step_form& form : kForms) {
    text += std::string("  ") + form.mName + " " + form.mHelp + "\n";
  }
  for (const step_form& form : kLoadForms) {
    text += std::string("  load ") + form.mName + " " + form.mHelp + "\n";
  }
  return text;
}

bool
expectation::Holds(double aValue) const
{
  if (mOperator == "==") {
    return aValue == mBound;
  }
  return mOperator == "<=" ? aValue <= mBound : aValue >= mBound;
}

result<expectation>
ParseExpectation(const std::string& aText)
{
  const error wrong{ error_code::kInvalidArgument,
                     "expect",
                     aText,
                     "not of the form VALUE==NUMBER, VALUE<=NUMBER or "
                     "VALUE>=NUMBER" };
  constexpr std::size_t kOperatorLength = 2;
  const std::size_t at = aText.find_first_of("=<>");
  if (at == std::string::npos || at == 0 ||
      at + kOperatorLength >= aText.size() || aText[at + 1] != '=') {
    return wrong;
  }
  const std::string number = aText.substr(at + kOperatorLength);
  char* end = nullptr;
  const double bound = std::strtod(number.c_str(), &end);
  if (*end != '\0') {
    return wrong;
  }
  return expectation{ aText.substr(0, at),
                      aText.substr(at, kOperatorLength),
                      bound };
}

} // namespace mangospan::scenario
