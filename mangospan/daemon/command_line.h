// The arguments that every daemon takes.
//
//   auto parsed = daemon::ParseCommandLine(argc, argv, { "mangospan-entry",
//                                                        "What it does." });
//   if (const int* code = std::get_if<int>(&parsed)) { return *code; }
//   const auto& options = std::get<daemon::command_line>(parsed);
#ifndef MANGOSPAN_DAEMON_COMMAND_LINE_H
#define MANGOSPAN_DAEMON_COMMAND_LINE_H

#include <string>
#include <variant>

namespace mangospan::daemon {

// Exit codes of the daemons.
inline constexpr int kExitOk = 0;
inline constexpr int kExitRefused = 1; // the settings are wrong
inline constexpr int kExitUsage = 2;   // the arguments are wrong

struct command_line
{
  std::string mSettingsFile;
  bool mCheckSettings = false; // check the file, print the verdict, exit
};

// What --help says about one daemon.
struct daemon_description
{
  std::string mName;
  std::string mPurpose;
  std::string mExample; // a whole settings file
};

// The options, or the code to exit with at once: kExitOk after --help and
// --version, kExitUsage after one line on standard error.
std::variant<command_line, int>
ParseCommandLine(int aCount,
                 const char* const* aArguments,
                 const daemon_description& aDescription);

// The version that --version prints.
const char*
Version();

} // namespace mangospan::daemon

#endif // MANGOSPAN_DAEMON_COMMAND_LINE_H
