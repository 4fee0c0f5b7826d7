#include "mangospan/daemon/signals.h"

#include <csignal>
#include <cstdlib>
#include <functional>
#include <initializer_list>
#include <memory>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/system/error_code.hpp>

#include "mangospan/base/log.h"

namespace mangospan::daemon {

namespace {

void
ChangeMask(int aHow, std::initializer_list<int> aSignals)
{
  sigset_t set;
  sigemptyset(&set);
  for (const int each : aSignals) {
    sigaddset(&set, each);
  }
  pthread_sigmask(aHow, &set, nullptr);
}

} // namespace

void
HoldSignals()
{
  HoldStopSignals();
  ChangeMask(SIG_BLOCK, { SIGHUP });
}

void
HoldStopSignals()
{
  ChangeMask(SIG_BLOCK, { SIGTERM, SIGINT });
}

class stop_signals::impl : public std::enable_shared_from_this<impl>
{
public:
  impl(boost::asio::io_context& aIo,
       std::function<void()> aOnStop,
       std::function<void()> aOnSecond)
    : mSignals(aIo, SIGTERM, SIGINT)
    , mOnStop(std::move(aOnStop))
    , mOnSecond(std::move(aOnSecond))
  {
  }

  void Wait()
  {
    mSignals.async_wait(
      [self = shared_from_this()](const boost::system::error_code& aFailure,
                                  int aSignal) {
        if (!aFailure) {
          self->OnSignal(aSignal);
        }
      });
  }

  void Cancel()
  {
    boost::system::error_code ignored;
    mSignals.cancel(ignored);
  }

private:
  void OnSignal(int aSignal)
  {
    LogEvent(log_level::kInfo,
             mStopping ? "stop.forced" : "stop.asked",
             { { "signal", aSignal } });
    if (mStopping) {
      EndAtOnce();
      return;
    }
    mStopping = true;
    Wait(); // before the handler, which may cancel
    mOnStop();
  }

  // The graceful stop may be what hangs, so destructors are not run.
  void EndAtOnce()
  {
    if (mOnSecond) {
      mOnSecond();
      return;
    }
    std::_Exit(EXIT_FAILURE);
  }

  boost::asio::signal_set mSignals;
  std::function<void()> mOnStop;
  std::function<void()> mOnSecond;
  bool mStopping = false;
};

stop_signals::stop_signals(boost::asio::io_context& aIo,
                           std::function<void()> aOnStop,
                           std::function<void()> aOnSecond)
  : mImpl(std::make_shared<impl>(aIo, std::move(aOnStop), std::move(aOnSecond)))
{
  mImpl->Wait();
  ChangeMask(SIG_UNBLOCK, { SIGTERM, SIGINT });
}

stop_signals::~stop_signals()
{
  mImpl->Cancel();
}

void
stop_signals::Cancel()
{
  mImpl->Cancel();
}

class reload_signal::impl : public std::enable_shared_from_this<impl>
{
public:
  impl(boost::asio::io_context& aIo, std::function<void()> aOnReload)
    : mSignals(aIo, SIGHUP)
    , mOnReload(std::move(aOnReload))
  {
  }

  void Wait()
  {
    mSignals.async_wait(
      [self = shared_from_this()](const boost::system::error_code& aFailure,
                                  int /*aSignal*/) {
        if (!aFailure) {
          self->mOnReload();
          self->Wait();
        }
      });
  }

  void Cancel()
  {
    boost::system::error_code ignored;
    mSignals.cancel(ignored);
  }

private:
  boost::asio::signal_set mSignals;
  const std::function<void()> mOnReload;
};

reload_signal::reload_signal(boost::asio::io_context& aIo,
                             std::function<void()> aOnReload)
  : mImpl(std::make_shared<impl>(aIo, std::move(aOnReload)))
{
  mImpl->Wait();
  ChangeMask(SIG_UNBLOCK, { SIGHUP });
}

reload_signal::~reload_signal()
{
  mImpl->Cancel();
}

} // namespace mangospan::daemon
