#include "testing/scenario/process_table.h"

#include <cerrno>
#include <chrono>
#include <csignal>
#include <string>
#include <thread>

#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <gtest/gtest.h>

#include "mangospan/base/error.h"

namespace mangospan::scenario {
namespace {

std::string
Folder()
{
  return testing::TempDir();
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

} // namespace
} // namespace mangospan::scenario
