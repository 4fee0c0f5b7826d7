// Graceful stop of a daemon on SIGTERM and SIGINT.
//
//   daemon::stop_signals signals(io, [&] { pipeline.Stop(); });
//
// The first signal calls the handler on the io_context; the second ends the
// process at once.
#ifndef MANGOSPAN_DAEMON_SIGNALS_H
#define MANGOSPAN_DAEMON_SIGNALS_H

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace mangospan::daemon {

// Holds the signals that the classes below handle back until such a handler is
// made. To be called first: they would end a process that is just starting.
void
HoldSignals();

// The same, for a process that makes no `reload_signal`: SIGHUP still ends it.
void
HoldStopSignals();

class stop_signals
{
public:
  // `aOnSecond` replaces the end of the process; null: exit with code 1.
  stop_signals(boost::asio::io_context& aIo,
               std::function<void()> aOnStop,
               std::function<void()> aOnSecond = nullptr);
  ~stop_signals();
  stop_signals(const stop_signals&) = delete;
  stop_signals& operator=(const stop_signals&) = delete;

  // Stops waiting for signals, so that the io_context can run out of work.
  void Cancel();

private:
  class impl;
  std::shared_ptr<impl> mImpl;
};

// Calls a handler at each SIGHUP, which would otherwise end the process.
class reload_signal
{
public:
  reload_signal(boost::asio::io_context& aIo, std::function<void()> aOnReload);
  ~reload_signal();
  reload_signal(const reload_signal&) = delete;
  reload_signal& operator=(const reload_signal&) = delete;

private:
  class impl;
  std::shared_ptr<impl> mImpl;
};

} // namespace mangospan::daemon

#endif // MANGOSPAN_DAEMON_SIGNALS_H
