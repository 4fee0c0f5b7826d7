#include "testing/scenario/process_table.h"

#include <cerrno>
#include <chrono>
#include <csignal>
#include <string>
#include <thread>

#include <fcntl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/filesystem.hpp>
#include <gtest/gtest.h>

#include "mangospan/base/error.h"

namespace mangospan::scenario {
namespace {

namespace fs = boost::filesystem;

std::string
Folder()
{
  return testing::TempDir();
}

status
AwaitStart(process_table& aProcesses, const std::string& aName)
{
  for (;;) {
    if (const auto started = aProcesses.TakeStarted(aName)) {
      return *started;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
}

TEST(ProcessTable, LeavesNoProcessBehindNotEvenAnEndedOne)
{
  {
    process_table processes(Folder());
    ASSERT_TRUE(processes.Start("sleeper", "/bin/sleep", { "60" }));
    ASSERT_TRUE(processes.Start("frozen", "/bin/sleep", { "60" }));
    ASSERT_TRUE(processes.Signal("frozen", SIGSTOP));
    EXPECT_TRUE(processes.Runs("sleeper"));
    EXPECT_TRUE(processes.Start("sleeper", "/bin/sleep", {}).has_error());
  }
  EXPECT_EQ(waitpid(-1, nullptr, WNOHANG), -1);
  EXPECT_EQ(errno, ECHILD);
}

TEST(ProcessTable, KeepsOutputAndExitCodeOfAnEndedProcess)
{
  process_table processes(Folder());
  ASSERT_TRUE(processes.Start(
    "shell/one", "/bin/sh", { "-c", "echo first; echo second >&2; exit 3" }));
  while (processes.Runs("shell/one")) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  EXPECT_EQ(processes.ExitCode("shell/one"), 3);
  EXPECT_EQ(TailOf(processes.LogFile("shell/one"), 1), "  second\n");
  EXPECT_TRUE(processes.Signal("shell/one", SIGTERM).has_error());
  EXPECT_TRUE(processes.Signal("unknown", SIGTERM).has_error());
}

TEST(ProcessTable, MissingProgramIsAnError)
{
  process_table processes(Folder());
  EXPECT_TRUE(processes.Start("none", "/nonexistent/program", {}).has_error());
}

// A connection stayed open after its end in processes started meanwhile.
TEST(ProcessTable, ProcessHoldsNoConnectionOfItsParent)
{
  int ends[2] = {};
  ASSERT_EQ(::socketpair(AF_UNIX, SOCK_STREAM, 0, ends), 0);
  process_table processes(Folder());
  ASSERT_TRUE(processes.Start("sleeper", "/bin/sleep", { "60" }));
  ::close(ends[0]);
  char byte = 0;
  EXPECT_EQ(::recv(ends[1], &byte, 1, MSG_DONTWAIT), 0); // the end, not EAGAIN
  ::close(ends[1]);
}

// The caller's loop stood still for 0.5 s as it started a process on a busy
// host. Here, the start waits until someone reads the log.
TEST(ProcessTable, SlowStartDoesNotHoldTheCallerUp)
{
  process_table processes(Folder());
  const std::string log = processes.LogFile("slow");
  ::unlink(log.c_str());
  ASSERT_EQ(::mkfifo(log.c_str(), S_IRUSR | S_IWUSR), 0);
  ASSERT_TRUE(processes.BeginStart("slow", "/bin/sleep", { "60" }));
  EXPECT_FALSE(processes.TakeStarted("slow").has_value());
  EXPECT_FALSE(processes.Runs("slow"));
  EXPECT_TRUE(processes.BeginStart("slow", "/bin/sleep", {}).has_error());
  const int reader = ::open(log.c_str(), O_RDONLY | O_NONBLOCK);
  ASSERT_GE(reader, 0);
  const status started = AwaitStart(processes, "slow");
  EXPECT_TRUE(started.has_value());
  EXPECT_TRUE(processes.Runs("slow"));
  ::close(reader);
  ::unlink(log.c_str());
}

TEST(ProcessTable, MissingProgramIsAnErrorBesideTheCallerToo)
{
  process_table processes(Folder());
  ASSERT_TRUE(processes.BeginStart("none", "/nonexistent/program", {}));
  EXPECT_TRUE(AwaitStart(processes, "none").has_error());
}

// A process holds copies of the descriptors of the thread that starts it until
// its exec, while the caller goes on and closes its connections.
TEST(ProcessTable, ThreadThatStartsProcessesHoldsNoConnection)
{
  int ends[2] = {};
  ASSERT_EQ(::socketpair(AF_UNIX, SOCK_STREAM, 0, ends), 0);
  process_table processes(Folder());
  ASSERT_TRUE(processes.BeginStart("sleeper", "/bin/sleep", { "60" }));
  ASSERT_TRUE(AwaitStart(processes, "sleeper"));
  const std::string own = "/proc/self/fd/" + std::to_string(ends[0]);
  const auto connection = fs::read_symlink(own);
  std::size_t threads = 0;
  std::size_t holders = 0;
  for (const auto& thread : fs::directory_iterator("/proc/self/task")) {
    ++threads;
    for (const auto& each : fs::directory_iterator(thread.path() / "fd")) {
      boost::system::error_code ignored;
      holders += fs::read_symlink(each.path(), ignored) == connection ? 1 : 0;
    }
  }
  EXPECT_GE(threads, 2U);
  EXPECT_EQ(holders, 1U);
  ::close(ends[0]);
  ::close(ends[1]);
}

} // namespace
} // namespace mangospan::scenario
