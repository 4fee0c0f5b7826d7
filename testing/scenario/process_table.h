// The processes that a scenario runs; all of them end with the table.
//
//   process_table processes(logFolder);
//   BOOST_OUTCOME_TRYV(processes.Start("platform", program, arguments));
//   BOOST_OUTCOME_TRYV(processes.Signal("platform", SIGSTOP));
#ifndef TESTING_SCENARIO_PROCESS_TABLE_H
#define TESTING_SCENARIO_PROCESS_TABLE_H

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "mangospan/base/error.h"

namespace mangospan::scenario {

class process_table
{
public:
  // Each process writes its output to `aLogFolder`/NAME.log, where '/' in the
  // name becomes '-'.
  explicit process_table(std::string aLogFolder);
  // Kills what still runs.
  ~process_table();
  process_table(const process_table&) = delete;
  process_table& operator=(const process_table&) = delete;

  // The process inherits no descriptor but the standard streams.
  // Errors: kInvalidArgument if the program can not be started, kConflict if
  // a process of that name runs.
  status Start(const std::string& aName,
               const std::string& aProgram,
               const std::vector<std::string>& aArguments);

  // As `Start`, but on a thread of the table: the caller goes on while a busy
  // host takes its time. The process runs once `TakeStarted` has returned the
  // result; it returns nothing while the start is under way.
  status BeginStart(const std::string& aName,
                    const std::string& aProgram,
                    const std::vector<std::string>& aArguments);
  std::optional<status> TakeStarted(const std::string& aName);

  // Errors: kNotFound unless the process runs.
  status Signal(const std::string& aName, int aSignal);
  bool Runs(const std::string& aName);
  // The exit code once the process has ended by itself or by a signal.
  std::optional<int> ExitCode(const std::string& aName);
  // Waits for a process that was sent SIGKILL.
  void Reap(const std::string& aName);

  std::vector<std::string> Names() const;
  std::string LogFile(const std::string& aName) const;

private:
  class impl;
  std::unique_ptr<impl> mImpl;
};

// The last `aLines` lines of a file.
std::string
TailOf(const std::string& aFile, std::size_t aLines);

} // namespace mangospan::scenario

#endif // TESTING_SCENARIO_PROCESS_TABLE_H
