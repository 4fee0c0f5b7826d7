// The stand-in's HTTP interface over its state.
//
// Watches wait here for changes; host actions go to the endpoint stand-in:
//
//   platform_service service(io, clock, fleet, control);
//   fault_server server(io, {}, [&](const auto& aRequest, const auto& aReply) {
//     service.Handle(aRequest, aReply);
//   });
#ifndef TESTING_PLATFORM_SERVICE_H
#define TESTING_PLATFORM_SERVICE_H

#include <functional>
#include <memory>

#include "mangospan/base/error.h"
#include "mangospan/base/identity.h"
#include "mangospan/base/time.h"
#include "mangospan/http/message.h"
#include "testing/fleet/fleet_file.h"
#include "testing/http/fault_server.h"

namespace boost::asio {
class io_context;
}

namespace mangospan::standin {

// Starts (`mService` given) or stops the runner of one host.
struct runner_command
{
  host_name mHost;
  bool mStart = false;
  service_name mService;
};

// Carries a command out and reports once whether it was; injected so that tests
// need no endpoint stand-in.
using runner_control =
  std::function<void(runner_command, std::function<void(status)>)>;

class platform_service
{
public:
  platform_service(boost::asio::io_context& aIo,
                   const clock_source& aClock,
                   const fleet_file& aFleet,
                   runner_control aControl);
  ~platform_service();
  platform_service(const platform_service&) = delete;
  platform_service& operator=(const platform_service&) = delete;

  void Handle(const http::request& aRequest, const replier& aReply);

private:
  class impl;
  std::shared_ptr<impl> mImpl;
};

} // namespace mangospan::standin

#endif // TESTING_PLATFORM_SERVICE_H
