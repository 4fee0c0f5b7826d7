#include "testing/scenario/process_table.h"

#include <chrono>
#include <csignal>
#include <cstddef>
#include <deque>
#include <fstream>
#include <future>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <system_error>
#include <thread>
#include <utility>
#include <vector>

#include <linux/close_range.h>
#include <sys/prctl.h>
#include <unistd.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/process.hpp>
#include <boost/process/extend.hpp>

#include "mangospan/base/error.h"

namespace mangospan::scenario {

namespace {

namespace process = boost::process;

// Without this, a scenario runner that is killed would leave its processes.
struct die_with_parent : process::extend::handler
{
  template<typename Executor>
  void on_exec_setup(Executor& /*aExecutor*/) const // NOLINT: library's name
  {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
  }
};

// Without this, a connection that this process closes stays open, without a
// reset or an end at its peer, as long as a process that was started meanwhile.
// The descriptors are closed by exec: until then, one of them reports errors.
struct inherit_standard_streams_only : process::extend::handler
{
  template<typename Executor>
  void on_exec_setup(Executor& aExecutor) const // NOLINT: library's name
  {
    if (::close_range(STDERR_FILENO + 1, ~0U, CLOSE_RANGE_CLOEXEC) != 0) {
      aExecutor.set_error(process::detail::get_last_error(), "close_range");
    }
  }
};

result<process::child>
StartChild(const std::string& aName,
           const std::string& aProgram,
           const std::vector<std::string>& aArguments,
           const std::string& aLogFile)
{
  std::error_code failure;
  // Appended, so that a restarted process keeps its earlier lines.
  const std::unique_ptr<FILE, int (*)(FILE*)> log(
    std::fopen(aLogFile.c_str(), "a"), &std::fclose);
  if (log == nullptr) {
    return error{ error_code::kInvalidArgument,
                  "process.start",
                  aName,
                  "can not write " + aLogFile };
  }
  process::child child(
    process::exe = aProgram,
    process::args = aArguments,
    process::std_in<process::null, (process::std_out & process::std_err)> log
      .get(),
    die_with_parent{},
    inherit_standard_streams_only{},
    failure);
  if (failure) {
    return error{
      error_code::kInvalidArgument, "process.start", aProgram, failure.message()
    };
  }
  return child;
}

// The thread that `BeginStart` starts processes on. It lives as long as they,
// since a process dies with the thread that started it (`die_with_parent`).
class starter
{
public:
  // The thread has descriptors of its own: with those of the caller, a process
  // would hold the caller's connections until its exec, while the caller goes
  // on and closes them.
  starter()
    : mThread([this] {
      ::close_range(STDERR_FILENO + 1, ~0U, CLOSE_RANGE_UNSHARE);
      mIo.run();
    })
  {
  }
  ~starter()
  {
    mWork.reset();
    mThread.join();
  }
  starter(const starter&) = delete;
  starter& operator=(const starter&) = delete;

