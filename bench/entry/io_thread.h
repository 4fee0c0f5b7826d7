// An io_context with a thread of its own, whose processor time can be read.
//
//   io_thread callers;
//   callers.Run([&] { client.emplace(callers.Io(), options); });
#ifndef MANGOSPAN_BENCH_ENTRY_IO_THREAD_H
#define MANGOSPAN_BENCH_ENTRY_IO_THREAD_H

#include <chrono>
#include <functional>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

namespace mangospan::bench {

class io_thread
{
public:
  io_thread();
  ~io_thread();
  io_thread(const io_thread&) = delete;
  io_thread& operator=(const io_thread&) = delete;

  boost::asio::io_context& Io() { return mIo; }

  // Runs `aWork` on the thread and waits for its end. Not after Stop().
  void Run(const std::function<void()>& aWork);

  // Ends and joins the thread; what it served may be destroyed then.
  void Stop();

  // Processor time of the thread so far, user and system. Not after Stop().
  std::chrono::nanoseconds ProcessorTime();

private:
  boost::asio::io_context mIo{ 1 };
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    mGuard{ mIo.get_executor() };
  std::thread mThread;
};

} // namespace mangospan::bench

#endif // MANGOSPAN_BENCH_ENTRY_IO_THREAD_H
