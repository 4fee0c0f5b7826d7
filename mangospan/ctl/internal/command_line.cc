#include "mangospan/ctl/internal/command_line.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <ostream>
#include <string>
#include <utility>
#include <variant>

#include <CLI/CLI.hpp>

#include "mangospan/daemon/command_line.h"
#include "mangospan/settings/settings.h"

namespace mangospan::ctl {

namespace {

constexpr std::chrono::milliseconds kDefaultTimeout{ 10'000 };
constexpr std::chrono::milliseconds kDefaultWaitTimeout{ 60'000 };

constexpr const char* kFooter = R"(
Examples:
  mangospanctl validate fleet.json
      check a configuration without the platform
  mangospanctl diff fleet.json
      show what applying it would change
  mangospanctl apply fleet.json --wait
      write it and wait until it is in force in every zone
  mangospanctl status
      pools, hosts, zones, moves and why they wait
  mangospanctl drain ra-a-07
      take a host out of service without cutting a request
  mangospanctl wave start survey
      reboot every host of a pool within its availability budget
  mangospanctl dump 10.0.1.5:9100
      the state of one daemon, by its operator address

Exit codes:
  0  ok
  1  the input was refused; nothing was written
  2  wrong arguments; nothing was done
  3  another operator's change came first; it is shown
  4  the platform (or the daemon to dump) was not reached
  5  timed out waiting; what was written stays written

mangospanctl COMMAND --help shows the options of one command. The whole
reference is docs/OPERATIONS.md.)";

// The values that CLI11 fills in while it parses.
struct raw_arguments
{
  std::string mPlatform;
  std::string mOutput = "text";
  std::int64_t mTimeoutMs = 0; // 0: not given
  std::string mFile;
  std::string mHost;
  std::string mPool;
  std::string mAddress;
  std::string mAuthor;
  bool mWait = false;
  bool mForce = false;
  bool mAll = false;
  bool mReplace = false;
};

void
AddGlobalOptions(CLI::App& aApp, raw_arguments& aRaw)
{
  aApp
    .add_option("--platform",
                aRaw.mPlatform,
                "address of the platform's store (or set MANGOSPAN_PLATFORM)")
    ->type_name("IP:PORT");
  aApp.add_option("--output", aRaw.mOutput, "text or json")
    ->check(CLI::IsMember({ "text", "json" }))
    ->option_text("FORMAT");
  const std::map<std::string, std::int64_t> units{ { "ms", 1 },
                                                   { "s", 1'000 },
                                                   { "m", 60'000 } };
  aApp
    .add_option("--timeout",
                aRaw.mTimeoutMs,
                "longest time for the whole command, for example 30s "
                "(10s; 60s with --wait)")
    ->transform(CLI::AsNumberWithUnit(
      units, CLI::AsNumberWithUnit::UNIT_REQUIRED, "DURATION"))
    ->check(CLI::PositiveNumber)
    ->option_text("DURATION");
}

// Adds one subcommand that yields `aMake()` when it is chosen.
template<typename Make>
CLI::App*
AddCommand(CLI::App& aParent,
           const char* aName,
           const char* aHelp,
           std::optional<command>& aChosen,
           Make aMake)
{
  CLI::App* added = aParent.add_subcommand(aName, aHelp);
  added->fallthrough(); // global options may follow the command
  added->callback([&aChosen, aMake] { aChosen = aMake(); });
  return added;
}

void
AddFile(CLI::App* aCommand, raw_arguments& aRaw)
{
  aCommand->add_option("file", aRaw.mFile, "the configuration to read")
    ->type_name("FILE")
    ->required();
}

void
AddConfigCommands(CLI::App& aApp,
                  raw_arguments& aRaw,
                  std::optional<command>& aChosen)
{
  AddFile(AddCommand(aApp,
                     "validate",
                     "check a configuration file",
                     aChosen,
                     [&] { return validate_command{ aRaw.mFile }; }),
          aRaw);
  AddFile(AddCommand(aApp,
                     "diff",
                     "show what applying a file would change",
                     aChosen,
                     [&] { return diff_command{ aRaw.mFile }; }),
          aRaw);
  CLI::App* apply = AddCommand(
    aApp, "apply", "write a configuration to the platform", aChosen, [&] {
      return apply_command{ aRaw.mFile, aRaw.mWait, aRaw.mForce, aRaw.mAuthor };
    });
  AddFile(apply, aRaw);
  apply->add_flag(
    "--wait", aRaw.mWait, "wait until it is in force in every zone");
  apply->add_flag("--force",
                  aRaw.mForce,
                  "also over a held configuration that can not be read");
  apply->add_option("--author", aRaw.mAuthor, "who makes the change")
    ->type_name("NAME");
}

void
AddHostCommands(CLI::App& aApp,
                raw_arguments& aRaw,
                std::optional<command>& aChosen)
{
  const auto addHost = [&aRaw](CLI::App* aCommand) {
    aCommand->add_option("host", aRaw.mHost, "the host's name")
      ->type_name("HOST")
      ->required();
  };
  addHost(AddCommand(aApp, "drain", "take a host out of service", aChosen, [&] {
    return drain_command{ host_name(aRaw.mHost) };
  }));
  addHost(AddCommand(
    aApp, "undrain", "give a drained host back to service", aChosen, [&] {
      return undrain_command{ host_name(aRaw.mHost) };
    }));
  AddCommand(
    aApp, "status", "pools, hosts, zones, moves and waves", aChosen, [] {
      return status_command{};
    });
  AddCommand(aApp,
             "dump",
             "print the state of one daemon",
             aChosen,
             [&] { return dump_command{ aRaw.mAddress }; })
    ->add_option("address", aRaw.mAddress, "the daemon's operator address")
    ->type_name("IP:PORT")
    ->required();
}

void
AddWaveCommands(CLI::App& aApp,
                raw_arguments& aRaw,
                std::optional<command>& aChosen)
{
  CLI::App* wave = aApp.add_subcommand("wave", "maintenance waves");
  wave->fallthrough();
  wave->require_subcommand(1);
  CLI::App* start = AddCommand(
    *wave, "start", "maintain every host of a pool, or of all", aChosen, [&] {
      return wave_start_command{ pool_name(aRaw.mPool), aRaw.mReplace };
    });
  CLI::Option_group* which =
    start->add_option_group("which", "exactly one of these");
  which->add_option("pool", aRaw.mPool, "the pool")->type_name("POOL");
  which->add_flag("--all", aRaw.mAll, "every pool");
  which->require_option(1);
  start->add_flag(
    "--replace", aRaw.mReplace, "also if an earlier wave is not finished");
  AddCommand(*wave, "pause", "take no further host", aChosen, [] {
    return wave_pause_command{};
  });
  AddCommand(*wave, "resume", "go on with a paused wave", aChosen, [] {
    return wave_resume_command{};
  });
  AddCommand(*wave, "status", "how far the wave is", aChosen, [] {
    return wave_status_command{};
  });
}

bool
NeedsPlatform(const command& aCommand)
{
  return !std::holds_alternative<validate_command>(aCommand) &&
         !std::holds_alternative<dump_command>(aCommand);
}

// What is wrong with the addresses; empty if nothing is.
std::string
AddressProblem(const invocation& aInvocation)
{
  if (const auto* dump = std::get_if<dump_command>(&aInvocation.mCommand)) {
    return settings::IsAddress(dump->mAddress, false)
             ? ""
             : "'" + dump->mAddress + "' is not an address (ip:port)";
  }
  if (!NeedsPlatform(aInvocation.mCommand)) {
    return "";
  }
  if (aInvocation.mPlatformAddress.empty()) {
    return "no platform: give --platform ip:port or set MANGOSPAN_PLATFORM";
  }
  return settings::IsAddress(aInvocation.mPlatformAddress, false)
           ? ""
           : "'" + aInvocation.mPlatformAddress +
               "' is not the platform's address (ip:port)";
}

exit_code
RefuseUsage(const environment& aEnvironment, const std::string& aMessage)
{
  aEnvironment.mErr << "mangospanctl: " << aMessage
                    << " (--help shows the usage)\n";
  return exit_code::kUsage;
}

std::chrono::milliseconds
Timeout(const raw_arguments& aRaw)
{
  if (aRaw.mTimeoutMs > 0) {
    return std::chrono::milliseconds(aRaw.mTimeoutMs);
  }
  return aRaw.mWait ? kDefaultWaitTimeout : kDefaultTimeout;
}

} // namespace

std::variant<invocation, exit_code>
ParseCommandLine(int aCount,
                 const char* const* aArguments,
                 const environment& aEnvironment)
{
  CLI::App app("Operates a mangospan fleet: configuration, hosts, waves.",
               "mangospanctl");
  raw_arguments raw;
  raw.mPlatform = aEnvironment.mPlatformAddress;
  raw.mAuthor = aEnvironment.mAuthor;
  std::optional<command> chosen;
  AddGlobalOptions(app, raw);
  AddConfigCommands(app, raw, chosen);
  AddHostCommands(app, raw, chosen);
  AddWaveCommands(app, raw, chosen);
  app.require_subcommand(1);
  app.set_version_flag("--version",
                       std::string("mangospanctl ") + daemon::Version());
  app.footer(kFooter);
  try {
    app.parse(aCount, aArguments);
  } catch (const CLI::Success& asked) {
    app.exit(asked, aEnvironment.mOut, aEnvironment.mErr);
    return exit_code::kOk;
  } catch (const CLI::RequiredError& failure) {
    const auto unknown = app.remaining();
    return RefuseUsage(aEnvironment,
                       unknown.empty()
                         ? failure.what()
                         : "'" + unknown.front() + "' is not a command");
  } catch (const CLI::ParseError& failure) {
    return RefuseUsage(aEnvironment, failure.what());
  }
  const invocation parsed{ std::move(*chosen),
                           raw.mPlatform,
                           raw.mOutput == "json" ? output_format::kJson
                                                 : output_format::kText,
                           Timeout(raw) };
  const std::string problem = AddressProblem(parsed);
  if (!problem.empty()) {
    return RefuseUsage(aEnvironment, problem);
  }
  return parsed;
}

} // namespace mangospan::ctl
