#include "mangospan/base/timer.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

namespace mangospan {
namespace {

using std::chrono::seconds;

TEST(timer_test, WaitsByTheVirtualClock)
{
  manual_clock clock;
  const virtual_time_scope scope(clock);
  boost::asio::io_context io;
  timer waiting(io, seconds(3));
  bool isOver = false;
  waiting.async_wait(
    [&isOver](const boost::system::error_code& aAbort) { isOver = !aAbort; });
  const auto wall = WallNow();
  clock.Advance(seconds(2));
  io.poll();
  EXPECT_FALSE(isOver);
  clock.Advance(seconds(1));
  io.poll();
  EXPECT_TRUE(isOver);
  EXPECT_EQ(WallNow() - wall, seconds(3));
}

TEST(timer_test, WaitsByTheHostsClockOutsideAScope)
{
  boost::asio::io_context io;
  timer waiting(io, std::chrono::milliseconds(1));
  bool isOver = false;
  waiting.async_wait(
    [&isOver](const boost::system::error_code& aAbort) { isOver = !aAbort; });
  io.run();
  EXPECT_TRUE(isOver);
}

} // namespace
} // namespace mangospan
