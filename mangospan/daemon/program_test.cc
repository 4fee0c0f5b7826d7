#include "mangospan/daemon/program.h"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>
#include <sys/stat.h>
#include <unistd.h>

#include "mangospan/http/server.h"

namespace mangospan::daemon {
namespace {

// Only the operators' address is listened at.
std::string
Settings()
{
  boost::asio::io_context io;
  http::server probe(io, {}, nullptr);
  EXPECT_TRUE(probe.Listen("127.0.0.1:0").has_value());
  return R"({ "host": "entry-1", "zone": "a",
    "caller_address": "127.0.0.1:18080", "peer_address": "127.0.0.1:17400",
    "platform_address": "127.0.0.1:18500", "peers": ["127.0.0.1:17401"],
    "operator_address": "127.0.0.1:)" +
         std::to_string(probe.Port()) + "\" }";
}

class idle_process : public process
{
public:
  status Start() override { return boost::outcome_v2::success(); }
  void Stop(std::function<void()> aDone) override { aDone(); }
  bool IsHealthy() const override { return true; }
  std::string DumpState() const override { return "{}"; }
  void RefreshMetrics() override {}
  http::response TestSwitch(const http::request& /*aRequest*/) override
  {
    return {};
  }
};

int
Run(const settings::process_settings& aSettings)
{
  boost::asio::io_context io;
  metrics metrics;
  idle_process process;
  return Serve(io, metrics, process, aSettings);
}

// Runs the program on settings that come through a pipe, and sends it SIGTERM
// while it waits for them.
int
RunAndStopWhileItReadsItsSettings()
{
  const std::string file = testing::TempDir() + "program_test_settings";
  ::unlink(file.c_str());
  ::mkfifo(file.c_str(), S_IRUSR | S_IWUSR);
  std::thread writer([&file, settings = Settings()] {
    sigset_t all;
    sigfillset(&all);
    pthread_sigmask(SIG_SETMASK, &all, nullptr); // the program gets the signal
    std::ofstream out(file); // opens once the program opens it, to read
    ::kill(::getpid(), SIGTERM);
    out << settings;
  });
  const char* const arguments[] = { "program", "--settings", file.c_str() };
  const int code =
    RunProgram(3,
               arguments,
               { "test", settings::program::kEntry, { "test", "", "" } },
               &Run);
  writer.join();
  ::unlink(file.c_str());
  return code;
}

// Such a program ended by the signal, without its graceful stop.
TEST(Program, StopWhileItStartsIsGraceful)
{
  EXPECT_EXIT(
    {
      ::dup2(STDERR_FILENO, STDOUT_FILENO); // logs go to standard output
      std::exit(RunAndStopWhileItReadsItsSettings());
    },
    testing::ExitedWithCode(kExitOk),
    "stop.asked");
}

} // namespace
} // namespace mangospan::daemon
