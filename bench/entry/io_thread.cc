#include "bench/entry/io_thread.h"

#include <ctime>
#include <future>
#include <pthread.h>

#include <boost/asio/post.hpp>

namespace mangospan::bench {

io_thread::io_thread()
  : mThread([this] { mIo.run(); })
{
}

io_thread::~io_thread()
{
  Stop();
}

void
io_thread::Run(const std::function<void()>& aWork)
{
  std::promise<void> done;
  boost::asio::post(mIo, [&aWork, &done] {
    aWork();
    done.set_value();
  });
  done.get_future().wait();
}

void
io_thread::Stop()
{
  mIo.stop();
  if (mThread.joinable()) {
    mThread.join();
  }
}

std::chrono::nanoseconds
io_thread::ProcessorTime()
{
  clockid_t clock{};
  timespec time{};
  if (pthread_getcpuclockid(mThread.native_handle(), &clock) == 0) {
    clock_gettime(clock, &time);
  }
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::nanoseconds(time.tv_nsec);
}

} // namespace mangospan::bench
