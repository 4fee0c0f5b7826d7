#include "mangospan/daemon/signals.h"

#include <csignal>

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>
#include <unistd.h>

namespace mangospan::daemon {
namespace {

TEST(StopSignals, FirstStopsGracefullyAndSecondEndsAtOnce)
{
  boost::asio::io_context io;
  int stops = 0;
  int ends = 0;
  stop_signals signals(
    io,
    [&] {
      ++stops;
      std::raise(SIGINT);
    },
    [&] { ++ends; });
  std::raise(SIGTERM);
  io.run();
  EXPECT_EQ(stops, 1);
  EXPECT_EQ(ends, 1);
}

TEST(StopSignals, SecondSignalEndsTheProcess)
{
  EXPECT_EXIT(
    {
      ::dup2(STDERR_FILENO, STDOUT_FILENO); // logs go to standard output
      boost::asio::io_context io;
      stop_signals signals(io, [] { std::raise(SIGTERM); });
      std::raise(SIGTERM);
      io.run();
    },
    testing::ExitedWithCode(1),
    "stop.forced");
}

TEST(StopSignals, CancelLetsTheLoopEnd)
{
  boost::asio::io_context io;
  stop_signals signals(io, [] {});
  signals.Cancel();
  io.run(); // returns
}

TEST(StopSignals, SignalThatCameBeforeTheHandlerIsHandled)
{
  boost::asio::io_context io;
  int stops = 0;
  HoldSignals();
  std::raise(SIGTERM);
  const reload_signal reload(io, [] {});
  stop_signals signals(io, [&] {
    ++stops;
    io.stop();
  });
  io.run();
  EXPECT_EQ(stops, 1);
}

} // namespace
} // namespace mangospan::daemon
