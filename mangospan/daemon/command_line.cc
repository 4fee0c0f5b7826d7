#include "mangospan/daemon/command_line.h"

#include <iostream>
#include <string>
#include <variant>

#include <CLI/CLI.hpp>

namespace mangospan::daemon {

namespace {

std::string
Footer(const daemon_description& aDescription)
{
  const std::string& name = aDescription.mName;
  return "\nExamples:\n"
         "  " +
         name +
         " --settings settings.json\n"
         "      run until SIGTERM or SIGINT, which stop it gracefully;\n"
         "      a second signal ends it at once\n"
         "  " +
         name +
         " --settings settings.json --check-settings\n"
         "      check the file and exit\n\n"
         "A settings file is JSON with comments:\n" +
         aDescription.mExample +
         "\nWhile it runs, its operator address answers GET /metrics, /state\n"
         "and /healthz.\n\n"
         "Exit codes: 0 ok, 1 settings refused or start failed, 2 wrong "
         "arguments.\n"
         "Every setting is described in docs/OPERATIONS.md.";
}

} // namespace

const char*
Version()
{
  return MANGOSPAN_VERSION;
}

std::variant<command_line, int>
ParseCommandLine(int aCount,
                 const char* const* aArguments,
                 const daemon_description& aDescription)
{
  CLI::App app(aDescription.mPurpose, aDescription.mName);
  command_line options;
  app.add_option("-s,--settings", options.mSettingsFile, "the settings file")
    ->type_name("FILE")
    ->required();
  app.add_flag("--check-settings",
               options.mCheckSettings,
               "check the settings file and exit");
  app.set_version_flag("--version", aDescription.mName + " " + Version());
  app.footer(Footer(aDescription));
  try {
    app.parse(aCount, aArguments);
  } catch (const CLI::Success& asked) {
    app.exit(asked, std::cout, std::cerr);
    return kExitOk;
  } catch (const CLI::ParseError& failure) {
    std::cerr << aDescription.mName << ": " << failure.what()
              << " (--help shows the usage)\n";
    return kExitUsage;
  }
  return options;
}

} // namespace mangospan::daemon