  template<typename Function>
  std::future<result<process::child>> Run(Function aFunction)
  {
    std::packaged_task<result<process::child>()> task(std::move(aFunction));
    auto out = task.get_future();
    boost::asio::post(mIo, std::move(task));
    return out;
  }

private:
  boost::asio::io_context mIo;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    mWork{ mIo.get_executor() };
  std::thread mThread; // last, since it uses the others
};

} // namespace

class process_table::impl
{
public:
  std::string mLogFolder;
  std::optional<starter> mStarter; // before the children, which die with it
  std::map<std::string, process::child> mChildren;
  std::map<std::string, std::future<result<process::child>>> mStarting;
};

process_table::process_table(std::string aLogFolder)
  : mImpl(std::make_unique<impl>())
{
  mImpl->mLogFolder = std::move(aLogFolder);
}

process_table::~process_table()
{
  // Not child::terminate: after it, child::wait would not reap the process.
  std::error_code ignored;
  for (auto& [name, starting] : mImpl->mStarting) {
    auto child = starting.get();
    if (child.has_value()) {
      mImpl->mChildren[name] = std::move(child).assume_value();
    }
  }
  for (auto& [name, child] : mImpl->mChildren) {
    if (child.running(ignored)) {
      ::kill(child.id(), SIGKILL);
    }
    child.wait(ignored);
  }
}

status
process_table::Start(const std::string& aName,
                     const std::string& aProgram,
                     const std::vector<std::string>& aArguments)
{
  if (Runs(aName)) {
    return error{
      error_code::kConflict, "process.start", aName, "runs already"
    };
  }
  auto child = StartChild(aName, aProgram, aArguments, LogFile(aName));
  if (child.has_error()) {
    return std::move(child).assume_error();
  }
  mImpl->mChildren[aName] = std::move(child).assume_value();
  return boost::outcome_v2::success();
}

status
process_table::BeginStart(const std::string& aName,
                          const std::string& aProgram,
                          const std::vector<std::string>& aArguments)
{
  if (Runs(aName) || mImpl->mStarting.count(aName) > 0) {
    return error{
      error_code::kConflict, "process.start", aName, "runs already"
    };
  }
  if (!mImpl->mStarter) {
    mImpl->mStarter.emplace();
  }
  mImpl->mStarting[aName] = mImpl->mStarter->Run(
    [aName, aProgram, aArguments, logFile = LogFile(aName)] {
      return StartChild(aName, aProgram, aArguments, logFile);
    });
  return boost::outcome_v2::success();
}

std::optional<status>
process_table::TakeStarted(const std::string& aName)
{
  const auto found = mImpl->mStarting.find(aName);
  if (found == mImpl->mStarting.end() ||
      found->second.wait_for(std::chrono::seconds(0)) !=
        std::future_status::ready) {
    return std::nullopt;
  }
  auto child = found->second.get();
  mImpl->mStarting.erase(found);
  if (child.has_error()) {
    return std::move(child).assume_error();
  }
  mImpl->mChildren[aName] = std::move(child).assume_value();
  return boost::outcome_v2::success();
}

status
process_table::Signal(const std::string& aName, int aSignal)
{
  if (!Runs(aName)) {
    return error{
      error_code::kNotFound, "process.signal", aName, "does not run"
    };
  }
  ::kill(mImpl->mChildren.at(aName).id(), aSignal);
  return boost::outcome_v2::success();
}

bool
process_table::Runs(const std::string& aName)
{
  std::error_code ignored;
  const auto found = mImpl->mChildren.find(aName);
  return found != mImpl->mChildren.end() && found->second.running(ignored);
}

std::optional<int>
process_table::ExitCode(const std::string& aName)
{
  const auto found = mImpl->mChildren.find(aName);
  if (found == mImpl->mChildren.end() || Runs(aName)) {
    return std::nullopt;
  }
  return found->second.exit_code();
}

void
process_table::Reap(const std::string& aName)
{
  std::error_code ignored;
  const auto found = mImpl->mChildren.find(aName);
  if (found != mImpl->mChildren.end()) {
    found->second.wait(ignored);
  }
}

std::vector<std::string>
process_table::Names() const
{
  std::vector<std::string> names;
  for (const auto& [name, child] : mImpl->mChildren) {
    names.push_back(name);
  }
  return names;
}

std::string
process_table::LogFile(const std::string& aName) const
{
  std::string file = aName;
  for (char& c : file) {
    c = c == '/' ? '-' : c;
  }
  return mImpl->mLogFolder + "/" + file + ".log";
}

std::string
TailOf(const std::string& aFile, std::size_t aLines)
{
  std::ifstream in(aFile);
  std::deque<std::string> lines;
  std::string line;
  while (std::getline(in, line)) {
    lines.push_back(line);
    if (lines.size() > aLines) {
      lines.pop_front();
    }
  }
  std::string tail;
  for (const std::string& each : lines) {
    tail += "  " + each + "\n";
  }
  return tail;
}

} // namespace mangospan::scenario
