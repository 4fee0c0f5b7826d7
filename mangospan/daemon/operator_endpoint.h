// The operators' HTTP address of a daemon: /metrics, /state, /healthz.
//
//   daemon::operator_endpoint endpoint(io, metrics, { dumpState, isHealthy });
//   BOOST_OUTCOME_TRY(endpoint.Listen("127.0.0.1:9100"));
#ifndef MANGOSPAN_DAEMON_OPERATOR_ENDPOINT_H
#define MANGOSPAN_DAEMON_OPERATOR_ENDPOINT_H

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "mangospan/base/error.h"
#include "mangospan/http/message.h"
#include "mangospan/http/server.h"

namespace boost::asio {
class io_context;
}

namespace mangospan::daemon {

class metrics;

struct operator_handlers
{
  std::function<void()> mBeforeMetrics;    // refreshes gauges; may be empty
  std::function<std::string()> mDumpState; // a JSON document
  std::function<bool()> mIsHealthy;
  // POST /test/...: null unless the settings enable test switches.
  std::function<http::response(const http::request&)> mTestSwitch;
};

class operator_endpoint
{
public:
  operator_endpoint(boost::asio::io_context& aIo,
                    metrics& aMetrics,
                    operator_handlers aHandlers,
                    const http::connection_limits& aLimits = {},
                    std::function<void(http::limit_reason)> aOnLimited = {});

  // As http::server::Listen.
  status Listen(std::string_view aAddress);

  // The bound port, once listening.
  unsigned short Port() const;

  void Stop();

  // For a process that drains its servers itself.
  http::server& Server() { return mServer; }

private:
  http::response Answer(const http::request& aRequest);
  http::response Metrics();
  http::response State();
  http::response Health();

  metrics& mMetrics;
  operator_handlers mHandlers;
  http::server mServer;
};

} // namespace mangospan::daemon

#endif // MANGOSPAN_DAEMON_OPERATOR_ENDPOINT_H
