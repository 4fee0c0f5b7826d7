// mangospan-scenario: runs scripts of the small test language over real
// processes.
#include <chrono>
#include <cstdint>
#include <exception>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <iterator>
#include <string>

#include <CLI/CLI.hpp>
#include <boost/filesystem.hpp>

#include "mangospan/base/error.h"
#include "mangospan/base/time.h"
#include "testing/scenario/parser.h"
#include "testing/scenario/process_table.h"
#include "testing/scenario/steps.h"
#include "testing/scenario/world.h"

namespace mangospan::scenario {
namespace {

namespace fs = boost::filesystem;

struct run_options
{
  std::string mScript;
  std::string mBinFolder;
  std::uint64_t mSeed = 1;
  bool mQuiet = false;
  bool mKeepLogs = false;
};

// A folder that is removed at the end, unless it is kept.
class scratch_folder
{
public:
  scratch_folder()
    : mPath(fs::temp_directory_path() / fs::unique_path("scenario-%%%%%%%%"))
  {
    fs::create_directories(mPath);
  }
  ~scratch_folder()
  {
    boost::system::error_code ignored;
    if (!mKept) {
      fs::remove_all(mPath, ignored);
    }
  }
  scratch_folder(const scratch_folder&) = delete;
  scratch_folder& operator=(const scratch_folder&) = delete;

  std::string Path() const { return mPath.string(); }
  void Keep() { mKept = true; }

private:
  fs::path mPath;
  bool mKept = false;
};

void
PrintLogs(const process_table& aProcesses)
{
  constexpr std::size_t kLines = 12;
  for (const std::string& name : aProcesses.Names()) {
    std::cout << "--- " << name << '\n'
              << TailOf(aProcesses.LogFile(name), kLines);
  }
}

status
RunSteps(const std::vector<step>& aSteps,
         step_runner& aRunner,
         const run_options& aOptions)
{
  const time_point start = boot_clock::now();
  for (const step& each : aSteps) {
    if (!aOptions.mQuiet) {
      const std::chrono::duration<double> elapsed = boot_clock::now() - start;
      std::cout << std::fixed << std::setprecision(1) << std::setw(6)
                << elapsed.count() << "s  " << each.mText << std::endl;
    }
    const status ran = aRunner.Run(each);
    if (!ran) {
      error failure = ran.assume_error();
      failure.mStep = aOptions.mScript + ":" + std::to_string(each.mLine) +
                      ": " + failure.mStep;
      return failure;
    }
  }
  return boost::outcome_v2::success();
}

result<std::vector<step>>
ReadScript(const std::string& aFile)
{
  std::ifstream in(aFile);
  if (!in) {
    return error{
      error_code::kNotFound, "scenario.read", aFile, "can not be read"
    };
  }
  const std::string text{ std::istreambuf_iterator<char>(in), {} };
  return ParseScript(text, aFile);
}

status
RunScript(const run_options& aOptions)
{
  BOOST_OUTCOME_TRY(steps, ReadScript(aOptions.mScript));
  scratch_folder folder;
  world world({ aOptions.mBinFolder, folder.Path(), aOptions.mSeed });
  const std::string scriptFolder =
    fs::absolute(aOptions.mScript).parent_path().string();
  step_runner runner(world, scriptFolder, std::cout);
  status ran = RunSteps(steps, runner, aOptions);
  if (!ran) {
    PrintLogs(world.Processes());
  }
  if (!ran || aOptions.mKeepLogs) {
    folder.Keep();
    std::cout << "logs and settings are kept in " << folder.Path() << '\n';
  }
  return ran;
}

} // namespace
} // namespace mangospan::scenario

int
main(int aCount, char** aArguments)
{
  using namespace mangospan;
  scenario::run_options options;
  options.mBinFolder =
    boost::filesystem::absolute(aArguments[0]).parent_path().string();
  CLI::App app{ "Runs a scenario script over real processes" };
  app.footer(scenario::DescribeSteps());
  app.add_option("script", options.mScript, "the script (.scn)")
    ->required()
    ->check(CLI::ExistingFile);
  app.add_option("--bin", options.mBinFolder, "folder of the programs");
  app.add_option("--seed", options.mSeed, "of the load's random choices");
  app.add_flag("--quiet", options.mQuiet, "prints no steps");
  app.add_flag("--keep-logs", options.mKeepLogs, "also after a success");
  CLI11_PARSE(app, aCount, aArguments);
  status ran = boost::outcome_v2::success();
  try {
    ran = scenario::RunScript(options);
  } catch (const std::exception& failure) {
    ran = error{
      error_code::kInternal, "scenario.run", options.mScript, failure.what()
    };
  }
  if (!ran) {
    std::cout << "FAILED (seed " << options.mSeed << ") "
              << Describe(ran.assume_error()) << std::endl;
    return 1;
  }
  std::cout << "passed (seed " << options.mSeed << ") " << options.mScript
            << std::endl;
  return 0;
}
